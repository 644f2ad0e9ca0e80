//! Duties under attack: a small world searched through, seeded schedules in virtual time, and figures.

use crate::schedule::Breach;
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

/// Three voters and two candidates. Anything may happen that the assumptions allow: questions are answered at any later time, or
/// the answer is lost; one word that was written long ago comes once more; voters start again, one of them with an older copy of its
/// folder or none; candidates start again, and write, hand on and give up when they like.
#[derive(Clone, Copy, Debug)]
pub struct DutyWorld {
    /// The rates of the candidates' and of the voters' clocks, in steps a step of the world.
    pub rates: [u64; 2],
    /// What those rates were said to be.
    pub drift: f64,
    /// A lease, in steps.
    pub lease: u64,
    /// The highest ballot.
    pub ballots: u64,
    /// Voters that may lose their folder, and get an older copy of it.
    pub wipes: u8,
    /// Starts of voters with their folder kept.
    pub restarts: u8,
    /// Words that come once more, long after.
    pub strays: u8,
    /// Steps of progress that are written.
    pub steps: u64,
    /// Renewals.
    pub renewals: u8,
}

impl Default for DutyWorld {
    fn default() -> Self {
        // A tenth wrong either way.
        DutyWorld {
            rates: [9, 11],
            drift: 0.1,
            lease: 20,
            ballots: 2,
            wipes: 0,
            restarts: 1,
            strays: 0,
            steps: 0,
            renewals: 1,
        }
    }
}

const VOTERS: u64 = 3;
const DUTY: u64 = 5;
/// What every clock reads.
const NOW: u64 = 1_000_000;
const BOOT: u64 = 4;

/// A state of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DutyState {
    voters: Vec<Voter>,
    seekers: Vec<Proposer>,
    /// What each asks of all now: the ballot that it wants, or its newest word.
    asks: Vec<Option<(u64, Word)>>,
    stray: Option<(u64, Word)>,
    left: (u8, u8, u8, u8),
    /// Steps that were decided, with what was done, as far as a holder was told.
    decided: BTreeMap<u64, Vec<u8>>,
    token: u64,
    broken: Option<&'static str>,
}

/// A question.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Word {
    Prepare(yarrowhill_duties::Ballot),
    Accept { ballot: yarrowhill_duties::Ballot, seq: u64, value: RegisterValue },
}

impl Word {
    fn of(ask: VoterRequest) -> Option<Self> {
        match ask {
            VoterRequest::Query => None,
            VoterRequest::Prepare(ballot) => Some(Word::Prepare(ballot)),
            VoterRequest::Accept(Write { ballot, seq, value }) => Some(Word::Accept { ballot, seq, value }),
        }
    }
}

/// A step of it.
#[derive(Clone, Copy, Debug)]
pub enum DutyStep {
    /// Time passes.
    Time,
    /// A candidate asks for a ballot, and these voters (by bits) hear it and are heard.
    Begin(usize, u8),
    /// A voter hears what a candidate asks now; the answer comes, or is lost.
    Hear {
        /// Whose question.
        by: usize,
        /// Which voter.
        voter: usize,
        /// Whether the answer comes.
        comes: bool,
    },
    /// A holder renews,
    Renew(usize),
    /// writes a step of progress,
    Step(usize),
    /// or gives the duty up.
    Give(usize),
    /// What a candidate asks is kept by the network,
    Keep(usize),
    /// and comes to a voter later.
    Stray(usize),
    /// A voter starts again with its folder as it was,
    Restart(usize),
    /// with none, or with an older copy of it.
    Wipe(usize, bool),
    /// One that has to learn hears another.
    Learn(usize, usize),
}

impl DutyWorld {
    fn lease(&self) -> Lease {
        Lease::new(self.lease, self.drift)
    }

    fn electorate() -> VoterSet {
        VoterSet::new(0..VOTERS)
    }

    fn life(voter: usize, again: u64) -> ProcessId {
        ProcessId { member: voter as u64, instance: again }
    }
}

impl World for DutyWorld {
    type State = DutyState;
    type Step = DutyStep;

