//! Who writes, and in which order.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One process under a member's name: drawn at each start, so that two lives never share a ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The member.
    pub member: u64,
    /// Its life.
    pub life: u64,
}

/// A right to write, once a majority has promised it. Its number is the duty's **token** for as long as its owner holds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than any number that a majority had promised before.
    pub number: u64,
    /// Whose.
    pub by: Life,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number)
    }
}

/// Whose answers count: a majority of the voters, and while a roster changes by a joint step a majority of those of before too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Electorate {
    /// Voters.
    pub now: BTreeSet<u64>,
    /// Voters of before.
    pub before: Option<BTreeSet<u64>>,
}

impl Electorate {
    /// Of these voters.
    pub fn of(now: impl IntoIterator<Item = u64>) -> Self {
        Electorate { now: now.into_iter().collect(), before: None }
    }

    /// Everybody whose answer counts.
    pub fn voters(&self) -> BTreeSet<u64> {
        self.now.iter().chain(self.before.iter().flatten()).copied().collect()
    }

    /// Whether a member's answer counts.
    pub fn has(&self, member: u64) -> bool {
        self.now.contains(&member) || self.before.as_ref().is_some_and(|b| b.contains(&member))
    }

    /// Whether these are a majority.
    pub fn is_majority(&self, of: impl Fn(u64) -> bool) -> bool {
        let most = |voters: &BTreeSet<u64>| voters.iter().filter(|id| of(**id)).count() > voters.len() / 2;
        most(&self.now) && self.before.as_ref().is_none_or(most)
    }

    /// The same of those that answered.
    pub fn has_majority<T>(&self, answered: &BTreeMap<u64, T>) -> bool {
        self.is_majority(|id| answered.contains_key(&id))
    }
}

/// Microseconds, on the clock of the process that counts them. It counts stops, and never steps.
pub type Micros = u64;

/// How long a term lasts without a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// For its holder, since it asked (microseconds); answers count for as long.
    pub hold: Micros,
    /// For a voter, since it answered: never shorter, whatever the two clocks do within the drift.
    pub wide: Micros,
}

impl Lease {
    /// Of this span, with clock rates right within `drift` (a part of 1).
    pub fn new(hold: Micros, drift: f64) -> Self {
        let wide = (hold as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Micros + 1;
        Lease { hold, wide }
    }

    /// A voter that may have forgotten what it promised is silent for so long: a ballot's two phases, each of which counts
    /// answers for `hold` since it asked, are over by then.
    pub fn silence(&self) -> Micros {
        2 * self.wide
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_joint_electorate_wants_a_majority_of_both() {
        let joint = Electorate { now: [1, 2, 3].into(), before: Some([3, 4, 5].into()) };
        assert!(!joint.is_majority(|id| id <= 2));
        assert!(joint.is_majority(|id| [1, 3, 4].contains(&id)));
        assert_eq!(joint.voters().len(), 5);
        assert!(!Electorate::of([1, 2, 3, 4]).is_majority(|id| id <= 2), "half is no majority");
    }

    #[test]
    fn a_voter_counts_longer_than_a_holder_whatever_their_clocks_do() {
        for drift in [0.0, 0.01, 0.1] {
            let lease = Lease::new(1_000_000, drift);
            // A slow holder and a fast voter, in the world's time.
            assert!(lease.hold as f64 / (1.0 - drift) <= lease.wide as f64 / (1.0 + drift));
        }
    }
}
