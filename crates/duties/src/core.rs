//! All duties of one member: its part as a voter, and its part as a candidate or holder.

mod status;
mod voting;

use crate::ballot::{Lease, Micros, ProcessId, VoterSet};
use crate::held_duty::HeldDuty;
use crate::message::{Envelope, OperatorRequest, OperatorRequestError, Payload};
use crate::output::{Event, Output};
use crate::proposer::{Proposer, ProposerContext, VoterRequest};
use crate::ranking::{Candidate, Duty, rank_candidates};
use crate::register::{Reason, Response};
use crate::term::{Decision, StepError, Write};
use crate::voter::{StoredVoter, VoteStatus, Voter};
pub use status::DutyStatus;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of duties. It bounds what a voter keeps, and what it sends to a voter that recovers.
pub const MAX_DUTIES: usize = 32;
/// Maximum number of voters whose write counts a message carries: those of two rosters.
const MAX_WRITE_COUNTS: usize = 16;
/// A member whose tick is late by this part of a lease (a half) is unfit to hold duties. Renewals are due
/// every third of a lease.
const UNFIT_DELAY_DIVISOR: u64 = 2;

/// All duties of one member.
#[derive(Clone, Debug)]
pub struct Duties {
    local: ProcessId,
    lease: Lease,
    duties: BTreeMap<u64, Duty>,
    voters: VoterSet,
    voter: Option<Voter>,
    proposers: BTreeMap<u64, Proposer>,
    candidates: Vec<Candidate>,
    may_propose: bool,
    /// Latest boot number and instance of each member.
    instances: BTreeMap<u64, (u64, u64)>,
    /// Highest write count received of each voter.
    write_counts: BTreeMap<u64, u64>,
    /// Number of jitter values drawn so far.
    jitter_count: u64,
    /// When the next tick is due.
    tick_due: Micros,
    outputs: Vec<Output>,
}

impl Duties {
    /// Creates the duties of a member that starts. `stored` is the voter's state in the folder, and none if
    /// that cannot be trusted.
    pub fn new(
        now: Micros,
        local: ProcessId,
        boot: u64,
        lease: Lease,
        stored: Option<StoredVoter>,
        duties: Vec<Duty>,
        voters: VoterSet,
    ) -> Self {
        let duties: BTreeMap<u64, Duty> =
            duties.into_iter().take(MAX_DUTIES).map(|duty| (duty.id(), duty)).collect();
        // Without duties there is nothing to vote on.
        let votes = voters.contains(local.member) && !duties.is_empty();
        let voter = votes.then(|| Voter::new(now, local, boot, lease, stored));
        // Spreads the first queries of members that start at the same time.
        let first_query = |id: &u64| {
            now + xxh3_64(&[id.to_le_bytes(), local.member.to_le_bytes()].concat())
                % (lease.holder_duration / 4).max(1)
        };
        let proposers = duties.keys().map(|id| (*id, Proposer::new(first_query(id), local))).collect();
        Duties {
            local,
            lease,
            duties,
            voters,
            voter,
            proposers,
            candidates: Vec::new(),
            may_propose: false,
            instances: BTreeMap::new(),
            write_counts: BTreeMap::new(),
            jitter_count: 0,
            tick_due: now,
            outputs: Vec::new(),
        }
    }

    // ---- Changes of the fleet ----

    /// Sets the live members, and whether the local member may acquire duties.
    pub fn set_candidates(&mut self, now: Micros, candidates: Vec<Candidate>, may_propose: bool) {
        (self.candidates, self.may_propose) = (candidates, may_propose);
        let ids: Vec<u64> = self.duties.keys().copied().collect();
        for id in ids {
            // A ranked member brings its next query forward; the others keep their schedule.
            if self.rank(id).is_some() {
                let at = now + self.next_jitter(id);
                self.proposers.get_mut(&id).into_iter().for_each(|p| p.query_by(at));
            }
        }
    }

    /// Records the boot number and instance of a member's process, if it is the latest.
    pub fn record_instance(&mut self, member: u64, boot: u64, instance: u64) {
        let known = self.instances.entry(member).or_insert((boot, instance));
        if boot > known.0 {
            *known = (boot, instance);
        }
    }

