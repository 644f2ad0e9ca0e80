//! Names of members, of their lives and of views.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A moment or a span in microseconds, on the clock of the process that counts it. That clock never steps and goes on
/// while the process is stopped and while the machine sleeps (`CLOCK_BOOTTIME`); its rate is right within
/// [`crate::Timing::drift`]. Moments of two processes are never compared.
pub type Micros = u64;

/// A member, by the hash of its name: packets hold many of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The member of a name.
    ///
    /// ```
    /// use yarrowhill_membership::MemberId;
    /// assert_eq!(MemberId::from_name("n1"), MemberId::from_name("n1"));
    /// assert_ne!(MemberId::from_name("n1"), MemberId::from_name("n2"));
    /// ```
    pub fn from_name(name: &str) -> Self {
        MemberId(xxh3_64(name.as_bytes()))
    }
}

/// One process from its start to its end: drawn by chance at each start, so that two processes under one name, or a
/// process and what is remembered of the one before it, can be told apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

/// How new a word about a member is: its boots are counted in its folder, its refutations within a boot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Starts of the member. Written to the folder before the first packet under it leaves.
    pub boot: u64,
    /// Refutations since that start.
    pub refutations: u64,
}

impl Incarnation {
    /// No boot is above this: a spoilt word must not take a name to where nobody can refute it any more.
    pub const MAX_BOOT: u64 = 1 << 48;

    /// Whether any sound process can have said it.
    pub fn is_plausible(self) -> bool {
        self.boot <= Self::MAX_BOOT && self.refutations <= Self::MAX_BOOT
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.boot, self.refutations)
    }
}

/// A view: the hash of the roster and of all that are in it with their boots. Who holds the same set has the same id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewId(pub u64);

impl fmt::Display for ViewId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
