//! A voter: what it keeps of all duties, and when its word counts.
//!
//! A voter that has lost what it promised would let two holders act. So one that starts says nothing before it knows how its
//! folder stands:
//!
//! | its folder | it votes once |
//! | --- | --- |
//! | holds its registers | all other voters, or after a lease as many as make a majority with it, have said that they know of no later life of it, and have heard nothing that it wrote later |
//! | holds older registers than others remember (a copy of an earlier day, or of an hour ago) | as with none; and what it holds is taken out first, so that a further start does not believe it |
//! | holds none (emptied, or damaged and kept aside) | it has been silent for [`Lease::silence`], and has then learnt from a majority of voters that does not count itself |
//! | holds none, and all other voters say the same, or that they began so in this life | it has been silent as long: nothing was ever decided |
//!
//! The silence comes before the learning: a ballot that its earlier life promised has by then ended, or stands at another voter
//! of each majority.

use crate::ballot::{Lease, Micros, ProcessId, VoterSet};
use crate::register::{LeasedRegister, Register};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How a voter stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Trust {
    /// Its folder was kept; whether it is the last one is asked.
    Checking(BTreeSet<u64>),
    /// It may have forgotten something: silent until then.
    Silent(Micros),
    /// It learns: who has told all, and who has nothing either.
    Learning {
        /// Which parts of whose answer have come: any may be lost, or come after the last.
        parts: BTreeMap<u64, BTreeSet<u8>>,
        told: BTreeSet<u64>,
        fresh: BTreeSet<u64>,
    },
    /// Its word counts.
    Votes,
}

/// What a voter has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredVoter {
    /// How often it wrote, over all its lives: others remember the highest that they have heard of, so that a copy of an
    /// earlier hour is found out, also one that was started from several times before it met anybody.
    pub write_count: u64,
    /// What it keeps of each duty.
    pub registers: BTreeMap<u64, Register>,
}

/// What a voter says of itself to one that starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterFlags {
    /// Its word counts.
    pub voting: bool,
    /// It has nothing from before, or began with nothing in this life, as did all.
    pub fresh: bool,
}

/// How a voter stands, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoteStatus {
    /// Its word counts.
    #[serde(rename = "votes")]
    Voting,
    /// It asks whether its folder is the last one.
    #[serde(rename = "checks")]
    Checking,
    /// It may have forgotten what it promised, and waits that out.
    Silent,
    /// It learns from the others.
    #[serde(rename = "learns")]
    Recovering,
    /// Its word is not asked for.
    #[serde(rename = "none")]
    NonVoter,
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    me: ProcessId,
    boot: u64,
    writes: u64,
    /// Something that it holds is not on disk yet: nothing of it is told before it is.
    unpersisted: bool,
    /// Until then it waits for all others, any of whom may know better.
    patience: Micros,
    trust: Trust,
    /// It began with nothing, in this life.
    fresh: bool,
    kept: BTreeMap<u64, LeasedRegister>,
    /// Asked again then.
    next: Micros,
    /// Numbers its questions: an answer to an earlier one says nothing of now.
    nonce: u64,
}

impl Voter {
    /// A voter that starts, with what its folder holds; none where it holds nothing that can be believed.
    pub fn new(now: Micros, me: ProcessId, boot: u64, lease: Lease, found: Option<StoredVoter>) -> Self {
        let fresh = found.is_none();
        let StoredVoter { write_count: writes, registers: found } = found.unwrap_or_default();
        let trust = if fresh {
            Trust::Silent(now.saturating_add(lease.silent_period()))
        } else {
            Trust::Checking(BTreeSet::new())
        };
        let kept =
            found.into_iter().map(|(duty, r)| (duty, LeasedRegister::restored(r, now, lease))).collect();
        Voter {
            me,
            boot,
            writes,
            unpersisted: false,
            patience: now.saturating_add(lease.holder_duration),
            trust,
            fresh,
            kept,
            next: now,
            nonce: 0,
        }
    }

    /// It comes to vote after it has been there: whether it voted at an earlier time is not known.
    #[must_use]
    pub fn joined_later(mut self) -> Self {
        self.fresh = false;
        self
    }