    /// Sets the members whose responses count from now on. A member that becomes a voter has promised nothing
    /// yet, and recovers the registers first.
    pub fn set_voters(&mut self, now: Micros, voters: VoterSet) {
        if self.voters == voters {
            return;
        }
        self.voters = voters;
        match (self.voters.contains(self.local.member) && !self.duties.is_empty(), &self.voter) {
            (true, None) => {
                self.voter = Some(Voter::new(now, self.local, 0, self.lease, None).joined_later())
            }
            (false, Some(_)) => self.voter = None,
            _ => {}
        }
    }

    /// Returns whether no duties are configured.
    pub fn is_empty(&self) -> bool {
        self.duties.is_empty()
    }

    // ---- Held duties ----

    /// Returns a duty if the local member holds it at `now`. To be called immediately before an action, with
    /// the clock read then.
    pub fn held(&self, now: Micros, duty: u64) -> Option<HeldDuty> {
        let term = self.proposers.get(&duty)?.term().filter(|term| term.is_held(now))?;
        let value = term.decided()?;
        let progress = value.progress.clone();
        Some(HeldDuty { duty, token: term.token(), until: term.until(), step: value.step, progress })
    }

    /// Writes the progress of a held duty, and returns the number of the step. The step is decided once
    /// [`Event::StepDecided`] reports it.
    ///
    /// # Errors
    ///
    /// The duty is not held under this token any more, the previous step is not decided, or the progress data
    /// is too long.
    pub fn record_step(&mut self, now: Micros, held: &HeldDuty, progress: Vec<u8>) -> Result<u64, StepError> {
        let lease = self.lease;
        let term = self.proposers.get_mut(&held.duty).and_then(Proposer::term_mut);
        let (step, write) =
            term.ok_or(StepError::NotHeld(held.token))?.record_step(now, lease, held.token, progress)?;
        self.request_all(held.duty, &VoterRequest::Accept(write));
        Ok(step)
    }

    /// Records that the state of an [`Output::Persist`] with this write count is on disk.
    pub fn persisted(&mut self, write_count: u64) {
        self.voter.iter_mut().for_each(|voter| voter.persisted(write_count));
    }

    /// Handles an operator's request: carries it out if the local member holds the duty, else passes it on to
    /// the holder.
    ///
    /// # Errors
    ///
    /// The duty is unknown, it has no known holder, or the member to pin it to is not live.
    pub fn operator_request(
        &mut self,
        now: Micros,
        name: &str,
        request: OperatorRequest,
    ) -> Result<(), OperatorRequestError> {
        let id = Duty::new(name).id();
        if !self.duties.contains_key(&id) {
            return Err(OperatorRequestError::UnknownDuty(name.to_owned()));
        }
        if let OperatorRequest::Pin(Some(to)) = request
            && !self.candidates.iter().any(|c| c.member == to)
        {
            return Err(OperatorRequestError::MemberNotPresent);
        }
        if self.held(now, id).is_some() {
            self.apply_operator_request(now, id, request);
            return Ok(());
        }
        let known = self.proposers.get(&id).map(Proposer::known_state).unwrap_or_default();
        let holder = known.accepted.and_then(|accepted| accepted.holder).filter(|_| now < known.lease_until);
        let to = holder.ok_or(OperatorRequestError::NoKnownHolder)?.member;
        self.send(to, id, Payload::OperatorRequest(request));
        Ok(())
    }

    fn apply_operator_request(&mut self, now: Micros, duty: u64, request: OperatorRequest) {
        let lease = self.lease;
        let Some(term) = self.proposers.get_mut(&duty).and_then(Proposer::term_mut) else { return };
        let write = match request {
            OperatorRequest::Yield => term.release(now, lease, Reason::Asked),
            OperatorRequest::Pin(to) => term.pin(now, lease, to),
        };
        if let Some(write) = write {
            self.request_all(duty, &VoterRequest::Accept(write));
        }
    }

    /// Releases all held duties, because the process is shutting down or is too slow.
    pub fn release_all(&mut self, now: Micros, reason: Reason) {
        let lease = self.lease;
        let mut writes = Vec::new();
        for (duty, proposer) in &mut self.proposers {
            writes
                .extend(proposer.term_mut().and_then(|t| t.release(now, lease, reason)).map(|w| (*duty, w)));
        }
        writes.into_iter().for_each(|(duty, write)| self.request_all(duty, &VoterRequest::Accept(write)));
        if reason == Reason::Leaving {
            self.may_propose = false;
        }
    }