    fn initial_states(&self) -> Vec<DutyState> {
        let lease = self.lease();
        let voter = |n: usize| {
            // All have voted for long, and nothing was decided.
            let mut voter = Voter::new(NOW, Self::life(n, 0), BOOT, lease, Some(StoredVoter::default()));
            let (nonce, _) = voter.tick(NOW, lease, &Self::electorate());
            let says = VoterFlags { voting: true, fresh: false };
            let other = (n as u64 + 1) % VOTERS;
            for other in [other, (other + 1) % VOTERS] {
                let nonce = nonce.unwrap_or(0);
                voter.handle_recovery_response(
                    NOW,
                    lease,
                    &Self::electorate(),
                    other,
                    nonce,
                    says,
                    (None, 0),
                    None,
                    (0, 1),
                );
            }
            voter
        };
        let seeker = |n: u64| Proposer::new(NOW, ProcessId { member: n, instance: 10 + n });
        let begun = DutyState {
            voters: (0..VOTERS as usize).map(voter).collect(),
            seekers: (0..2).map(seeker).collect(),
            asks: vec![None; 2],
            stray: None,
            left: (self.restarts, self.wipes, self.strays, self.renewals),
            decided: BTreeMap::new(),
            token: 0,
            broken: None,
        };
        // The first candidate has been promised its ballot by two or by all: which two is the same but for their names.
        [0b011, 0b111].map(|mask| self.apply(&begun, &DutyStep::Begin(0, mask))).into()
    }

    fn steps(&self, s: &DutyState) -> Vec<DutyStep> {
        let mut steps = vec![DutyStep::Time];
        for by in 0..2 {
            let term = s.seekers[by].term();
            // Whoever prepares or holds goes on with that until it is over: to begin anew then only loses.
            let free = term.is_none_or(|t| t.is_expired(NOW)) && (by == 1 || self.ballots > 2);
            if free && s.seekers[by].highest_number() < self.ballots {
                steps.extend((1..8).map(|mask| DutyStep::Begin(by, mask)));
            }
            if s.asks[by].is_some() {
                for voter in 0..VOTERS as usize {
                    steps.push(DutyStep::Hear { by, voter, comes: true });
                    steps.push(DutyStep::Hear { by, voter, comes: false });
                }
                if s.left.2 > 0 && s.stray.is_none() {
                    steps.push(DutyStep::Keep(by));
                }
            }
            if let Some(term) = term.filter(|t| t.is_held(NOW)) {
                steps.push(DutyStep::Give(by));
                if s.left.3 > 0 {
                    steps.push(DutyStep::Renew(by));
                }
                if term.decided().is_some_and(|post| post.step < self.steps) {
                    steps.push(DutyStep::Step(by));
                }
            }
        }
        for voter in 0..VOTERS as usize {
            if s.stray.is_some() {
                steps.push(DutyStep::Stray(voter));
            }
            if s.left.0 > 0 {
                steps.push(DutyStep::Restart(voter));
            }
            if s.left.1 > 0 {
                steps.extend([DutyStep::Wipe(voter, false), DutyStep::Wipe(voter, true)]);
            }
            if !s.voters[voter].is_voting() {
                steps.extend((0..VOTERS as usize).filter(|o| *o != voter).map(|o| DutyStep::Learn(voter, o)));
            }
        }
        steps
    }

