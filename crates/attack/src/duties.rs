//! Duties: a small model for state-space search, seeded fault schedules in virtual time, and measurements.

use crate::schedule::Violation;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use yarrowhill_duties::{
    Candidate, Decision, Duties, Duty, Envelope, Event, Lease, LeasedRegister, Output, ProcessId, Proposer,
    ProposerContext, Reason, RegisterValue, StoredVoter, Voter, VoterFlags, VoterRequest, VoterSet, Write,
};
use yarrowhill_kernel::{Clock, Fleet, Link, Links, Member, Micros, ProcessFault, World};

/// Model of three voters and two candidates. Every step that the assumptions allow is possible: requests are
/// answered at any later time, or the answer is lost; a delayed copy of a request arrives; voters restart,
/// some of them with an older copy of their state folder or with none; candidates restart, renew, record
/// steps and release the duty at any time.
#[derive(Clone, Copy, Debug)]
pub struct DutyWorld {
    /// Clock rates of the candidates and of the voters, in clock units for each [`DutyStep::Tick`].
    pub rates: [u64; 2],
    /// Drift bound that the protocol is configured with.
    pub drift: f64,
    /// Lease duration in clock units.
    pub lease: u64,
    /// Highest ballot number.
    pub max_ballot: u64,
    /// Number of times that a voter loses its state folder or gets an older copy of it.
    pub folder_losses: u8,
    /// Number of restarts of voters with their state folder kept.
    pub restarts: u8,
    /// Number of requests of which a copy is delayed and delivered later.
    pub delayed_messages: u8,
    /// Highest step of progress that is recorded.
    pub max_step: u64,
    /// Number of renewals.
    pub renewals: u8,
}

impl Default for DutyWorld {
    fn default() -> Self {
        // Clocks are a tenth too slow or too fast.
        DutyWorld {
            rates: [9, 11],
            drift: 0.1,
            lease: 20,
            max_ballot: 2,
            folder_losses: 0,
            restarts: 1,
            delayed_messages: 0,
            max_step: 0,
            renewals: 1,
        }
    }
}

/// Number of voters in [`DutyWorld`].
const VOTERS: u64 = 3;
/// Id of the only duty in [`DutyWorld`].
const DUTY: u64 = 5;
/// Reading of every clock in a state.
const NOW: u64 = 1_000_000;
/// Boot number of each voter's first process.
const BOOT: u64 = 4;

/// State of [`DutyWorld`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DutyState {
    voters: Vec<Voter>,
    proposers: Vec<Proposer>,
    /// Current request of each candidate to all voters, with the candidate's index: the ballot that it wants
    /// to be promised, or its newest write.
    requests: Vec<Option<(u64, Request)>>,
    /// Copy of a request that is delivered later.
    delayed: Option<(u64, Request)>,
    /// Remaining restarts, folder losses, delayed requests and renewals.
    remaining: (u8, u8, u8, u8),
    /// Steps that holders know to be decided, with the recorded progress.
    decided: BTreeMap<u64, Vec<u8>>,
    /// Newest token under which the duty was acquired.
    token: u64,
    violation: Option<&'static str>,
}

/// A request to a voter that changes its register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Request {
    Prepare(yarrowhill_duties::Ballot),
    Accept { ballot: yarrowhill_duties::Ballot, seq: u64, value: RegisterValue },
}

impl Request {
    fn from_voter_request(request: VoterRequest) -> Option<Self> {
        match request {
            VoterRequest::Query => None,
            VoterRequest::Prepare(ballot) => Some(Request::Prepare(ballot)),
            VoterRequest::Accept(Write { ballot, seq, value }) => {
                Some(Request::Accept { ballot, seq, value })
            }
        }
    }
}

/// Step of [`DutyWorld`]. Candidates and voters are given by index.
#[derive(Clone, Copy, Debug)]
pub enum DutyStep {
    /// Advances all clocks.
    Tick,
    /// A candidate starts a ballot, and these voters (a bit mask) receive its request and answer it.
    Prepare(usize, u8),
    /// A voter receives a candidate's current request; the answer arrives or is lost.
    Deliver {
        /// Index of the candidate.
        candidate: usize,
        /// Index of the voter.
        voter: usize,
        /// Whether the answer arrives.
        answered: bool,
    },
    /// A holder renews its lease.
    Renew(usize),
    /// A holder records a step of progress.
    RecordStep(usize),
    /// A holder releases the duty.
    Release(usize),
    /// The network keeps a copy of a candidate's current request.
    Delay(usize),
    /// A voter receives the delayed copy.
    DeliverDelayed(usize),
    /// A voter restarts with its state folder as it was.
    Restart(usize),
    /// A voter restarts with no state folder, or with an older copy (true).
    LoseFolder(usize, bool),
    /// A recovering voter receives a recovery response from another voter.
    Recover(usize, usize),
}