    // ---- Time and messages ----

    /// Returns when [`Duties::tick`] is to be called next.
    pub fn next_wake(&self) -> Micros {
        let proposers = self.proposers.values().map(|p| p.next_wake(self.lease)).min().unwrap_or(Micros::MAX);
        proposers.min(self.voter.as_ref().map_or(Micros::MAX, Voter::next_wake))
    }

    /// Returns the number of outputs that have not been taken.
    pub fn output_count(&self) -> usize {
        self.outputs.len()
    }

    /// Takes the actions that the host is to carry out by now.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Advances time.
    pub fn tick(&mut self, now: Micros) {
        let delay = now.saturating_sub(self.tick_due);
        if self.tick_due > 0 && delay >= self.lease.holder_duration / UNFIT_DELAY_DIVISOR {
            // The process was suspended or its loop is slow, so other members are fitter to hold its duties.
            self.release_all(now, Reason::Unfit);
        }
        self.tick_voter(now);
        let ids: Vec<u64> = self.duties.keys().copied().collect();
        for id in ids {
            let rank = self.rank(id);
            let jitter = self.next_jitter(id);
            let Some(proposer) = self.proposers.get_mut(&id) else { continue };
            if now < proposer.next_wake(self.lease) {
                continue;
            }
            let context = ProposerContext { lease: self.lease, voters: &self.voters, rank, jitter };
            let (request, expired) = proposer.tick(now, &context);
            if let Some(token) = expired {
                self.outputs.push(Output::Event(Event::Expired { duty: id, token }));
            }
            if let Some(request) = request {
                self.request_all(id, &request);
            }
            self.release_to_pinned(now, id);
        }
        self.tick_due = self.next_wake().max(now);
    }

    /// Handles a message from a member. A message whose sender does not match its envelope is ignored.
    pub fn handle(&mut self, now: Micros, from: u64, envelope: Envelope) {
        let Envelope { from: process, duty, payload } = envelope;
        if process.member != from {
            return;
        }
        let known = self.duties.contains_key(&duty);
        match payload {
            Payload::Query | Payload::Prepare(_) | Payload::Accept { .. } if known => {
                self.handle_voter_request(now, process, duty, payload)
            }
            Payload::QueryReply(reply) if known => {
                let rank = self.rank(duty);
                let context = ProposerContext {
                    lease: self.lease,
                    voters: &self.voters,
                    rank,
                    jitter: jitter(self.local, duty, now, self.lease),
                };
                let request = self
                    .proposers
                    .get_mut(&duty)
                    .and_then(|p| p.handle_query_reply(now, &context, from, reply));
                if let Some(request) = request {
                    self.request_all(duty, &request);
                }
            }
            Payload::Response(response, write_count) if known => {
                let highest = self.write_counts.entry(from).or_default();
                *highest = (*highest).max(write_count);
                self.handle_response(now, from, duty, response);
            }
            Payload::RecoveryRequest { nonce } => self.handle_recovery_request(process, nonce),
            Payload::RecoveryResponse { nonce, flags, remembers, register, part } => {
                let register = register.as_ref().filter(|_| known).map(|r| (duty, r));
                let Some(voter) = &mut self.voter else { return };
                let before = voter.status();
                let started = voter.handle_recovery_response(
                    now,
                    self.lease,
                    &self.voters,
                    from,
                    nonce,
                    flags,
                    remembers,
                    register,
                    part,
                );
                let suspended = before == VoteStatus::Checking && voter.status() == VoteStatus::Silent;
                if started {
                    self.on_voting_started();
                } else if suspended {
                    self.on_voting_suspended();
                }
            }
            Payload::OperatorRequest(request) if known => self.apply_operator_request(now, duty, request),
            Payload::Released { pinned } if known => {
                self.proposers.get_mut(&duty).into_iter().for_each(|p| p.handle_release(now, pinned));
            }
            _ => {}
        }
    }

