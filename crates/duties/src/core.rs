//! All duties of one member: what it votes on, what it looks for, what it holds.

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

/// Duties at the most: what is kept, and what a voter that starts is told, is bounded by it.
pub const MAX_DUTIES: usize = 32;
/// Voters whose writes are told of: those of two rosters.
const MAX_WRITE_COUNTS: usize = 16;
/// A renewal is a third of a lease; one that looks at the clock this much later than it meant to (parts of a lease) is unfit.
const LATE_PART: u64 = 2;

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Which process speaks.
    pub from: ProcessId,
    /// About which duty; 0 where it is about none.
    pub duty: u64,
    /// What it says.
    pub payload: Payload,
}

/// What it says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// To a voter: who holds it?
    Query,
    /// By a voter.
    QueryReply(RegisterSummary),
    /// To a voter: may this ballot write?
    Prepare(Ballot),
    /// To a voter: this holds.
    Accept {
        /// Under which ballot.
        ballot: Ballot,
        /// Which word of it.
        seq: u64,
        /// What holds.
        value: RegisterValue,
        /// How often each voter wrote, as far as the writer has heard: so that all remember it, and not the writer alone.
        write_counts: Vec<(u64, u64)>,
    },
    /// By a voter, with how often it wrote.
    Response(Response, u64),
    /// A voter starts, and asks the others.
    RecoveryRequest {
        /// Numbers the question.
        nonce: u64,
    },
    /// By another voter, once for each register that it keeps.
    RecoveryResponse {
        /// The question's number.
        nonce: u64,
        /// How it stands.
        flags: VoterFlags,
        /// Boot and life that it remembers of the one that asked, and how often that wrote as far as it has heard.
        remembers: (Option<(u64, u64)>, u64),
        /// What it keeps of the letter's duty.
        register: Option<Register>,
        /// Which part of how many.
        part: (u8, u8),
    },
    /// To a holder, by an operator.
    OperatorRequest(OperatorRequest),
    /// By one that gave a duty up, to those that should take it: they need not find that out.
    Released {
        /// To whom it is pinned.
        pinned: Option<u64>,
    },
}

/// What an operator wants of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// That its holder gives it up.
    Yield,
    /// That a member holds it whenever it is there; none: whoever follows from the rule.
    Pin(Option<u64>),
}

/// Why a wish is not passed on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorRequestError {
    /// No such duty.
    #[error("there is no duty {0:?}")]
    UnknownDuty(String),
    /// Nobody holds it, as far as this member knows.
    #[error("nobody is known to hold it now; ask again")]
    NoKnownHolder,
    /// The member is not there.
    #[error("the member is not there")]
    MemberNotPresent,
}

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To be on disk before anything that stands behind it is sent, and [`Duties::persisted`] to be told of it; if it can't be, what
    /// stands behind it is dropped.
    Persist(StoredVoter),
    /// What is on disk is taken out before anything that stands behind this is done.
    Erase,
    /// A letter; one to this member itself is handed in again.
    Send {
        /// To whom.
        to: u64,
        /// What.
        envelope: Envelope,
    },
    /// For whoever wants to know.
    Event(Event),
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A duty is held here from now on.
    Acquired {
        /// Which.
        duty: u64,
        /// Under which token.
        token: u64,
        /// Steps of progress so far.
        step: u64,
    },
    /// It is not held any more: its lease ended.
    Expired {
        /// Which.
        duty: u64,
        /// Under which token.
        token: u64,
    },
    /// It was given up.
    Released {
        /// Which.
        duty: u64,
        /// Under which token.
        token: u64,
        /// Why.
        reason: Reason,
    },
    /// A step of progress is decided.
    StepDecided {
        /// Which duty.
        duty: u64,
        /// Under which token.
        token: u64,
        /// The how manieth.
        step: u64,
    },
    /// This voter's word counts from now on.
    VotingStarted,
    /// This voter may have forgotten what it promised.
    VotingSuspended,
}

/// A duty that is held: to be shown wherever it acts, and to be looked at again at the last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldDuty {
    /// Which.
    pub duty: u64,
    /// Under which token: higher than that of any term before.
    pub token: u64,
    /// Until when, by the holder's clock.
    pub until: Micros,
    /// Steps of progress so far,
    pub step: u64,
    /// and what has been done.
    pub progress: Vec<u8>,
}

