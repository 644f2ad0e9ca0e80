//! How a member comes to hold a duty: it looks who does, asks a majority for a ballot, and writes.

use crate::ballot::{Ballot, Lease, Micros, ProcessId, VoterSet};
use crate::register::{Accepted, Reason, RegisterValue};
use crate::term::{Decision, Term, Write};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a voter tells of a duty to one that only looks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterSummary {
    /// What it has promised.
    pub promised: Ballot,
    /// Whose lease runs for how long (microseconds).
    pub lease: Option<(ProcessId, Micros)>,
    /// What it has accepted, without its progress.
    pub accepted: Option<AcceptedSummary>,
}

/// What stands of a duty, without its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedSummary {
    /// The ballot and the word of it.
    pub version: (Ballot, u64),
    /// Who holds it.
    pub holder: Option<ProcessId>,
    /// Why the last term ended.
    pub reason: Reason,
    /// To whom it is pinned.
    pub pinned: Option<u64>,
    /// Steps of progress.
    pub step: u64,
}

impl AcceptedSummary {
    /// Of what was accepted.
    pub fn from_accepted(accepted: &Accepted) -> Self {
        let RegisterValue { holder, reason, pinned, step, .. } = accepted.value;
        AcceptedSummary { version: accepted.version(), holder, reason, pinned, step }
    }
}

/// What a member believes of a duty that it does not hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KnownState {
    /// What stands, as a majority told.
    pub accepted: Option<AcceptedSummary>,
    /// Until when its holder's lease runs, by this member's clock.
    pub lease_until: Micros,
    /// When it was told.
    pub updated_at: Micros,
}

/// What goes to all voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterRequest {
    /// Who holds it?
    Query,
    /// May this ballot write?
    Prepare(Ballot),
    /// This holds from now on.
    Accept(Write),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Rest,
    Looking { asked: Micros, seen: BTreeMap<u64, RegisterSummary> },
    Preparing { ballot: Ballot, asked: Micros, promised: BTreeMap<u64, Option<Accepted>> },
    Term(Box<Term>),
}

/// What a member does about one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    me: ProcessId,
    phase: Phase,
    /// When it looks again.
    next: Micros,
    /// The highest number that it has heard of.
    highest: u64,
    known: KnownState,
    /// To whom it is pinned, as was last told.
    pinned: Option<u64>,
    /// Looks that came to nothing in a row.
    failed: u32,
}

/// What a member is to know when it acts.
#[derive(Clone, Copy, Debug)]
pub struct ProposerContext<'a> {
    /// How long a term lasts.
    pub lease: Lease,
    /// Whose answers count.
    pub voters: &'a VoterSet,
    /// Its place among those that should try, the first being 0; none if others should.
    pub rank: Option<usize>,
    /// A span by jitter, up to an eighth of a lease: those of one rank do not try at once.
    pub jitter: Micros,
}

/// Those of no rank look so seldom (leases).
const LOOK_LEASES: u64 = 10;

impl Proposer {
    /// A member that starts, and looks soon.
    pub fn new(now: Micros, me: ProcessId) -> Self {
        Proposer {
            me,
            phase: Phase::Rest,
            next: now,
            highest: 0,
            known: KnownState::default(),
            pinned: None,
            failed: 0,
        }
    }

    /// Its term, if it has one.
    pub fn term(&self) -> Option<&Term> {
        if let Phase::Term(term) = &self.phase { Some(term) } else { None }
    }

    /// The same, to write.
    pub fn term_mut(&mut self) -> Option<&mut Term> {
        if let Phase::Term(term) = &mut self.phase { Some(term) } else { None }
    }

    /// What it believes where it holds nothing.
    pub fn known_state(&self) -> KnownState {
        self.known
    }

    /// When [`Proposer::tick`] is to be called.
    pub fn next_wake(&self, lease: Lease) -> Micros {
        match &self.phase {
            Phase::Rest => self.next,
            Phase::Looking { asked, .. } | Phase::Preparing { asked, .. } => {
                asked.saturating_add(lease.holder_duration)
            }
            Phase::Term(term) => term.next_wake(),
        }
    }

    /// To whom it is pinned, as far as is known.
    pub fn pinned(&self) -> Option<u64> {
        self.pinned
    }

    /// Its holder gave it up: whoever should take it looks at once.
    pub fn handle_release(&mut self, now: Micros, pinned: Option<u64>) {
        self.pinned = pinned;
        (self.known.lease_until, self.failed) = (now, 0);
        self.query_by(now);
    }

    /// It is to look at once.
    pub fn query_by(&mut self, now: Micros) {
        self.next = self.next.min(now);
    }

    fn rest(&mut self, next: Micros) {
        (self.phase, self.next) = (Phase::Rest, next);
    }

    /// A pause after a try that came to nothing: longer each time, up to four leases.
    fn pause(&mut self, now: Micros, setting: &ProposerContext<'_>) {
        self.failed = (self.failed + 1).min(4);
        let span =
            ((setting.lease.holder_duration / 4) << self.failed).min(setting.lease.holder_duration * 4);
        self.rest(now + span / 2 + setting.jitter * u64::from(self.failed));
    }

    /// Time has passed. What goes to all voters, and whether a term ended by it.
    pub fn tick(
        &mut self,
        now: Micros,
        setting: &ProposerContext<'_>,
    ) -> (Option<VoterRequest>, Option<u64>) {
        match &mut self.phase {
            Phase::Term(term) if term.is_expired(now) => {
                let token = term.decided().map(|_| term.token());
                self.pause(now, setting);
                (None, token)
            }
            Phase::Term(term) => (term.tick(now, setting.lease).map(VoterRequest::Accept), None),
            Phase::Looking { asked, .. } | Phase::Preparing { asked, .. } => {
                if now >= asked.saturating_add(setting.lease.holder_duration) {
                    self.pause(now, setting);
                }
                (None, None)
            }
            Phase::Rest if now >= self.next => {
                self.phase = Phase::Looking { asked: now, seen: BTreeMap::new() };
                (Some(VoterRequest::Query), None)
            }
            Phase::Rest => (None, None),
        }
    }