    /// Whether its word counts.
    pub fn is_voting(&self) -> bool {
        self.trust == Trust::Votes
    }

    /// How it stands, for operators.
    pub fn status(&self) -> VoteStatus {
        match self.trust {
            Trust::Votes => VoteStatus::Voting,
            Trust::Checking(_) => VoteStatus::Checking,
            Trust::Silent(_) => VoteStatus::Silent,
            Trust::Learning { .. } => VoteStatus::Recovering,
        }
    }

    /// What it says of itself.
    pub fn flags(&self) -> VoterFlags {
        VoterFlags { voting: self.is_voting(), fresh: self.fresh }
    }

    /// What it keeps of a duty, where its word counts.
    pub fn register_mut(&mut self, duty: u64) -> Option<&mut LeasedRegister> {
        if self.is_voting() { Some(self.kept.entry(duty).or_default()) } else { None }
    }

    /// The same, to be shown.
    pub fn register(&self, duty: u64) -> Option<&LeasedRegister> {
        self.kept.get(&duty)
    }

    /// All registers.
    pub fn registers(&self) -> BTreeMap<u64, Register> {
        self.kept.iter().map(|(duty, kept)| (*duty, kept.register.clone())).collect()
    }

    /// All of it, as it is to stand on disk from now on.
    pub fn begin_write(&mut self) -> StoredVoter {
        self.writes = self.writes.saturating_add(1);
        self.unpersisted = true;
        StoredVoter { write_count: self.writes, registers: self.registers() }
    }

    /// What was last to stand on disk does.
    pub fn persisted(&mut self) {
        self.unpersisted = false;
    }

    /// Whether something is not on disk yet.
    pub fn has_unpersisted_write(&self) -> bool {
        self.unpersisted
    }

    /// How often it wrote.
    pub fn write_count(&self) -> u64 {
        self.writes
    }

    /// The number of its last question.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// When [`Voter::tick`] is to be called.
    pub fn next_wake(&self) -> Micros {
        match self.trust {
            Trust::Votes => Micros::MAX,
            Trust::Silent(until) => until,
            Trust::Checking(_) | Trust::Learning { .. } => self.next,
        }
    }

    /// Time has passed: the number of a question to all other voters, if one is to be asked; and whether it votes from now on.
    pub fn tick(&mut self, now: Micros, lease: Lease, voters: &VoterSet) -> (Option<u64>, bool) {
        if let Trust::Silent(until) = self.trust
            && now >= until
        {
            self.trust =
                Trust::Learning { parts: BTreeMap::new(), told: BTreeSet::new(), fresh: BTreeSet::new() };
            self.next = now;
            self.nonce += 1;
        }
        let asks = matches!(self.trust, Trust::Checking(_) | Trust::Learning { .. }) && now >= self.next;
        if asks {
            self.next = now.saturating_add(lease.holder_duration / 3);
            if matches!(self.trust, Trust::Checking(_)) && self.nonce == 0 {
                self.nonce = 1;
            }
        }
        let began = self.settle(now, lease, voters);
        (asks.then_some(self.nonce).filter(|_| !began), began)
    }

    /// Others know of a later life of this member than its folder: what it promised then it does not know. What its folder holds is to
    /// be taken out before anything else is done.
    pub fn suspend(&mut self, now: Micros, lease: Lease) {
        if !matches!(self.trust, Trust::Silent(_) | Trust::Learning { .. }) {
            self.trust = Trust::Silent(now.saturating_add(lease.silent_period()));
            self.fresh = false;
            self.kept.clear();
        }
    }

