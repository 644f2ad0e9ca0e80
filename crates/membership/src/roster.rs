//! The roster: who should exist. It comes from configuration and changes by stated steps alone.

use crate::id::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Members of a roster at most.
pub const MAX_MEMBERS: usize = 4096;
/// Without a word in the configuration so many members vote, or all where there are no more.
pub const DEFAULT_VOTERS: usize = 7;

/// Why a roster is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    /// Nobody, or too many.
    #[error("{0} members: 1 to {MAX_MEMBERS} can be")]
    Size(usize),
    /// A name stands there twice, or two names share a hash.
    #[error("member {0:?} is there twice")]
    Duplicate(String),
    /// This process is not in it.
    #[error("{0:?} is not a member")]
    NotAMember(String),
    /// It does not follow the one in force.
    #[error("version {next} does not follow version {current}")]
    Version {
        /// In force.
        current: u64,
        /// Handed in.
        next: u64,
    },
    /// A majority of the old voters and one of the new could have nobody in common.
    #[error(
        "{removed} voters leave and {added} come in one step: a majority of each could miss the other; go by a joint roster"
    )]
    DisjointMajorities {
        /// Voters that leave.
        removed: usize,
        /// Voters that come.
        added: usize,
    },
}

/// A member as configuration tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it votes, where that is said of any.
    pub votes: Option<bool>,
}

/// Which roster somebody goes by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RosterRef {
    /// Its version.
    pub version: u64,
    /// The hash of version, names, zones and votes; addresses are each forwarder's own matter.
    pub hash: u64,
}

/// Who should exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    reference: RosterRef,
    seats: BTreeMap<MemberId, MemberConfig>,
    voters: BTreeSet<MemberId>,
    /// While it changes by a joint step: the voters of before, a majority of whom must agree as well.
    before: Option<BTreeSet<MemberId>>,
}

impl Roster {
    /// A roster of a version.
    ///
    /// # Errors
    ///
    /// Its size, or a name that stands there twice.
    pub fn new(version: u64, list: Vec<MemberConfig>) -> Result<Self, RosterError> {
        if !(1..=MAX_MEMBERS).contains(&list.len()) {
            return Err(RosterError::Size(list.len()));
        }
        let mut seats = BTreeMap::new();
        for seat in list {
            let id = MemberId::from_name(&seat.name);
            if let Some(old) = seats.insert(id, seat) {
                return Err(RosterError::Duplicate(old.name));
            }
        }
        let voters = voters(&seats);
        let mut roster = Roster { reference: RosterRef::default(), seats, voters, before: None };
        roster.seal(version);
        Ok(roster)
    }

    fn seal(&mut self, version: u64) {
        let mut text = format!("{version}");
        for (id, seat) in &self.seats {
            let votes = [self.voters.contains(id), self.before.as_ref().is_some_and(|b| b.contains(id))];
            text.push_str(&format!("\n{:?} {:?} {votes:?}", seat.name, seat.zone));
        }
        self.reference = RosterRef { version, hash: xxh3_64(text.as_bytes()) };
    }

    /// Which it is.
    pub fn reference(&self) -> RosterRef {
        self.reference
    }

    /// How many should exist.
    pub fn len(&self) -> usize {
        self.seats.len()
    }

    /// Whether nobody should; no roster that [`Roster::new`] lets through.
    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    /// Whether a member should exist.
    pub fn contains(&self, id: MemberId) -> bool {
        self.seats.contains_key(&id)
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &MemberConfig)> {
        self.seats.iter().map(|(id, seat)| (*id, seat))
    }

    /// The name of a member.
    pub fn name_of(&self, id: MemberId) -> Option<&str> {
        self.seats.get(&id).map(|seat| seat.name.as_str())
    }