    fn apply(&self, state: &DutyState, step: &DutyStep) -> DutyState {
        let mut s = state.clone();
        let (lease, electorate) = (self.lease(), Self::electorate());
        let setting = ProposerContext { lease, voters: &electorate, rank: Some(0), jitter: 0 };
        match *step {
            DutyStep::Time => {
                s.seekers.iter_mut().for_each(|k| *k = k.rebased(NOW, self.rates[0], lease));
                s.voters.iter_mut().for_each(|v| *v = v.rebased(NOW, self.rates[1], lease));
                for by in 0..2 {
                    // A question whose time is up is asked no more.
                    let over = s.seekers[by].term().is_some_and(|t| t.is_expired(NOW));
                    if over || s.seekers[by].term().is_none() {
                        s.asks[by] = None;
                    }
                }
                for voter in &mut s.voters {
                    voter.tick(NOW, lease, &electorate);
                }
            }
            DutyStep::Begin(by, mask) => {
                // One whose term is over is at rest first.
                let (me, highest) = (
                    ProcessId { member: by as u64, instance: 10 + by as u64 },
                    s.seekers[by].highest_number(),
                );
                let mut seeker = Proposer::new(NOW, me);
                let ballot = yarrowhill_duties::Ballot { number: highest, proposer: me };
                seeker.handle_refusal(NOW, &setting, ballot, ballot, None);
                let word = Word::of(seeker.prepare(NOW));
                s.seekers[by] = seeker;
                s.asks[by] = None;
                for voter in (0..VOTERS as usize).filter(|v| mask >> v & 1 == 1) {
                    word.iter().for_each(|word| hear(&mut s, &setting, by, voter, word, true));
                }
            }
            DutyStep::Hear { by, voter, comes } => {
                if let Some((_, word)) = s.asks[by].clone() {
                    hear(&mut s, &setting, by, voter, &word, comes);
                }
            }
            DutyStep::Renew(by) => {
                s.left.3 -= 1;
                if let Some(write) = s.seekers[by].term_mut().and_then(|term| term.tick(NOW, lease)) {
                    s.asks[by] = Word::of(VoterRequest::Accept(write)).map(|w| (by as u64, w));
                }
            }
            DutyStep::Step(by) => {
                if let Some(term) = s.seekers[by].term_mut() {
                    let token = term.token();
                    if let Ok((_, write)) = term.record_step(NOW, lease, token, vec![token as u8, by as u8]) {
                        s.asks[by] = Word::of(VoterRequest::Accept(write)).map(|w| (by as u64, w));
                    }
                }
            }
            DutyStep::Give(by) => {
                let write = s.seekers[by].term_mut().and_then(|term| term.release(NOW, lease, Reason::Asked));
                if let Some(write) = write {
                    s.asks[by] = Word::of(VoterRequest::Accept(write)).map(|w| (by as u64, w));
                }
            }
            DutyStep::Keep(by) => {
                s.stray.clone_from(&s.asks[by]);
                s.left.2 -= 1;
            }
            DutyStep::Stray(voter) => {
                if let Some((by, word)) = s.stray.clone() {
                    hear(&mut s, &setting, by as usize, voter, &word, true);
                }
            }
            DutyStep::Restart(voter) => {
                s.left.0 -= 1;
                // Of how often it wrote nothing is said here: boots alone tell lives apart in this world.
                let found = Some(StoredVoter { write_count: 0, registers: s.voters[voter].registers() });
                s.voters[voter] = Voter::new(NOW, Self::life(voter, 1), BOOT + 1, lease, found);
            }
            DutyStep::Wipe(voter, copy) => {
                s.left.1 -= 1;
                // A copy of before anything was promised, or nothing at all.
                let found = copy.then(StoredVoter::default);
                s.voters[voter] = Voter::new(NOW, Self::life(voter, 2), BOOT, lease, found);
            }
            DutyStep::Learn(voter, from) => {
                let of = s.voters[from].flags();
                let register = s.voters[from].registers().remove(&DUTY);
                let said = register.as_ref().map(|r| (DUTY, r));
                let one = &mut s.voters[voter];
                let (nonce, _) = one.tick(NOW, lease, &electorate);
                // Asked just now, or a little before.
                let nonce = nonce.unwrap_or_else(|| one.nonce());
                // All remember the last life of each: that of a copy is another one.
                let remembers = (Some((BOOT, 0)), 0);
                one.handle_recovery_response(
                    NOW,
                    lease,
                    &electorate,
                    from as u64,
                    nonce,
                    of,
                    remembers,
                    said,
                    (0, 1),
                );
            }
        }
        // Set back to one reading of all clocks.
        s.voters.iter_mut().for_each(|v| *v = v.rebased(NOW, 0, lease));
        s.seekers.iter_mut().for_each(|k| *k = k.rebased(NOW, 0, lease));
        s
    }

    fn violation(&self, s: &DutyState) -> Option<String> {
        if let Some(broken) = s.broken {
            return Some(broken.to_owned());
        }
        let holds = |by: usize| s.seekers[by].term().is_some_and(|t| t.is_held(NOW));
        (holds(0) && holds(1)).then(|| "two hold it at once".to_owned())
    }
}

