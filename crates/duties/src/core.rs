//! All duties of one member: its part as a voter, and its part as a candidate or holder.

use crate::ballot::{Ballot, Lease, Micros, ProcessId, VoterSet};
use crate::proposer::{
    AcceptedSummary, KnownState, Proposer, ProposerContext, RegisterSummary, VoterRequest,
};
use crate::ranking::{Candidate, Duty, rank_candidates};
use crate::register::{Reason, Register, RegisterValue, Response};
use crate::term::{Decision, StepError, Write};
use crate::voter::{StoredVoter, VoteStatus, Voter, VoterFlags};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of duties. It bounds what a voter keeps, and what it sends to a voter that recovers.
pub const MAX_DUTIES: usize = 32;
/// Maximum number of voters whose write counts a message carries: those of two rosters.
const MAX_WRITE_COUNTS: usize = 16;
/// A member whose tick is late by this part of a lease (a half) is unfit to hold duties. Renewals are due
/// every third of a lease.
const UNFIT_DELAY_DIVISOR: u64 = 2;

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Process that sent the message.
    pub from: ProcessId,
    /// ID of the duty that the message is about; 0 if it is about none.
    pub duty: u64,
    /// Content of the message.
    pub payload: Payload,
}

/// The content of a message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Asks a voter who holds the duty.
    Query,
    /// Answers a query, from a voter.
    QueryReply(RegisterSummary),
    /// Asks a voter to promise a ballot.
    Prepare(Ballot),
    /// Asks a voter to accept a write.
    Accept {
        /// Ballot of the write.
        ballot: Ballot,
        /// Sequence number of the write within its ballot.
        seq: u64,
        /// Value to write.
        value: RegisterValue,
        /// Write count of each voter, as far as the proposer knows: it is passed on so that all voters
        /// remember it, and not the proposer alone.
        write_counts: Vec<(u64, u64)>,
    },
    /// Answers a prepare or accept request, with the voter's write count.
    Response(Response, u64),
    /// Asks the other voters for what a voter that starts may have lost.
    RecoveryRequest {
        /// Number of the request.
        nonce: u64,
    },
    /// Answers a recovery request, from another voter. One is sent for each register that it keeps.
    RecoveryResponse {
        /// Number of the request.
        nonce: u64,
        /// State of the responding voter.
        flags: VoterFlags,
        /// Latest boot number and instance, and highest write count, that the responding voter remembers of
        /// the requesting voter.
        remembers: (Option<(u64, u64)>, u64),
        /// Register of the envelope's duty.
        register: Option<Register>,
        /// Index of this part, and number of parts.
        part: (u8, u8),
    },
    /// Passes an operator's request on to the holder.
    OperatorRequest(OperatorRequest),
    /// Notifies the members that should acquire the duty next that its holder has released it, so that they
    /// need not wait for their next query.
    Released {
        /// Member that the duty is pinned to.
        pinned: Option<u64>,
    },
}

/// What an operator can request of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// The holder releases the duty.
    Yield,
    /// A member holds the duty whenever it is live; none leaves the choice to the ranking.
    Pin(Option<u64>),
}

/// Why an operator's request cannot be passed on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorRequestError {
    /// There is no such duty.
    #[error("unknown duty {0:?}")]
    UnknownDuty(String),
    /// No member holds the duty, as far as this member knows.
    #[error("no holder of the duty is known at present; try again")]
    NoKnownHolder,
    /// The member to pin the duty to is not live.
    #[error("the member to pin the duty to is not present in the fleet")]
    MemberNotPresent,
}

/// An action for the host. Outputs are to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write the state to disk before any later output is carried out, and call [`Duties::persisted`]. If
    /// that fails, the later outputs are to be dropped.
    Persist(StoredVoter),
    /// Erase the stored state before any later output is carried out.
    Erase,
    /// Send a message. One to the local member is to be passed to [`Duties::handle`].
    Send {
        /// Member to send to.
        to: u64,
        /// Message to send.
        envelope: Envelope,
    },
    /// Report an event.
    Event(Event),
}

