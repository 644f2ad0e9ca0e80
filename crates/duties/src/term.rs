//! A term: what its holder writes, and how long the duty is held.

use crate::ballot::{Ballot, Lease, Micros, VoterSet};
use crate::register::{MAX_PROGRESS_BYTES, Reason, RegisterValue};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of undecided writes of a term: a renewal every third of a lease, and those that carry
/// progress.
const MAX_PENDING_WRITES: usize = 6;

/// Why a progress step is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StepError {
    /// The duty is not held under this token, or no longer.
    #[error("duty is not held under token {0}")]
    NotHeld(u64),
    /// The previous step is not decided yet.
    #[error("the previous progress step is not decided yet")]
    PreviousPending,
    /// The progress data is too long.
    #[error("progress data is {0} bytes long; the limit is {MAX_PROGRESS_BYTES}")]
    TooLong(usize),
}

/// A write that no majority has accepted yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    sent_at: Micros,
    accepted_by: BTreeSet<u64>,
    value: RegisterValue,
}

/// What a majority's acceptance of a write has decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The duty is held from now on.
    Acquired,
    /// A progress step, by its number.
    Step(u64),
    /// The duty is released.
    Released(Reason),
}

/// All writes under one ballot, from the first to the last. Once its lease has expired, a term never writes
/// again: another term needs another ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Term {
    ballot: Ballot,
    seq: u64,
    /// Sequence number and value of the last write that a majority has accepted; none before the first.
    decided: Option<(u64, RegisterValue)>,
    /// End of the lease by the local clock: from then on the holder neither acts nor writes.
    until: Micros,
    pending: BTreeMap<u64, PendingWrite>,
    /// When the next write is due.
    next_write: Micros,
    releasing: Option<Reason>,
}

/// A write to be sent to all voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Ballot of the write.
    pub ballot: Ballot,
    /// Sequence number of the write within its ballot.
    pub seq: u64,
    /// Value to write.
    pub value: RegisterValue,
}

impl Term {
    /// Begins a term under a ballot that a majority has promised, and returns its first write: the previous
    /// value with the new holder and token.
    pub fn begin(now: Micros, lease: Lease, ballot: Ballot, previous: RegisterValue) -> (Self, Write) {
        let value = RegisterValue { holder: Some(ballot.proposer), token: ballot.number, ..previous };
        // The first write is decided within one lease, or never.
        let until = now.saturating_add(lease.holder_duration);
        let mut term = Term {
            ballot,
            seq: 0,
            decided: None,
            until,
            pending: BTreeMap::new(),
            next_write: now,
            releasing: None,
        };
        let write = term.write(now, lease, value);
        (term, write)
    }

    /// Returns the fencing token.
    pub fn token(&self) -> u64 {
        self.ballot.number
    }

    /// Returns the ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Returns when the lease ends by the local clock.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Returns whether the holder may act at `now`: a majority has accepted a write that was sent less than a
    /// lease ago, and the duty is not being released.
    pub fn is_held(&self, now: Micros) -> bool {
        self.decided.is_some() && self.releasing.is_none() && now < self.until
    }