    /// Whose support counts.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        let before = self.before.iter().flatten().filter(|id| !self.voters.contains(id));
        self.voters.iter().chain(before).copied()
    }

    /// The voters, and while it changes by a joint step those of before.
    pub fn electorate(&self) -> (Vec<MemberId>, Option<Vec<MemberId>>) {
        let list = |of: &BTreeSet<MemberId>| of.iter().copied().collect();
        (list(&self.voters), self.before.as_ref().map(list))
    }

    /// Whether these are a majority of the voters; in a joint step, of the old and of the new.
    pub fn is_majority(&self, of: impl Fn(MemberId) -> bool) -> bool {
        let most = |voters: &BTreeSet<MemberId>| {
            voters.iter().filter(|id| of(**id)).count() >= majority(voters.len())
        };
        most(&self.voters) && self.before.as_ref().is_none_or(most)
    }

    /// Whether it may be in force after another one: the next version, and no majority of the one could miss a
    /// majority of the other.
    ///
    /// # Errors
    ///
    /// What is against it.
    pub fn follows(&self, now: &Roster) -> Result<(), RosterError> {
        let (old, new) = (now.reference.version, self.reference.version);
        if new != old + 1 {
            return Err(RosterError::Version { current: old, next: new });
        }
        // A joint roster asks for a majority of both; so whoever is one of its two halves meets it.
        let halves = |r: &Roster| -> Vec<BTreeSet<MemberId>> {
            std::iter::once(r.voters.clone()).chain(r.before.clone()).collect()
        };
        let meets = |a: &BTreeSet<MemberId>, b: &BTreeSet<MemberId>| {
            majority(a.len()) + majority(b.len()) > a.union(b).count()
        };
        let (olds, news) = (halves(now), halves(self));
        if olds.iter().any(|a| news.iter().any(|b| meets(a, b))) {
            return Ok(());
        }
        let removed = now.voters.difference(&self.voters).count();
        let added = self.voters.difference(&now.voters).count();
        Err(RosterError::DisjointMajorities { removed, added })
    }

    /// The joint roster between this one and another: everybody of both, and a majority of the voters of each.
    pub fn joint(&self, next: &Roster) -> Roster {
        let mut seats = self.seats.clone();
        seats.extend(next.seats.iter().map(|(id, seat)| (*id, seat.clone())));
        let before = Some(self.voters.clone());
        let mut joint =
            Roster { reference: RosterRef::default(), seats, voters: next.voters.clone(), before };
        joint.seal(self.reference.version + 1);
        joint
    }
}

fn majority(of: usize) -> usize {
    of / 2 + 1
}

/// Those that configuration names; else all of a small fleet; else the seven with the highest hashes, zone by zone in
/// turn, so that no zone alone holds a majority where there are three or more.
fn voters(seats: &BTreeMap<MemberId, MemberConfig>) -> BTreeSet<MemberId> {
    let named: BTreeSet<MemberId> =
        seats.iter().filter(|(_, s)| s.votes == Some(true)).map(|(id, _)| *id).collect();
    if !named.is_empty() {
        return named;
    }
    if seats.len() <= DEFAULT_VOTERS {
        return seats.keys().copied().collect();
    }
    let mut zones: BTreeMap<&str, Vec<MemberId>> = BTreeMap::new();
    for (id, seat) in seats.iter().filter(|(_, s)| s.votes != Some(false)) {
        zones.entry(&seat.zone).or_default().push(*id);
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
mod tests {
    use super::*;

    fn roster(version: u64, names: &[&str]) -> Roster {
        let seat = |n: &&str| MemberConfig { name: (*n).to_owned(), zone: "a".to_owned(), votes: None };
        Roster::new(version, names.iter().map(seat).collect()).expect("sound")
    }

    #[test]
    fn a_step_that_could_part_two_majorities_is_refused() {
        let three = roster(1, &["a", "b", "c"]);
        assert_eq!(roster(2, &["a", "b", "c", "d"]).follows(&three), Ok(()));
        assert_eq!(roster(2, &["a", "b"]).follows(&three), Ok(()));
        // Two of three and two of three others of whom one stays: {a, b} and {c', d} miss each other.
        assert!(matches!(
            roster(2, &["a", "d", "e"]).follows(&three),
            Err(RosterError::DisjointMajorities { .. })
        ));
        assert!(matches!(roster(3, &["a", "b"]).follows(&three), Err(RosterError::Version { .. })));
        let far = roster(3, &["d", "e", "f"]);
        let joint = three.joint(&far);
        assert_eq!(joint.follows(&three), Ok(()));
        assert_eq!(far.follows(&joint), Ok(()));
        let of = |names: &'static [&str]| move |id| names.iter().any(|n| MemberId::from_name(n) == id);
        assert!(!joint.is_majority(of(&["a", "b"])), "one half alone decides nothing");
        assert!(joint.is_majority(of(&["a", "b", "d", "f"])));
    }

    #[test]
    fn voters_of_a_large_fleet_are_seven_and_spread_over_zones() {
        let seat =
            |n: usize| MemberConfig { name: format!("n{n}"), zone: format!("z{}", n % 3), votes: None };
        let roster = Roster::new(1, (0..300).map(seat).collect()).expect("sound");
        let voters: Vec<MemberId> = roster.voters().collect();
        assert_eq!(voters.len(), DEFAULT_VOTERS);
        for zone in ["z0", "z1", "z2"] {
            let own = voters.iter().filter(|id| roster.seats[id].zone == zone).count();
            assert!(own < majority(DEFAULT_VOTERS), "{own} of zone {zone}");
        }
    }

    #[test]
    fn a_name_twice_is_refused() {
        let seat = MemberConfig { name: "a".into(), zone: "a".into(), votes: None };
        assert_eq!(Roster::new(1, vec![seat.clone(), seat]), Err(RosterError::Duplicate("a".into())));
        assert_eq!(Roster::new(1, Vec::new()), Err(RosterError::Size(0)));
    }
}