    /// Another voter answers: how it stands, what it remembers of this member's name (boot and life) and of what it wrote, and,
    /// where its word counts, a part of its registers: which of how many. True if this one votes from now on.
    #[allow(clippy::too_many_arguments)]
    pub fn handle_recovery_response(
        &mut self,
        now: Micros,
        lease: Lease,
        voters: &VoterSet,
        by: u64,
        nonce: u64,
        of: VoterFlags,
        remembers: (Option<(u64, u64)>, u64),
        register: Option<(u64, &Register)>,
        part: (u8, u8),
    ) -> bool {
        if nonce != self.nonce || !voters.contains(by) || by == self.me.member {
            return false;
        }
        let (name, wrote) = remembers;
        let later = wrote > self.writes
            || name.is_some_and(|(boot, life)| {
                boot > self.boot || (boot == self.boot && life != self.me.instance)
            });
        match &mut self.trust {
            Trust::Checking(_) if later => self.suspend(now, lease),
            Trust::Checking(by_whom) => drop(by_whom.insert(by)),
            Trust::Learning { parts, told, fresh } => {
                self.writes = self.writes.max(wrote);
                if let Some((duty, register)) = register.filter(|_| of.voting) {
                    self.kept.entry(duty).or_default().merge(register);
                }
                let (n, of_all) = part;
                if of.voting && n < of_all {
                    let come = parts.entry(by).or_default();
                    come.insert(n);
                    if come.len() >= usize::from(of_all) {
                        told.insert(by);
                    }
                }
                if of.fresh {
                    fresh.insert(by);
                }
            }
            Trust::Silent(_) | Trust::Votes => {}
        }
        self.settle(now, lease, voters)
    }

    /// Whether it has come to vote by now.
    fn settle(&mut self, now: Micros, lease: Lease, voters: &VoterSet) -> bool {
        let me = self.me.member;
        let votes = match &self.trust {
            Trust::Votes | Trust::Silent(_) => false,
            Trust::Checking(by) => {
                let all = voters.voters().iter().all(|id| *id == me || by.contains(id));
                all || (now >= self.patience && voters.is_majority(|id| id == me || by.contains(&id)))
            }
            Trust::Learning { told, fresh, .. } => {
                // All others began with nothing, as did this one.
                let founded = self.fresh && voters.voters().iter().all(|id| *id == me || fresh.contains(id));
                founded || voters.is_majority(|id| id != me && told.contains(&id))
            }
        };
        if votes {
            self.trust = Trust::Votes;
            // Whoever holds a duty may have renewed its lease just now.
            for kept in self.kept.values_mut() {
                *kept = LeasedRegister::restored(std::mem::take(&mut kept.register), now, lease);
            }
        }
        votes
    }

