//! The parsed routing document, with names resolved to indices.

use crate::diagnostic::Location;
use ipnet::IpNet;
use std::net::IpAddr;
use std::time::Duration;

/// A complete routing document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// Destinations of messages.
    pub partners: Vec<Partner>,
    /// Named sets of source addresses.
    pub address_sets: Vec<AddressSet>,
    /// Rules in order of precedence; the first that matches decides.
    pub rules: Vec<Rule>,
}

/// A destination of messages, with its pools of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Partner {
    /// Name in the document.
    pub name: String,
    /// Destination number on the wire.
    pub dest: u64,
    /// Pools of endpoints.
    pub pools: Vec<Pool>,
}

/// A pool of a partner's endpoints, selected by their attributes in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name within the partner.
    pub name: String,
    /// Zone of the endpoints; `None` for any.
    pub zone: Option<String>,
    /// Kind of the endpoints; `None` for any.
    pub kind: Option<String>,
    /// Priority; a pool is used only while no pool with a lower number can be sent to.
    pub priority: u32,
    /// Relative share among pools of the same priority.
    pub weight: u32,
}

/// A named set of source addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressSet {
    /// Name in the document.
    pub name: String,
    /// Networks of the set; they may overlap.
    pub networks: Vec<IpNet>,
}

/// A routing rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Name, unique in the document.
    pub name: String,
    /// Condition for a message to match.
    pub condition: Condition,
    /// Action for matching messages.
    pub action: Action,
    /// Position in the document.
    pub location: Location,
}

/// The condition of a rule. All criteria that are given must hold; of several values of one criterion any may
/// match.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Condition {
    /// Class names; empty for any.
    pub classes: Vec<String>,
    /// Owner names; empty for any.
    pub owners: Vec<String>,
    /// Indices of partners; empty for any.
    pub partners: Vec<usize>,
    /// Headers that must all be present: name in lower case, and value.
    pub headers: Vec<(String, String)>,
    /// Minimum and maximum length of the body in bytes, both inclusive.
    pub body_bytes: Option<(u64, u64)>,
    /// Indices of source address sets; empty for any.
    pub sources: Vec<usize>,
    /// Period of the day.
    pub hours: Option<Hours>,
}

/// A daily period in minutes from midnight, by the time of day that is passed in. It may cross midnight. The
/// start is inclusive, the end exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hours {
    /// Start, 0 to 1439.
    pub from: u16,
    /// End, 0 to 1439, different from `from`.
    pub until: u16,
}

impl Hours {
    /// Number of minutes in a day.
    pub const MINUTES_PER_DAY: u16 = 24 * 60;

    /// Returns whether the period contains a minute of the day.
    pub fn contains(self, minute: u16) -> bool {
        (minute + Self::MINUTES_PER_DAY - self.from) % Self::MINUTES_PER_DAY < self.len()
    }

    fn len(self) -> u16 {
        (self.until + Self::MINUTES_PER_DAY - self.from) % Self::MINUTES_PER_DAY
    }

    /// Returns whether the period contains every minute of another one.
    pub fn covers(self, other: Hours) -> bool {
        (other.from + Self::MINUTES_PER_DAY - self.from) % Self::MINUTES_PER_DAY + other.len() <= self.len()
    }
}

/// What a rule does with a matching message.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Allows only the partner's pool with this index.
    Pool(usize),
    /// Allows one of several pools of the partner, chosen by weight. Messages with the same affinity value
    /// get the same pool.
    Split {
        /// Attribute whose value determines the pool.
        affinity: Affinity,
        /// Candidate pools, at least one of which has a weight above 0.
        parts: Vec<WeightedPool>,
    },
    /// Refuses the message; the client may retry after this time.
    Refuse(Duration),
}

/// A candidate pool of a split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedPool {
    /// Index of the pool in its partner.
    pub pool: usize,
    /// Relative share of the messages.
    pub weight: u32,
}

/// The message attribute that a split keeps on one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// Owner of the message.
    Owner,
    /// Idempotency key of the message.
    Key,
}

impl Action {
    /// Returns the index of the pool for a message whose affinity value is `key`, or `None` if the message is
    /// refused.
    ///
    /// A split uses weighted rendezvous hashing, so that a changed weight moves only the keys that it has to.
    pub fn select_pool(&self, key: &str) -> Option<usize> {
        match self {
            Action::Pool(pool) => Some(*pool),
            Action::Refuse(_) => None,
            Action::Split { parts, .. } => {
                let score = |part: &WeightedPool| -unit_hash(key, part.pool).ln() / f64::from(part.weight);
                let candidates = parts.iter().filter(|part| part.weight > 0);
                candidates.min_by(|a, b| score(a).total_cmp(&score(b))).map(|part| part.pool)
            }
        }
    }
}

/// Hashes a text and a number to a value between 0 and 1 with FNV-1a, mixed by the splitmix64 finalizer. The
/// result is the same on every machine and in every version.
fn unit_hash(text: &str, number: usize) -> f64 {
    let hash = text.bytes().chain((number as u64).to_le_bytes());
    let mut x = hash.fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64 + f64::EPSILON
}

/// The attributes of a message that routing depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Message<'a> {
    /// Class of the message.
    pub class: &'a str,
    /// Owner of the message, if any.
    pub owner: Option<&'a str>,
    /// Destination number.
    pub dest: u64,
    /// Headers with names in lower case, and their values.
    pub headers: &'a [(&'a str, &'a str)],
    /// Length of the body in bytes.
    pub body_bytes: u64,
    /// Source address.
    pub source: Option<IpAddr>,
    /// Minute of the day at which the message is routed, 0 to 1439.
    pub minute: u16,
}
