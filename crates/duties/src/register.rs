//! The register of a duty at one voter, and the changes that it allows.

use crate::ballot::{Ballot, Lease, Micros, ProcessId};
use serde::{Deserialize, Serialize};

/// Maximum length of the progress data that a term hands to the next one (bytes).
pub const MAX_PROGRESS_BYTES: usize = 512;

/// Why the last term of a duty ended, as shown to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The duty had no holder, or its holder was no longer reachable.
    #[default]
    Vacant,
    /// An operator asked the holder to release the duty.
    Asked,
    /// The holder's process was asked to shut down.
    Leaving,
    /// The holder was too slow for the work, or lost its quorum before its lease ended.
    Unfit,
    /// The duty is pinned to another member.
    Pinned,
}

/// The replicated value of a duty's register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterValue {
    /// Process that holds the duty; none after a release.
    pub holder: Option<ProcessId>,
    /// Token of the term in which the value was written.
    pub token: u64,
    /// Why the last term ended.
    pub reason: Reason,
    /// Member that an operator has pinned the duty to.
    pub pinned: Option<u64>,
    /// Number of progress steps so far, over all terms.
    pub step: u64,
    /// Progress data in a format of the work's own, at most [`MAX_PROGRESS_BYTES`] long.
    pub progress: Vec<u8>,
}

/// A write that a voter has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted {
    /// Ballot of the write.
    pub ballot: Ballot,
    /// Sequence number of the write within its ballot.
    pub seq: u64,
    /// Value that was written.
    pub value: RegisterValue,
}

impl Accepted {
    /// Returns the key that orders writes: the higher ballot wins, then the later write within it.
    pub(crate) fn version(&self) -> (Ballot, u64) {
        (self.ballot, self.seq)
    }
}

/// What a voter keeps of a duty on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Register {
    /// Highest promised ballot; no lower one is promised or accepted any more.
    pub promised: Ballot,
    /// Last accepted write.
    pub accepted: Option<Accepted>,
}

/// A register together with its holder's lease. The lease is not written to disk: a voter that starts counts
/// it from the beginning.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeasedRegister {
    /// Register as stored on disk.
    pub register: Register,
    /// Process that holds the lease, and when the lease ends.
    pub lease: Option<(ProcessId, Micros)>,
}

/// A voter's response to a prepare or an accept request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// The ballot is promised.
    Promise {
        /// Ballot that is promised.
        ballot: Ballot,
        /// Last write that the voter had accepted.
        accepted: Option<Accepted>,
    },
    /// The write is accepted.
    Accepted {
        /// Ballot of the write.
        ballot: Ballot,
        /// Sequence number of the write within its ballot.
        seq: u64,
    },
    /// The request is refused.
    Refused {
        /// Ballot of the request.
        ballot: Ballot,
        /// Ballot that the voter has promised.
        promised: Ballot,
        /// Process that holds the lease, and the time left (microseconds).
        lease: Option<(ProcessId, Micros)>,
    },
}

/// The result of a request at a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterReply {
    /// Response to send.
    pub response: Response,
    /// Whether the register has changed and must be on disk before the response is sent.
    pub changed: bool,
}

impl LeasedRegister {
    /// Restores a register that was read from disk. Its holder may have renewed the lease just before, so the
    /// lease is counted in full from `now`.
    pub fn restored(register: Register, now: Micros, lease: Lease) -> Self {
        let holder = register.accepted.as_ref().and_then(|a| a.value.holder);
        LeasedRegister { lease: holder.map(|process| (process, now + lease.voter_duration)), register }
    }

    /// Returns the process whose lease is running at `now`, and the time left.
    pub fn active_lease(&self, now: Micros) -> Option<(ProcessId, Micros)> {
        self.lease.filter(|(_, until)| now < *until).map(|(process, until)| (process, until - now))
    }

    fn refuse(&self, now: Micros, ballot: Ballot) -> VoterReply {
        let (promised, lease) = (self.register.promised, self.active_lease(now));
        VoterReply { response: Response::Refused { ballot, promised, lease }, changed: false }
    }

    /// Handles a prepare request. It is refused while another process's lease is running, and when its number
    /// is not above the promised one.
    pub fn prepare(&mut self, now: Micros, ballot: Ballot) -> VoterReply {
        let repeated = ballot == self.register.promised;
        let foreign = self.active_lease(now).is_some_and(|(process, _)| process != ballot.proposer);
        if foreign || (!repeated && ballot.number <= self.register.promised.number) {
            return self.refuse(now, ballot);
        }
        self.register.promised = ballot;
        let response = Response::Promise { ballot, accepted: self.register.accepted.clone() };
        VoterReply { response, changed: !repeated }
    }

    /// Handles an accept request: a write under a ballot.
    pub fn accept(
        &mut self,
        now: Micros,
        lease: Lease,
        ballot: Ballot,
        seq: u64,
        value: RegisterValue,
    ) -> VoterReply {
        let last = self.register.accepted.as_ref().map(Accepted::version);
        let stale = last.is_some_and(|last| (ballot, seq) < last);
        let conflicting = ballot.number == self.register.promised.number && ballot != self.register.promised;
        if ballot < self.register.promised
            || conflicting
            || stale
            || value.progress.len() > MAX_PROGRESS_BYTES
        {
            return self.refuse(now, ballot);
        }
        self.lease = value.holder.map(|process| (process, now + lease.voter_duration));
        // A renewal that changes nothing needs no disk write: a voter that starts counts the lease in full
        // anyway.
        let changed = self.register.promised != ballot
            || self.register.accepted.as_ref().is_none_or(|a| a.ballot != ballot || a.value != value);
        self.register.promised = ballot;
        self.register.accepted = Some(Accepted { ballot, seq, value });
        VoterReply { response: Response::Accepted { ballot, seq }, changed }
    }

    /// Merges another voter's register into that of a voter that may have forgotten its own: the higher
    /// promise and the newer write win.
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
mod tests;