impl DutyWorld {
    fn lease(&self) -> Lease {
        Lease::new(self.lease, self.drift)
    }

    fn electorate() -> VoterSet {
        VoterSet::new(0..VOTERS)
    }

    fn process(voter: usize, run: u64) -> ProcessId {
        ProcessId { member: voter as u64, instance: run }
    }
}

impl World for DutyWorld {
    type State = DutyState;
    type Step = DutyStep;

    fn initial_states(&self) -> Vec<DutyState> {
        let lease = self.lease();
        let voter = |n: usize| {
            // All voters are past recovery, and nothing has been decided.
            let mut voter = Voter::new(NOW, Self::process(n, 0), BOOT, lease, Some(StoredVoter::default()));
            let (nonce, _) = voter.tick(NOW, lease, &Self::electorate());
            let flags = VoterFlags { voting: true, fresh: false };
            let other = (n as u64 + 1) % VOTERS;
            for other in [other, (other + 1) % VOTERS] {
                let nonce = nonce.unwrap_or(0);
                voter.handle_recovery_response(
                    NOW,
                    lease,
                    &Self::electorate(),
                    other,
                    nonce,
                    flags,
                    (None, 0),
                    None,
                    (0, 1),
                );
            }
            voter
        };
        let proposer = |n: u64| Proposer::new(NOW, ProcessId { member: n, instance: 10 + n });
        let initial = DutyState {
            voters: (0..VOTERS as usize).map(voter).collect(),
            proposers: (0..2).map(proposer).collect(),
            requests: vec![None; 2],
            delayed: None,
            remaining: (self.restarts, self.folder_losses, self.delayed_messages, self.renewals),
            decided: BTreeMap::new(),
            token: 0,
            violation: None,
        };
        // The first candidate has the promises of two or of all three voters. Which two does not matter, by
        // symmetry.
        [0b011, 0b111].map(|mask| self.apply(&initial, &DutyStep::Prepare(0, mask))).into()
    }

    fn steps(&self, s: &DutyState) -> Vec<DutyStep> {
        let mut steps = vec![DutyStep::Tick];
        for candidate in 0..2 {
            let term = s.proposers[candidate].term();
            // A candidate that prepares or holds continues until its term has expired: a new ballot could
            // only lose the term.
            let may_prepare =
                term.is_none_or(|t| t.is_expired(NOW)) && (candidate == 1 || self.max_ballot > 2);
            if may_prepare && s.proposers[candidate].highest_number() < self.max_ballot {
                steps.extend((1..8).map(|mask| DutyStep::Prepare(candidate, mask)));
            }
            if s.requests[candidate].is_some() {
                for voter in 0..VOTERS as usize {
                    steps.push(DutyStep::Deliver { candidate, voter, answered: true });
                    steps.push(DutyStep::Deliver { candidate, voter, answered: false });
                }
                if s.remaining.2 > 0 && s.delayed.is_none() {
                    steps.push(DutyStep::Delay(candidate));
                }
            }
            if let Some(term) = term.filter(|t| t.is_held(NOW)) {
                steps.push(DutyStep::Release(candidate));
                if s.remaining.3 > 0 {
                    steps.push(DutyStep::Renew(candidate));
                }
                if term.decided().is_some_and(|value| value.step < self.max_step) {
                    steps.push(DutyStep::RecordStep(candidate));
                }
            }
        }
        for voter in 0..VOTERS as usize {
            if s.delayed.is_some() {
                steps.push(DutyStep::DeliverDelayed(voter));
            }
            if s.remaining.0 > 0 {
                steps.push(DutyStep::Restart(voter));
            }
            if s.remaining.1 > 0 {
                steps.extend([DutyStep::LoseFolder(voter, false), DutyStep::LoseFolder(voter, true)]);
            }
            if !s.voters[voter].is_voting() {
                steps.extend(
                    (0..VOTERS as usize).filter(|o| *o != voter).map(|o| DutyStep::Recover(voter, o)),
                );
            }
        }
        steps
    }

