//! A voter: the registers that it keeps for all duties, and when it may answer requests.
//!
//! A voter that has lost its promises could let two members hold the same duty. A voter that starts therefore
//! answers no requests until it knows the state of its folder:
//!
//! - Its folder holds its registers: it votes once all other voters, or after a lease enough of them to make
//!   a majority with it, have reported that they know of no later process of this member and of no later
//!   write.
//! - Its folder holds registers older than what others remember (a restored copy): it proceeds as with no
//!   registers, and erases the stored ones first, so that the next start does not trust them.
//! - Its folder holds no registers (emptied, or damaged and set aside): it votes once it has been silent for
//!   [`Lease::silent_period`], and has then recovered from a majority of voters that does not count itself.
//! - Its folder holds no registers, and each other voter reports that its folder held none either when its
//!   process started, and that it has promised and accepted nothing since: it votes once it has been silent
//!   for the same period, since nothing was ever decided.
//!
//! The silent period comes before the recovery: by then, a ballot that an earlier process of the voter
//! promised is over, or is stored at another voter of each majority.

use crate::ballot::{Lease, Micros, ProcessId, VoterSet};
use crate::register::{LeasedRegister, Register};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Progress of a voter from its start to voting.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The folder held registers, and the other voters are asked whether these are the latest. Holds the
    /// voters that have confirmed it.
    Checking(BTreeSet<u64>),
    /// The voter may have lost promises, and is silent until this time.
    Silent(Micros),
    /// The voter asks the other voters for their registers.
    Recovering {
        /// Parts received of each voter's answer: any part may be lost, or arrive after the last one.
        parts: BTreeMap<u64, BTreeSet<u8>>,
        /// Voters whose answer is complete.
        complete: BTreeSet<u64>,
        /// Voters that started with no registers either.
        fresh: BTreeSet<u64>,
    },
    /// The voter answers requests.
    Voting,
}

/// A voter's state on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredVoter {
    /// Number of writes to disk over all processes of the voter. The other voters remember the highest count
    /// that they have received, which exposes an older copy, even one that was started several times before
    /// it reached another voter.
    pub write_count: u64,
    /// Register of each duty.
    pub registers: BTreeMap<u64, Register>,
}

/// A voter's flags in its response to a recovery request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterFlags {
    /// The voter answers requests.
    pub voting: bool,
    /// The folder held no registers when the voter's process started, and the voter has promised and accepted
    /// nothing since. If that is so at all voters, nothing was ever decided.
    pub fresh: bool,
}

/// State of a voter, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoteStatus {
    /// The member votes.
    #[serde(rename = "votes")]
    Voting,
    /// The voter asks the others whether its folder holds its latest state.
    #[serde(rename = "checks")]
    Checking,
    /// The voter may have lost promises, and is silent until they no longer matter.
    Silent,
    /// The voter recovers its registers from the others.
    #[serde(rename = "learns")]
    Recovering,
    /// The member is not a voter.
    #[serde(rename = "none")]
    NonVoter,
}

/// One voter of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    local: ProcessId,
    boot: u64,
    write_count: u64,
    /// Write count of the last state that is on disk. Later state must not be revealed before it is.
    persisted_count: u64,
    /// Until this time the voter waits for all other voters, any of which may know of a later process or
    /// write.
    wait_for_all_until: Micros,
    phase: Phase,
    /// The voter started with no registers in this process.
    fresh: bool,
    registers: BTreeMap<u64, LeasedRegister>,
    /// When the next recovery request is due.
    next_request: Micros,
    /// Number of the current recovery request; responses to earlier ones are outdated and ignored.
    nonce: u64,
}

impl Voter {
    /// Creates a voter that starts, with what its folder holds; none if the folder holds nothing that can be
    /// trusted.
    pub fn new(now: Micros, local: ProcessId, boot: u64, lease: Lease, stored: Option<StoredVoter>) -> Self {
        let fresh = stored.is_none();
        let StoredVoter { write_count, registers } = stored.unwrap_or_default();
        let phase = if fresh {
            Phase::Silent(now.saturating_add(lease.silent_period()))
        } else {
            Phase::Checking(BTreeSet::new())
        };
        let registers =
            registers.into_iter().map(|(duty, r)| (duty, LeasedRegister::restored(r, now, lease))).collect();
        Voter {
            local,
            boot,
            write_count,
            persisted_count: write_count,
            wait_for_all_until: now.saturating_add(lease.holder_duration),
            phase,
            fresh,
            registers,
            next_request: now,
            nonce: 0,
        }
    }