impl HeldDuty {
    /// Whether an act that takes so long may begin at a moment: it ends before anybody else can hold the duty.
    pub fn may_act(&self, now: Micros, takes: Micros) -> bool {
        now.saturating_add(takes) < self.until
    }
}

/// A duty as it stands here, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Its name.
    pub name: String,
    /// Who holds it, as far as is known here.
    pub holder: Option<u64>,
    /// The token.
    pub token: u64,
    /// For how long (milliseconds).
    pub left_ms: u64,
    /// How old that knowledge is (milliseconds).
    pub age_ms: u64,
    /// Why the last term ended.
    pub reason: Reason,
    /// To whom it is pinned.
    pub pinned: Option<u64>,
    /// Steps of progress.
    pub step: u64,
    /// Who should hold it, in this order.
    pub ranks: Vec<u64>,
}

/// All duties of one member.
#[derive(Clone, Debug)]
pub struct Duties {
    me: ProcessId,
    lease: Lease,
    duties: BTreeMap<u64, Duty>,
    voters: VoterSet,
    voter: Option<Voter>,
    seekers: BTreeMap<u64, Proposer>,
    there: Vec<Candidate>,
    may_seek: bool,
    remembered: BTreeMap<u64, (u64, u64)>,
    /// How often each voter wrote, as far as was heard.
    wrote: BTreeMap<u64, u64>,
    /// Numbers its draws.
    draws: u64,
    /// When it meant to look at the clock.
    due: Micros,
    outputs: Vec<Output>,
}

impl Duties {
    /// A member that starts: its life, its boot, what its folder holds (none where that can't be believed), the duties, and whose
    /// answers count.
    pub fn new(
        now: Micros,
        me: ProcessId,
        boot: u64,
        lease: Lease,
        found: Option<StoredVoter>,
        duties: Vec<Duty>,
        voters: VoterSet,
    ) -> Self {
        let duties: BTreeMap<u64, Duty> =
            duties.into_iter().take(MAX_DUTIES).map(|duty| (duty.id(), duty)).collect();
        // Where there are no duties there is nothing to vote on.
        let votes = voters.contains(me.member) && !duties.is_empty();
        let voter = votes.then(|| Voter::new(now, me, boot, lease, found));
        // Not all that start at once look at once.
        let first = |id: &u64| {
            now + xxh3_64(&[id.to_le_bytes(), me.member.to_le_bytes()].concat())
                % (lease.holder_duration / 4).max(1)
        };
        let seekers = duties.keys().map(|id| (*id, Proposer::new(first(id), me))).collect();
        Duties {
            me,
            lease,
            duties,
            voters,
            voter,
            seekers,
            there: Vec::new(),
            may_seek: false,
            remembered: BTreeMap::new(),
            wrote: BTreeMap::new(),
            draws: 0,
            due: now,
            outputs: Vec::new(),
        }
    }

    // ---- What it is told of the fleet ----

    /// Who is there, and whether this member may seek duties.
    pub fn set_candidates(&mut self, now: Micros, there: Vec<Candidate>, may_seek: bool) {
        (self.there, self.may_seek) = (there, may_seek);
        let ids: Vec<u64> = self.duties.keys().copied().collect();
        for id in ids {
            // Whoever should try now looks soon; the others as before.
            if self.rank(id).is_some() {
                let at = now + self.draw(id);
                self.seekers.get_mut(&id).into_iter().for_each(|s| s.query_by(at));
            }
        }
    }

    /// The newest boot of a member, and its life.
    pub fn record_instance(&mut self, member: u64, boot: u64, life: u64) {
        let known = self.remembered.entry(member).or_insert((boot, life));
        if boot > known.0 {
            *known = (boot, life);
        }
    }

    /// Others know of a later life of this member than its folder.
    pub fn suspend_voting(&mut self, now: Micros) {
        if let Some(voter) = &mut self.voter {
            let before = voter.status();
            voter.suspend(now, self.lease);
            if voter.status() != before {
                self.doubts();
            }
        }
    }