fn hear(s: &mut DutyState, setting: &ProposerContext<'_>, by: usize, voter: usize, word: &Word, comes: bool) {
    let Some(kept): Option<&mut LeasedRegister> = s.voters[voter].register_mut(DUTY) else { return };
    let ruling = match word {
        Word::Prepare(ballot) => kept.prepare(NOW, *ballot),
        Word::Accept { ballot, seq, value } => kept.accept(NOW, setting.lease, *ballot, *seq, value.clone()),
    };
    if !comes {
        return;
    }
    let seeker = &mut s.seekers[by];
    let mut told = Vec::new();
    let mut ask = None;
    match ruling.response {
        yarrowhill_duties::Response::Promise { ballot, accepted } => {
            ask = seeker.handle_promise(NOW, setting, voter as u64, ballot, accepted);
        }
        yarrowhill_duties::Response::Accepted { ballot, seq } => {
            told = seeker.handle_accepted(NOW, setting, voter as u64, ballot, seq);
        }
        yarrowhill_duties::Response::Refused { promised, .. } => {
            // What it hears of higher numbers is of use to it, and to nothing that must hold.
            let _ = promised;
        }
    }
    if let Some(ask) = ask {
        s.asks[by] = Word::of(ask).map(|w| (by as u64, w));
    }
    for decided in told {
        let post = seeker.term().and_then(|t| t.decided()).cloned().unwrap_or_default();
        match decided {
            Decision::Acquired => {
                let done = s.decided.keys().next_back().copied().unwrap_or(0);
                if post.step < done || s.decided.get(&post.step).is_some_and(|p| *p != post.progress) {
                    s.broken = Some("one takes it without what was done before");
                }
                if post.token <= s.token {
                    s.broken = Some("a token is used again");
                }
                s.token = post.token;
            }
            Decision::Step(step) => {
                let before = s.decided.insert(step, post.progress.clone());
                if before.is_some_and(|before| before != post.progress) {
                    s.broken = Some("a step is decided twice");
                }
            }
            Decision::Released(_) => {}
        }
        if matches!(decided, Decision::Released(_)) {
            s.asks[by] = None;
        }
    }
}

// ---- Schedules ----

const PERIOD: Micros = 1_000_000;
const DRIFT: f64 = 0.01;
/// A term lasts so long without a word (microseconds).
const HOLD: Micros = 3 * PERIOD;
/// How fine the world is looked at (microseconds).
const LOOK: Micros = PERIOD / 20;
/// All is mended at the end of the troubles, and somebody holds each duty after so long: a voter's silence, a rank's patience, a
/// term, and pauses after tries that came to nothing.
const HELD_AGAIN: Micros = 14 * HOLD;

/// A folder that outlasts the member.
#[derive(Clone, Debug, Default)]
struct Disk {
    /// What was written, in order.
    written: Vec<StoredVoter>,
    full: bool,
}

/// What all did, as a ledger that is judged.
#[derive(Clone, Debug, Default)]
struct Book {
    /// Steps of each duty that a holder was told of: under which token, and what was done.
    steps: BTreeMap<(u64, u64), (u64, Vec<u8>)>,
    /// The highest token under which each duty was taken, and by whom.
    taken: BTreeMap<u64, (u64, u64)>,
    broken: Option<String>,
    terms: u64,
}

struct Holder {
    duties: Duties,
    disk: Disk,
    book: Rc<RefCell<Book>>,
    me: u64,
    /// Works: writes a step of progress whenever it holds and the last one is decided.
    pending: BTreeMap<u64, Vec<u8>>,
    next_work: Micros,
    out: Vec<(usize, Envelope)>,
}

