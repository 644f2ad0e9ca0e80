//! Identifiers of members, of their processes and of views.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// An instant or a duration in microseconds on the local clock. That clock never steps, and it continues
/// while the process is stopped and while the machine sleeps (`CLOCK_BOOTTIME`); the error of its rate is at
/// most [`crate::Timing::drift`]. Instants of two processes are never compared.
pub type Micros = u64;

/// A member, identified by the hash of its name, since packets hold many identifiers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Returns the id of the member with a name.
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

/// Identifies one process of a member. It is drawn at random at each start, so that two processes under one
/// name, or a process and the records of its predecessor, can be distinguished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

/// Version of a record about a member: the boot number, which is counted in the member's state folder, and
/// the number of refutations within that boot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Number of starts of the member. It is written to the state folder before the first packet under it is
    /// sent.
    pub boot: u64,
    /// Number of refutations since that start.
    pub refutations: u64,
}

impl Incarnation {
    /// Upper bound of both numbers: a corrupt record must not raise a name to an incarnation that no process
    /// can refute.
    pub const MAX_BOOT: u64 = 1 << 48;

    /// Returns whether a correct process can have announced it.
    pub fn is_plausible(self) -> bool {
        self.boot <= Self::MAX_BOOT && self.refutations <= Self::MAX_BOOT
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.boot, self.refutations)
    }
}

/// Identifies a view: the hash of the roster and of the view's members with their boots. Equal sets have
/// equal ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewId(pub u64);

impl fmt::Display for ViewId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