    /// Whose answers count from now on. One that comes to vote has promised nothing, and learns first.
    pub fn set_voters(&mut self, now: Micros, voters: VoterSet) {
        if self.voters == voters {
            return;
        }
        self.voters = voters;
        match (self.voters.contains(self.me.member) && !self.duties.is_empty(), &self.voter) {
            (true, None) => self.voter = Some(Voter::new(now, self.me, 0, self.lease, None).joined_later()),
            (false, Some(_)) => self.voter = None,
            _ => {}
        }
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.duties.is_empty()
    }

    // ---- What it holds ----

    /// A duty that it holds at a moment. To be asked at the last step before an act, with the clock read then.
    pub fn held(&self, now: Micros, duty: u64) -> Option<HeldDuty> {
        let term = self.seekers.get(&duty)?.term().filter(|term| term.is_held(now))?;
        let value = term.decided()?;
        let progress = value.progress.clone();
        Some(HeldDuty { duty, token: term.token(), until: term.until(), step: value.step, progress })
    }

    /// What has been done so far under a held duty: its step is decided once [`Event::StepDecided`] says so.
    ///
    /// # Errors
    ///
    /// It is not held under that token any more, the step before is not decided, or it is too long.
    pub fn record_step(&mut self, now: Micros, held: &HeldDuty, progress: Vec<u8>) -> Result<u64, StepError> {
        let lease = self.lease;
        let term = self.seekers.get_mut(&held.duty).and_then(Proposer::term_mut);
        let (step, write) =
            term.ok_or(StepError::NotHeld(held.token))?.record_step(now, lease, held.token, progress)?;
        self.ask_all(held.duty, &VoterRequest::Accept(write));
        Ok(step)
    }

    /// What [`Output::Persist`] asked for stands on disk.
    pub fn persisted(&mut self) {
        self.voter.iter_mut().for_each(Voter::persisted);
    }

    /// An operator's wish: to this member itself if it holds the duty, else to whoever does.
    ///
    /// # Errors
    ///
    /// No such duty, nobody holds it, or the member to pin it to is not there.
    pub fn operator_request(
        &mut self,
        now: Micros,
        name: &str,
        wish: OperatorRequest,
    ) -> Result<(), OperatorRequestError> {
        let id = Duty::new(name).id();
        if !self.duties.contains_key(&id) {
            return Err(OperatorRequestError::UnknownDuty(name.to_owned()));
        }
        if let OperatorRequest::Pin(Some(to)) = wish
            && !self.there.iter().any(|c| c.member == to)
        {
            return Err(OperatorRequestError::MemberNotPresent);
        }
        if self.held(now, id).is_some() {
            self.wished(now, id, wish);
            return Ok(());
        }
        let belief = self.seekers.get(&id).map(Proposer::known_state).unwrap_or_default();
        let holder = belief.accepted.and_then(|head| head.holder).filter(|_| now < belief.lease_until);
        let to = holder.ok_or(OperatorRequestError::NoKnownHolder)?.member;
        self.send(to, id, Payload::OperatorRequest(wish));
        Ok(())
    }

    fn wished(&mut self, now: Micros, duty: u64, wish: OperatorRequest) {
        let lease = self.lease;
        let Some(term) = self.seekers.get_mut(&duty).and_then(Proposer::term_mut) else { return };
        let write = match wish {
            OperatorRequest::Yield => term.release(now, lease, Reason::Asked),
            OperatorRequest::Pin(to) => term.pin(now, lease, to),
        };
        if let Some(write) = write {
            self.ask_all(duty, &VoterRequest::Accept(write));
        }
    }

    /// Everything is given up, since the process is to end, or is too slow.
    pub fn release_all(&mut self, now: Micros, reason: Reason) {
        let lease = self.lease;
        let mut writes = Vec::new();
        for (duty, seeker) in &mut self.seekers {
            writes.extend(seeker.term_mut().and_then(|t| t.release(now, lease, reason)).map(|w| (*duty, w)));
        }
        writes.into_iter().for_each(|(duty, write)| self.ask_all(duty, &VoterRequest::Accept(write)));
        if reason == Reason::Leaving {
            self.may_seek = false;
        }
    }

    // ---- Time and letters ----

    /// When [`Duties::tick`] is to be called.
    pub fn next_wake(&self) -> Micros {
        let seekers = self.seekers.values().map(|s| s.next_wake(self.lease)).min().unwrap_or(Micros::MAX);
        seekers.min(self.voter.as_ref().map_or(Micros::MAX, Voter::next_wake))
    }

