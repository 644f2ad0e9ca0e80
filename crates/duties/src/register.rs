//! What stands of a duty at one voter, and which way it may change.

use crate::ballot::{Ballot, Lease, Micros, ProcessId};
use serde::{Deserialize, Serialize};

/// Bytes of progress that a term hands on, at the most.
pub const MAX_PROGRESS_BYTES: usize = 512;

/// Why a duty stands as it does: told to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Nobody held it, or nobody was heard of any more.
    #[default]
    Vacant,
    /// Its holder was asked to give it up.
    Asked,
    /// Its holder was told to end.
    Leaving,
    /// Its holder was too slow for its work, or lost its quorum before its lease ended.
    Unfit,
    /// It is pinned to another member.
    Pinned,
}

/// What a duty's register holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterValue {
    /// Who holds it; nobody where it was given up.
    pub holder: Option<ProcessId>,
    /// The token of the term in which this was written.
    pub token: u64,
    /// Why the last term ended.
    pub reason: Reason,
    /// To whom operators have pinned it.
    pub pinned: Option<u64>,
    /// Steps of progress so far, over all terms.
    pub step: u64,
    /// What has been done so far, as its work wants it; [`MAX_PROGRESS_BYTES`] bytes at the most.
    pub progress: Vec<u8>,
}

/// What a voter has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    /// Under which ballot.
    pub ballot: Ballot,
    /// The how manieth word of it.
    pub seq: u64,
    /// What it holds since.
    pub value: RegisterValue,
}

impl Accepted {
    /// Which of two holds: the later word of the higher ballot.
    pub(crate) fn version(&self) -> (Ballot, u64) {
        (self.ballot, self.seq)
    }
}

/// What a voter keeps of a duty, on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Register {
    /// No ballot below this one is promised or accepted any more.
    pub promised: Ballot,
    /// The last word that was accepted.
    pub accepted: Option<Accepted>,
}

/// A register with the lease of its holder, which needs no disk: a voter that starts counts it anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeasedRegister {
    /// What stands on disk.
    pub register: Register,
    /// Whose lease runs, and until when.
    pub lease: Option<(ProcessId, Micros)>,
}

/// What a voter answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// It promises.
    Promise {
        /// Which ballot.
        ballot: Ballot,
        /// What it had accepted.
        accepted: Option<Accepted>,
    },
    /// It has accepted.
    Accepted {
        /// Under which ballot.
        ballot: Ballot,
        /// Which word of it.
        seq: u64,
    },
    /// It does neither.
    Refused {
        /// What it was asked.
        ballot: Ballot,
        /// What it has promised,
        promised: Ballot,
        /// and whose lease runs for how long (microseconds).
        lease: Option<(ProcessId, Micros)>,
    },
}

/// What comes of a question: the answer, and whether the register must be on disk before it is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterReply {
    /// The answer.
    pub response: Response,
    /// Whether the register has changed.
    pub changed: bool,
}

impl LeasedRegister {
    /// As read from disk at a start: whoever holds it may have renewed its lease just before.
    pub fn restored(register: Register, now: Micros, lease: Lease) -> Self {
        let holder = register.accepted.as_ref().and_then(|a| a.value.holder);
        LeasedRegister { lease: holder.map(|life| (life, now + lease.voter_duration)), register }
    }

    /// Whose lease runs at a moment, and for how long.
    pub fn active_lease(&self, now: Micros) -> Option<(ProcessId, Micros)> {
        self.lease.filter(|(_, until)| now < *until).map(|(life, until)| (life, until - now))
    }

    fn refused(&self, now: Micros, ballot: Ballot) -> VoterReply {
        let (promised, lease) = (self.register.promised, self.active_lease(now));
        VoterReply { response: Response::Refused { ballot, promised, lease }, changed: false }
    }

    /// Somebody wants to write: may it? Not while another's lease runs, and not behind a number that was promised.
    pub fn prepare(&mut self, now: Micros, ballot: Ballot) -> VoterReply {
        let again = ballot == self.register.promised;
        let foreign = self.active_lease(now).is_some_and(|(life, _)| life != ballot.proposer);
        if foreign || (!again && ballot.number <= self.register.promised.number) {
            return self.refused(now, ballot);
        }
        self.register.promised = ballot;
        let response = Response::Promise { ballot, accepted: self.register.accepted.clone() };
        VoterReply { response, changed: !again }
    }

