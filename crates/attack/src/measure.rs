//! Failure detection measured on large fleets in virtual time, compared with all-to-all heartbeats.

use crate::member::Simulation;
use crate::schedule::PERIOD;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use yarrowhill_kernel::{Clock, Fleet, Link, Links, Member, Micros, ProcessFault};
use yarrowhill_membership::{Health, Incarnation, Timing};

/// Resolution of the measured times (microseconds).
const STEP: Micros = PERIOD / 20;
/// Time after which a death that was not detected is left out of the statistics (microseconds).
const DETECTION_TIMEOUT: Micros = 90 * PERIOD;
/// Size of a heartbeat on the wire (bytes): a tag, the hash of a name and a counter.
const HEARTBEAT_BYTES: usize = 20;
/// Number of periods without a heartbeat after which a member counts as dead.
const HEARTBEAT_TIMEOUT_PERIODS: u64 = 5;

/// Measured failure detection. Times are in milliseconds of virtual time.
#[derive(Clone, Debug)]
pub struct DetectionStats {
    /// Time from a death until the first member considers the dead member dead.
    pub first_detection: Histogram<u64>,
    /// Time from a death until all live members consider the dead member dead.
    pub full_detection: Histogram<u64>,
    /// Time from a death until all live members have the same view without the dead member.
    pub view_agreement: Histogram<u64>,
    /// Bytes sent by each member per second while nothing changes.
    pub idle_bytes: f64,
    /// Number of live members that some member wrongly considered dead, per hour of virtual time. Each
    /// incarnation counts once.
    pub false_deaths: f64,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|e| unreachable!("{e}"))
}

/// Records a value. The histogram resizes itself and has room for any time measured here.
fn record(histogram: &mut Histogram<u64>, ms: u64) {
    histogram.record(ms).unwrap_or_else(|e| unreachable!("{e}"));
}

/// Measures failure detection: kills `deaths` members of a fleet of `size`, one after another, and restarts
/// each. In the meantime `slow` in ten members are stalled repeatedly for up to one and a half periods.
pub fn measure_detection(size: usize, loss: f64, slow: usize, deaths: usize, seed: u64) -> DetectionStats {
    let mut timing = Timing::from_period(PERIOD);
    timing.collect_support = size <= 64;
    let links = Links::uniform(Link { loss, ..Link::default() });
    let mut sim = Simulation::new(size, timing, links, seed);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..size).for_each(|n| sim.start(n));
    let (mut false_deaths, mut observed) = (BTreeSet::new(), 0);
    let slowed = |n: usize| n % 10 < slow;
    let mut advance = |sim: &mut Simulation, duration: Micros, rng: &mut ChaCha8Rng, dead: Option<usize>| {
        let end = sim.fleet.now() + duration;
        while sim.fleet.now() < end {
            if sim.fleet.now().is_multiple_of(PERIOD) {
                record_false_deaths(sim, dead, &mut false_deaths);
                for n in (0..size).filter(|n| slowed(*n)) {
                    if rng.random_bool(0.3) {
                        sim.fleet.inject(&ProcessFault::Stall(n, rng.random_range(0..PERIOD * 3 / 2)));
                    }
                }
            }
            let next = (sim.fleet.now() / STEP + 1) * STEP;
            sim.fleet.run_until(next);
        }
        observed += duration;
    };
    advance(&mut sim, 40 * PERIOD, &mut rng, None);
    let before: u64 = sim.fleet.bytes.iter().sum();
    for _ in 0..30 {
        advance(&mut sim, PERIOD, &mut rng, None);
    }
    let idle_bytes = (sim.fleet.bytes.iter().sum::<u64>() - before) as f64 / (30.0 * size as f64);
    let mut stats = DetectionStats {
        first_detection: new_histogram(),
        full_detection: new_histogram(),
        view_agreement: new_histogram(),
        idle_bytes,
        false_deaths: 0.0,
    };
    for _ in 0..deaths {
        let dead = rng.random_range(0..size);
        let id = sim.ids[dead];
        sim.kill(dead);
        let at = sim.fleet.now();
        let (mut first_detection, mut all, mut view_agreement) = (None, None, None);
        while view_agreement.is_none() && sim.fleet.now() < at + DETECTION_TIMEOUT {
            advance(&mut sim, STEP, &mut rng, Some(dead));
            let elapsed = (sim.fleet.now() - at) / 1000;
            let holds_dead =
                |n: usize| Some(sim.fleet.member(n)?.core.member(id)?.record.health == Health::Dead);
            let live = (0..size).filter(|n| *n != dead);
            let detected_by = live.clone().filter(|n| holds_dead(*n) == Some(true)).count();
            if detected_by > 0 {
                first_detection.get_or_insert(elapsed);
            }
            if detected_by < size - 1 {
                continue;
            }
            all.get_or_insert(elapsed);
            let views: Vec<_> = live.filter_map(|n| sim.fleet.member(n)).map(|s| s.core.view()).collect();
            let same_view = views.iter().all(|v| v.id == views[0].id && !v.members.contains_key(&id));
            if same_view {
                view_agreement = Some(elapsed);
            }
        }
        for (value, histogram) in [
            (first_detection, &mut stats.first_detection),
            (all, &mut stats.full_detection),
            (view_agreement, &mut stats.view_agreement),
        ] {
            value.into_iter().for_each(|ms| record(histogram, ms));
        }
        sim.start(dead);
        advance(&mut sim, 30 * PERIOD, &mut rng, None);
    }
    stats.false_deaths = false_deaths.len() as f64 * 3.6e9 / observed.max(1) as f64;
    stats
}

