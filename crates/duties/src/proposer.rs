//! How a member acquires a duty: it queries the voters for the holder, asks a majority to promise a ballot,
//! and writes.

use crate::ballot::{Ballot, Lease, Micros, ProcessId, VoterSet};
use crate::register::{Accepted, Reason, RegisterValue};
use crate::term::{Decision, Term, Write};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A voter's reply to a query about a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisterSummary {
    /// Ballot that the voter has promised.
    pub promised: Ballot,
    /// Process that holds the lease, and the time left (microseconds).
    pub lease: Option<(ProcessId, Micros)>,
    /// Last accepted write, without its progress data.
    pub accepted: Option<AcceptedSummary>,
}

/// An accepted write without its progress data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedSummary {
    /// Ballot of the write, and its sequence number within the ballot.
    pub version: (Ballot, u64),
    /// Process that holds the duty.
    pub holder: Option<ProcessId>,
    /// Why the last term ended.
    pub reason: Reason,
    /// Member that the duty is pinned to.
    pub pinned: Option<u64>,
    /// Number of progress steps so far.
    pub step: u64,
}

impl AcceptedSummary {
    /// Summarizes an accepted write.
    pub fn from_accepted(accepted: &Accepted) -> Self {
        let RegisterValue { holder, reason, pinned, step, .. } = accepted.value;
        AcceptedSummary { version: accepted.version(), holder, reason, pinned, step }
    }
}

/// What a member knows of a duty that it does not hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KnownState {
    /// Newest accepted write among the replies of a majority.
    pub accepted: Option<AcceptedSummary>,
    /// End of the holder's lease by the local clock.
    pub lease_until: Micros,
    /// When a majority last replied.
    pub updated_at: Micros,
}

/// A request to all voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterRequest {
    /// Asks who holds the duty.
    Query,
    /// Asks for a promise of a ballot.
    Prepare(Ballot),
    /// Asks to accept a write.
    Accept(Write),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Querying { asked_at: Micros, replies: BTreeMap<u64, RegisterSummary> },
    Preparing { ballot: Ballot, asked_at: Micros, promises: BTreeMap<u64, Option<Accepted>> },
    Holding(Box<Term>),
}

/// The part of one member in the election of one duty's holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    local: ProcessId,
    phase: Phase,
    /// When the next query is due.
    next_query: Micros,
    /// Highest ballot number received so far.
    highest_number: u64,
    known: KnownState,
    /// Member that the duty is pinned to, as last reported.
    pinned: Option<u64>,
    /// Number of failed attempts in a row.
    failed_attempts: u32,
}

/// What a proposer needs to know of the fleet when it acts.
#[derive(Clone, Copy, Debug)]
pub struct ProposerContext<'a> {
    /// Lease durations.
    pub lease: Lease,
    /// Members whose responses count.
    pub voters: &'a VoterSet,
    /// Position of the local member in the ranking of candidates, from 0; none if it is not ranked.
    pub rank: Option<usize>,
    /// Random delay of up to an eighth of a lease, which keeps members of the same rank from trying at the
    /// same time.
    pub jitter: Micros,
}

/// Interval between the queries of members that are not ranked (lease durations).
const UNRANKED_QUERY_LEASES: u64 = 10;

impl Proposer {
    /// Creates a proposer whose first query is due at `first_query`.
    pub fn new(first_query: Micros, local: ProcessId) -> Self {
        Proposer {
            local,
            phase: Phase::Idle,
            next_query: first_query,
            highest_number: 0,
            known: KnownState::default(),
            pinned: None,
            failed_attempts: 0,
        }
    }

    /// Returns the term of the local member, if it has one.
    pub fn term(&self) -> Option<&Term> {
        if let Phase::Holding(term) = &self.phase { Some(term) } else { None }
    }

    /// Returns the term of the local member for writing, if it has one.
    pub fn term_mut(&mut self) -> Option<&mut Term> {
        if let Phase::Holding(term) = &mut self.phase { Some(term) } else { None }
    }

    /// Returns what is known of the duty while it is not held here.
    pub fn known_state(&self) -> KnownState {
        self.known
    }

