//! A partner of all that is down and comes back cold: who calls it meanwhile, and how all come back, in virtual time.

use crate::schedule::Breach;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use yarrowhill_fleet::{
    MAX_PART_REPORTS, MAX_REPORTS, SnapshotPart, encode_outages, encode_rights, encode_snapshot_part,
};
use yarrowhill_kernel::{Clock, Fleet, Link, Links, Member, Micros, ProcessFault};
use yarrowhill_knowledge::{Admission, CallOutcome, InitialSync, OutageDetector, OutageReport, SlowStart};
use yarrowhill_rights::{CALL, Envelope, LeaseDurations, Limit, SharedLimits};

/// The probe period that all else follows from (microseconds).
const PERIOD: Micros = 1_000_000;
const DRIFT: f64 = 0.01;
/// Which destination.
const DEST: u64 = 7;
/// Calls a second that it takes when it is warm.
const LIMIT: u64 = 600;
/// How a return goes: a turn of two periods, warm after thirteen seconds, from 0.17 of its capacity.
const RAMP: SlowStart =
    SlowStart { probe_interval: 2 * PERIOD, warm_up: 13 * PERIOD, initial_fraction: 0.17 };
/// Sent more than this many times what it bears over so long, it falls over.
const FALL: (f64, Micros) = (2.0, 3 * PERIOD);
/// A call that is served takes so long, and one that is not is given up after so long (microseconds).
const SERVED: Micros = 60_000;
const HANGS: Micros = PERIOD;
/// Calls out at once of one member.
const SLOTS: usize = 12;
/// A message waits for so long at the most (microseconds).
const PATIENCE: Micros = 6 * PERIOD;
/// How fine the world is looked at (microseconds).
const STEP: Micros = PERIOD / 50;
/// Rounds of news.
const ROUND: Micros = PERIOD / 4;

/// How members go by an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// One tries, and all come back along one ramp.
    Together,
    /// Each finds out by its own calls, tries for itself, and comes back along a ramp of its own.
    Apart,
}

/// The partner, as the world has it.
#[derive(Debug, Default)]
struct Partner {
    now: Micros,
    down: Option<(Micros, Micros)>,
    /// When calls reached it.
    calls: Vec<Micros>,
}

impl Partner {
    fn is_down(&self) -> bool {
        self.down.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }
}

#[derive(Clone, Debug)]
enum Msg {
    Letter(Envelope),
    Findings(Vec<OutageReport>),
    Hello,
    Told(SnapshotPart),
}

/// Its own judgement, where each goes by its own: three failures in a row, then trials further and further apart.
#[derive(Clone, Debug, Default)]
struct Alone {
    row: u32,
    next: Micros,
    pause: Micros,
    back: Option<Micros>,
}

struct Caller {
    way: Way,
    sharing: SharedLimits,
    outages: OutageDetector,
    alone: Alone,
    view: Vec<u64>,
    me: u64,
    rng: ChaCha8Rng,
    partner: Rc<RefCell<Partner>>,
    rate: f64,
    next_message: Micros,
    /// When each that waits is given up.
    waiting: VecDeque<Micros>,
    /// Calls that are out: when they end, when they began, whether they are served.
    out: Vec<(Micros, Micros, bool)>,
    retry: Micros,
    next_news: Micros,
    /// It has just started: it takes on nothing before it was told what holds, or before this moment.
    newcomer: InitialSync,
    served: u64,
    given_up: u64,
    began: u64,
    trials: u64,
    sends: Vec<(usize, Msg)>,
}

impl Caller {
    #[allow(clippy::too_many_arguments)]
    fn new(
        me: usize,
        now: Micros,
        members: usize,
        way: Way,
        rate: f64,
        life: u64,
        newcomer: bool,
        partner: Rc<RefCell<Partner>>,
    ) -> Self {
        let mut sharing =
            SharedLimits::new(now, me as u64, life, members, LeaseDurations::new(PERIOD, DRIFT));
        sharing.set_limits(
            now,
            members,
            &BTreeMap::from([(DEST, Limit { calls: LIMIT * CALL, lend: true })]),
        );
        let mut outages = OutageDetector::new(me as u64, life, RAMP);
        outages.set_membership(life, members);
        Caller {
            way,
            sharing,
            outages,
            alone: Alone::default(),
            view: (0..members as u64).collect(),
            me: me as u64,
            rng: ChaCha8Rng::seed_from_u64(life << 20 | me as u64),
            partner,
            rate,
            next_message: now + (me as u64 * 7919) % PERIOD,
            waiting: VecDeque::new(),
            out: Vec::new(),
            retry: 0,
            next_news: now,
            newcomer: InitialSync::new(if newcomer { now + 10 * PERIOD } else { 0 }),
            served: 0,
            given_up: 0,
            began: 0,
            trials: 0,
            sends: Vec::new(),
        }
    }