    /// Marks the voter as one that joined the voter set while its process was running: it may have voted at
    /// an earlier time, so it does not count as fresh.
    #[must_use]
    pub fn joined_later(mut self) -> Self {
        self.fresh = false;
        self
    }

    /// Returns whether the voter answers requests.
    pub fn is_voting(&self) -> bool {
        self.phase == Phase::Voting
    }

    /// Returns the state of the voter for operators.
    pub fn status(&self) -> VoteStatus {
        match self.phase {
            Phase::Voting => VoteStatus::Voting,
            Phase::Checking(_) => VoteStatus::Checking,
            Phase::Silent(_) => VoteStatus::Silent,
            Phase::Recovering { .. } => VoteStatus::Recovering,
        }
    }

    /// Returns the voter's flags for a response to a recovery request.
    pub fn flags(&self) -> VoterFlags {
        let is_blank = self.registers.values().all(|leased| leased.register == Register::default());
        VoterFlags { voting: self.is_voting(), fresh: self.fresh && is_blank }
    }

    /// Returns the register of a duty for a request, if the voter answers requests.
    pub fn register_mut(&mut self, duty: u64) -> Option<&mut LeasedRegister> {
        if self.is_voting() { Some(self.registers.entry(duty).or_default()) } else { None }
    }

    /// Returns the register of a duty for display, whether or not the voter answers requests.
    pub fn register(&self, duty: u64) -> Option<&LeasedRegister> {
        self.registers.get(&duty)
    }

    /// Returns the registers of all duties.
    pub fn registers(&self) -> BTreeMap<u64, Register> {
        self.registers.iter().map(|(duty, leased)| (*duty, leased.register.clone())).collect()
    }

    /// Counts a write to disk and returns the state to write. It is unpersisted until [`Voter::persisted`] is
    /// called with its write count.
    pub fn begin_write(&mut self) -> StoredVoter {
        self.write_count = self.write_count.saturating_add(1);
        StoredVoter { write_count: self.write_count, registers: self.registers() }
    }

    /// Records that the state with this write count is on disk.
    pub fn persisted(&mut self, write_count: u64) {
        self.persisted_count = self.persisted_count.max(write_count);
    }

    /// Returns whether some state is not on disk yet.
    pub fn has_unpersisted_write(&self) -> bool {
        self.persisted_count < self.write_count
    }

    /// Returns the number of writes to disk over all processes of the voter.
    pub fn write_count(&self) -> u64 {
        self.write_count
    }

    /// Returns the number of the current recovery request.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// Returns when [`Voter::tick`] is to be called next.
    pub fn next_wake(&self) -> Micros {
        match self.phase {
            Phase::Voting => Micros::MAX,
            Phase::Silent(until) => until,
            Phase::Checking(_) | Phase::Recovering { .. } => self.next_request,
        }
    }

    /// Advances time. Returns the number of the recovery request to send to all other voters, if one is due,
    /// and whether the voter has just started to vote.
    pub fn tick(&mut self, now: Micros, lease: Lease, voters: &VoterSet) -> (Option<u64>, bool) {
        if let Phase::Silent(until) = self.phase
            && now >= until
        {
            self.phase = Phase::Recovering {
                parts: BTreeMap::new(),
                complete: BTreeSet::new(),
                fresh: BTreeSet::new(),
            };
            self.next_request = now;
            self.nonce += 1;
        }
        let due =
            matches!(self.phase, Phase::Checking(_) | Phase::Recovering { .. }) && now >= self.next_request;
        if due {
            self.next_request = now.saturating_add(lease.holder_duration / 3);
            if matches!(self.phase, Phase::Checking(_)) && self.nonce == 0 {
                self.nonce = 1;
            }
        }
        let started = self.try_start_voting(now, lease, voters);
        (due.then_some(self.nonce).filter(|_| !started), started)
    }