    fn apply(&self, state: &DutyState, step: &DutyStep) -> DutyState {
        let mut s = state.clone();
        let (lease, electorate) = (self.lease(), Self::electorate());
        let context = ProposerContext { lease, voters: &electorate, rank: Some(0), jitter: 0 };
        match *step {
            DutyStep::Tick => {
                s.proposers.iter_mut().for_each(|k| *k = k.rebased(NOW, self.rates[0], lease));
                s.voters.iter_mut().for_each(|v| *v = v.rebased(NOW, self.rates[1], lease));
                for candidate in 0..2 {
                    // A request is dropped when its term has expired.
                    let expired = s.proposers[candidate].term().is_some_and(|t| t.is_expired(NOW));
                    if expired || s.proposers[candidate].term().is_none() {
                        s.requests[candidate] = None;
                    }
                }
                for voter in &mut s.voters {
                    voter.tick(NOW, lease, &electorate);
                }
            }
            DutyStep::Prepare(candidate, mask) => {
                // A candidate without a valid term starts from the idle state.
                let (local_id, highest) = (
                    ProcessId { member: candidate as u64, instance: 10 + candidate as u64 },
                    s.proposers[candidate].highest_number(),
                );
                let mut proposer = Proposer::new(NOW, local_id);
                let ballot = yarrowhill_duties::Ballot { number: highest, proposer: local_id };
                proposer.handle_refusal(NOW, &context, ballot, ballot, None);
                let request = Request::from_voter_request(proposer.prepare(NOW));
                s.proposers[candidate] = proposer;
                s.requests[candidate] = None;
                for voter in (0..VOTERS as usize).filter(|v| mask >> v & 1 == 1) {
                    request
                        .iter()
                        .for_each(|request| deliver(&mut s, &context, candidate, voter, request, true));
                }
            }
            DutyStep::Deliver { candidate, voter, answered } => {
                if let Some((_, request)) = s.requests[candidate].clone() {
                    deliver(&mut s, &context, candidate, voter, &request, answered);
                }
            }
            DutyStep::Renew(candidate) => {
                s.remaining.3 -= 1;
                if let Some(write) = s.proposers[candidate].term_mut().and_then(|term| term.tick(NOW, lease))
                {
                    s.requests[candidate] = Request::from_voter_request(VoterRequest::Accept(write))
                        .map(|w| (candidate as u64, w));
                }
            }
            DutyStep::RecordStep(candidate) => {
                if let Some(term) = s.proposers[candidate].term_mut() {
                    let token = term.token();
                    if let Ok((_, write)) =
                        term.record_step(NOW, lease, token, vec![token as u8, candidate as u8])
                    {
                        s.requests[candidate] = Request::from_voter_request(VoterRequest::Accept(write))
                            .map(|w| (candidate as u64, w));
                    }
                }
            }
            DutyStep::Release(candidate) => {
                let write = s.proposers[candidate]
                    .term_mut()
                    .and_then(|term| term.release(NOW, lease, Reason::Asked));
                if let Some(write) = write {
                    s.requests[candidate] = Request::from_voter_request(VoterRequest::Accept(write))
                        .map(|w| (candidate as u64, w));
                }
            }
            DutyStep::Delay(candidate) => {
                s.delayed.clone_from(&s.requests[candidate]);
                s.remaining.2 -= 1;
            }
            DutyStep::DeliverDelayed(voter) => {
                if let Some((candidate, request)) = s.delayed.clone() {
                    deliver(&mut s, &context, candidate as usize, voter, &request, true);
                }
            }
            DutyStep::Restart(voter) => {
                s.remaining.0 -= 1;
                // The write count is left at zero: in this model the boot number alone identifies an
                // instance.
                let found = Some(StoredVoter { write_count: 0, registers: s.voters[voter].registers() });
                s.voters[voter] = Voter::new(NOW, Self::process(voter, 1), BOOT + 1, lease, found);
            }
            DutyStep::LoseFolder(voter, copy) => {
                s.remaining.1 -= 1;
                // A copy from before any promise, or nothing at all.
                let found = copy.then(StoredVoter::default);
                s.voters[voter] = Voter::new(NOW, Self::process(voter, 2), BOOT, lease, found);
            }
            DutyStep::Recover(voter, from) => {
                let flags = s.voters[from].flags();
                let register = s.voters[from].registers().remove(&DUTY);
                let known = register.as_ref().map(|r| (DUTY, r));
                let learner = &mut s.voters[voter];
                let (nonce, _) = learner.tick(NOW, lease, &electorate);
                // The nonce of the request that was just sent, or of the one before.
                let nonce = nonce.unwrap_or_else(|| learner.nonce());
                // Every voter remembers the last instance of the others, which differs from one started from
                // a copy.
                let remembers = (Some((BOOT, 0)), 0);
                learner.handle_recovery_response(
                    NOW,
                    lease,
                    &electorate,
                    from as u64,
                    nonce,
                    flags,
                    remembers,
                    known,
                    (0, 1),
                );
            }
        }
        // Rebases all clocks to the same reading, which keeps the state space finite.
        s.voters.iter_mut().for_each(|v| *v = v.rebased(NOW, 0, lease));
        s.proposers.iter_mut().for_each(|k| *k = k.rebased(NOW, 0, lease));
        s
    }

