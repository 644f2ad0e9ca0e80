//! A term: what its holder writes, and how long it holds.

use crate::ballot::{Ballot, Lease, Micros, VoterSet};
use crate::register::{MAX_PROGRESS_BYTES, Reason, RegisterValue};
use std::collections::{BTreeMap, BTreeSet};

/// Words of a term that are out at a time: one each third of a lease, and those that carry progress.
const MAX_PENDING_WRITES: usize = 6;

/// Why progress is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StepError {
    /// The duty is not held under this token, or no longer.
    #[error("not held under token {0}")]
    NotHeld(u64),
    /// The last step is not decided yet.
    #[error("the step before is not decided yet")]
    PreviousPending,
    /// Too long.
    #[error("{0} bytes of progress: {MAX_PROGRESS_BYTES} are the most")]
    TooLong(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    asked: Micros,
    by: BTreeSet<u64>,
    value: RegisterValue,
}

/// What a term has come to by a majority's word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The duty is held from now on.
    Acquired,
    /// A step of progress is decided.
    Step(u64),
    /// The duty is given up.
    Released(Reason),
}

/// One ballot from the first word written under it to the last. Once its lease has run out it never writes again: another
/// term needs another ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Term {
    ballot: Ballot,
    seq: u64,
    /// What a majority has accepted last, and its word's number; none before the first.
    decided: Option<(u64, RegisterValue)>,
    /// By its own clock: it acts no later, nor writes.
    until: Micros,
    rounds: BTreeMap<u64, Round>,
    /// When it writes again.
    next: Micros,
    yielding: Option<Reason>,
}

/// A word for all voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Under which ballot.
    pub ballot: Ballot,
    /// Which word of it.
    pub seq: u64,
    /// What is to hold.
    pub value: RegisterValue,
}

impl Term {
    /// A ballot that a majority has promised, and the first word under it: what stood before, with another holder.
    pub fn begin(now: Micros, lease: Lease, ballot: Ballot, before: RegisterValue) -> (Self, Write) {
        let value = RegisterValue { holder: Some(ballot.proposer), token: ballot.number, ..before };
        // Its first word is decided within a lease, or never.
        let until = now.saturating_add(lease.holder_duration);
        let mut term =
            Term { ballot, seq: 0, decided: None, until, rounds: BTreeMap::new(), next: now, yielding: None };
        let write = term.write(now, lease, value);
        (term, write)
    }

    /// Its token.
    pub fn token(&self) -> u64 {
        self.ballot.number
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Until when it holds, by its own clock.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Whether it may act at a moment: a majority has accepted a word of it that was asked for less than a lease ago.
    pub fn is_held(&self, now: Micros) -> bool {
        self.decided.is_some() && self.yielding.is_none() && now < self.until
    }

    /// Whether it is over: it writes and acts no more.
    pub fn is_expired(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// What a majority has accepted last.
    pub fn decided(&self) -> Option<&RegisterValue> {
        self.decided.as_ref().map(|(_, value)| value)
    }

    /// What was written last, decided or not.
    fn newest(&self) -> RegisterValue {
        let out = self.rounds.last_key_value().map(|(_, round)| &round.value);
        out.or(self.decided()).cloned().unwrap_or_default()
    }

    fn write(&mut self, now: Micros, lease: Lease, value: RegisterValue) -> Write {
        self.seq += 1;
        self.next = now.saturating_add(lease.holder_duration / 3);
        while self.rounds.len() >= MAX_PENDING_WRITES {
            self.rounds.pop_first();
        }
        self.rounds.insert(self.seq, Round { asked: now, by: BTreeSet::new(), value: value.clone() });
        Write { ballot: self.ballot, seq: self.seq, value }
    }

    /// When it wants to write again.
    pub fn next_wake(&self) -> Micros {
        self.next.min(self.until)
    }

    /// Time has passed: a renewal, if one is due. Before its first word is decided that word again, with its first moment.
    pub fn tick(&mut self, now: Micros, lease: Lease) -> Option<Write> {
        if now < self.next || self.is_expired(now) {
            return None;
        }
        if self.decided.is_none() {
            self.next = now.saturating_add(lease.holder_duration / 3);
            let (seq, round) = self.rounds.first_key_value()?;
            return Some(Write { ballot: self.ballot, seq: *seq, value: round.value.clone() });
        }
        let value = self.newest();
        Some(self.write(now, lease, value))
    }

    /// A voter has accepted a word.
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
        let Some(round) = self.rounds.get_mut(&seq) else { return Vec::new() };
        round.by.insert(by);
        let counts = now < round.asked.saturating_add(lease.holder_duration);
        if !counts || !voters.is_majority(|id| round.by.contains(&id)) {
            return Vec::new();
        }
        let Some(round) = self.rounds.remove(&seq) else { return Vec::new() };
        // Earlier words are in this one.
        self.rounds.retain(|other, _| *other > seq);
        let first = self.decided.is_none();
        let step = self.decided.as_ref().map_or(round.value.step, |(_, value)| value.step);
        let ends = round.asked.saturating_add(lease.holder_duration);
        // The first word's end is all that the term has; later ones put it off.
        self.until = if first { ends } else { self.until.max(ends) };
        let mut told = Vec::new();
        if first {
            told.push(Decision::Acquired);
        }
        if round.value.step > step {
            told.push(Decision::Step(round.value.step));
        }
        if round.value.holder.is_none() {
            told.push(Decision::Released(round.value.reason));
            self.until = self.until.min(now);
        }
        self.decided = Some((seq, round.value));
        told
    }

    /// What has been done so far: to be decided before more is done.
    ///
    /// # Errors
    ///
    /// It is not held under this token now, the last step is not decided, or it is too long.
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
        let before = self.newest();
        if self.decided().is_some_and(|decided| decided.step != before.step) {
            return Err(StepError::PreviousPending);
        }
        let step = before.step + 1;
        Ok((step, self.write(now, lease, RegisterValue { step, progress, ..before })))
    }