    /// Stops voting because others know of a later process of this member than its folder does, whose
    /// promises are unknown here. The caller erases what the folder holds before anything else is done.
    pub fn suspend(&mut self, now: Micros, lease: Lease) {
        if !matches!(self.phase, Phase::Silent(_) | Phase::Recovering { .. }) {
            self.phase = Phase::Silent(now.saturating_add(lease.silent_period()));
            self.fresh = false;
            self.registers.clear();
        }
    }

    /// Handles another voter's response to a recovery request: its flags; what it remembers of this member
    /// (boot number and instance) and of its write count; and, if the other voter is voting, one of its
    /// registers. `part` is the index of the response and the number of parts. Returns whether the voter has
    /// just started to vote.
    #[allow(clippy::too_many_arguments)]
    pub fn handle_recovery_response(
        &mut self,
        now: Micros,
        lease: Lease,
        voters: &VoterSet,
        by: u64,
        nonce: u64,
        flags: VoterFlags,
        remembers: (Option<(u64, u64)>, u64),
        register: Option<(u64, &Register)>,
        part: (u8, u8),
    ) -> bool {
        if nonce != self.nonce || !voters.contains(by) || by == self.local.member {
            return false;
        }
        let (process, write_count) = remembers;
        let outdated = write_count > self.write_count
            || process.is_some_and(|(boot, instance)| {
                boot > self.boot || (boot == self.boot && instance != self.local.instance)
            });
        match &mut self.phase {
            Phase::Checking(_) if outdated => self.suspend(now, lease),
            Phase::Checking(confirmed) => drop(confirmed.insert(by)),
            Phase::Recovering { parts, complete, fresh } => {
                self.write_count = self.write_count.max(write_count);
                if let Some((duty, register)) = register.filter(|_| flags.voting) {
                    self.registers.entry(duty).or_default().merge(register);
                }
                let (index, count) = part;
                if flags.voting && index < count {
                    let received = parts.entry(by).or_default();
                    received.insert(index);
                    if received.len() >= usize::from(count) {
                        complete.insert(by);
                    }
                }
                if flags.fresh {
                    fresh.insert(by);
                }
            }
            Phase::Silent(_) | Phase::Voting => {}
        }
        self.try_start_voting(now, lease, voters)
    }

    /// Starts to vote if enough other voters have responded, and returns whether it did.
    fn try_start_voting(&mut self, now: Micros, lease: Lease, voters: &VoterSet) -> bool {
        let local = self.local.member;
        let starts = match &self.phase {
            Phase::Voting | Phase::Silent(_) => false,
            Phase::Checking(confirmed) => {
                let all = voters.voters().iter().all(|id| *id == local || confirmed.contains(id));
                all || (now >= self.wait_for_all_until
                    && voters.is_majority(|id| id == local || confirmed.contains(&id)))
            }
            Phase::Recovering { complete, fresh, .. } => {
                // All voters started with no registers.
                let all_fresh =
                    self.fresh && voters.voters().iter().all(|id| *id == local || fresh.contains(id));
                all_fresh || voters.is_majority(|id| id != local && complete.contains(&id))
            }
        };
        if starts {
            self.phase = Phase::Voting;
            // Holders may have renewed their leases just now.
            for leased in self.registers.values_mut() {
                *leased = LeasedRegister::restored(std::mem::take(&mut leased.register), now, lease);
            }
        }
        starts
    }

    /// Returns the same voter on a clock that reads `to` where this one reads `to + by`. State-space searches
    /// use it to merge states that differ only in time.
    #[must_use]
    pub fn rebased(&self, to: Micros, by: Micros, lease: Lease) -> Self {
        let back = |at: Micros| at.saturating_sub(by).max(to.saturating_sub(2 * lease.voter_duration));
        let mut next = self.clone();
        if let Phase::Silent(until) = &mut next.phase {
            *until = back(*until);
        }
        next.next_request = to;
        next.wait_for_all_until = back(next.wait_for_all_until);
        if next.phase == Phase::Voting {
            (next.wait_for_all_until, next.persisted_count, next.write_count) = (to, 0, 0);
        }
        for leased in next.registers.values_mut() {
            leased.lease =
                leased.lease.map(|(process, until)| (process, back(until))).filter(|(_, until)| *until > to);
        }
        next
    }
}

#[cfg(test)]
mod tests;