    /// Returns whether the term is over and neither writes nor acts any more.
    pub fn is_expired(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// Returns the last value that a majority has accepted.
    pub fn decided(&self) -> Option<&RegisterValue> {
        self.decided.as_ref().map(|(_, value)| value)
    }

    /// Returns the value that was written last, decided or not.
    fn latest(&self) -> RegisterValue {
        let pending = self.pending.last_key_value().map(|(_, write)| &write.value);
        pending.or(self.decided()).cloned().unwrap_or_default()
    }

    fn write(&mut self, now: Micros, lease: Lease, value: RegisterValue) -> Write {
        self.seq += 1;
        self.next_write = now.saturating_add(lease.holder_duration / 3);
        while self.pending.len() >= MAX_PENDING_WRITES {
            self.pending.pop_first();
        }
        let write = PendingWrite { sent_at: now, accepted_by: BTreeSet::new(), value: value.clone() };
        self.pending.insert(self.seq, write);
        Write { ballot: self.ballot, seq: self.seq, value }
    }

    /// Returns when [`Term::tick`] is to be called next.
    pub fn next_wake(&self) -> Micros {
        self.next_write.min(self.until)
    }

    /// Returns a renewal if one is due. Before the first write is decided, repeats that write and keeps the
    /// time at which it was first sent.
    pub fn tick(&mut self, now: Micros, lease: Lease) -> Option<Write> {
        if now < self.next_write || self.is_expired(now) {
            return None;
        }
        if self.decided.is_none() {
            self.next_write = now.saturating_add(lease.holder_duration / 3);
            let (seq, write) = self.pending.first_key_value()?;
            return Some(Write { ballot: self.ballot, seq: *seq, value: write.value.clone() });
        }
        let value = self.latest();
        Some(self.write(now, lease, value))
    }

    /// Records that a voter has accepted a write, and returns what that decides.
    pub fn handle_accepted(
        &mut self,
        now: Micros,
        lease: Lease,
        voters: &VoterSet,
        by: u64,
        seq: u64,
    ) -> Vec<Decision> {
        if self.is_expired(now) || !voters.contains(by) {
            return Vec::new();
        }
        let Some(write) = self.pending.get_mut(&seq) else { return Vec::new() };
        write.accepted_by.insert(by);
        let in_time = now < write.sent_at.saturating_add(lease.holder_duration);
        if !in_time || !voters.is_majority(|id| write.accepted_by.contains(&id)) {
            return Vec::new();
        }
        let Some(write) = self.pending.remove(&seq) else { return Vec::new() };
        // This write includes all earlier ones.
        self.pending.retain(|other, _| *other > seq);
        let first = self.decided.is_none();
        let step = self.decided.as_ref().map_or(write.value.step, |(_, value)| value.step);
        let lease_end = write.sent_at.saturating_add(lease.holder_duration);
        // The first decided write sets the end of the lease; later ones only extend it.
        self.until = if first { lease_end } else { self.until.max(lease_end) };
        let mut decisions = Vec::new();
        if first {
            decisions.push(Decision::Acquired);
        }
        if write.value.step > step {
            decisions.push(Decision::Step(write.value.step));
        }
        if write.value.holder.is_none() {
            decisions.push(Decision::Released(write.value.reason));
            self.until = self.until.min(now);
        }
        self.decided = Some((seq, write.value));
        decisions
    }

    /// Writes a progress step, and returns its number. The step must be decided before more work is done.
    ///
    /// # Errors
    ///
    /// The duty is not held under this token now, the previous step is not decided, or the progress data is
    /// too long.
    pub fn record_step(
        &mut self,
        now: Micros,
        lease: Lease,
        token: u64,
        progress: Vec<u8>,
    ) -> Result<(u64, Write), StepError> {
        if token != self.token() || !self.is_held(now) {
            return Err(StepError::NotHeld(token));
        }
        if progress.len() > MAX_PROGRESS_BYTES {
            return Err(StepError::TooLong(progress.len()));
        }
        let latest = self.latest();
        if self.decided().is_some_and(|decided| decided.step != latest.step) {
            return Err(StepError::PreviousPending);
        }
        let step = latest.step + 1;
        Ok((step, self.write(now, lease, RegisterValue { step, progress, ..latest })))
    }

    /// Pins the duty to a member, or removes the pin.
    pub fn pin(&mut self, now: Micros, lease: Lease, to: Option<u64>) -> Option<Write> {
        if !self.is_held(now) {
            return None;
        }
        let latest = self.latest();
        (latest.pinned != to).then(|| self.write(now, lease, RegisterValue { pinned: to, ..latest }))
    }

    /// Releases the duty: the holder does not act from now on, and others may acquire the duty as soon as a
    /// majority has accepted the release.
    pub fn release(&mut self, now: Micros, lease: Lease, reason: Reason) -> Option<Write> {
        if !self.is_held(now) {
            return None;
        }
        self.releasing = Some(reason);
        let latest = self.latest();
        Some(self.write(now, lease, RegisterValue { holder: None, reason, ..latest }))
    }

    /// Returns the same term on a clock that reads `to` where this one reads `to + by`. State-space searches
    /// use it to merge states that differ only in time.
    #[must_use]
    pub fn rebased(&self, to: Micros, by: Micros, lease: Lease) -> Self {
        // Times that are past by more than a lease are equivalent.
        let back = |at: Micros| at.saturating_sub(by).max(to.saturating_sub(2 * lease.holder_duration));
        let pending = self
            .pending
            .iter()
            .map(|(seq, write)| (*seq, PendingWrite { sent_at: back(write.sent_at), ..write.clone() }));
        // The search may let a term write at any time.
        Term { until: back(self.until), next_write: to, pending: pending.collect(), ..self.clone() }
    }
}

#[cfg(test)]
mod tests;