    fn violation(&self, s: &DutyState) -> Option<String> {
        if let Some(violation) = s.violation {
            return Some(violation.to_owned());
        }
        let holds = |candidate: usize| s.proposers[candidate].term().is_some_and(|t| t.is_held(NOW));
        (holds(0) && holds(1)).then(|| "both candidates hold the duty at once".to_owned())
    }
}

fn deliver(
    s: &mut DutyState,
    context: &ProposerContext<'_>,
    candidate: usize,
    voter: usize,
    request: &Request,
    answered: bool,
) {
    let Some(register): Option<&mut LeasedRegister> = s.voters[voter].register_mut(DUTY) else { return };
    let reply = match request {
        Request::Prepare(ballot) => register.prepare(NOW, *ballot),
        Request::Accept { ballot, seq, value } => {
            register.accept(NOW, context.lease, *ballot, *seq, value.clone())
        }
    };
    if !answered {
        return;
    }
    let proposer = &mut s.proposers[candidate];
    let mut decisions = Vec::new();
    let mut request = None;
    match reply.response {
        yarrowhill_duties::Response::Promise { ballot, accepted } => {
            request = proposer.handle_promise(NOW, context, voter as u64, ballot, accepted);
        }
        yarrowhill_duties::Response::Accepted { ballot, seq } => {
            decisions = proposer.handle_accepted(NOW, context, voter as u64, ballot, seq);
        }
        yarrowhill_duties::Response::Refused { promised, .. } => {
            // The higher ballot number only saves the candidate an attempt; no property depends on it.
            let _ = promised;
        }
    }
    if let Some(request) = request {
        s.requests[candidate] = Request::from_voter_request(request).map(|w| (candidate as u64, w));
    }
    for decision in decisions {
        let value = proposer.term().and_then(|t| t.decided()).cloned().unwrap_or_default();
        match decision {
            Decision::Acquired => {
                let done = s.decided.keys().next_back().copied().unwrap_or(0);
                if value.step < done || s.decided.get(&value.step).is_some_and(|p| *p != value.progress) {
                    s.violation = Some("a holder acquired the duty without the steps decided before");
                }
                if value.token <= s.token {
                    s.violation = Some("a token was used again");
                }
                s.token = value.token;
            }
            Decision::Step(step) => {
                let before = s.decided.insert(step, value.progress.clone());
                if before.is_some_and(|before| before != value.progress) {
                    s.violation = Some("a step was decided twice with different progress");
                }
            }
            Decision::Released(_) => {}
        }
        if matches!(decision, Decision::Released(_)) {
            s.requests[candidate] = None;
        }
    }
}

// ---- Schedules ----

/// Unit from which the times of the schedules and measurements are derived (microseconds).
const PERIOD: Micros = 1_000_000;
/// Drift bound of clock rates.
const DRIFT: f64 = 0.01;
/// Duration of a lease without renewal (microseconds).
const TERM: Micros = 3 * PERIOD;
/// Interval between property checks (microseconds).
const CHECK_INTERVAL: Micros = PERIOD / 20;
/// Maximum time from the repair of all faults until every duty has a holder again (microseconds): a restarted
/// voter's waiting time, the delay by rank, a lease, and the back-off after failed attempts.
const MAX_REACQUISITION: Micros = 14 * TERM;

/// A member's state folder, which survives restarts.
#[derive(Clone, Debug, Default)]
struct Disk {
    /// States in the order in which they were written.
    written: Vec<StoredVoter>,
    full: bool,
}

/// Log of what all members did with the duties, and a violation if one was found in it.
#[derive(Clone, Debug, Default)]
struct DutyLog {
    /// Decided steps by duty and number, with the token and the recorded progress.
    steps: BTreeMap<(u64, u64), (u64, Vec<u8>)>,
    /// Newest token under which each duty was acquired, and the member that acquired it.
    acquired: BTreeMap<u64, (u64, u64)>,
    violation: Option<String>,
    terms: u64,
}

struct DutyMember {
    duties: Duties,
    disk: Disk,
    log: Rc<RefCell<DutyLog>>,
    local_id: u64,
    /// Progress of the steps that were recorded and are not decided yet, by duty.
    pending_steps: BTreeMap<u64, Vec<u8>>,
    next_step: Micros,
    out: Vec<(usize, Envelope)>,
}