/// A change to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The local member holds a duty from now on.
    Acquired {
        /// ID of the duty.
        duty: u64,
        /// Token of the term.
        token: u64,
        /// Number of progress steps so far.
        step: u64,
    },
    /// The lease on a duty has expired.
    Expired {
        /// ID of the duty.
        duty: u64,
        /// Token of the term.
        token: u64,
    },
    /// The local member has released a duty.
    Released {
        /// ID of the duty.
        duty: u64,
        /// Token of the term.
        token: u64,
        /// Why it was released.
        reason: Reason,
    },
    /// A progress step is decided.
    StepDecided {
        /// ID of the duty.
        duty: u64,
        /// Token of the term.
        token: u64,
        /// Number of the step.
        step: u64,
    },
    /// The local voter answers requests from now on.
    VotingStarted,
    /// The local voter may have lost promises, and answers no requests until it has recovered.
    VotingSuspended,
}

/// A duty that the local member holds. Its token is to be sent along with each action, and
/// [`HeldDuty::may_act`] is to be checked immediately before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldDuty {
    /// ID of the duty.
    pub duty: u64,
    /// Fencing token, higher than that of any earlier term.
    pub token: u64,
    /// End of the lease by the holder's clock.
    pub until: Micros,
    /// Number of progress steps so far.
    pub step: u64,
    /// Progress data of the last step.
    pub progress: Vec<u8>,
}

impl HeldDuty {
    /// Returns whether an action that takes `duration` may begin at `now`, so that it ends before another
    /// member can hold the duty.
    pub fn may_act(&self, now: Micros, duration: Micros) -> bool {
        now.saturating_add(duration) < self.until
    }
}

