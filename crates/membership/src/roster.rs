//! The roster: the members that a fleet should have. It comes from configuration and changes only in defined
//! steps.

use crate::id::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum number of members of a roster.
pub const MAX_MEMBERS: usize = 4096;
/// Number of voters if the configuration names none; in a smaller fleet all members vote.
pub const DEFAULT_VOTERS: usize = 7;

/// Reason why a roster is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// The roster has no members or too many.
    #[error("roster has {0} members; 1 to {MAX_MEMBERS} are allowed")]
    Size(usize),
    /// A name occurs twice, or two names have the same hash.
    #[error("member {0:?} occurs twice in the roster")]
    Duplicate(String),
    /// The roster does not contain this process.
    #[error("{0:?} is not a member of the roster")]
    NotAMember(String),
    /// The version is not the successor of the one in force.
    #[error("roster version {next} does not follow version {current}")]
    Version {
        /// Version in force.
        current: u64,
        /// Version of the new roster.
        next: u64,
    },
    /// A majority of the old voters and a majority of the new voters could be disjoint.
    #[error(
        "{removed} voters removed and {added} added in one step: majorities of both sets could be disjoint; \
         use a joint roster first"
    )]
    DisjointMajorities {
        /// Number of removed voters.
        removed: usize,
        /// Number of added voters.
        added: usize,
    },
}

/// Configuration of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// Name of the member.
    pub name: String,
    /// Zone of the member.
    pub zone: String,
    /// Whether the member votes, if configured.
    pub votes: Option<bool>,
}

/// Identifies a roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RosterRef {
    /// Version of the roster.
    pub version: u64,
    /// Hash of version, names, zones and votes. Addresses are not included, since each forwarder has its own.
    pub hash: u64,
}

/// The members that a fleet should have, and its voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    reference: RosterRef,
    members: BTreeMap<MemberId, MemberConfig>,
    voters: BTreeSet<MemberId>,
    /// In a joint roster, the voters of the previous one, of which a majority is required as well.
    old_voters: Option<BTreeSet<MemberId>>,
}

impl Roster {
    /// Creates a roster.
    ///
    /// # Errors
    ///
    /// Returns an error if the number of members is out of range or a name occurs twice.
    pub fn new(version: u64, list: Vec<MemberConfig>) -> Result<Self, RosterError> {
        if !(1..=MAX_MEMBERS).contains(&list.len()) {
            return Err(RosterError::Size(list.len()));
        }
        let mut members = BTreeMap::new();
        for member in list {
            let id = MemberId::from_name(&member.name);
            if let Some(old) = members.insert(id, member) {
                return Err(RosterError::Duplicate(old.name));
            }
        }
        let voters = voters(&members);
        let mut roster = Roster { reference: RosterRef::default(), members, voters, old_voters: None };
        roster.set_version(version);
        Ok(roster)
    }

    /// Sets the version and computes the hash.
    fn set_version(&mut self, version: u64) {
        let mut text = format!("{version}");
        for (id, member) in &self.members {
            let votes = [self.voters.contains(id), self.old_voters.as_ref().is_some_and(|b| b.contains(id))];
            text.push_str(&format!("\n{:?} {:?} {votes:?}", member.name, member.zone));
        }
        self.reference = RosterRef { version, hash: xxh3_64(text.as_bytes()) };
    }

    /// Returns the reference that identifies this roster.
    pub fn reference(&self) -> RosterRef {
        self.reference
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the roster is empty, which [`Roster::new`] does not allow.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns whether the roster contains a member.
    pub fn contains(&self, id: MemberId) -> bool {
        self.members.contains_key(&id)
    }

    /// Returns all members with their configuration.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &MemberConfig)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// Returns the name of a member.
    pub fn name_of(&self, id: MemberId) -> Option<&str> {
        self.members.get(&id).map(|member| member.name.as_str())
    }

    /// Returns all voters; in a joint roster, those of both voter sets.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        let old_voters = self.old_voters.iter().flatten().filter(|id| !self.voters.contains(id));
        self.voters.iter().chain(old_voters).copied()
    }