/// Replaces half of a fleet within ten periods, each member with an empty state folder. Returns the time from
/// then until all members have the same complete view (milliseconds of virtual time), or `None` if they do
/// not get there.
pub fn measure_replacement(size: usize, seed: u64) -> Option<u64> {
    let mut timing = Timing::from_period(PERIOD);
    timing.collect_support = size <= 64;
    let mut sim = Simulation::new(size, timing, Links::default(), seed);
    (0..size).for_each(|n| sim.start(n));
    sim.fleet.run_until(60 * PERIOD);
    let half = size / 2;
    for n in 0..half {
        sim.kill(n);
        sim.folders[n].boots.clear();
        sim.start(n);
        let next = sim.fleet.now() + 10 * PERIOD / half.max(1) as Micros;
        sim.fleet.run_until(next);
    }
    let at = sim.fleet.now();
    while sim.fleet.now() < at + 3 * DETECTION_TIMEOUT {
        let next = sim.fleet.now() + STEP;
        sim.fleet.run_until(next);
        let views: Vec<_> = (0..size).filter_map(|n| sim.fleet.member(n)).map(|s| s.core.view()).collect();
        let all = |view: &&yarrowhill_membership::View| {
            let boots = |n: usize| sim.fleet.member(n).map(|s| s.core.local_record().incarnation.boot);
            (0..size).all(|n| view.members.get(&sim.ids[n]).copied() == boots(n))
        };
        if views.iter().all(|view| view.id == views[0].id) && views.first().is_some_and(all) {
            return Some((sim.fleet.now() - at) / 1000);
        }
    }
    None
}

/// Records the live members that any member considers dead now, with the incarnation concerned. A report of a
/// death lasts until it is refuted, which takes rounds of probes: checking once per period misses few.
fn record_false_deaths(
    sim: &Simulation,
    dead: Option<usize>,
    false_deaths: &mut BTreeSet<(usize, Incarnation)>,
) {
    for member in (0..sim.fleet.len()).filter_map(|n| sim.fleet.member(n)) {
        let held = member.core.members().filter(|(_, e)| e.record.health == Health::Dead);
        for (id, entry) in held {
            let live = |n: &usize| Some(*n) != dead && sim.fleet.member(*n).is_some();
            if let Some(n) = sim.slot_of(id).filter(live)
                // A report of an earlier instance of a restarted member was true.
                && sim
                    .fleet
                    .member(n)
                    .is_some_and(|m| m.core.local_record().incarnation.boot == entry.record.incarnation.boot)
            {
                false_deaths.insert((n, entry.record.incarnation));
            }
        }
    }
}

/// Member of the baseline protocol: it sends a heartbeat to all others in each period.
pub struct HeartbeatMember {
    local: usize,
    last_received: Vec<Micros>,
    next: Micros,
    outgoing: Vec<(usize, ())>,
}

impl HeartbeatMember {
    fn holds_dead(&self, now: Micros, other: usize) -> bool {
        now > self.last_received[other] + HEARTBEAT_TIMEOUT_PERIODS * PERIOD
    }
}

impl Member for HeartbeatMember {
    type Packet = ();

    fn tick(&mut self, now: Micros) {
        if now >= self.next {
            self.next = now + PERIOD;
            self.outgoing =
                (0..self.last_received.len()).filter(|n| *n != self.local).map(|n| (n, ())).collect();
        }
    }

    fn handle(&mut self, now: Micros, from: usize, (): ()) {
        self.last_received[from] = now;
    }

    fn take_outgoing(&mut self) -> Vec<(usize, ())> {
        std::mem::take(&mut self.outgoing)
    }

    fn next_wake(&self) -> Micros {
        self.next
    }
}

/// Measures the same deaths with heartbeats: time until all live members consider the dead member dead,
/// and bytes sent by each member per second.
pub fn measure_heartbeats(size: usize, loss: f64, deaths: usize, seed: u64) -> (Histogram<u64>, f64) {
    let links = Links::uniform(Link { loss, ..Link::default() });
    let mut fleet: Fleet<HeartbeatMember> = Fleet::new(seed, links, |()| HEARTBEAT_BYTES);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for local in 0..size {
        fleet.add_slot(Clock { offset: 0, rate: 1.0 });
        let next = rng.random_range(0..PERIOD);
        fleet.start(
            local,
            HeartbeatMember { local, last_received: vec![0; size], next, outgoing: Vec::new() },
        );
    }
    fleet.run_until(5 * PERIOD);
    let before: u64 = fleet.bytes.iter().sum();
    fleet.run_until(10 * PERIOD);
    let idle_bytes = (fleet.bytes.iter().sum::<u64>() - before) as f64 / (5.0 * size as f64);
    let mut all = new_histogram();
    for _ in 0..deaths {
        let dead = rng.random_range(0..size);
        let at = fleet.now();
        fleet.inject(&ProcessFault::Kill(dead));
        loop {
            let next = fleet.now() + STEP;
            fleet.run_until(next);
            let holds_dead = |n: usize| fleet.member(n).is_some_and(|m| m.holds_dead(next, dead));
            if (0..size).filter(|n| *n != dead).all(holds_dead) {
                break;
            }
        }
        record(&mut all, (fleet.now() - at) / 1000);
        let now = fleet.now();
        fleet.start(
            dead,
            HeartbeatMember { local: dead, last_received: vec![now; size], next: now, outgoing: Vec::new() },
        );
        fleet.run_until(now + 3 * PERIOD);
    }
    (all, idle_bytes)
}
