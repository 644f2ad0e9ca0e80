//! Figures over many members in virtual time, and a plain heartbeat to everybody beside them.

use crate::member::World;
use crate::schedule::PERIOD;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use yarrowhill_kernel::{Clock, Fleet, Link, Links, Member, Micros, ProcessFault};
use yarrowhill_membership::{Health, Incarnation, Timing};

/// How fine times are (microseconds).
const STEP: Micros = PERIOD / 20;
/// A death that is not known by then is not counted (microseconds).
const PATIENCE: Micros = 90 * PERIOD;
/// The size of a plain heartbeat on the wire (bytes): a mark, a name's hash and a count.
const HEARTBEAT: usize = 20;
/// Silent for so many periods, a member is dead by plain heartbeats.
const SILENT: u64 = 5;

/// What was measured. Times are in milliseconds of the world.
#[derive(Clone, Debug)]
pub struct Figures {
    /// From a death until the first that holds it for dead,
    pub first: Histogram<u64>,
    /// until all do,
    pub all: Histogram<u64>,
    /// and until all have the one view without it.
    pub agreed: Histogram<u64>,
    /// Bytes that a member sends at rest (a second).
    pub rest: f64,
    /// Live members that somebody came to hold for dead, each incarnation once, an hour of the world.
    pub wrong: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|e| unreachable!("{e}"))
}

/// Counts a value; the histogram grows as far as it must, which no span here is too long for.
fn record(into: &mut Histogram<u64>, ms: u64) {
    into.record(ms).unwrap_or_else(|e| unreachable!("{e}"));
}

/// Kills `deaths` members of a fleet of `size`, one after another, and lets each come back. Of the fleet `slow` in
/// ten are stopped again and again for up to a period and a half.
pub fn measure(size: usize, loss: f64, slow: usize, deaths: usize, seed: u64) -> Figures {
    let mut timing = Timing::from_period(PERIOD);
    timing.collect_support = size <= 64;
    let links = Links::uniform(Link { loss, ..Link::default() });
    let mut world = World::new(size, timing, links, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..size).for_each(|n| world.start(n));
    let (mut wrong, mut watched) = (BTreeSet::new(), 0);
    let slowed = |n: usize| n % 10 < slow;
    let mut advance = |world: &mut World, span: Micros, rng: &mut ChaCha8Rng, dead: Option<usize>| {
        let end = world.fleet.now() + span;
        while world.fleet.now() < end {
            if world.fleet.now().is_multiple_of(PERIOD) {
                believed(world, dead, &mut wrong);
                for n in (0..size).filter(|n| slowed(*n)) {
                    if rng.random_bool(0.3) {
                        world.fleet.inject(&ProcessFault::Stall(n, rng.random_range(0..PERIOD * 3 / 2)));
                    }
                }
            }
            let next = (world.fleet.now() / STEP + 1) * STEP;
            world.fleet.run_until(next);
        }
        watched += span;
    };
    advance(&mut world, 40 * PERIOD, &mut rng, None);
    let before: u64 = world.fleet.bytes.iter().sum();
    for _ in 0..30 {
        advance(&mut world, PERIOD, &mut rng, None);
    }
    let rest = (world.fleet.bytes.iter().sum::<u64>() - before) as f64 / (30.0 * size as f64);
    let mut figures = Figures { first: histogram(), all: histogram(), agreed: histogram(), rest, wrong: 0.0 };
    for _ in 0..deaths {
        let dead = rng.random_range(0..size);
        let id = world.ids[dead];
        world.kill(dead);
        let at = world.fleet.now();
        let (mut first, mut all, mut agreed) = (None, None, None);
        while agreed.is_none() && world.fleet.now() < at + PATIENCE {
            advance(&mut world, STEP, &mut rng, Some(dead));
            let gone = (world.fleet.now() - at) / 1000;
            let knows =
                |n: usize| Some(world.fleet.member(n)?.core.member(id)?.record.health == Health::Dead);
            let live = (0..size).filter(|n| *n != dead);
            let known = live.clone().filter(|n| knows(*n) == Some(true)).count();
            if known > 0 {
                first.get_or_insert(gone);
            }
            if known < size - 1 {
                continue;
            }
            all.get_or_insert(gone);
            let views: Vec<_> = live.filter_map(|n| world.fleet.member(n)).map(|s| s.core.view()).collect();
            let one = views.iter().all(|v| v.id == views[0].id && !v.members.contains_key(&id));
            if one {
                agreed = Some(gone);
            }
        }
        for (told, into) in
            [(first, &mut figures.first), (all, &mut figures.all), (agreed, &mut figures.agreed)]
        {
            told.into_iter().for_each(|ms| record(into, ms));
        }
        world.start(dead);
        advance(&mut world, 30 * PERIOD, &mut rng, None);
    }
    figures.wrong = wrong.len() as f64 * 3.6e9 / watched.max(1) as f64;
    figures
}