impl Holder {
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
                        self.disk.written.push(stored);
                        self.duties.persisted();
                    }
                    Output::Erase => self.disk.written.clear(),
                    Output::Send { to, envelope: letter } if to == self.me => own.push(letter),
                    Output::Send { to, envelope: letter } => self.out.push((to as usize, letter)),
                    Output::Event(event) => self.heard(event),
                }
            }
            own.into_iter().for_each(|letter| self.duties.handle(now, self.me, letter));
        }
    }

    fn heard(&mut self, event: Event) {
        let mut book = self.book.borrow_mut();
        match event {
            Event::Acquired { duty, token, step } => {
                book.terms += 1;
                let last = book.taken.insert(duty, (token, self.me));
                if let Some((before, who)) = last.filter(|(before, _)| *before >= token) {
                    book.broken = Some(format!("{} takes under {token} after {who} under {before}", self.me));
                }
                let done = book.steps.keys().filter(|(d, _)| *d == duty).map(|(_, s)| *s).max().unwrap_or(0);
                if step < done {
                    book.broken = Some(format!("{} goes on from step {step}, and {done} was done", self.me));
                }
                self.pending.remove(&duty);
            }
            Event::StepDecided { duty, token, step } => {
                let done = self.pending.remove(&duty).unwrap_or_default();
                let before = book.steps.insert((duty, step), (token, done.clone()));
                if let Some((other, _)) = before.filter(|(other, what)| *other != token || *what != done) {
                    book.broken = Some(format!("step {step} is decided under {other} and {token}"));
                }
            }
            _ => {}
        }
    }

    fn work(&mut self, now: Micros) {
        if now < self.next_work {
            return;
        }
        self.next_work = now + PERIOD / 4;
        let ids: Vec<u64> = self.duties.duties().map(|(id, _)| id).collect();
        for duty in ids {
            let Some(held) = self.duties.held(now, duty) else { continue };
            let done = [held.token.to_le_bytes(), (held.step + 1).to_le_bytes()].concat();
            if self.duties.record_step(now, &held, done.clone()).is_ok() {
                self.pending.insert(duty, done);
            }
        }
    }
}

impl Member for Holder {
    type Packet = Envelope;

    fn tick(&mut self, now: Micros) {
        self.duties.tick(now);
        self.collect(now);
        self.work(now);
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
        self.duties.next_wake().min(self.next_work)
    }
}

fn size(letter: &Envelope) -> usize {
    yarrowhill_fleet::encode_duty(letter).map_or(usize::MAX, |bytes| bytes.len())
}

struct Scene {
    fleet: Fleet<Holder>,
    disks: Vec<Disk>,
    book: Rc<RefCell<Book>>,
    names: Vec<Duty>,
    voters: VoterSet,
    boots: Vec<u64>,
    lives: Vec<u64>,
    /// When each started last, and when it ended (of the world).
    started: Vec<Micros>,
    ended: Vec<Micros>,
    /// Those that have an older copy of their folder.
    copied: BTreeSet<usize>,
    size: usize,
}

impl Scene {
    fn new(members: usize, seed: u64, duties: usize) -> Self {
        let mut fleet = Fleet::new(seed, Links::default(), size);
        for n in 0..members {
            let rate = 1.0 + DRIFT * (2.0 * n as f64 / (members.max(2) - 1) as f64 - 1.0);
            fleet.add_slot(Clock { offset: n as u64 * 1_000_003 + 10_000_000, rate });
        }
        let electors = if members <= 7 { members } else { 7 };
        Scene {
            fleet,
            disks: vec![Disk::default(); members],
            book: Rc::default(),
            names: (0..duties).map(|n| Duty::new(&format!("duty {n}"))).collect(),
            // Spread over the numbers.
            voters: VoterSet::new((0..electors).map(|n| (n * members / electors) as u64)),
            boots: vec![0; members],
            lives: vec![0; members],
            started: vec![0; members],
            ended: vec![0; members],
            copied: BTreeSet::new(),
            size: members,
        }
    }

    fn start(&mut self, n: usize) {
        let mut disk = std::mem::take(&mut self.disks[n]);
        disk.full = false;
        let now = self.fleet.local_time(n);
        self.started[n] = self.fleet.now();
        self.boots[n] += 1;
        self.lives[n] += 1;
        let me = ProcessId { member: n as u64, instance: self.lives[n] };
        let lease = Lease::new(HOLD, DRIFT);
        let found = disk.written.last().cloned();
        let names = self.names.clone();
        let mut duties = Duties::new(now, me, self.boots[n], lease, found, names, self.voters.clone());
        for other in 0..self.size {
            duties.record_instance(other as u64, self.boots[other], self.lives[other]);
        }
        let book = self.book.clone();
        let holder = Holder {
            duties,
            disk,
            book,
            me: n as u64,
            pending: BTreeMap::new(),
            next_work: now,
            out: Vec::new(),
        };
        self.fleet.start(n, holder);
        // What the others hear of it by membership; of a copy it is what they heard of the last life.
        let (boot, life) = (self.boots[n], self.lives[n]);
        for other in 0..self.size {
            self.fleet
                .member_mut(other)
                .into_iter()
                .for_each(|m| m.duties.record_instance(n as u64, boot, life));
        }
    }

