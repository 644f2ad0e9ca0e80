//! What a document says, with names resolved.

use crate::diagnostic::Location;
use ipnet::IpNet;
use std::net::IpAddr;
use std::time::Duration;

/// A whole document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// Those that messages go to.
    pub partners: Vec<Partner>,
    /// Sets of source addresses.
    pub address_sets: Vec<AddressSet>,
    /// The first that matches decides.
    pub rules: Vec<Rule>,
}

/// A receiver with its pools of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Partner {
    /// Its name in the document.
    pub name: String,
    /// Its number on the wire.
    pub dest: u64,
    /// Its pools.
    pub pools: Vec<Pool>,
}

/// Endpoints of a partner, by what the endpoint list says of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name within its partner.
    pub name: String,
    /// Only endpoints of this zone.
    pub zone: Option<String>,
    /// Only endpoints of this kind.
    pub kind: Option<String>,
    /// Lower ones go first; the next is for when none of the lower can be sent to.
    pub priority: u32,
    /// Share among pools of the same priority.
    pub weight: u32,
}

/// Source addresses under a name.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressSet {
    /// Its name in the document.
    pub name: String,
    /// May overlap.
    pub networks: Vec<IpNet>,
}

/// One rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Its name, told once in a document.
    pub name: String,
    /// Which messages it is for.
    pub condition: Condition,
    /// What becomes of them.
    pub action: Action,
    /// Where it stands.
    pub location: Location,
}

/// A condition: all that is told must hold; of several values of one thing any.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Condition {
    /// Classes by name; empty: any.
    pub classes: Vec<String>,
    /// Owners by name; empty: any.
    pub owners: Vec<String>,
    /// Partners by index; empty: any.
    pub partners: Vec<usize>,
    /// Headers (names in lower case) with their values, all of them.
    pub headers: Vec<(String, String)>,
    /// Least and greatest length of the body (bytes).
    pub body_bytes: Option<(u64, u64)>,
    /// Address sets by index; empty: any.
    pub sources: Vec<usize>,
    /// Time of day.
    pub hours: Option<Hours>,
}

/// A span of each day, in minutes from midnight on the clock that is passed in; it may pass midnight. The start belongs
/// to it, the end does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hours {
    /// 0 to 1439.
    pub from: u16,
    /// 0 to 1439, and another than `from`.
    pub until: u16,
}

impl Hours {
    /// Minutes of a day.
    pub const MINUTES_PER_DAY: u16 = 24 * 60;

    /// Whether a minute of the day is in it.
    pub fn contains(self, minute: u16) -> bool {
        (minute + Self::MINUTES_PER_DAY - self.from) % Self::MINUTES_PER_DAY < self.len()
    }

    fn len(self) -> u16 {
        (self.until + Self::MINUTES_PER_DAY - self.from) % Self::MINUTES_PER_DAY
    }

    /// Whether every minute of the other is in it.
    pub fn covers(self, other: Hours) -> bool {
        (other.from + Self::MINUTES_PER_DAY - self.from) % Self::MINUTES_PER_DAY + other.len() <= self.len()
    }
}

/// What a rule does with a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// It may go to this pool of its partner, and to no other.
    Pool(usize),
    /// It may go to one of several pools of its partner, by weight; what is alike in `by` goes to the same one.
    Split {
        /// What sticks.
        affinity: Affinity,
        /// At least one with a weight above 0.
        parts: Vec<WeightedPool>,
    },
    /// It is refused; the client may come again after this time.
    Refuse(Duration),
}

/// One way of a split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedPool {
    /// The pool, by index in its partner.
    pub pool: usize,
    /// Its share.
    pub weight: u32,
}

/// What goes the same way in a split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// Messages of one owner.
    Owner,
    /// Messages with one idempotency key.
    Key,
}

impl Action {
    /// The pool for a message, `key` being what sticks; `None` if it is refused. Weighted rendezvous hashing: a changed
    /// weight moves only what it must.
    pub fn select_pool(&self, key: &str) -> Option<usize> {
        match self {
            Action::Pool(pool) => Some(*pool),
            Action::Refuse(_) => None,
            Action::Split { parts, .. } => {
                let score = |part: &WeightedPool| -unit(key, part.pool).ln() / f64::from(part.weight);
                let ways = parts.iter().filter(|part| part.weight > 0);
                ways.min_by(|a, b| score(a).total_cmp(&score(b))).map(|part| part.pool)
            }
        }
    }
}

/// A number between 0 and 1 from a text and a number, the same everywhere and always (FNV-1a, mixed by splitmix64).
fn unit(text: &str, number: usize) -> f64 {
    let hash = text.bytes().chain((number as u64).to_le_bytes());
    let mut x = hash.fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64 + f64::EPSILON
}

/// What is asked of a message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Message<'a> {
    /// Its class.
    pub class: &'a str,
    /// Its owner, if it has one.
    pub owner: Option<&'a str>,
    /// The number of its destination.
    pub dest: u64,
    /// Headers, names in lower case.
    pub headers: &'a [(&'a str, &'a str)],
    /// Length of its body (bytes).
    pub body_bytes: u64,
    /// Where it came from.
    pub source: Option<IpAddr>,
    /// Minute of the day, 0 to 1439.
    pub minute: u16,
}