/// Replaces half of a fleet within ten periods, each with an empty folder, and tells how long after that all hold the one
/// view of everybody (milliseconds of the world).
pub fn measure_replaced(size: usize, seed: u64) -> Option<u64> {
    let mut timing = Timing::from_period(PERIOD);
    timing.collect_support = size <= 64;
    let mut world = World::new(size, timing, Links::default(), seed);
    (0..size).for_each(|n| world.start(n));
    world.fleet.run_until(60 * PERIOD);
    let half = size / 2;
    for n in 0..half {
        world.kill(n);
        world.folders[n].boots.clear();
        world.start(n);
        let next = world.fleet.now() + 10 * PERIOD / half.max(1) as Micros;
        world.fleet.run_until(next);
    }
    let at = world.fleet.now();
    while world.fleet.now() < at + 3 * PATIENCE {
        let next = world.fleet.now() + STEP;
        world.fleet.run_until(next);
        let views: Vec<_> = (0..size).filter_map(|n| world.fleet.member(n)).map(|s| s.core.view()).collect();
        let all = |view: &&yarrowhill_membership::View| {
            let boots = |n: usize| world.fleet.member(n).map(|s| s.core.local_record().incarnation.boot);
            (0..size).all(|n| view.members.get(&world.ids[n]).copied() == boots(n))
        };
        if views.iter().all(|view| view.id == views[0].id) && views.first().is_some_and(all) {
            return Some((world.fleet.now() - at) / 1000);
        }
    }
    None
}

/// Notes live members that somebody holds for dead now, with the incarnation that is held so. A word of a death lasts
/// until it is refuted, which takes rounds of probes: looks a period apart miss few.
fn believed(world: &World, dead: Option<usize>, wrong: &mut BTreeSet<(usize, Incarnation)>) {
    for seated in (0..world.fleet.len()).filter_map(|n| world.fleet.member(n)) {
        let held = seated.core.members().filter(|(_, e)| e.record.health == Health::Dead);
        for (id, entry) in held {
            let live = |n: &usize| Some(*n) != dead && world.fleet.member(*n).is_some();
            if let Some(n) = world.number(id).filter(live)
                // What was said of an earlier life of one that is there again was true.
                && world
                    .fleet
                    .member(n)
                    .is_some_and(|m| m.core.local_record().incarnation.boot == entry.record.incarnation.boot)
            {
                wrong.insert((n, entry.record.incarnation));
            }
        }
    }
}

/// The plain way: everybody tells everybody each period that it is there.
pub struct Plain {
    me: usize,
    heard: Vec<Micros>,
    next: Micros,
    out: Vec<(usize, ())>,
}

impl Plain {
    fn holds_dead(&self, now: Micros, other: usize) -> bool {
        now > self.heard[other] + SILENT * PERIOD
    }
}

impl Member for Plain {
    type Packet = ();

    fn tick(&mut self, now: Micros) {
        if now >= self.next {
            self.next = now + PERIOD;
            self.out = (0..self.heard.len()).filter(|n| *n != self.me).map(|n| (n, ())).collect();
        }
    }

    fn handle(&mut self, now: Micros, from: usize, (): ()) {
        self.heard[from] = now;
    }

    fn take_outgoing(&mut self) -> Vec<(usize, ())> {
        std::mem::take(&mut self.out)
    }

    fn next_wake(&self) -> Micros {
        self.next
    }
}

/// The same deaths with plain heartbeats: time until all know, and bytes a member sends a second.
pub fn plain(size: usize, loss: f64, deaths: usize, seed: u64) -> (Histogram<u64>, f64) {
    let links = Links::uniform(Link { loss, ..Link::default() });
    let mut fleet: Fleet<Plain> = Fleet::new(seed, links, |()| HEARTBEAT);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for me in 0..size {
        fleet.add_slot(Clock { offset: 0, rate: 1.0 });
        let next = rng.random_range(0..PERIOD);
        fleet.start(me, Plain { me, heard: vec![0; size], next, out: Vec::new() });
    }
    fleet.run_until(5 * PERIOD);
    let before: u64 = fleet.bytes.iter().sum();
    fleet.run_until(10 * PERIOD);
    let rest = (fleet.bytes.iter().sum::<u64>() - before) as f64 / (5.0 * size as f64);
    let mut all = histogram();
    for _ in 0..deaths {
        let dead = rng.random_range(0..size);
        let at = fleet.now();
        fleet.inject(&ProcessFault::Kill(dead));
        loop {
            let next = fleet.now() + STEP;
            fleet.run_until(next);
            let knows = |n: usize| fleet.member(n).is_some_and(|m| m.holds_dead(next, dead));
            if (0..size).filter(|n| *n != dead).all(knows) {
                break;
            }
        }
        record(&mut all, (fleet.now() - at) / 1000);
        let now = fleet.now();
        fleet.start(dead, Plain { me: dead, heard: vec![now; size], next: now, out: Vec::new() });
        fleet.run_until(now + 3 * PERIOD);
    }
    (all, rest)
}