    fn leave(&mut self, now: Micros) -> Admission {
        match self.way {
            Way::Together => self.outages.admit(now, DEST),
            Way::Apart => match (&mut self.alone, now) {
                (Alone { row: 3.., next, .. }, now) if now < *next => Admission::Defer(*next - now),
                (Alone { row: 3.., next, pause, .. }, now) => {
                    *pause = (*pause * 2).clamp(PERIOD, 4 * PERIOD);
                    *next = now + *pause;
                    Admission::Probe
                }
                (Alone { back: Some(back), .. }, now) => Admission::Fraction(RAMP.fraction(now - *back)),
                _ => Admission::Fraction(1.0),
            },
        }
    }

    fn ended(&mut self, now: Micros, began: Micros, how: CallOutcome) {
        self.outages.record_call_end(now, DEST, began, how);
        match how {
            CallOutcome::Served if self.alone.row >= 3 => {
                self.alone = Alone { back: Some(now), ..Alone::default() };
            }
            CallOutcome::Served => self.alone.row = 0,
            _ => self.alone.row += 1,
        }
    }

    fn work(&mut self, now: Micros) {
        let done: Vec<_> = self.out.extract_if(.., |call| call.0 <= now).collect();
        for (ends, began, served) in done {
            self.served += u64::from(served);
            self.given_up += u64::from(!served);
            self.ended(
                ends.max(began),
                began,
                if served { CallOutcome::Served } else { CallOutcome::Failed },
            );
        }
        self.next_message = self.next_message.max(now.saturating_sub(PERIOD));
        while self.rate > 0.0 && now >= self.next_message {
            self.next_message += (1e6 / self.rate) as Micros + 1;
            if !self.newcomer.is_pending(now) {
                self.waiting.push_back(now + PATIENCE);
                // Each asks once, also those that wait behind others.
                self.sharing.record_demand(now, &[DEST]);
            }
        }
        while self.waiting.pop_front_if(|until| *until <= now).is_some() {
            self.given_up += 1;
        }
        if now < self.retry {
            return;
        }
        while !self.waiting.is_empty() && self.out.len() < SLOTS {
            let leave = self.leave(now);
            let part = match leave {
                Admission::Fraction(part) => part,
                Admission::Probe => 1.0,
                Admission::Defer(wait) => {
                    self.retry = now + wait.clamp(1000, ROUND);
                    return;
                }
            };
            if let Err(wait) = self.sharing.try_begin(now, &[DEST], part, true) {
                if leave == Admission::Probe {
                    self.outages.cancel_probe(DEST);
                }
                self.retry = now + wait.clamp(1000, ROUND);
                return;
            }
            self.waiting.pop_front();
            self.began += 1;
            self.trials += u64::from(leave == Admission::Probe);
            let mut partner = self.partner.borrow_mut();
            let at = partner.now;
            partner.calls.push(at);
            let served = !partner.is_down();
            self.out.push((now + if served { SERVED } else { HANGS }, now, served));
        }
    }

    fn say(&mut self, now: Micros) {
        let letters = self.sharing.tick(now, &self.view);
        self.sends.extend(letters.into_iter().map(|(to, letter)| (to as usize, Msg::Letter(letter))));
        if now < self.next_news || self.way == Way::Apart {
            return;
        }
        self.next_news = now + ROUND;
        let others: Vec<u64> = self.view.iter().copied().filter(|id| *id != self.me).collect();
        let words = self.outages.updates_to_send(now, MAX_REPORTS, self.view.len());
        for to in others.sample(&mut self.rng, 3) {
            if self.newcomer.is_pending(now) {
                self.sends.push((*to as usize, Msg::Hello));
            }
            if !words.is_empty() {
                self.sends.push((*to as usize, Msg::Findings(words.clone())));
            }
        }
    }
}

impl Member for Caller {
    type Packet = Msg;

    fn tick(&mut self, now: Micros) {
        self.work(now);
        self.say(now);
    }