impl DutyMember {
    fn collect(&mut self, now: Micros) {
        loop {
            let outputs = self.duties.take_outputs();
            if outputs.is_empty() {
                return;
            }
            let mut own = Vec::new();
            for output in outputs {
                match output {
                    Output::Persist(_) if self.disk.full => break,
                    Output::Persist(stored) => {
                        self.duties.persisted(stored.write_count);
                        self.disk.written.push(stored);
                    }
                    Output::Erase => self.disk.written.clear(),
                    Output::Send { to, envelope } if to == self.local_id => own.push(envelope),
                    Output::Send { to, envelope } => self.out.push((to as usize, envelope)),
                    Output::Event(event) => self.handle_event(event),
                }
            }
            own.into_iter().for_each(|envelope| self.duties.handle(now, self.local_id, envelope));
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut log = self.log.borrow_mut();
        match event {
            Event::Acquired { duty, token, step } => {
                log.terms += 1;
                let last = log.acquired.insert(duty, (token, self.local_id));
                if let Some((before, other)) = last.filter(|(before, _)| *before >= token) {
                    log.violation = Some(format!(
                        "member {} acquired a duty under token {token} after member {other} under {before}",
                        self.local_id
                    ));
                }
                let done = log.steps.keys().filter(|(d, _)| *d == duty).map(|(_, s)| *s).max().unwrap_or(0);
                if step < done {
                    log.violation = Some(format!(
                        "member {} continues from step {step}, but step {done} is decided",
                        self.local_id
                    ));
                }
                self.pending_steps.remove(&duty);
            }
            Event::StepDecided { duty, token, step } => {
                let done = self.pending_steps.remove(&duty).unwrap_or_default();
                let before = log.steps.insert((duty, step), (token, done.clone()));
                if let Some((other, _)) = before.filter(|(other, what)| *other != token || *what != done) {
                    log.violation =
                        Some(format!("step {step} is decided under the tokens {other} and {token}"));
                }
            }
            _ => {}
        }
    }

    fn record_steps(&mut self, now: Micros) {
        if now < self.next_step {
            return;
        }
        self.next_step = now + PERIOD / 4;
        let ids: Vec<u64> = self.duties.duties().map(|(id, _)| id).collect();
        for duty in ids {
            let Some(held) = self.duties.held(now, duty) else { continue };
            let done = [held.token.to_le_bytes(), (held.step + 1).to_le_bytes()].concat();
            if self.duties.record_step(now, &held, done.clone()).is_ok() {
                self.pending_steps.insert(duty, done);
            }
        }
    }
}

impl Member for DutyMember {
    type Packet = Envelope;

    fn tick(&mut self, now: Micros) {
        self.duties.tick(now);
        self.collect(now);
        self.record_steps(now);
        self.collect(now);
    }

    fn handle(&mut self, now: Micros, from: usize, packet: Envelope) {
        self.duties.handle(now, from as u64, packet);
        self.collect(now);
    }

    fn take_outgoing(&mut self) -> Vec<(usize, Envelope)> {
        std::mem::take(&mut self.out)
    }

    fn next_wake(&self) -> Micros {
        self.duties.next_wake().min(self.next_step)
    }
}

fn size(envelope: &Envelope) -> usize {
    yarrowhill_fleet::encode_duty(envelope).map_or(usize::MAX, |bytes| bytes.len())
}

struct DutySimulation {
    fleet: Fleet<DutyMember>,
    disks: Vec<Disk>,
    log: Rc<RefCell<DutyLog>>,
    duties: Vec<Duty>,
    voters: VoterSet,
    boots: Vec<u64>,
    instances: Vec<u64>,
    /// Virtual time of each member's last start, and of the last end of each.
    started_at: Vec<Micros>,
    ended_at: Vec<Micros>,
    /// Members that were started from an older copy of their state folder and have not voted since.
    stale_copies: BTreeSet<usize>,
    size: usize,
}

impl DutySimulation {
    fn new(members: usize, seed: u64, duties: usize) -> Self {
        let mut fleet = Fleet::new(seed, Links::default(), size);
        for n in 0..members {
            let rate = 1.0 + DRIFT * (2.0 * n as f64 / (members.max(2) - 1) as f64 - 1.0);
            fleet.add_slot(Clock { offset: n as u64 * 1_000_003 + 10_000_000, rate });
        }
        let voter_count = if members <= 7 { members } else { 7 };
        DutySimulation {
            fleet,
            disks: vec![Disk::default(); members],
            log: Rc::default(),
            duties: (0..duties).map(|n| Duty::new(&format!("duty {n}"))).collect(),
            // Voters are spread evenly over the slots.
            voters: VoterSet::new((0..voter_count).map(|n| (n * members / voter_count) as u64)),
            boots: vec![0; members],
            instances: vec![0; members],
            started_at: vec![0; members],
            ended_at: vec![0; members],
            stale_copies: BTreeSet::new(),
            size: members,
        }
    }