    /// Handles a voter's response to a prepare or accept request of the local member.
    fn handle_response(&mut self, now: Micros, by: u64, duty: u64, response: Response) {
        let rank = self.rank(duty);
        let jitter = jitter(self.local, duty, now, self.lease);
        let context = ProposerContext { lease: self.lease, voters: &self.voters, rank, jitter };
        let Some(proposer) = self.proposers.get_mut(&duty) else { return };
        let token = proposer.term().map_or(0, |term| term.token());
        let mut request = None;
        let mut decisions = Vec::new();
        match response {
            Response::Promise { ballot, accepted } => {
                request = proposer.handle_promise(now, &context, by, ballot, accepted)
            }
            Response::Accepted { ballot, seq } => {
                decisions = proposer.handle_accepted(now, &context, by, ballot, seq)
            }
            Response::Refused { ballot, promised, lease } => {
                proposer.handle_refusal(now, &context, ballot, promised, lease)
            }
        }
        let step = proposer.term().and_then(|term| term.decided()).map_or(0, |value| value.step);
        if decisions.iter().any(|d| matches!(d, Decision::Released(_))) {
            let pinned = proposer.pinned();
            let ranked = self
                .duties
                .get(&duty)
                .map(|duty| rank_candidates(duty, pinned, &self.candidates))
                .unwrap_or_default();
            let local = self.local.member;
            for to in ranked.into_iter().filter(|to| *to != local) {
                self.send(to, duty, Payload::Released { pinned });
            }
        }
        for decision in decisions {
            self.outputs.push(Output::Event(match decision {
                Decision::Acquired => Event::Acquired { duty, token, step },
                Decision::Step(step) => Event::StepDecided { duty, token, step },
                Decision::Released(reason) => Event::Released { duty, token, reason },
            }));
        }
        if let Some(request) = request {
            self.request_all(duty, &request);
        }
        self.release_to_pinned(now, duty);
    }

    /// Releases a held duty if it is pinned to another member that is live.
    fn release_to_pinned(&mut self, now: Micros, duty: u64) {
        let lease = self.lease;
        let candidates = &self.candidates;
        let Some(term) = self.proposers.get_mut(&duty).and_then(Proposer::term_mut) else { return };
        let pinned = term.decided().and_then(|value| value.pinned);
        let target =
            pinned.filter(|to| *to != self.local.member && candidates.iter().any(|c| c.member == *to));
        if target.is_some()
            && let Some(write) = term.release(now, lease, Reason::Pinned)
        {
            self.request_all(duty, &VoterRequest::Accept(write));
        }
    }

    /// Returns the local member's position in the ranking of a duty, if it may acquire duties and is ranked.
    fn rank(&self, duty: u64) -> Option<usize> {
        let configured = self.duties.get(&duty).filter(|_| self.may_propose)?;
        let pinned = self.proposers.get(&duty).and_then(Proposer::pinned);
        rank_candidates(configured, pinned, &self.candidates).iter().position(|id| *id == self.local.member)
    }

    fn next_jitter(&mut self, duty: u64) -> Micros {
        self.jitter_count += 1;
        jitter(self.local, duty, self.jitter_count, self.lease)
    }

    /// Sends a request to all voters.
    fn request_all(&mut self, duty: u64, request: &VoterRequest) {
        let known_count = |id: &u64| self.write_counts.get(id).map(|write_count| (*id, *write_count));
        let write_counts: Vec<(u64, u64)> =
            self.voters.voters().iter().filter_map(known_count).take(MAX_WRITE_COUNTS).collect();
        for to in self.voters.voters() {
            let payload = match request {
                VoterRequest::Query => Payload::Query,
                VoterRequest::Prepare(ballot) => Payload::Prepare(*ballot),
                VoterRequest::Accept(Write { ballot, seq, value }) => {
                    let write_counts = write_counts.clone();
                    Payload::Accept { ballot: *ballot, seq: *seq, value: value.clone(), write_counts }
                }
            };
            self.send(to, duty, payload);
        }
    }

    fn send(&mut self, to: u64, duty: u64, payload: Payload) {
        self.outputs.push(Output::Send { to, envelope: Envelope { from: self.local, duty, payload } });
    }
}

/// Returns a pseudo-random delay of up to an eighth of a lease, the same for the same arguments.
fn jitter(local: ProcessId, duty: u64, number: u64, lease: Lease) -> Micros {
    let input = [local.member, local.instance, duty, number].map(u64::to_le_bytes).concat();
    xxh3_64(&input) % (lease.holder_duration / 8).max(1)
}
