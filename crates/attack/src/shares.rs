//! What members make of a limit that they divide by who is there, against a division that is fixed: seven in ten die
//! at once, and come back.

use crate::member::World;
use crate::schedule::PERIOD;
use yarrowhill_kernel::{Link, Links, Micros};
use yarrowhill_membership::Timing;

/// How fine times are (microseconds).
const STEP: Micros = PERIOD / 20;
/// So much of the limit is full use.
const FULL: f64 = 0.99;
/// The dead stay away for so long, and the returned are watched for as long (microseconds).
const AWAY: Micros = 60 * PERIOD;

/// What came of it. Every member has more to send than its part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareFigures {
    /// From the deaths until the rest use the whole limit (milliseconds), if they ever do.
    pub full_after: Option<u64>,
    /// The part of the limit that was used in the minute after the deaths,
    pub used: f64,
    /// and what a division by all who should exist uses of it.
    pub fixed: f64,
    /// The most that all together used, in limits,
    pub most: f64,
    /// and for how long it was more than one (milliseconds).
    pub over: u64,
    /// From the return until everybody divides by all (milliseconds), if they ever do.
    pub back_after: Option<u64>,
}

/// Kills seven in ten of `size` members at once and starts them a minute later, all at once.
pub fn measure_shares(size: usize, loss: f64, confirm: bool, seed: u64) -> ShareFigures {
    let mut timing = Timing::from_period(PERIOD);
    timing.collect_support = confirm;
    let mut world = World::new(size, timing, Links::uniform(Link { loss, ..Link::default() }), seed);
    (0..size).for_each(|n| world.start(n));
    world.fleet.run_until(60 * PERIOD);
    let dead = 0..size * 7 / 10;
    dead.clone().for_each(|n| world.kill(n));
    let (mut full_after, mut used) = (None, 0.0);
    let (mut most, mut over): (f64, u64) = (0.0, 0);
    let at = world.fleet.now();
    while world.fleet.now() < at + AWAY {
        let sum = step(&mut world);
        used += sum;
        (most, over) = (most.max(sum), over + u64::from(sum > 1.0 + 1e-9) * STEP / 1000);
        if sum >= FULL {
            full_after.get_or_insert((world.fleet.now() - at) / 1000);
        }
    }
    dead.clone().for_each(|n| world.start(n));
    let back = world.fleet.now();
    let mut back_after = None;
    while world.fleet.now() < back + AWAY {
        let sum = step(&mut world);
        (most, over) = (most.max(sum), over + u64::from(sum > 1.0 + 1e-9) * STEP / 1000);
        let all = (0..size).all(|n| senders(&world, n) == Some(size));
        if all {
            back_after.get_or_insert((world.fleet.now() - back) / 1000);
        }
    }
    let used = used * STEP as f64 / AWAY as f64;
    let fixed = (size - dead.len()) as f64 / size as f64;
    ShareFigures { full_after, used, fixed, most, over, back_after }
}

/// What all use after a step, in limits. One that has started and heard of nobody sends nothing of what is divided
/// only if its standing says so: it counts with what it would take.
fn step(world: &mut World) -> f64 {
    let next = world.fleet.now() + STEP;
    world.fleet.run_until(next);
    (0..world.fleet.len()).filter_map(|n| senders(world, n)).map(|senders| 1.0 / senders as f64).sum()
}

fn senders(world: &World, n: usize) -> Option<usize> {
    Some(world.fleet.member(n)?.core.senders(world.fleet.local_time(n)))
}
