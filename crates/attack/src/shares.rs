//! Use of a limit that members divide by the number of live members, compared with a fixed division: seven in
//! ten members die at once and return a minute later.

use crate::member::Simulation;
use crate::schedule::PERIOD;
use yarrowhill_kernel::{Link, Links, Micros};
use yarrowhill_membership::Timing;

/// Resolution of the measured times (microseconds).
const STEP: Micros = PERIOD / 20;
/// Fraction of the limit from which it counts as fully used.
const FULL_USE: f64 = 0.99;
/// Time for which the dead members are absent, and for which the fleet is measured after their return
/// (microseconds).
const ABSENCE: Micros = 60 * PERIOD;

/// Measured use of the limit, where every member has more to send than its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareStats {
    /// Time from the deaths until the remaining members use the full limit (milliseconds), if they ever do.
    pub full_after: Option<u64>,
    /// Fraction of the limit that was used in the minute after the deaths.
    pub used: f64,
    /// Fraction of the limit that a fixed division by the size of the roster would use.
    pub fixed: f64,
    /// Highest total use at any time, as a fraction of the limit.
    pub peak: f64,
    /// Total time during which use exceeded the limit (milliseconds).
    pub over_ms: u64,
    /// Time from the return until every member divides by the full size again (milliseconds), if they ever
    /// do.
    pub back_after: Option<u64>,
}

/// Kills seven in ten of `size` members at once and starts them all together a minute later.
pub fn measure_shares(size: usize, loss: f64, confirm: bool, seed: u64) -> ShareStats {
    let mut timing = Timing::from_period(PERIOD);
    timing.collect_support = confirm;
    let mut sim = Simulation::new(size, timing, Links::uniform(Link { loss, ..Link::default() }), seed);
    (0..size).for_each(|n| sim.start(n));
    sim.fleet.run_until(60 * PERIOD);
    let killed = 0..size * 7 / 10;
    killed.clone().for_each(|n| sim.kill(n));
    let (mut full_after, mut used) = (None, 0.0);
    let (mut peak, mut over_ms): (f64, u64) = (0.0, 0);
    let killed_at = sim.fleet.now();
    while sim.fleet.now() < killed_at + ABSENCE {
        let sum = advance(&mut sim);
        used += sum;
        (peak, over_ms) = (peak.max(sum), over_ms + u64::from(sum > 1.0 + 1e-9) * STEP / 1000);
        if sum >= FULL_USE {
            full_after.get_or_insert((sim.fleet.now() - killed_at) / 1000);
        }
    }
    killed.clone().for_each(|n| sim.start(n));
    let returned_at = sim.fleet.now();
    let mut back_after = None;
    while sim.fleet.now() < returned_at + ABSENCE {
        let sum = advance(&mut sim);
        (peak, over_ms) = (peak.max(sum), over_ms + u64::from(sum > 1.0 + 1e-9) * STEP / 1000);
        let all = (0..size).all(|n| senders(&sim, n) == Some(size));
        if all {
            back_after.get_or_insert((sim.fleet.now() - returned_at) / 1000);
        }
    }
    let used = used * STEP as f64 / ABSENCE as f64;
    let fixed = (size - killed.len()) as f64 / size as f64;
    ShareStats { full_after, used, fixed, peak, over_ms, back_after }
}

/// Advances by one step and returns the total use as a fraction of the limit. A member that does not know the
/// others yet, and may therefore not use the limit, still counts with the share it would take.
fn advance(sim: &mut Simulation) -> f64 {
    let next = sim.fleet.now() + STEP;
    sim.fleet.run_until(next);
    (0..sim.fleet.len()).filter_map(|n| senders(sim, n)).map(|senders| 1.0 / senders as f64).sum()
}

fn senders(sim: &Simulation, n: usize) -> Option<usize> {
    Some(sim.fleet.member(n)?.core.senders(sim.fleet.local_time(n)))
}