    fn handle(&mut self, now: Micros, from: usize, packet: Msg) {
        match packet {
            Msg::Letter(letter) => {
                let answer = self.sharing.handle(now, from as u64, &letter);
                self.sends.extend(answer.map(|answer| (from, Msg::Letter(answer))));
            }
            Msg::Findings(words) => words.iter().for_each(|word| self.outages.receive(now, word)),
            Msg::Hello => {
                let parts = SnapshotPart::split(&[], &self.outages.snapshot(now, 8 * MAX_PART_REPORTS));
                self.sends.extend(parts.into_iter().map(|part| (from, Msg::Told(part))));
            }
            Msg::Told(told) => {
                told.outages.iter().for_each(|word| self.outages.receive(now, word));
                self.newcomer.record_part(from as u64, told.part, told.parts);
            }
        }
        self.work(now);
    }

    fn take_outgoing(&mut self) -> Vec<(usize, Msg)> {
        std::mem::take(&mut self.sends)
    }

    fn next_wake(&self) -> Micros {
        let message = if self.rate > 0.0 { self.next_message } else { Micros::MAX };
        let ends = self.out.iter().map(|call| call.0).min().unwrap_or(Micros::MAX);
        // With all slots taken the next end is what it waits for.
        let idle = self.waiting.is_empty() || self.out.len() >= SLOTS;
        let held = if idle { Micros::MAX } else { self.retry };
        let news = if self.way == Way::Together { self.next_news } else { Micros::MAX };
        self.sharing.next_wake().min(message).min(ends).min(held).min(news)
    }
}

fn size(msg: &Msg) -> usize {
    match msg {
        Msg::Letter(letter) => encode_rights(letter).map_or(usize::MAX, |b| b.len()),
        Msg::Findings(words) => encode_outages(words).map_or(usize::MAX, |b| b.len()),
        Msg::Told(told) => encode_snapshot_part(told).map_or(usize::MAX, |b| b.len()),
        Msg::Hello => 5,
    }
}

struct World {
    fleet: Fleet<Caller>,
    partner: Rc<RefCell<Partner>>,
}

impl World {
    fn new(members: usize, way: Way, seed: u64, rate: impl Fn(usize) -> f64) -> Self {
        let partner = Rc::new(RefCell::new(Partner::default()));
        let mut fleet = Fleet::new(seed, Links::default(), size);
        for n in 0..members {
            let clock = 1.0 + DRIFT * (2.0 * n as f64 / (members.max(2) - 1) as f64 - 1.0);
            fleet.add_slot(Clock { offset: n as u64 * 1_000_003 + 10_000_000, rate: clock });
            let now = fleet.local_time(n);
            let life = seed * 1000 + n as u64 + 1;
            fleet.start(n, Caller::new(n, now, members, way, rate(n), life, false, partner.clone()));
        }
        World { fleet, partner }
    }

    fn run_until(&mut self, end: Micros) {
        while self.fleet.now() < end {
            let next = (self.fleet.now() + STEP).min(end);
            // Calls of a step reach the partner at its end.
            self.partner.borrow_mut().now = next;
            self.fleet.run_until(next);
        }
    }

    fn sum(&self, of: impl Fn(&Caller) -> u64) -> u64 {
        (0..self.fleet.len()).filter_map(|n| self.fleet.member(n)).map(of).sum()
    }
}

/// What came of an outage.
#[derive(Clone, Debug)]
pub struct ReturnFigures {
    /// Calls that reached the partner while it was down, after five seconds of it.
    pub tried: usize,
    /// The most that was sent, as a part of what pushes it over: from 1 on it falls.
    pub pushed: f64,
    /// Seconds from its return until nine tenths of what was asked for is served again.
    pub full: Option<f64>,
    /// Messages that were given up, of all.
    pub given_up: f64,
    /// Bytes a second a member.
    pub bytes: f64,
}

impl fmt::Display for ReturnFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ReturnFigures { tried, pushed, full, given_up, bytes } = self;
        let full = full.map_or("never".to_owned(), |s| format!("after {s:.1} s"));
        write!(
            f,
            "{tried} calls while it was down, at most {pushed:.2} of what pushes it over, full use {full}, \
             {given_up:.3} given up, {bytes:.0} bytes a second"
        )
    }
}

/// The most that came over any span, as a part of what pushes the partner over.
fn pushed(calls: &[Micros], back: Micros) -> f64 {
    let (multiple, span) = FALL;
    let bears = |since: f64| {
        let cold = since.min(RAMP.warm_up as f64);
        RAMP.initial_fraction * cold
            + (1.0 - RAMP.initial_fraction) * cold * cold / (2.0 * RAMP.warm_up as f64)
            + (since - cold)
    };
    let after: Vec<Micros> = calls.iter().copied().filter(|at| *at >= back).collect();
    let mut most = 0.0f64;
    for (n, at) in after.iter().enumerate() {
        let within = after[n..].iter().take_while(|other| **other < at + span).count() as f64;
        let since = (at - back) as f64;
        let borne = (bears(since + span as f64) - bears(since)) / 1e6 * LIMIT as f64;
        most = most.max(within / (multiple * borne));
    }
    most
}