    /// A voter told what stands.
    pub fn handle_query_reply(
        &mut self,
        now: Micros,
        setting: &ProposerContext<'_>,
        by: u64,
        told: RegisterSummary,
    ) -> Option<VoterRequest> {
        self.highest = self.highest.max(told.promised.number);
        let Phase::Looking { asked, seen } = &mut self.phase else { return None };
        if !setting.voters.contains(by) || now >= asked.saturating_add(setting.lease.holder_duration) {
            return None;
        }
        seen.insert(by, told);
        if !setting.voters.has_majority(seen) {
            return None;
        }
        let head = seen.values().filter_map(|s| s.accepted).max_by_key(|head| head.version);
        let left = seen.values().filter_map(|s| s.lease).map(|(_, left)| left).max().unwrap_or(0);
        self.known = KnownState { accepted: head, lease_until: now + left, updated_at: now };
        self.pinned = head.and_then(|head| head.pinned);
        let hold = setting.lease.holder_duration;
        let Some(rank) = setting.rank else {
            self.failed = 0;
            self.rest(now + hold * LOOK_LEASES + setting.jitter);
            return None;
        };
        // Each rank leaves the ones before it a quarter of a lease.
        let stagger = hold / 4 * rank as u64 + if rank > 0 { setting.jitter } else { 0 };
        if left > 0 {
            self.failed = 0;
            self.rest(now + left + stagger);
            return None;
        }
        if stagger > 0 && self.failed == 0 {
            // Free, as it seems: the others first, and then another look.
            self.failed = 1;
            self.rest(now + stagger);
            return None;
        }
        Some(self.prepare(now))
    }

    /// Asks for a ballot, whatever stands: voters say whether it may.
    pub fn prepare(&mut self, now: Micros) -> VoterRequest {
        let ballot = Ballot { number: self.highest + 1, proposer: self.me };
        self.highest = ballot.number;
        self.phase = Phase::Preparing { ballot, asked: now, promised: BTreeMap::new() };
        VoterRequest::Prepare(ballot)
    }

    /// The highest number that it has heard of.
    pub fn highest_number(&self) -> u64 {
        self.highest
    }

    /// A voter has promised.
    pub fn handle_promise(
        &mut self,
        now: Micros,
        setting: &ProposerContext<'_>,
        by: u64,
        of: Ballot,
        accepted: Option<Accepted>,
    ) -> Option<VoterRequest> {
        let Phase::Preparing { ballot, asked, promised } = &mut self.phase else { return None };
        // What was asked for long ago may have been forgotten by now.
        let late = now >= asked.saturating_add(setting.lease.holder_duration);
        if *ballot != of || late || !setting.voters.contains(by) {
            return None;
        }
        promised.insert(by, accepted);
        if !setting.voters.has_majority(promised) {
            return None;
        }
        let last = promised.values().flatten().max_by_key(|a| a.version());
        let before = last.map(|a| a.value.clone()).unwrap_or_default();
        let (term, first) = Term::begin(now, setting.lease, of, before);
        self.phase = Phase::Term(Box::new(term));
        Some(VoterRequest::Accept(first))
    }

    /// A voter has accepted a word.
    pub fn handle_accepted(
        &mut self,
        now: Micros,
        setting: &ProposerContext<'_>,
        by: u64,
        of: Ballot,
        seq: u64,
    ) -> Vec<Decision> {
        let Phase::Term(term) = &mut self.phase else { return Vec::new() };
        if term.ballot() != of {
            return Vec::new();
        }
        let told = term.handle_accepted(now, setting.lease, setting.voters, by, seq);
        self.pinned = term.decided().and_then(|value| value.pinned);
        if told.contains(&Decision::Acquired) {
            self.failed = 0;
        }
        if told.iter().any(|d| matches!(d, Decision::Released(_))) {
            // The others first.
            self.rest(now + setting.lease.holder_duration * 2);
        }
        told
    }

    /// A voter does not do what it was asked for.
    pub fn handle_refusal(
        &mut self,
        now: Micros,
        setting: &ProposerContext<'_>,
        of: Ballot,
        promised: Ballot,
        leased: Option<(ProcessId, Micros)>,
    ) {
        self.highest = self.highest.max(promised.number);
        // A term that holds goes on as long as a majority accepts; one voter may be ahead for nothing.
        if let Phase::Preparing { ballot, .. } = &self.phase
            && *ballot == of
        {
            let left = leased.map_or(0, |(_, left)| left);
            self.pause(now, setting);
            self.next = self.next.max(now + left);
        }
    }

    /// The same on a clock that is set back; for searches.
    #[must_use]
    pub fn rebased(&self, to: Micros, by: Micros, lease: Lease) -> Self {
        let back = |at: Micros| at.saturating_sub(by).max(to.saturating_sub(2 * lease.holder_duration));
        let mut next = self.clone();
        match &mut next.phase {
            Phase::Rest => {}
            Phase::Looking { asked, .. } | Phase::Preparing { asked, .. } => *asked = back(*asked),
            Phase::Term(term) => **term = term.rebased(to, by, lease),
        }
        // When it looks, and what it believes, decides when it tries, and nothing that must hold.
        (next.next, next.known, next.failed) = (to, KnownState::default(), 0);
        next
    }
}