    /// Operators pin the duty to a member, or take the pin out.
    pub fn pin(&mut self, now: Micros, lease: Lease, to: Option<u64>) -> Option<Write> {
        if !self.is_held(now) {
            return None;
        }
        let before = self.newest();
        (before.pinned != to).then(|| self.write(now, lease, RegisterValue { pinned: to, ..before }))
    }

    /// It is given up: nothing is done under it from this moment, and others may take it as soon as a majority has heard.
    pub fn release(&mut self, now: Micros, lease: Lease, reason: Reason) -> Option<Write> {
        if !self.is_held(now) {
            return None;
        }
        self.yielding = Some(reason);
        let before = self.newest();
        Some(self.write(now, lease, RegisterValue { holder: None, reason, ..before }))
    }

    /// The same on a clock that reads `to` where this one reads `to + by`; for searches, which set clocks back.
    #[must_use]
    pub fn rebased(&self, to: Micros, by: Micros, lease: Lease) -> Self {
        // What is past by more than a lease is all one.
        let back = |at: Micros| at.saturating_sub(by).max(to.saturating_sub(2 * lease.holder_duration));
        let rounds = self.rounds.iter().map(|(seq, r)| (*seq, Round { asked: back(r.asked), ..r.clone() }));
        // It may write at any time.
        Term { until: back(self.until), next: to, rounds: rounds.collect(), ..self.clone() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ballot::ProcessId;

    const LEASE: Lease = Lease { holder_duration: 30, voter_duration: 40 };

    fn taken() -> (Term, VoterSet) {
        let voters = VoterSet::new([1, 2, 3]);
        let ballot = Ballot { number: 7, proposer: ProcessId { member: 1, instance: 5 } };
        let (mut term, first) =
            Term::begin(100, LEASE, ballot, RegisterValue { step: 4, ..RegisterValue::default() });
        assert_eq!((first.seq, first.value.token, term.is_held(100)), (1, 7, false));
        assert_eq!(term.handle_accepted(105, LEASE, &voters, 1, 1), vec![]);
        assert_eq!(term.handle_accepted(106, LEASE, &voters, 1, 1), vec![], "once each");
        assert_eq!(term.handle_accepted(106, LEASE, &voters, 9, 1), vec![], "no voter");
        assert_eq!(term.handle_accepted(110, LEASE, &voters, 2, 1), vec![Decision::Acquired]);
        (term, voters)
    }

    #[test]
    fn a_lease_counts_from_the_question_and_a_term_that_is_over_stays_so() {
        let (mut term, voters) = taken();
        assert!(term.is_held(129) && !term.is_held(130));
        let renewal = term.tick(115, LEASE).expect("due");
        term.handle_accepted(125, LEASE, &voters, 1, renewal.seq);
        term.handle_accepted(127, LEASE, &voters, 3, renewal.seq);
        assert!(term.is_held(144) && !term.is_held(145));
        let late = term.tick(130, LEASE).expect("due");
        term.handle_accepted(150, LEASE, &voters, 1, late.seq);
        term.handle_accepted(150, LEASE, &voters, 2, late.seq);
        assert!(term.is_expired(150) && term.tick(151, LEASE).is_none(), "it was stopped");
    }

    #[test]
    fn steps_are_decided_one_by_one_and_giving_up_stops_at_once() {
        let (mut term, voters) = taken();
        assert_eq!(term.record_step(111, LEASE, 6, vec![]).err(), Some(StepError::NotHeld(6)));
        let (step, write) = term.record_step(111, LEASE, 7, vec![1]).expect("held");
        assert_eq!((step, write.value.progress.clone()), (5, vec![1]));
        assert_eq!(term.record_step(112, LEASE, 7, vec![2]).err(), Some(StepError::PreviousPending));
        term.handle_accepted(113, LEASE, &voters, 1, write.seq);
        // A renewal carries it on, and decides it too.
        let renewal = term.tick(121, LEASE).expect("due");
        assert_eq!(renewal.value.step, 5);
        term.handle_accepted(122, LEASE, &voters, 2, renewal.seq);
        assert_eq!(term.handle_accepted(122, LEASE, &voters, 3, renewal.seq), vec![Decision::Step(5)]);
        assert_eq!(term.decided().map(|p| p.step), Some(5));
        let given = term.release(125, LEASE, Reason::Asked).expect("held");
        assert!(!term.is_held(125) && given.value.holder.is_none() && given.value.step == 5);
        term.handle_accepted(126, LEASE, &voters, 1, given.seq);
        let told = term.handle_accepted(127, LEASE, &voters, 2, given.seq);
        assert_eq!((told, term.is_expired(127)), (vec![Decision::Released(Reason::Asked)], true));
    }
}