    fn start(&mut self, n: usize) {
        let mut disk = std::mem::take(&mut self.disks[n]);
        disk.full = false;
        let now = self.fleet.local_time(n);
        self.started_at[n] = self.fleet.now();
        self.boots[n] += 1;
        self.instances[n] += 1;
        let local_id = ProcessId { member: n as u64, instance: self.instances[n] };
        let lease = Lease::new(TERM, DRIFT);
        let found = disk.written.last().cloned();
        let declared = self.duties.clone();
        let mut duties =
            Duties::new(now, local_id, self.boots[n], lease, found, declared, self.voters.clone());
        for other in 0..self.size {
            duties.record_instance(other as u64, self.boots[other], self.instances[other]);
        }
        let log = self.log.clone();
        let member = DutyMember {
            duties,
            disk,
            log,
            local_id: n as u64,
            pending_steps: BTreeMap::new(),
            next_step: now,
            out: Vec::new(),
        };
        self.fleet.start(n, member);
        // Membership reports the new instance to the others. For a member with an older copy they know its
        // last instance.
        let (boot, instance) = (self.boots[n], self.instances[n]);
        for other in 0..self.size {
            self.fleet
                .member_mut(other)
                .into_iter()
                .for_each(|m| m.duties.record_instance(n as u64, boot, instance));
        }
    }

    fn kill(&mut self, n: usize) {
        if let Some(member) = self.fleet.member(n) {
            self.disks[n] = member.disk.clone();
            // A member that was started from a copy and has not voted since counts as ended when it last
            // voted.
            if member.duties.vote_status() != yarrowhill_duties::VoteStatus::Checking {
                self.ended_at[n] = self.fleet.now();
                self.stale_copies.remove(&n);
            }
        }
        self.fleet.inject(&ProcessFault::Kill(n));
    }

    /// Reports the live members, as given for each slot, to every member.
    fn set_views(&mut self, of: impl Fn(usize) -> Vec<usize>) {
        for n in 0..self.size {
            let live = of(n);
            let candidates = live
                .iter()
                .map(|m| Candidate { member: *m as u64, zone: String::new(), degraded: false })
                .collect();
            let may_hold = self.voters.is_majority(|id| live.contains(&(id as usize)));
            let now = self.fleet.local_time(n);
            if let Some(member) = self.fleet.member_mut(n) {
                member.duties.set_candidates(now, candidates, may_hold);
            }
        }
    }

    /// Returns whether a running voter exists that has run since before member `of` last voted, and so
    /// remembers its instance.
    fn has_witness(&self, of: usize) -> bool {
        let runs = |n: usize| self.started_at[n] < self.ended_at[of] && !self.fleet.is_stopped(n);
        self.voters
            .current
            .iter()
            .map(|id| *id as usize)
            .any(|n| n != of && self.fleet.member(n).is_some() && runs(n))
    }

    fn holders(&self, duty: u64) -> Vec<(usize, u64)> {
        // Stalled members are included: they could wake now in the middle of a protected action.
        let held = |n: usize| {
            let member = self.fleet.member(n)?;
            Some((n, member.duties.held(self.fleet.local_time(n), duty)?.token))
        };
        (0..self.size).filter_map(held).collect()
    }

    fn check(&self) -> Result<(), Violation> {
        let at = self.fleet.now();
        for duty in &self.duties {
            let holders = self.holders(duty.id());
            if holders.len() > 1 {
                return Err(Violation {
                    at,
                    description: format!(
                        "{} is held by several members (member, token): {holders:?}",
                        duty.name
                    ),
                });
            }
        }
        self.log.borrow().violation.clone().map_or(Ok(()), |description| Err(Violation { at, description }))
    }