    fn kill(&mut self, n: usize) {
        if let Some(member) = self.fleet.member(n) {
            self.disks[n] = member.disk.clone();
            // One that was started from a copy and has not voted since ended when it last did.
            if member.duties.vote_status() != yarrowhill_duties::VoteStatus::Checking {
                self.ended[n] = self.fleet.now();
                self.copied.remove(&n);
            }
        }
        self.fleet.inject(&ProcessFault::Kill(n));
    }

    /// Who is there, as all are told.
    fn see(&mut self, of: impl Fn(usize) -> Vec<usize>) {
        for n in 0..self.size {
            let there = of(n);
            let candidates = there
                .iter()
                .map(|m| Candidate { member: *m as u64, zone: String::new(), degraded: false })
                .collect();
            let may = self.voters.is_majority(|id| there.contains(&(id as usize)));
            let now = self.fleet.local_time(n);
            if let Some(member) = self.fleet.member_mut(n) {
                member.duties.set_candidates(now, candidates, may);
            }
        }
    }

    /// Whether a voter lives that has run since before another last voted, and is not stopped: it remembers.
    fn witness(&self, of: usize) -> bool {
        let runs = |n: usize| self.started[n] < self.ended[of] && !self.fleet.is_stopped(n);
        self.voters
            .current
            .iter()
            .map(|id| *id as usize)
            .any(|n| n != of && self.fleet.member(n).is_some() && runs(n))
    }

    fn holders(&self, duty: u64) -> Vec<(usize, u64)> {
        // Also those that are stopped: at this moment they could wake in the midst of an act.
        let held = |n: usize| {
            let member = self.fleet.member(n)?;
            Some((n, member.duties.held(self.fleet.local_time(n), duty)?.token))
        };
        (0..self.size).filter_map(held).collect()
    }

    fn look(&self) -> Result<(), Breach> {
        let at = self.fleet.now();
        for duty in &self.names {
            let holders = self.holders(duty.id());
            if holders.len() > 1 {
                return Err(Breach { at, what: format!("{} is held by {holders:?}", duty.name) });
            }
        }
        self.book.borrow().broken.clone().map_or(Ok(()), |what| Err(Breach { at, what }))
    }

    fn run_until(&mut self, end: Micros) -> Result<(), Breach> {
        while self.fleet.now() < end {
            let next = (self.fleet.now() + LOOK).min(end);
            self.fleet.run_until(next);
            self.look()?;
        }
        Ok(())
    }
}