    /// Returns the voters and, in a joint roster, the voters of the previous one.
    pub fn electorate(&self) -> (Vec<MemberId>, Option<Vec<MemberId>>) {
        let list = |voters: &BTreeSet<MemberId>| voters.iter().copied().collect();
        (list(&self.voters), self.old_voters.as_ref().map(list))
    }

    /// Returns whether the members that satisfy `contains` include a majority of the voters; in a joint
    /// roster, of the old and of the new voters.
    pub fn is_majority(&self, contains: impl Fn(MemberId) -> bool) -> bool {
        let has_majority = |voters: &BTreeSet<MemberId>| {
            voters.iter().filter(|id| contains(**id)).count() >= majority(voters.len())
        };
        has_majority(&self.voters) && self.old_voters.as_ref().is_none_or(has_majority)
    }

    /// Checks that this roster may replace the `current` one: it has the next version, and each majority of
    /// the one intersects each majority of the other.
    ///
    /// # Errors
    ///
    /// Returns the condition that is not met.
    pub fn follows(&self, current: &Roster) -> Result<(), RosterError> {
        let (old, new) = (current.reference.version, self.reference.version);
        if new != old + 1 {
            return Err(RosterError::Version { current: old, next: new });
        }
        // A joint roster requires a majority of both its voter sets, so it is enough if one of them
        // intersects.
        let voter_sets = |r: &Roster| -> Vec<BTreeSet<MemberId>> {
            std::iter::once(r.voters.clone()).chain(r.old_voters.clone()).collect()
        };
        let intersects = |a: &BTreeSet<MemberId>, b: &BTreeSet<MemberId>| {
            majority(a.len()) + majority(b.len()) > a.union(b).count()
        };
        let (old_sets, new_sets) = (voter_sets(current), voter_sets(self));
        if old_sets.iter().any(|a| new_sets.iter().any(|b| intersects(a, b))) {
            return Ok(());
        }
        let removed = current.voters.difference(&self.voters).count();
        let added = self.voters.difference(&current.voters).count();
        Err(RosterError::DisjointMajorities { removed, added })
    }

    /// Returns the joint roster between this one and the next: it has the members of both and requires a
    /// majority of the voters of each.
    pub fn joint(&self, next: &Roster) -> Roster {
        let mut members = self.members.clone();
        members.extend(next.members.iter().map(|(id, member)| (*id, member.clone())));
        let old_voters = Some(self.voters.clone());
        let mut joint =
            Roster { reference: RosterRef::default(), members, voters: next.voters.clone(), old_voters };
        joint.set_version(self.reference.version + 1);
        joint
    }
}

fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Selects the voters: those that the configuration names; otherwise all members of a small fleet; otherwise
/// the [`DEFAULT_VOTERS`] members with the highest hashes, taken from the zones in turn, so that with three
/// or more zones none has a majority alone.
fn voters(members: &BTreeMap<MemberId, MemberConfig>) -> BTreeSet<MemberId> {
    let named: BTreeSet<MemberId> =
        members.iter().filter(|(_, s)| s.votes == Some(true)).map(|(id, _)| *id).collect();
    if !named.is_empty() {
        return named;
    }
    if members.len() <= DEFAULT_VOTERS {
        return members.keys().copied().collect();
    }
    let mut zones: BTreeMap<&str, Vec<MemberId>> = BTreeMap::new();
    for (id, member) in members.iter().filter(|(_, s)| s.votes != Some(false)) {
        zones.entry(&member.zone).or_default().push(*id);
    }
    for ids in zones.values_mut() {
        ids.sort_by_key(|id| xxh3_64_with_seed(&id.0.to_le_bytes(), 1));
    }
    let mut chosen = BTreeSet::new();
    while chosen.len() < DEFAULT_VOTERS && zones.values().any(|ids| !ids.is_empty()) {
        for ids in zones.values_mut() {
            if chosen.len() < DEFAULT_VOTERS {
                chosen.extend(ids.pop());
            }
        }
    }
    chosen
}

#[cfg(test)]
mod tests;
