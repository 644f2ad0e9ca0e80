//! Ballots, voter sets and lease durations.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Identifies one process under a member's name. The instance is drawn at each start, so that two processes
/// of the same member never share a ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// Member that the process runs as.
    pub member: u64,
    /// Random number of this process.
    pub instance: u64,
}

/// A ballot: the right to write once a majority has promised it. Its number is the duty's **fencing token**
/// for as long as its proposer holds the duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the ballot, higher than any that a majority promised before.
    pub number: u64,
    /// Process that proposed the ballot.
    pub proposer: ProcessId,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number)
    }
}

/// The members whose responses count. A decision needs a majority of the current voters and, while the roster
/// changes by a joint step, a majority of the previous voters too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterSet {
    /// Voters of the roster in force.
    pub current: BTreeSet<u64>,
    /// Voters of the previous roster during a joint step.
    pub previous: Option<BTreeSet<u64>>,
}

impl VoterSet {
    /// Creates a set of current voters with no joint step in progress.
    pub fn new(current: impl IntoIterator<Item = u64>) -> Self {
        VoterSet { current: current.into_iter().collect(), previous: None }
    }

    /// Returns all current and previous voters.
    pub fn voters(&self) -> BTreeSet<u64> {
        self.current.iter().chain(self.previous.iter().flatten()).copied().collect()
    }

    /// Returns whether a member is a current or previous voter.
    pub fn contains(&self, member: u64) -> bool {
        self.current.contains(&member) || self.previous.as_ref().is_some_and(|b| b.contains(&member))
    }

    /// Returns whether the voters for which `includes` is true form a majority.
    pub fn is_majority(&self, includes: impl Fn(u64) -> bool) -> bool {
        let majority_of =
            |voters: &BTreeSet<u64>| voters.iter().filter(|id| includes(**id)).count() > voters.len() / 2;
        majority_of(&self.current) && self.previous.as_ref().is_none_or(majority_of)
    }

    /// Returns whether the members that are keys of `responses` form a majority.
    pub fn has_majority<T>(&self, responses: &BTreeMap<u64, T>) -> bool {
        self.is_majority(|id| responses.contains_key(&id))
    }
}

/// Microseconds on the local process's clock, which also counts while the process or the machine is suspended
/// and never steps.
pub type Micros = u64;

/// How long a term lasts without a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// Lease duration at the holder, counted from when it sent the write. Responses to requests count for as
    /// long.
    pub holder_duration: Micros,
    /// Lease duration at a voter, counted from when it accepted the write: never shorter in real time than
    /// the holder's duration, at any clock rates within the drift.
    pub voter_duration: Micros,
}

impl Lease {
    /// Creates a lease for clock rates that are right within `drift`, a fraction of 1.
    pub fn new(holder_duration: Micros, drift: f64) -> Self {
        let voter_duration = (holder_duration as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Micros + 1;
        Lease { holder_duration, voter_duration }
    }

    /// Returns how long a voter that may have forgotten its promises stays silent. By then both phases of a
    /// ballot are over, since each counts responses for `holder_duration` from when it asked.
    pub fn silent_period(&self) -> Micros {
        2 * self.voter_duration
    }
}

#[cfg(test)]
mod tests;