/// Plays the schedule of a seed: cuts, loss, stops, deaths, starts with every kind of folder, disks that are full, views that
/// disagree, wishes of operators. Nobody holds what another holds, tokens grow, no step is lost or done twice; and when all is
/// mended every duty is held again.
///
/// # Errors
///
/// A property that does not hold.
pub fn play_duties(seed: u64) -> Result<(), Breach> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xd07);
    let members = [3, 3, 5, 7, 9][rng.random_range(0..5)];
    let mut scene = Scene::new(members, seed, 2);
    let all: Vec<usize> = (0..members).collect();
    (0..members).for_each(|n| scene.start(n));
    scene.see(|_| all.clone());
    let voters: Vec<usize> = scene.voters.current.iter().map(|id| *id as usize).collect();
    // Voters that lost their folder and may not have learnt yet: fewer than a majority at a time, as is assumed.
    let mut forgot: BTreeSet<usize> = BTreeSet::new();
    scene.run_until(6 * HOLD)?;
    let trouble = scene.fleet.now() + 60 * PERIOD;
    while scene.fleet.now() < trouble {
        let one = rng.random_range(0..members);
        forgot.retain(|n| {
            scene
                .fleet
                .member(*n)
                .is_none_or(|m| m.duties.vote_status() != yarrowhill_duties::VoteStatus::Voting)
        });
        match rng.random_range(0..13) {
            0 => scene.fleet.links.partition(&all.iter().map(|_| rng.random_range(0..2)).collect::<Vec<_>>()),
            1 => scene.fleet.links.set_cut(one, (one + 1) % members, true),
            2 => scene.fleet.links.heal(),
            3 => {
                let (loss, jitter) = (rng.random_range(0.0..0.3), rng.random_range(200..PERIOD));
                scene.fleet.links.default = Link { loss, duplication: 0.1, delay: 100, jitter, cut: false };
            }
            4 | 5 => scene.fleet.inject(&ProcessFault::Stall(one, rng.random_range(HOLD / 3..4 * HOLD))),
            6 | 7 => scene.kill(one),
            8 if scene.fleet.member(one).is_none() => {
                if scene.copied.contains(&one) {
                    // Found out as is assumed, or not started.
                    if !scene.witness(one) {
                        continue;
                    }
                    scene.fleet.links = Links::default();
                }
                scene.start(one);
            }
            9 if scene.fleet.member(one).is_none() => {
                // An older copy, or none. A voter among the voters: not too many at once.
                let unsure = |n: &&usize| match scene.fleet.member(**n) {
                    Some(member) => member.duties.vote_status() != yarrowhill_duties::VoteStatus::Voting,
                    None => forgot.contains(*n) || scene.disks[**n].written.is_empty(),
                };
                let lost = voters.iter().filter(|n| **n != one).filter(unsure).count();
                let room = !voters.contains(&one) || (lost + 1) * 2 < voters.len();
                let witness = scene.witness(one);
                if room {
                    if witness {
                        scene.fleet.links = Links::default();
                    }
                    let disk = &mut scene.disks[one].written;
                    // A copy is found out by one that has run since before, and is heard: as is assumed.
                    let keep =
                        if rng.random_bool(0.5) || !witness { 0 } else { rng.random_range(0..=disk.len()) };
                    let older = keep < disk.len();
                    disk.truncate(keep);
                    if voters.contains(&one) && older {
                        forgot.insert(one);
                    }
                    if older && keep > 0 {
                        scene.copied.insert(one);
                        // It counts its boots from the copy too: as high as its last life, or lower.
                        scene.boots[one] = scene.boots[one].saturating_sub(1);
                        let (boot, life) = (scene.boots[one] + 1, scene.lives[one]);
                        for n in 0..members {
                            scene
                                .fleet
                                .member_mut(n)
                                .into_iter()
                                .for_each(|m| m.duties.record_instance(one as u64, boot, life));
                        }
                    }
                    scene.start(one);
                }
            }
            10 => {
                let full = rng.random_bool(0.5);
                // Whoever has nothing on disk yet is not one that lost it.
                let some = |m: &&mut Holder| !m.disk.written.is_empty();
                scene.fleet.member_mut(one).filter(some).into_iter().for_each(|m| m.disk.full = full);
            }
            11 => {
                let seeds: Vec<u64> = all.iter().map(|_| rng.random()).collect();
                scene.see(|n| all.iter().copied().filter(|m| seeds[n] >> m & 3 != 0).collect());
            }
            _ => {
                let wish = if rng.random_bool(0.5) {
                    yarrowhill_duties::OperatorRequest::Yield
                } else {
                    yarrowhill_duties::OperatorRequest::Pin(Some(rng.random_range(0..members) as u64))
                };
                let (now, name) = (scene.fleet.local_time(one), scene.names[0].name.clone());
                scene
                    .fleet
                    .member_mut(one)
                    .into_iter()
                    .for_each(|m| drop(m.duties.operator_request(now, &name, wish)));
            }
        }
        let pause = if rng.random_bool(0.3) { 0 } else { rng.random_range(0..3 * PERIOD) };
        scene.run_until(scene.fleet.now() + pause)?;
    }
    scene.fleet.links = Links::default();
    for n in 0..members {
        scene.disks[n].full = false;
        if scene.fleet.member(n).is_none() && scene.copied.contains(&n) && !scene.witness(n) {
            return Ok(());
        }
        match scene.fleet.member_mut(n) {
            Some(member) => member.disk.full = false,
            None => scene.start(n),
        }
    }
    scene.see(|_| all.clone());
    // Those that are stopped wake first.
    scene.run_until(scene.fleet.now() + 4 * HOLD)?;
    scene.run_until(scene.fleet.now() + HELD_AGAIN)?;
    for duty in &scene.names {
        if scene.holders(duty.id()).is_empty() {
            let votes: Vec<_> =
                voters.iter().map(|n| scene.fleet.member(*n).map(|m| m.duties.vote_status())).collect();
            let what = format!("nobody holds {} after all was mended; voters {votes:?}", duty.name);
            return Err(Breach { at: scene.fleet.now(), what });
        }
    }
    if scene.book.borrow().steps.is_empty() {
        return Err(Breach { at: scene.fleet.now(), what: "no step was decided at all".to_owned() });
    }
    Ok(())
}