    fn run_until(&mut self, end: Micros) -> Result<(), Violation> {
        while self.fleet.now() < end {
            let next = (self.fleet.now() + CHECK_INTERVAL).min(end);
            self.fleet.run_until(next);
            self.check()?;
        }
        Ok(())
    }
}

/// Runs the fault schedule of a seed: cut links, loss, stalls, deaths, restarts with every kind of state
/// folder, full disks, views that disagree, operator requests. Checks that a duty never has two holders, that
/// tokens grow, that no step is lost or decided twice, and that every duty has a holder again after all
/// faults are repaired.
///
/// # Errors
///
/// Returns the first property that does not hold.
pub fn run_duties_schedule(seed: u64) -> Result<(), Violation> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xd07);
    let members = [3, 3, 5, 7, 9][rng.random_range(0..5)];
    let mut sim = DutySimulation::new(members, seed, 2);
    let all: Vec<usize> = (0..members).collect();
    (0..members).for_each(|n| sim.start(n));
    sim.set_views(|_| all.clone());
    let voters: Vec<usize> = sim.voters.current.iter().map(|id| *id as usize).collect();
    // Voters that lost their folder and may not have recovered yet. The assumptions allow less than a
    // majority of them at a time.
    let mut unrecovered: BTreeSet<usize> = BTreeSet::new();
    sim.run_until(6 * TERM)?;
    let faults_end = sim.fleet.now() + 60 * PERIOD;
    while sim.fleet.now() < faults_end {
        let member = rng.random_range(0..members);
        unrecovered.retain(|n| {
            sim.fleet
                .member(*n)
                .is_none_or(|m| m.duties.vote_status() != yarrowhill_duties::VoteStatus::Voting)
        });
        match rng.random_range(0..13) {
            0 => sim.fleet.links.partition(&all.iter().map(|_| rng.random_range(0..2)).collect::<Vec<_>>()),
            1 => sim.fleet.links.set_cut(member, (member + 1) % members, true),
            2 => sim.fleet.links.heal(),
            3 => {
                let (loss, jitter) = (rng.random_range(0.0..0.3), rng.random_range(200..PERIOD));
                sim.fleet.links.default = Link { loss, duplication: 0.1, delay: 100, jitter, cut: false };
            }
            4 | 5 => sim.fleet.inject(&ProcessFault::Stall(member, rng.random_range(TERM / 3..4 * TERM))),
            6 | 7 => sim.kill(member),
            8 if sim.fleet.member(member).is_none() => {
                if sim.stale_copies.contains(&member) {
                    // The assumptions require a witness that detects the copy; without one, the member is not
                    // started.
                    if !sim.has_witness(member) {
                        continue;
                    }
                    sim.fleet.links = Links::default();
                }
                sim.start(member);
            }
            9 if sim.fleet.member(member).is_none() => {
                // Restarts with an older copy or none. Only a minority of the voters may be without memory at
                // once.
                let is_unrecovered = |n: &&usize| match sim.fleet.member(**n) {
                    Some(m) => m.duties.vote_status() != yarrowhill_duties::VoteStatus::Voting,
                    None => unrecovered.contains(*n) || sim.disks[**n].written.is_empty(),
                };
                let lost = voters.iter().filter(|n| **n != member).filter(is_unrecovered).count();
                let may_lose = !voters.contains(&member) || (lost + 1) * 2 < voters.len();
                let has_witness = sim.has_witness(member);
                if may_lose {
                    if has_witness {
                        sim.fleet.links = Links::default();
                    }
                    let disk = &mut sim.disks[member].written;
                    // An older copy is used only if a witness can reach the member and detect it, as the
                    // assumptions require.
                    let keep = if rng.random_bool(0.5) || !has_witness {
                        0
                    } else {
                        rng.random_range(0..=disk.len())
                    };
                    let older = keep < disk.len();
                    disk.truncate(keep);
                    if voters.contains(&member) && older {
                        unrecovered.insert(member);
                    }
                    if older && keep > 0 {
                        sim.stale_copies.insert(member);
                        // The boot number comes from the copy too: it is equal to that of the last instance,
                        // or lower.
                        sim.boots[member] = sim.boots[member].saturating_sub(1);
                        let (boot, instance) = (sim.boots[member] + 1, sim.instances[member]);
                        for n in 0..members {
                            sim.fleet
                                .member_mut(n)
                                .into_iter()
                                .for_each(|m| m.duties.record_instance(member as u64, boot, instance));
                        }
                    }
                    sim.start(member);
                }
            }
            10 => {
                let full = rng.random_bool(0.5);
                // A member that has written nothing yet must not look like one that lost its folder.
                let has_written = |m: &&mut DutyMember| !m.disk.written.is_empty();
                sim.fleet.member_mut(member).filter(has_written).into_iter().for_each(|m| m.disk.full = full);
            }
            11 => {
                let seeds: Vec<u64> = all.iter().map(|_| rng.random()).collect();
                sim.set_views(|n| all.iter().copied().filter(|m| seeds[n] >> m & 3 != 0).collect());
            }
            _ => {
                let request = if rng.random_bool(0.5) {
                    yarrowhill_duties::OperatorRequest::Yield
                } else {
                    yarrowhill_duties::OperatorRequest::Pin(Some(rng.random_range(0..members) as u64))
                };
                let (now, name) = (sim.fleet.local_time(member), sim.duties[0].name.clone());
                sim.fleet
                    .member_mut(member)
                    .into_iter()
                    .for_each(|m| drop(m.duties.operator_request(now, &name, request)));
            }
        }
        let pause = if rng.random_bool(0.3) { 0 } else { rng.random_range(0..3 * PERIOD) };
        sim.run_until(sim.fleet.now() + pause)?;
    }
    sim.fleet.links = Links::default();
    for n in 0..members {
        sim.disks[n].full = false;
        if sim.fleet.member(n).is_none() && sim.stale_copies.contains(&n) && !sim.has_witness(n) {
            return Ok(());
        }
        match sim.fleet.member_mut(n) {
            Some(member) => member.disk.full = false,
            None => sim.start(n),
        }
    }
    sim.set_views(|_| all.clone());
    // Stalled members wake first.
    sim.run_until(sim.fleet.now() + 4 * TERM)?;
    sim.run_until(sim.fleet.now() + MAX_REACQUISITION)?;
    for duty in &sim.duties {
        if sim.holders(duty.id()).is_empty() {
            let votes: Vec<_> =
                voters.iter().map(|n| sim.fleet.member(*n).map(|m| m.duties.vote_status())).collect();
            let description =
                format!("{} has no holder after the repair of all faults; voters: {votes:?}", duty.name);
            return Err(Violation { at: sim.fleet.now(), description });
        }
    }
    if sim.log.borrow().steps.is_empty() {
        return Err(Violation {
            at: sim.fleet.now(),
            description: "no step was decided in the whole run".to_owned(),
        });
    }
    Ok(())
}