    /// Returns when [`Proposer::tick`] is to be called next.
    pub fn next_wake(&self, lease: Lease) -> Micros {
        match &self.phase {
            Phase::Idle => self.next_query,
            Phase::Querying { asked_at, .. } | Phase::Preparing { asked_at, .. } => {
                asked_at.saturating_add(lease.holder_duration)
            }
            Phase::Holding(term) => term.next_wake(),
        }
    }

    /// Returns the member that the duty is pinned to, as far as is known.
    pub fn pinned(&self) -> Option<u64> {
        self.pinned
    }

    /// Handles a holder's notice that it has released the duty: the next query is due at once.
    pub fn handle_release(&mut self, now: Micros, pinned: Option<u64>) {
        self.pinned = pinned;
        (self.known.lease_until, self.failed_attempts) = (now, 0);
        self.query_by(now);
    }

    /// Makes the next query due at `at`, if it is due later.
    pub fn query_by(&mut self, at: Micros) {
        self.next_query = self.next_query.min(at);
    }

    fn idle_until(&mut self, next_query: Micros) {
        (self.phase, self.next_query) = (Phase::Idle, next_query);
    }

    /// Backs off after a failed attempt, for longer each time, up to four leases.
    fn back_off(&mut self, now: Micros, context: &ProposerContext<'_>) {
        self.failed_attempts = (self.failed_attempts + 1).min(4);
        let delay = ((context.lease.holder_duration / 4) << self.failed_attempts)
            .min(context.lease.holder_duration * 4);
        self.idle_until(now + delay / 2 + context.jitter * u64::from(self.failed_attempts));
    }

    /// Advances time. Returns the request to send to all voters, and the token of a held term that has
    /// expired.
    pub fn tick(
        &mut self,
        now: Micros,
        context: &ProposerContext<'_>,
    ) -> (Option<VoterRequest>, Option<u64>) {
        match &mut self.phase {
            Phase::Holding(term) if term.is_expired(now) => {
                let token = term.decided().map(|_| term.token());
                self.back_off(now, context);
                (None, token)
            }
            Phase::Holding(term) => (term.tick(now, context.lease).map(VoterRequest::Accept), None),
            Phase::Querying { asked_at, .. } | Phase::Preparing { asked_at, .. } => {
                if now >= asked_at.saturating_add(context.lease.holder_duration) {
                    self.back_off(now, context);
                }
                (None, None)
            }
            Phase::Idle if now >= self.next_query => {
                self.phase = Phase::Querying { asked_at: now, replies: BTreeMap::new() };
                (Some(VoterRequest::Query), None)
            }
            Phase::Idle => (None, None),
        }
    }

    /// Handles a voter's reply to a query. Returns the prepare request once a majority has replied and it is
    /// the local member's turn to acquire the duty.
    pub fn handle_query_reply(
        &mut self,
        now: Micros,
        context: &ProposerContext<'_>,
        by: u64,
        reply: RegisterSummary,
    ) -> Option<VoterRequest> {
        self.highest_number = self.highest_number.max(reply.promised.number);
        let Phase::Querying { asked_at, replies } = &mut self.phase else { return None };
        if !context.voters.contains(by) || now >= asked_at.saturating_add(context.lease.holder_duration) {
            return None;
        }
        replies.insert(by, reply);
        if !context.voters.has_majority(replies) {
            return None;
        }
        let accepted = replies.values().filter_map(|s| s.accepted).max_by_key(|accepted| accepted.version);
        let left = replies.values().filter_map(|s| s.lease).map(|(_, left)| left).max().unwrap_or(0);
        self.known = KnownState { accepted, lease_until: now + left, updated_at: now };
        self.pinned = accepted.and_then(|accepted| accepted.pinned);
        let holder_duration = context.lease.holder_duration;
        let Some(rank) = context.rank else {
            self.failed_attempts = 0;
            self.idle_until(now + holder_duration * UNRANKED_QUERY_LEASES + context.jitter);
            return None;
        };
        // Each rank gives those before it a head start of a quarter of a lease.
        let stagger = holder_duration / 4 * rank as u64 + if rank > 0 { context.jitter } else { 0 };
        if left > 0 {
            self.failed_attempts = 0;
            self.idle_until(now + left + stagger);
            return None;
        }
        if stagger > 0 && self.failed_attempts == 0 {
            // The duty seems vacant: leave it to the better ranked members first, then query again.
            self.failed_attempts = 1;
            self.idle_until(now + stagger);
            return None;
        }
        Some(self.prepare(now))
    }