    /// What the host is to do by now.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        let late = now.saturating_sub(self.due);
        if self.due > 0 && late >= self.lease.holder_duration / LATE_PART {
            // It was stopped, or its loop is slow: what it still holds others do better.
            self.release_all(now, Reason::Unfit);
        }
        self.vote(now);
        let ids: Vec<u64> = self.duties.keys().copied().collect();
        for id in ids {
            let rank = self.rank(id);
            let jitter = self.draw(id);
            let Some(seeker) = self.seekers.get_mut(&id) else { continue };
            if now < seeker.next_wake(self.lease) {
                continue;
            }
            let setting = ProposerContext { lease: self.lease, voters: &self.voters, rank, jitter };
            let (ask, ended) = seeker.tick(now, &setting);
            if let Some(token) = ended {
                self.outputs.push(Output::Event(Event::Expired { duty: id, token }));
            }
            if let Some(ask) = ask {
                self.ask_all(id, &ask);
            }
            self.hand_on(now, id);
        }
        self.due = self.next_wake().max(now);
    }

    /// A letter has come.
    pub fn handle(&mut self, now: Micros, from: u64, letter: Envelope) {
        let Envelope { from: life, duty, payload: body } = letter;
        if life.member != from {
            return;
        }
        let known = self.duties.contains_key(&duty);
        match body {
            Payload::Query | Payload::Prepare(_) | Payload::Accept { .. } if known => {
                self.asked(now, life, duty, body)
            }
            Payload::QueryReply(seen) if known => {
                let rank = self.rank(duty);
                let setting = ProposerContext {
                    lease: self.lease,
                    voters: &self.voters,
                    rank,
                    jitter: draw(self.me, duty, now, self.lease),
                };
                let ask =
                    self.seekers.get_mut(&duty).and_then(|s| s.handle_query_reply(now, &setting, from, seen));
                if let Some(ask) = ask {
                    self.ask_all(duty, &ask);
                }
            }
            Payload::Response(answer, wrote) if known => {
                let heard = self.wrote.entry(from).or_default();
                *heard = (*heard).max(wrote);
                self.answered(now, from, duty, answer);
            }
            Payload::RecoveryRequest { nonce } => self.recall(life, nonce),
            Payload::RecoveryResponse { nonce, flags: of, remembers, register, part } => {
                let register = register.as_ref().filter(|_| known).map(|r| (duty, r));
                let Some(voter) = &mut self.voter else { return };
                let before = voter.status();
                let began = voter.handle_recovery_response(
                    now,
                    self.lease,
                    &self.voters,
                    from,
                    nonce,
                    of,
                    remembers,
                    register,
                    part,
                );
                let doubts = before == VoteStatus::Checking && voter.status() == VoteStatus::Silent;
                if began {
                    self.begins_to_vote();
                } else if doubts {
                    self.doubts();
                }
            }
            Payload::OperatorRequest(wish) if known => self.wished(now, duty, wish),
            Payload::Released { pinned } if known => {
                self.seekers.get_mut(&duty).into_iter().for_each(|s| s.handle_release(now, pinned));
            }
            _ => {}
        }
    }

    /// A voter is asked.
    fn asked(&mut self, now: Micros, by: ProcessId, duty: u64, body: Payload) {
        let lease = self.lease;
        let Some(kept) = self.voter.as_mut().and_then(|voter| voter.register_mut(duty)) else { return };
        let ruling = match body {
            Payload::Query => {
                let (promised, lease) = (kept.register.promised, kept.active_lease(now));
                let head = kept.register.accepted.as_ref().map(AcceptedSummary::from_accepted);
                return self.send(
                    by.member,
                    duty,
                    Payload::QueryReply(RegisterSummary { promised, lease, accepted: head }),
                );
            }
            Payload::Prepare(ballot) if ballot.proposer == by => kept.prepare(now, ballot),
            Payload::Accept { ballot, seq, value, write_counts: wrote } if ballot.proposer == by => {
                for (voter, wrote) in wrote.into_iter().take(MAX_WRITE_COUNTS) {
                    if self.voters.contains(voter) {
                        let heard = self.wrote.entry(voter).or_default();
                        *heard = (*heard).max(wrote);
                    }
                }
                kept.accept(now, lease, ballot, seq, value)
            }
            _ => return,
        };
        let Some(voter) = &mut self.voter else { return };
        // What a full disk did not take before is not told by a word that changes nothing.
        if ruling.changed || voter.has_unpersisted_write() {
            self.outputs.push(Output::Persist(voter.begin_write()));
        }
        let wrote = voter.write_count();
        self.send(by.member, duty, Payload::Response(ruling.response, wrote));
    }

    /// A voter answers.
    fn answered(&mut self, now: Micros, by: u64, duty: u64, answer: Response) {
        let rank = self.rank(duty);
        let jitter = draw(self.me, duty, now, self.lease);
        let setting = ProposerContext { lease: self.lease, voters: &self.voters, rank, jitter };
        let Some(seeker) = self.seekers.get_mut(&duty) else { return };
        let token = seeker.term().map_or(0, |term| term.token());
        let mut ask = None;
        let mut told = Vec::new();
        match answer {
            Response::Promise { ballot, accepted } => {
                ask = seeker.handle_promise(now, &setting, by, ballot, accepted)
            }
            Response::Accepted { ballot, seq } => {
                told = seeker.handle_accepted(now, &setting, by, ballot, seq)
            }
            Response::Refused { ballot, promised, lease } => {
                seeker.handle_refusal(now, &setting, ballot, promised, lease)
            }
        }
        let step = seeker.term().and_then(|term| term.decided()).map_or(0, |value| value.step);
        if told.iter().any(|d| matches!(d, Decision::Released(_))) {
            let pinned = seeker.pinned();
            let next =
                self.duties.get(&duty).map(|of| rank_candidates(of, pinned, &self.there)).unwrap_or_default();
            let me = self.me.member;
            for to in next.into_iter().filter(|to| *to != me) {
                self.send(to, duty, Payload::Released { pinned });
            }
        }
        for decided in told {
            self.outputs.push(Output::Event(match decided {
                Decision::Acquired => Event::Acquired { duty, token, step },
                Decision::Step(step) => Event::StepDecided { duty, token, step },
                Decision::Released(reason) => Event::Released { duty, token, reason },
            }));
        }
        if let Some(ask) = ask {
            self.ask_all(duty, &ask);
        }
        self.hand_on(now, duty);
    }

    /// One that it is pinned to is there: it goes there.
    fn hand_on(&mut self, now: Micros, duty: u64) {
        let lease = self.lease;
        let there = &self.there;
        let Some(term) = self.seekers.get_mut(&duty).and_then(Proposer::term_mut) else { return };
        let pinned = term.decided().and_then(|value| value.pinned);
        let away = pinned.filter(|to| *to != self.me.member && there.iter().any(|c| c.member == *to));
        if away.is_some()
            && let Some(write) = term.release(now, lease, Reason::Pinned)
        {
            self.ask_all(duty, &VoterRequest::Accept(write));
        }
    }

    // ---- Voting ----

    fn vote(&mut self, now: Micros) {
        let Some(voter) = &mut self.voter else { return };
        let (nonce, began) = voter.tick(now, self.lease, &self.voters);
        if began {
            self.begins_to_vote();
        }
        if let Some(nonce) = nonce {
            for to in self.voters.voters() {
                if to != self.me.member {
                    self.send(to, 0, Payload::RecoveryRequest { nonce });
                }
            }
        }
    }

    fn begins_to_vote(&mut self) {
        if let Some(voter) = &mut self.voter {
            // Its folder is to say that it has begun, also where nothing is decided yet.
            self.outputs.push(Output::Persist(voter.begin_write()));
            self.outputs.push(Output::Event(Event::VotingStarted));
        }
    }

    fn doubts(&mut self) {
        // Before anything else: a further start must not believe it.
        self.outputs.insert(0, Output::Erase);
        self.outputs.push(Output::Event(Event::VotingSuspended));
    }

    /// Another voter starts, and asks what it may have forgotten.
    fn recall(&mut self, by: ProcessId, nonce: u64) {
        let Some(voter) = &self.voter else { return };
        let of = voter.flags();
        let wrote = self.wrote.get(&by.member).copied().unwrap_or(0);
        let remembers = (self.remembered.get(&by.member).copied(), wrote);
        let mut registers: Vec<(u64, Option<Register>)> = if of.voting {
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
            self.send(
                by.member,
                duty,
                Payload::RecoveryResponse { nonce, flags: of, remembers, register, part },
            );
        }
    }

    // ---- Parts ----

    fn rank(&self, duty: u64) -> Option<usize> {
        let told = self.duties.get(&duty).filter(|_| self.may_seek)?;
        let pinned = self.seekers.get(&duty).and_then(Proposer::pinned);
        rank_candidates(told, pinned, &self.there).iter().position(|id| *id == self.me.member)
    }

    fn draw(&mut self, duty: u64) -> Micros {
        self.draws += 1;
        draw(self.me, duty, self.draws, self.lease)
    }

    fn ask_all(&mut self, duty: u64, ask: &VoterRequest) {
        let of = |id: &u64| self.wrote.get(id).map(|wrote| (*id, *wrote));
        let wrote: Vec<(u64, u64)> =
            self.voters.voters().iter().filter_map(of).take(MAX_WRITE_COUNTS).collect();
        for to in self.voters.voters() {
            let body = match ask {
                VoterRequest::Query => Payload::Query,
                VoterRequest::Prepare(ballot) => Payload::Prepare(*ballot),
                VoterRequest::Accept(Write { ballot, seq, value }) => {
                    let wrote = wrote.clone();
                    Payload::Accept { ballot: *ballot, seq: *seq, value: value.clone(), write_counts: wrote }
                }
            };
            self.send(to, duty, body);
        }
    }

    fn send(&mut self, to: u64, duty: u64, body: Payload) {
        self.outputs.push(Output::Send { to, envelope: Envelope { from: self.me, duty, payload: body } });
    }

    // ---- For operators ----

    /// How this member's vote stands.
    pub fn vote_status(&self) -> VoteStatus {
        self.voter.as_ref().map_or(VoteStatus::NonVoter, Voter::status)
    }

    /// How each duty stands here.
    pub fn status(&self, now: Micros) -> Vec<DutyStatus> {
        let one = |(id, duty): (&u64, &Duty)| {
            let seeker = self.seekers.get(id)?;
            let belief = seeker.known_state();
            let own = seeker.term().filter(|term| term.is_held(now));
            let value = own.and_then(|term| term.decided());
            let KnownState { accepted: head, lease_until: until, updated_at: told } = belief;
            let reason = value.map(|p| p.reason).or(head.map(|h| h.reason)).unwrap_or_default();
            let pinned = value.map_or(head.and_then(|h| h.pinned), |p| p.pinned);
            let believed = head.filter(|_| now < until).and_then(|h| h.holder).map(|life| life.member);
            Some(DutyStatus {
                name: duty.name.clone(),
                holder: own.map(|_| self.me.member).or(believed),
                token: own.map_or(head.map_or(0, |h| h.version.0.number), |term| term.token()),
                left_ms: own.map_or(until, |term| term.until()).saturating_sub(now) / 1000,
                age_ms: if own.is_some() { 0 } else { now.saturating_sub(told) / 1000 },
                reason,
                pinned,
                step: value.map(|p| p.step).or(head.map(|h| h.step)).unwrap_or(0),
                ranks: rank_candidates(duty, pinned, &self.there),
            })
        };
        self.duties.iter().filter_map(one).collect()
    }

    /// The duties.
    pub fn duties(&self) -> impl Iterator<Item = (u64, &Duty)> {
        self.duties.iter().map(|(id, duty)| (*id, duty))
    }

    /// The highest token that this member, as a voter, has accepted a word of; for checks.
    pub fn accepted_token(&self, duty: u64) -> Option<u64> {
        let kept = self.voter.as_ref()?.register(duty)?;
        kept.register.accepted.as_ref().map(|a| a.ballot.number)
    }

    /// Looks at a duty at once.
    pub fn query_now(&mut self, now: Micros, duty: u64) {
        self.seekers.get_mut(&duty).into_iter().for_each(|s| s.query_by(now));
    }
}

/// A span by jitter, up to an eighth of a lease; the same for the same questions.
fn draw(me: ProcessId, duty: u64, number: u64, lease: Lease) -> Micros {
    let of = [me.member, me.instance, duty, number].map(u64::to_le_bytes).concat();
    xxh3_64(&of) % (lease.holder_duration / 8).max(1)
}