    /// Somebody writes.
    pub fn accept(
        &mut self,
        now: Micros,
        lease: Lease,
        ballot: Ballot,
        seq: u64,
        value: RegisterValue,
    ) -> VoterReply {
        let last = self.register.accepted.as_ref().map(Accepted::version);
        let behind = last.is_some_and(|last| (ballot, seq) < last);
        let other = ballot.number == self.register.promised.number && ballot != self.register.promised;
        if ballot < self.register.promised || other || behind || value.progress.len() > MAX_PROGRESS_BYTES {
            return self.refused(now, ballot);
        }
        self.lease = value.holder.map(|life| (life, now + lease.voter_duration));
        // A renewal that changes nothing needs no disk: who starts counts the lease anew whatever was written last.
        let changed = self.register.promised != ballot
            || self.register.accepted.as_ref().is_none_or(|a| a.ballot != ballot || a.value != value);
        self.register.promised = ballot;
        self.register.accepted = Some(Accepted { ballot, seq, value });
        VoterReply { response: Response::Accepted { ballot, seq }, changed }
    }

    /// What another voter keeps, for one that may have forgotten: the higher of both.
    pub fn merge(&mut self, other: &Register) {
        self.register.promised = self.register.promised.max(other.promised);
        let newer = other.accepted.as_ref().map(Accepted::version)
            > self.register.accepted.as_ref().map(Accepted::version);
        if newer {
            self.register.accepted.clone_from(&other.accepted);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEASE: Lease = Lease { holder_duration: 10, voter_duration: 12 };

    fn ballot(number: u64, member: u64) -> Ballot {
        Ballot { number, proposer: ProcessId { member, instance: 1 } }
    }

    fn value(member: u64) -> RegisterValue {
        RegisterValue { holder: Some(ProcessId { member, instance: 1 }), ..RegisterValue::default() }
    }

    fn promised(reply: &VoterReply) -> bool {
        matches!(reply.response, Response::Promise { .. })
    }

    #[test]
    fn nobody_else_is_promised_while_a_lease_runs_or_behind_a_number() {
        let mut kept = LeasedRegister::default();
        assert!(promised(&kept.prepare(0, ballot(1, 1))));
        assert!(kept.accept(0, LEASE, ballot(1, 1), 1, value(1)).changed);
        assert!(!promised(&kept.prepare(11, ballot(2, 2))), "its lease runs");
        assert!(!kept.accept(5, LEASE, ballot(1, 1), 2, value(1)).changed, "a renewal needs no disk");
        assert!(!promised(&kept.prepare(16, ballot(2, 2))));
        assert!(promised(&kept.prepare(17, ballot(2, 2))));
        assert!(promised(&kept.prepare(17, ballot(2, 2))), "asked again");
        assert!(!promised(&kept.prepare(17, ballot(2, 3))), "the same number by another");
        let late = kept.accept(18, LEASE, ballot(1, 1), 3, value(1));
        assert!(matches!(late.response, Response::Refused { .. }));
        // After a start the lease is counted anew.
        let mut again = LeasedRegister::restored(kept.register.clone(), 100, LEASE);
        assert!(!promised(&again.prepare(111, ballot(3, 2))) && promised(&again.prepare(112, ballot(3, 2))));
    }

    #[test]
    fn a_word_that_comes_late_or_twice_changes_nothing_and_one_that_is_too_long_is_refused() {
        let mut kept = LeasedRegister::default();
        kept.accept(0, LEASE, ballot(4, 1), 2, value(1));
        let before = kept.register.clone();
        assert!(matches!(
            kept.accept(1, LEASE, ballot(4, 1), 1, value(1)).response,
            Response::Refused { .. }
        ));
        assert!(matches!(
            kept.accept(1, LEASE, ballot(4, 1), 2, value(1)).response,
            Response::Accepted { .. }
        ));
        let long = RegisterValue { progress: vec![0; MAX_PROGRESS_BYTES + 1], ..value(1) };
        assert!(matches!(kept.accept(1, LEASE, ballot(4, 1), 3, long).response, Response::Refused { .. }));
        assert_eq!(kept.register, before);
        let mut other = LeasedRegister::default();
        other.merge(&before);
        assert_eq!(other.register, before);
        other.merge(&Register::default());
        assert_eq!(other.register, before);
    }
}