/// Event that ends a term in [`measure_duties`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermEnd {
    /// The holder is killed.
    Killed,
    /// The holder is stalled for longer than a lease.
    Stopped,
    /// The holder is cut off from all other members.
    Cut,
    /// An operator asks the holder to yield the duty.
    Asked,
}

/// Time without a holder, and the traffic of the whole fleet while nothing changes.
#[derive(Clone, Debug)]
pub struct DutyStats {
    /// Time for which a duty has no usable holder (milliseconds).
    pub gap: Histogram<u64>,
    /// Messages per second of the whole fleet, with one duty.
    pub messages: f64,
    /// Bytes per second of the whole fleet.
    pub bytes: f64,
}

/// Ends `ends` terms of one duty, one after another, and measures the time without a holder.
pub fn measure_duties(members: usize, term_end: TermEnd, ends: usize, seed: u64) -> DutyStats {
    let mut sim = DutySimulation::new(members, seed, 1);
    let all: Vec<usize> = (0..members).collect();
    (0..members).for_each(|n| sim.start(n));
    sim.set_views(|_| all.clone());
    let duty = sim.duties[0].id();
    let run = |sim: &mut DutySimulation, duration: Micros| {
        let end = sim.fleet.now() + duration;
        while sim.fleet.now() < end {
            let next = (sim.fleet.now() + CHECK_INTERVAL / 5).min(end);
            sim.fleet.run_until(next);
        }
    };
    run(&mut sim, 8 * TERM);
    let before: (u64, u64) = (sim.fleet.sent.iter().sum(), sim.fleet.bytes.iter().sum());
    run(&mut sim, 10 * TERM);
    let seconds = 10.0 * TERM as f64 / 1e6;
    let messages = (sim.fleet.sent.iter().sum::<u64>() - before.0) as f64 / seconds;
    let bytes = (sim.fleet.bytes.iter().sum::<u64>() - before.1) as f64 / seconds;
    let mut gap = Histogram::new(3).unwrap_or_else(|e| unreachable!("{e}"));
    for _ in 0..ends {
        let Some((holder, _)) = sim.holders(duty).first().copied() else {
            run(&mut sim, TERM);
            continue;
        };
        let since = sim.fleet.now();
        let others: Vec<usize> = all.iter().copied().filter(|n| *n != holder).collect();
        match term_end {
            TermEnd::Killed => sim.kill(holder),
            TermEnd::Stopped => sim.fleet.inject(&ProcessFault::Stall(holder, 6 * TERM)),
            TermEnd::Cut => {
                let groups: Vec<usize> = all.iter().map(|n| usize::from(*n == holder)).collect();
                sim.fleet.links.partition(&groups);
            }
            TermEnd::Asked => {
                let (now, name) = (sim.fleet.local_time(holder), sim.duties[0].name.clone());
                let request = yarrowhill_duties::OperatorRequest::Yield;
                sim.fleet
                    .member_mut(holder)
                    .into_iter()
                    .for_each(|m| drop(m.duties.operator_request(now, &name, request)));
            }
        }
        // The views change one lease later: by then the others have detected that the holder is gone.
        let mut views_updated = term_end == TermEnd::Asked;
        loop {
            run(&mut sim, CHECK_INTERVAL / 5);
            let now = sim.fleet.now();
            if !views_updated && now >= since + TERM {
                views_updated = true;
                sim.set_views(|n| if n == holder { vec![holder] } else { others.clone() });
            }
            let held = sim.holders(duty);
            if held.iter().any(|(n, _)| *n != holder) || now > since + 60 * TERM {
                gap.record((now - since) / 1000).unwrap_or_else(|e| unreachable!("{e}"));
                break;
            }
        }
        sim.fleet.links.heal();
        if sim.fleet.member(holder).is_none() {
            sim.start(holder);
        }
        run(&mut sim, 8 * TERM);
        sim.set_views(|_| all.clone());
        run(&mut sim, 4 * TERM);
    }
    DutyStats { gap, messages, bytes }
}