    /// Starts a ballot regardless of what is known of the duty; the voters decide whether to promise it.
    pub fn prepare(&mut self, now: Micros) -> VoterRequest {
        let ballot = Ballot { number: self.highest_number + 1, proposer: self.local };
        self.highest_number = ballot.number;
        self.phase = Phase::Preparing { ballot, asked_at: now, promises: BTreeMap::new() };
        VoterRequest::Prepare(ballot)
    }

    /// Returns the highest ballot number received so far.
    pub fn highest_number(&self) -> u64 {
        self.highest_number
    }

    /// Handles a voter's promise. Returns the first write of the term once a majority has promised.
    pub fn handle_promise(
        &mut self,
        now: Micros,
        context: &ProposerContext<'_>,
        by: u64,
        promised: Ballot,
        accepted: Option<Accepted>,
    ) -> Option<VoterRequest> {
        let Phase::Preparing { ballot, asked_at, promises } = &mut self.phase else { return None };
        // A voter may by now have lost a promise that was requested more than a lease ago.
        let late = now >= asked_at.saturating_add(context.lease.holder_duration);
        if *ballot != promised || late || !context.voters.contains(by) {
            return None;
        }
        promises.insert(by, accepted);
        if !context.voters.has_majority(promises) {
            return None;
        }
        let last = promises.values().flatten().max_by_key(|a| a.version());
        let previous = last.map(|a| a.value.clone()).unwrap_or_default();
        let (term, first) = Term::begin(now, context.lease, promised, previous);
        self.phase = Phase::Holding(Box::new(term));
        Some(VoterRequest::Accept(first))
    }

    /// Handles a voter's acceptance of a write, and returns what that decides.
    pub fn handle_accepted(
        &mut self,
        now: Micros,
        context: &ProposerContext<'_>,
        by: u64,
        ballot: Ballot,
        seq: u64,
    ) -> Vec<Decision> {
        let Phase::Holding(term) = &mut self.phase else { return Vec::new() };
        if term.ballot() != ballot {
            return Vec::new();
        }
        let decisions = term.handle_accepted(now, context.lease, context.voters, by, seq);
        self.pinned = term.decided().and_then(|value| value.pinned);
        if decisions.contains(&Decision::Acquired) {
            self.failed_attempts = 0;
        }
        if decisions.iter().any(|d| matches!(d, Decision::Released(_))) {
            // Leaves the duty to the other members first.
            self.idle_until(now + context.lease.holder_duration * 2);
        }
        decisions
    }

    /// Handles a voter's refusal of a request.
    pub fn handle_refusal(
        &mut self,
        now: Micros,
        context: &ProposerContext<'_>,
        refused: Ballot,
        promised: Ballot,
        lease: Option<(ProcessId, Micros)>,
    ) {
        self.highest_number = self.highest_number.max(promised.number);
        // A held term goes on as long as a majority accepts its writes: a single voter may have promised a
        // ballot that never gets a majority.
        if let Phase::Preparing { ballot, .. } = &self.phase
            && *ballot == refused
        {
            let left = lease.map_or(0, |(_, left)| left);
            self.back_off(now, context);
            self.next_query = self.next_query.max(now + left);
        }
    }

    /// Returns the same proposer on a clock that reads `to` where this one reads `to + by`. State-space
    /// searches use it to merge states that differ only in time.
    #[must_use]
    pub fn rebased(&self, to: Micros, by: Micros, lease: Lease) -> Self {
        let back = |at: Micros| at.saturating_sub(by).max(to.saturating_sub(2 * lease.holder_duration));
        let mut next = self.clone();
        match &mut next.phase {
            Phase::Idle => {}
            Phase::Querying { asked_at, .. } | Phase::Preparing { asked_at, .. } => {
                *asked_at = back(*asked_at);
            }
            Phase::Holding(term) => **term = term.rebased(to, by, lease),
        }
        // The next query and the known state decide only when the member tries; safety does not depend on
        // them.
        (next.next_query, next.known, next.failed_attempts) = (to, KnownState::default(), 0);
        next
    }
}
