//! What is said of a member, and which of two words counts.

use crate::id::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// How a member stands, as far as anybody knows. Of one incarnation the later in this order counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Nothing was ever heard.
    #[default]
    Unknown,
    /// It lives.
    Alive,
    /// It did not answer somebody; it may refute that.
    Suspect,
    /// It did not refute it in time.
    Dead,
    /// It said that it goes.
    Left,
}

impl Health {
    /// Whether it is held to be there.
    pub fn is_present(self) -> bool {
        matches!(self, Health::Alive | Health::Suspect)
    }

    /// In words.
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

/// A word about a member. Records are totally ordered and the greater counts, so that merging is commutative,
/// associative and idempotent whatever the order in which words come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// How new.
    pub incarnation: Incarnation,
    /// How it stands.
    pub health: Health,
    /// Which process it is said of.
    pub instance: InstanceId,
}

impl Record {
    /// Of two words the one that counts.
    ///
    /// ```
    /// use yarrowhill_membership::*;
    /// let incarnation = |boot| Incarnation { boot, refutations: 0 };
    /// let record = |boot, health| Record { incarnation: incarnation(boot), health, instance: InstanceId(1) };
    /// // Whatever was said of an earlier boot, a later one lives; and of one boot, death outweighs life.
    /// assert_eq!(record(1, Health::Dead).merge(record(2, Health::Alive)), record(2, Health::Alive));
    /// assert_eq!(record(1, Health::Dead).merge(record(1, Health::Alive)), record(1, Health::Dead));
    /// ```
    pub fn merge(self, other: Record) -> Record {
        self.max(other)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn record() -> impl Strategy<Value = Record> {
        let health = prop_oneof![
            Just(Health::Unknown),
            Just(Health::Alive),
            Just(Health::Suspect),
            Just(Health::Dead),
            Just(Health::Left)
        ];
        // Few values, so that equal ones are met.
        (0..4u64, 0..3u64, health, 0..3u64).prop_map(|(boot, round, health, life)| Record {
            incarnation: Incarnation { boot, refutations: round },
            health,
            instance: InstanceId(life),
        })
    }

    proptest! {
        /// Words may come in any order, in any grouping and any number of times; and none makes what counts older.
        #[test]
        fn merging_is_a_lattice(a in record(), b in record(), c in record()) {
            prop_assert_eq!(a.merge(b), b.merge(a));
            prop_assert_eq!(a.merge(b).merge(c), a.merge(b.merge(c)));
            prop_assert_eq!(a.merge(a), a);
            prop_assert!(a.merge(b).incarnation >= a.incarnation.max(b.incarnation));
        }
    }
}