    /// The same on a clock that is set back; for searches.
    #[must_use]
    pub fn rebased(&self, to: Micros, by: Micros, lease: Lease) -> Self {
        let back = |at: Micros| at.saturating_sub(by).max(to.saturating_sub(2 * lease.voter_duration));
        let mut next = self.clone();
        if let Trust::Silent(until) = &mut next.trust {
            *until = back(*until);
        }
        next.next = to;
        next.patience = back(next.patience);
        if next.trust == Trust::Votes {
            (next.patience, next.unpersisted, next.writes) = (to, false, 0);
        }
        for kept in next.kept.values_mut() {
            kept.lease = kept.lease.map(|(life, until)| (life, back(until))).filter(|(_, until)| *until > to);
        }
        next
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ballot::Ballot;

    const LEASE: Lease = Lease { holder_duration: 10, voter_duration: 12 };
    const ME: ProcessId = ProcessId { member: 1, instance: 70 };
    const VOTES: VoterFlags = VoterFlags { voting: true, fresh: false };

    fn voters() -> VoterSet {
        VoterSet::new([1, 2, 3])
    }

    fn found(number: u64) -> StoredVoter {
        let promised = Ballot { number, proposer: ProcessId { member: 2, instance: 9 } };
        StoredVoter {
            write_count: 10,
            registers: BTreeMap::from([(5, Register { promised, accepted: None })]),
        }
    }

    #[test]
    fn one_whose_folder_was_kept_votes_once_a_majority_knows_no_better() {
        let mut voter = Voter::new(100, ME, 4, LEASE, Some(found(3)));
        let (nonce, began) = voter.tick(100, LEASE, &voters());
        assert!(!began && voter.register_mut(5).is_none());
        let nonce = nonce.expect("asks");
        assert!(
            !voter.handle_recovery_response(
                101,
                LEASE,
                &voters(),
                2,
                nonce + 1,
                VOTES,
                (None, 0),
                None,
                (0, 1)
            ),
            "another question"
        );
        let this = (Some((4, 70)), 10);
        assert!(
            !voter.handle_recovery_response(101, LEASE, &voters(), 2, nonce, VOTES, this, None, (0, 1)),
            "the third may know better"
        );
        assert_eq!(voter.tick(110, LEASE, &voters()), (None, true), "it had its time");
        assert_eq!(voter.register_mut(5).map(|k| k.register.promised.number), Some(3));
    }

    #[test]
    fn one_with_an_old_copy_or_none_is_silent_and_then_learns_from_a_majority_of_the_others() {
        for folder in [Some(found(3)), None] {
            let empty = folder.is_none();
            let mut voter = Voter::new(100, ME, 4, LEASE, folder);
            let nonce = voter.tick(100, LEASE, &voters()).0;
            if !empty {
                // Boot 4 with another life: this one was started from a copy.
                voter.handle_recovery_response(
                    101,
                    LEASE,
                    &voters(),
                    2,
                    nonce.expect("asks"),
                    VOTES,
                    (Some((4, 69)), 0),
                    None,
                    (0, 1),
                );
            }
            assert_eq!(voter.status(), VoteStatus::Silent);
            assert_eq!(voter.tick(123, LEASE, &voters()), (None, false), "silent");
            let (nonce, _) = voter.tick(126, LEASE, &voters());
            let nonce = nonce.expect("asks");
            let newer = found(9).registers[&5].clone();
            // The last part before the first.
            voter.handle_recovery_response(127, LEASE, &voters(), 3, nonce, VOTES, (None, 0), None, (1, 2));
            voter.handle_recovery_response(
                127,
                LEASE,
                &voters(),
                2,
                nonce,
                VOTES,
                (None, 30),
                Some((5, &newer)),
                (0, 1),
            );
            assert!(!voter.is_voting(), "one of two others, and half of the other");
            assert!(voter.handle_recovery_response(
                128,
                LEASE,
                &voters(),
                3,
                nonce,
                VOTES,
                (None, 0),
                None,
                (0, 2)
            ));
            assert_eq!(voter.register_mut(5).map(|k| k.register.promised.number), Some(9));
            assert_eq!(voter.begin_write().write_count, 31, "above all that anybody has heard of it");
        }
    }

    /// A copy of an hour ago, of the same life: started twice before it met anybody, its boots are above all that others
    /// remember, but what it wrote is not.
    #[test]
    fn a_copy_of_an_hour_ago_is_found_out_however_often_it_was_started() {
        let mut voter = Voter::new(100, ME, 9, LEASE, Some(found(3)));
        let nonce = voter.tick(100, LEASE, &voters()).0.expect("asks");
        assert!(!voter.handle_recovery_response(
            101,
            LEASE,
            &voters(),
            2,
            nonce,
            VOTES,
            (Some((4, 69)), 11),
            None,
            (0, 1)
        ));
        assert_eq!((voter.status(), voter.registers().len()), (VoteStatus::Silent, 0));
    }

    #[test]
    fn all_that_begin_with_nothing_found_together_and_none_alone() {
        let mut voter = Voter::new(0, ME, 1, LEASE, None);
        let nonce = voter.tick(24, LEASE, &voters()).0.expect("asks");
        let fresh = VoterFlags { voting: false, fresh: true };
        assert!(!voter.handle_recovery_response(
            25,
            LEASE,
            &voters(),
            2,
            nonce,
            fresh,
            (None, 0),
            None,
            (0, 1)
        ));
        assert!(voter.handle_recovery_response(
            25,
            LEASE,
            &voters(),
            3,
            nonce,
            fresh,
            (None, 0),
            None,
            (0, 1)
        ));
        assert!(voter.flags().voting && voter.flags().fresh);
        // A roster of one.
        let mut alone = Voter::new(0, ME, 1, LEASE, None);
        assert_eq!(alone.tick(24, LEASE, &VoterSet::new([1])), (None, true));
    }
}
