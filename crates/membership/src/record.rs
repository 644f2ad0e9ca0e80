//! Records about members, and the order that decides which of two records counts.

use crate::id::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// Health of a member. Within one incarnation, the later variant in this order takes precedence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Nothing has been received about the member.
    #[default]
    Unknown,
    /// The member is alive.
    Alive,
    /// The member did not answer a probe; it may refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves.
    Left,
}

impl Health {
    /// Returns whether the member counts as present.
    pub fn is_present(self) -> bool {
        matches!(self, Health::Alive | Health::Suspect)
    }

    /// Returns the name for status output.
    pub fn name(self) -> &'static str {
        match self {
            Health::Unknown => "unknown",
            Health::Alive => "alive",
            Health::Suspect => "suspect",
            Health::Dead => "dead",
            Health::Left => "left",
        }
    }
}

/// A record about a member. Records are totally ordered and the greater one counts, so that merging is
/// commutative, associative and idempotent, and records may arrive in any order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Version of the record.
    pub incarnation: Incarnation,
    /// Health of the member.
    pub health: Health,
    /// Process of the member that the record is about.
    pub instance: InstanceId,
}

impl Record {
    /// Returns the greater of two records.
    ///
    /// ```
    /// use yarrowhill_membership::*;
    /// let incarnation = |boot| Incarnation { boot, refutations: 0 };
    /// let instance = InstanceId(1);
    /// let record = |boot, health| Record { incarnation: incarnation(boot), health, instance };
    /// // A later boot takes precedence over any record of an earlier one.
    /// // Within a boot, dead takes precedence over alive.
    /// assert_eq!(record(1, Health::Dead).merge(record(2, Health::Alive)), record(2, Health::Alive));
    /// assert_eq!(record(1, Health::Dead).merge(record(1, Health::Alive)), record(1, Health::Dead));
    /// ```
    pub fn merge(self, other: Record) -> Record {
        self.max(other)
    }
}

#[cfg(test)]
mod tests;