/// State of a duty as known to the local member, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Name of the duty.
    pub name: String,
    /// Member that holds the duty, as far as is known.
    pub holder: Option<u64>,
    /// Token of the current or last term.
    pub token: u64,
    /// Time left of the lease (milliseconds).
    pub left_ms: u64,
    /// Age of this information (milliseconds).
    pub age_ms: u64,
    /// Why the last term ended.
    pub reason: Reason,
    /// Member that the duty is pinned to.
    pub pinned: Option<u64>,
    /// Number of progress steps so far.
    pub step: u64,
    /// Members that should hold the duty, best first.
    pub ranks: Vec<u64>,
}

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

    /// Suspends voting because other members know of a later process of this member than its folder does.
    pub fn suspend_voting(&mut self, now: Micros) {
        if let Some(voter) = &mut self.voter {
            let before = voter.status();
            voter.suspend(now, self.lease);
            if voter.status() != before {
                self.on_voting_suspended();
            }
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

    /// Records that the state of the last [`Output::Persist`] is on disk.
    pub fn persisted(&mut self) {
        self.voter.iter_mut().for_each(Voter::persisted);
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

    /// Handles a request to the local voter.
    fn handle_voter_request(&mut self, now: Micros, by: ProcessId, duty: u64, payload: Payload) {
        let lease = self.lease;
        let Some(leased) = self.voter.as_mut().and_then(|voter| voter.register_mut(duty)) else { return };
        let reply = match payload {
            Payload::Query => {
                let (promised, lease) = (leased.register.promised, leased.active_lease(now));
                let accepted = leased.register.accepted.as_ref().map(AcceptedSummary::from_accepted);
                let summary = RegisterSummary { promised, lease, accepted };
                return self.send(by.member, duty, Payload::QueryReply(summary));
            }
            Payload::Prepare(ballot) if ballot.proposer == by => leased.prepare(now, ballot),
            Payload::Accept { ballot, seq, value, write_counts } if ballot.proposer == by => {
                for (voter, write_count) in write_counts.into_iter().take(MAX_WRITE_COUNTS) {
                    if self.voters.contains(voter) {
                        let highest = self.write_counts.entry(voter).or_default();
                        *highest = (*highest).max(write_count);
                    }
                }
                leased.accept(now, lease, ballot, seq, value)
            }
            _ => return,
        };
        let Some(voter) = &mut self.voter else { return };
        // An earlier change that could not be written to a full disk must be persisted too before this
        // response reveals it, even if this request changes nothing.
        if reply.changed || voter.has_unpersisted_write() {
            self.outputs.push(Output::Persist(voter.begin_write()));
        }
        let write_count = voter.write_count();
        self.send(by.member, duty, Payload::Response(reply.response, write_count));
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

    // ---- Voting ----

    fn tick_voter(&mut self, now: Micros) {
        let Some(voter) = &mut self.voter else { return };
        let (nonce, started) = voter.tick(now, self.lease, &self.voters);
        if started {
            self.on_voting_started();
        }
        if let Some(nonce) = nonce {
            for to in self.voters.voters() {
                if to != self.local.member {
                    self.send(to, 0, Payload::RecoveryRequest { nonce });
                }
            }
        }
    }

    fn on_voting_started(&mut self) {
        if let Some(voter) = &mut self.voter {
            // The folder records that the voter has started to vote, even if nothing is decided yet.
            self.outputs.push(Output::Persist(voter.begin_write()));
            self.outputs.push(Output::Event(Event::VotingStarted));
        }
    }

    fn on_voting_suspended(&mut self) {
        // Goes before all other outputs: the next start must not trust the stored state.
        self.outputs.insert(0, Output::Erase);
        self.outputs.push(Output::Event(Event::VotingSuspended));
    }

    /// Handles a recovery request of another voter that starts, and may have lost promises.
    fn handle_recovery_request(&mut self, by: ProcessId, nonce: u64) {
        let Some(voter) = &self.voter else { return };
        let flags = voter.flags();
        let write_count = self.write_counts.get(&by.member).copied().unwrap_or(0);
        let remembers = (self.instances.get(&by.member).copied(), write_count);
        let mut registers: Vec<(u64, Option<Register>)> = if flags.voting {
            voter.registers().into_iter().map(|(d, r)| (d, Some(r))).collect()
        } else {
            Vec::new()
        };
        if registers.is_empty() {
            registers.push((0, None));
        }
        let count = registers.len();
        for (n, (duty, register)) in registers.into_iter().enumerate() {
            let part = (n as u8, count as u8);
            self.send(by.member, duty, Payload::RecoveryResponse { nonce, flags, remembers, register, part });
        }
    }

    // ---- Helpers ----

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

    // ---- Status ----

    /// Returns the state of the local voter.
    pub fn vote_status(&self) -> VoteStatus {
        self.voter.as_ref().map_or(VoteStatus::NonVoter, Voter::status)
    }

    /// Returns the state of each duty as known to the local member.
    pub fn status(&self, now: Micros) -> Vec<DutyStatus> {
        let status = |(id, duty): (&u64, &Duty)| {
            let proposer = self.proposers.get(id)?;
            let held = proposer.term().filter(|term| term.is_held(now));
            let value = held.and_then(|term| term.decided());
            let KnownState { accepted, lease_until, updated_at } = proposer.known_state();
            let reason = value.map(|v| v.reason).or(accepted.map(|a| a.reason)).unwrap_or_default();
            let pinned = value.map_or(accepted.and_then(|a| a.pinned), |v| v.pinned);
            let known_holder =
                accepted.filter(|_| now < lease_until).and_then(|a| a.holder).map(|process| process.member);
            Some(DutyStatus {
                name: duty.name.clone(),
                holder: held.map(|_| self.local.member).or(known_holder),
                token: held.map_or(accepted.map_or(0, |a| a.version.0.number), |term| term.token()),
                left_ms: held.map_or(lease_until, |term| term.until()).saturating_sub(now) / 1000,
                age_ms: if held.is_some() { 0 } else { now.saturating_sub(updated_at) / 1000 },
                reason,
                pinned,
                step: value.map(|v| v.step).or(accepted.map(|a| a.step)).unwrap_or(0),
                ranks: rank_candidates(duty, pinned, &self.candidates),
            })
        };
        self.duties.iter().filter_map(status).collect()
    }

    /// Returns the configured duties by ID.
    pub fn duties(&self) -> impl Iterator<Item = (u64, &Duty)> {
        self.duties.iter().map(|(id, duty)| (*id, duty))
    }

    /// Returns the token of the last write that the local voter has accepted; for checks.
    pub fn accepted_token(&self, duty: u64) -> Option<u64> {
        let leased = self.voter.as_ref()?.register(duty)?;
        leased.register.accepted.as_ref().map(|a| a.ballot.number)
    }

    /// Makes the next query about a duty due at `now`, if it is due later.
    pub fn query_now(&mut self, now: Micros, duty: u64) {
        self.proposers.get_mut(&duty).into_iter().for_each(|p| p.query_by(now));
    }
}

/// Returns a pseudo-random delay of up to an eighth of a lease, the same for the same arguments.
fn jitter(local: ProcessId, duty: u64, number: u64, lease: Lease) -> Micros {
    let input = [local.member, local.instance, duty, number].map(u64::to_le_bytes).concat();
    xxh3_64(&input) % (lease.holder_duration / 8).max(1)
}
