//! Who writes, and in which order.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One process under a member's name: drawn at each start, so that two lives never share a ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The member.
    pub member: u64,
    /// Its life.
    pub instance: u64,
}

/// A right to write, once a majority has promised it. Its number is the duty's **token** for as long as its owner holds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Higher than any number that a majority had promised before.
    pub number: u64,
    /// Whose.
    pub proposer: ProcessId,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number)
    }
}

/// Whose answers count: a majority of the voters, and while a roster changes by a joint step a majority of those of before too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterSet {
    /// Voters.
    pub current: BTreeSet<u64>,
    /// Voters of before.
    pub previous: Option<BTreeSet<u64>>,
}

impl VoterSet {
    /// Of these voters.
    pub fn new(current: impl IntoIterator<Item = u64>) -> Self {
        VoterSet { current: current.into_iter().collect(), previous: None }
    }

    /// Everybody whose answer counts.
    pub fn voters(&self) -> BTreeSet<u64> {
        self.current.iter().chain(self.previous.iter().flatten()).copied().collect()
    }

    /// Whether a member's answer counts.
    pub fn contains(&self, member: u64) -> bool {
        self.current.contains(&member) || self.previous.as_ref().is_some_and(|b| b.contains(&member))
    }

    /// Whether these are a majority.
    pub fn is_majority(&self, includes: impl Fn(u64) -> bool) -> bool {
        let most =
            |voters: &BTreeSet<u64>| voters.iter().filter(|id| includes(**id)).count() > voters.len() / 2;
        most(&self.current) && self.previous.as_ref().is_none_or(most)
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
    pub holder_duration: Micros,
    /// For a voter, since it answered: never shorter, whatever the two clocks do within the drift.
    pub voter_duration: Micros,
}

impl Lease {
    /// Of this span, with clock rates right within `drift` (a part of 1).
    pub fn new(holder_duration: Micros, drift: f64) -> Self {
        let voter_duration = (holder_duration as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Micros + 1;
        Lease { holder_duration, voter_duration }
    }

    /// A voter that may have forgotten what it promised is silent for so long: a ballot's two phases, each of which counts
    /// answers for `hold` since it asked, are over by then.
    pub fn silent_period(&self) -> Micros {
        2 * self.voter_duration
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_joint_electorate_wants_a_majority_of_both() {
        let joint = VoterSet { current: [1, 2, 3].into(), previous: Some([3, 4, 5].into()) };
        assert!(!joint.is_majority(|id| id <= 2));
        assert!(joint.is_majority(|id| [1, 3, 4].contains(&id)));
        assert_eq!(joint.voters().len(), 5);
        assert!(!VoterSet::new([1, 2, 3, 4]).is_majority(|id| id <= 2), "half is no majority");
    }

    #[test]
    fn a_voter_counts_longer_than_a_holder_whatever_their_clocks_do() {
        for drift in [0.0, 0.01, 0.1] {
            let lease = Lease::new(1_000_000, drift);
            // A slow holder and a fast voter, in the world's time.
            assert!(
                lease.holder_duration as f64 / (1.0 - drift) <= lease.voter_duration as f64 / (1.0 + drift)
            );
        }
    }
}