/// What ends a term, to be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// SIGKILL.
    Killed,
    /// Stopped for longer than a lease.
    Stopped,
    /// Cut off from all others.
    Cut,
    /// Asked to give it up.
    Asked,
}

/// How long a duty has no holder (milliseconds), and letters and bytes a second of all members at rest.
#[derive(Clone, Debug)]
pub struct DutyFigures {
    /// Gaps.
    pub gap: Histogram<u64>,
    /// Letters a second, over the whole fleet, with one duty.
    pub letters: f64,
    /// Bytes a second.
    pub bytes: f64,
}

/// Ends terms of one duty again and again, and measures how long nobody holds it.
pub fn measure_duties(members: usize, ending: Ending, ends: usize, seed: u64) -> DutyFigures {
    let mut scene = Scene::new(members, seed, 1);
    let all: Vec<usize> = (0..members).collect();
    (0..members).for_each(|n| scene.start(n));
    scene.see(|_| all.clone());
    let duty = scene.names[0].id();
    let run = |scene: &mut Scene, span: Micros| {
        let end = scene.fleet.now() + span;
        while scene.fleet.now() < end {
            let next = (scene.fleet.now() + LOOK / 5).min(end);
            scene.fleet.run_until(next);
        }
    };
    run(&mut scene, 8 * HOLD);
    let before: (u64, u64) = (scene.fleet.sent.iter().sum(), scene.fleet.bytes.iter().sum());
    run(&mut scene, 10 * HOLD);
    let seconds = 10.0 * HOLD as f64 / 1e6;
    let letters = (scene.fleet.sent.iter().sum::<u64>() - before.0) as f64 / seconds;
    let bytes = (scene.fleet.bytes.iter().sum::<u64>() - before.1) as f64 / seconds;
    let mut gap = Histogram::new(3).unwrap_or_else(|e| unreachable!("{e}"));
    for _ in 0..ends {
        let Some((holder, _)) = scene.holders(duty).first().copied() else {
            run(&mut scene, HOLD);
            continue;
        };
        let since = scene.fleet.now();
        let others: Vec<usize> = all.iter().copied().filter(|n| *n != holder).collect();
        match ending {
            Ending::Killed => scene.kill(holder),
            Ending::Stopped => scene.fleet.inject(&ProcessFault::Stall(holder, 6 * HOLD)),
            Ending::Cut => {
                let islands: Vec<usize> = all.iter().map(|n| usize::from(*n == holder)).collect();
                scene.fleet.links.partition(&islands);
            }
            Ending::Asked => {
                let (now, name) = (scene.fleet.local_time(holder), scene.names[0].name.clone());
                let wish = yarrowhill_duties::OperatorRequest::Yield;
                scene
                    .fleet
                    .member_mut(holder)
                    .into_iter()
                    .for_each(|m| drop(m.duties.operator_request(now, &name, wish)));
            }
        }
        // Views follow when a lease is over: the others know by then that it is gone.
        let mut seen = ending == Ending::Asked;
        loop {
            run(&mut scene, LOOK / 5);
            let now = scene.fleet.now();
            if !seen && now >= since + HOLD {
                seen = true;
                scene.see(|n| if n == holder { vec![holder] } else { others.clone() });
            }
            let held = scene.holders(duty);
            if held.iter().any(|(n, _)| *n != holder) || now > since + 60 * HOLD {
                gap.record((now - since) / 1000).unwrap_or_else(|e| unreachable!("{e}"));
                break;
            }
        }
        scene.fleet.links.heal();
        if scene.fleet.member(holder).is_none() {
            scene.start(holder);
        }
        run(&mut scene, 8 * HOLD);
        scene.see(|_| all.clone());
        run(&mut scene, 4 * HOLD);
    }
    DutyFigures { gap, letters, bytes }
}