/// Measures an outage of twenty seconds before members that ask for nine tenths of the limit.
pub fn measure_return(members: usize, way: Way, seed: u64) -> ReturnFigures {
    let rate = 0.9 * LIMIT as f64 / members as f64;
    let mut world = World::new(members, way, seed, |_| rate);
    let (down, back) = (20 * PERIOD, 40 * PERIOD);
    world.partner.borrow_mut().down = Some((down, back));
    world.run_until(back);
    let mut full = None;
    while world.fleet.now() < back + 60 * PERIOD {
        let before = world.sum(|c| c.served);
        world.run_until(world.fleet.now() + PERIOD);
        let served = (world.sum(|c| c.served) - before) as f64;
        if full.is_none() && served >= 0.9 * rate * members as f64 {
            full = Some((world.fleet.now() - back) as f64 / 1e6);
        }
    }
    let partner = world.partner.borrow();
    let tried = partner.calls.iter().filter(|at| (down + 5 * PERIOD..back).contains(*at)).count();
    let (given_up, served) = (world.sum(|c| c.given_up), world.sum(|c| c.served));
    let bytes = world.fleet.bytes.iter().sum::<u64>() as f64 / members as f64 / 100.0;
    ReturnFigures {
        tried,
        pushed: pushed(&partner.calls, back),
        full,
        given_up: given_up as f64 / (given_up + served).max(1) as f64,
        bytes,
    }
}

/// Plays the schedule of a seed: a partner goes down and comes back while links lose up to half of all packets, members die,
/// start and are stopped. One that starts meanwhile calls it as one that tries, or not at all; and the partner is not pushed over.
///
/// # Errors
///
/// It calls, or the partner falls.
pub fn play_return(seed: u64) -> Result<(), Breach> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc01d);
    let members = [3, 5, 9, 30][rng.random_range(0..4)];
    let rate = 0.9 * LIMIT as f64 / members as f64;
    let mut world = World::new(members, Way::Together, seed, |_| rate);
    let loss = rng.random_range(0.0..0.5);
    world.fleet.links = Links::uniform(Link {
        loss,
        duplication: 0.05,
        delay: 300,
        jitter: rng.random_range(200..PERIOD / 4),
        cut: false,
    });
    let down = 10 * PERIOD + rng.random_range(0..5 * PERIOD);
    let back = down + rng.random_range(12..25) * PERIOD;
    world.partner.borrow_mut().down = Some((down, back));
    // Somebody is gone before, and starts when all others know.
    let late = rng.random_range(0..members);
    let starts = down + 6 * PERIOD + rng.random_range(0..(back - down).saturating_sub(8 * PERIOD).max(1));
    world.run_until(down - 2 * PERIOD);
    world.fleet.inject(&ProcessFault::Kill(late));
    if members > 3 && rng.random_bool(0.5) {
        let stopped = (late + 1) % members;
        world.fleet.inject(&ProcessFault::Stall(stopped, rng.random_range(PERIOD..8 * PERIOD)));
    }
    world.run_until(starts);
    let now = world.fleet.local_time(late);
    let life = seed * 1000 + 900;
    let newcomer = Caller::new(late, now, members, Way::Together, rate, life, true, world.partner.clone());
    world.fleet.start(late, newcomer);
    while world.fleet.now() < back {
        world.run_until((world.fleet.now() + PERIOD / 4).min(back));
        let Some(caller) = world.fleet.member(late) else { break };
        if caller.began > caller.trials {
            let what =
                format!("{late} started {:.1} s into the outage and calls", (starts - down) as f64 / 1e6);
            return Err(Breach { at: world.fleet.now(), what });
        }
    }
    let known = down + 6 * PERIOD;
    let tried = world.partner.borrow().calls.iter().filter(|at| (known..back).contains(*at)).count();
    // Two or three a turn where words are lost; and each once that had not heard yet.
    let may = 3 * members + 3 * ((back - known) / RAMP.probe_interval) as usize;
    if tried > may {
        let what = format!("{tried} calls while it was down, {may} may be");
        return Err(Breach { at: world.fleet.now(), what });
    }
    world.run_until(back + 20 * PERIOD);
    let most = pushed(&world.partner.borrow().calls, back);
    if most >= 1.0 {
        return Err(Breach { at: world.fleet.now(), what: format!("{most:.2} of what pushes it over") });
    }
    Ok(())
}
