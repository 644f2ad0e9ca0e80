//! Seeded fault schedules for a membership fleet in virtual time, and the properties checked while they run.

use crate::member::Simulation;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use yarrowhill_kernel::{Link, Links, Micros, ProcessFault};
use yarrowhill_membership::{Event, Health, Timing, ViewId};

/// A fault. Members are given by slot.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Cuts one direction of a link (from, to).
    CutLink(usize, usize),
    /// Cuts both directions between two members.
    CutBothWays(usize, usize),
    /// Partitions the network: nothing passes between members with different group numbers (by slot).
    Partition(Vec<usize>),
    /// Sets loss, duplication and delay of all links that have no setting of their own.
    DefaultLink(Link),
    /// Resets all links to the defaults.
    Heal,
    /// Stalls a member for a duration (microseconds).
    Stall(usize, Micros),
    /// Kills a member.
    Kill(usize),
    /// Restarts a killed member with its state folder as it was.
    Restart(usize),
    /// Restarts a killed member with an older copy of its state folder.
    RestartStale(usize),
    /// Restarts a killed member with an empty state folder.
    RestartEmpty(usize),
    /// Makes a member's disk full (true) or writable again (false).
    DiskFull(usize, bool),
}

/// A fault schedule drawn from a seed.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Seed that the schedule was drawn from.
    pub seed: u64,
    /// Number of members.
    pub size: usize,
    /// Faults with their virtual times (microseconds), in order.
    pub faults: Vec<(Micros, Fault)>,
    /// Virtual time (microseconds) at which all links and disks are repaired and all members are started.
    pub healed_at: Micros,
}

/// A violated property.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Virtual time of the violation (microseconds).
    pub at: Micros,
    /// Description of the violation.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {:.3} s: {}", self.at as f64 / 1e6, self.description)
    }
}

/// Probe period of all schedules (microseconds). All other timings of the protocol are derived from it.
pub(crate) const PERIOD: Micros = 1_000_000;
/// Length of the phase in which faults are injected.
const FAULT_PHASE: Micros = 60 * PERIOD;
/// Maximum time from repair to one common view: the longest suspicion, a round of probes, and the settling of
/// the view with the hold-downs of members that flapped.
const MAX_CONVERGENCE: Micros = 90 * PERIOD;
/// Maximum time for which a dead member may stay in any view, under any link faults.
const MAX_DETECTION: Micros = 60 * PERIOD;
/// Interval between property checks.
const CHECK_INTERVAL: Micros = PERIOD / 20;

impl Schedule {
    /// Draws the schedule of a seed.
    pub fn from_seed(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = [3, 3, 5, 5, 7, 9][rng.random_range(0..6)];
        let mut faults = Vec::new();
        let mut dead = BTreeSet::new();
        let mut at = rng.random_range(0..10 * PERIOD);
        while at < FAULT_PHASE {
            let member = rng.random_range(0..size);
            let other = (member + rng.random_range(1..size)) % size;
            let fault = match rng.random_range(0..12) {
                0 => Fault::CutLink(member, other),
                1 => Fault::CutBothWays(member, other),
                2 | 3 => Fault::Partition((0..size).map(|_| rng.random_range(0..2 + size / 5)).collect()),
                4 => Fault::DefaultLink(Link {
                    loss: rng.random_range(0.0..0.3),
                    duplication: rng.random_range(0.0..0.1),
                    delay: rng.random_range(100..PERIOD / 10),
                    jitter: [200, PERIOD / 10, 2 * PERIOD][rng.random_range(0..3)],
                    cut: false,
                }),
                5 => Fault::Heal,
                6 | 7 => Fault::Stall(member, rng.random_range(PERIOD / 5..30 * PERIOD)),
                8 => Fault::DiskFull(member, rng.random_bool(0.5)),
                _ if dead.remove(&member) => match rng.random_range(0..4) {
                    0 => Fault::RestartStale(member),
                    1 => Fault::RestartEmpty(member),
                    _ => Fault::Restart(member),
                },
                _ => {
                    dead.insert(member);
                    Fault::Kill(member)
                }
            };
            faults.push((at, fault));
            // Three in ten faults strike at the same time as the one before.
            at += if rng.random_bool(0.3) { 0 } else { rng.random_range(0..6 * PERIOD) };
        }
        Schedule { seed, size, faults, healed_at: FAULT_PHASE + 31 * PERIOD }
    }
}

/// Runs a schedule until its end or the first violation.
///
/// # Errors
///
/// Returns the first property that does not hold.
pub fn run_schedule(schedule: &Schedule) -> Result<(), Violation> {
    let timing = Timing::from_period(PERIOD);
    let mut sim = Simulation::new(schedule.size, timing, Links::default(), schedule.seed);
    (0..schedule.size).for_each(|n| sim.start(n));
    let mut checker = PropertyChecker::default();
    let mut faults = schedule.faults.iter().peekable();
    let mut healed = false;
    let end = schedule.healed_at + MAX_CONVERGENCE;
    while sim.fleet.now() < end {
        let next = (sim.fleet.now() / CHECK_INTERVAL + 1) * CHECK_INTERVAL;
        while let Some((at, fault)) = faults.next_if(|(at, _)| *at < next) {
            sim.fleet.run_until(*at);
            apply_fault(&mut sim, fault);
        }
        if !healed && sim.fleet.now() >= schedule.healed_at {
            healed = true;
            sim.fleet.links = Links::default();
            for n in 0..schedule.size {
                sim.folders[n].full = false;
                match sim.fleet.member_mut(n) {
                    Some(member) => member.folder.full = false,
                    None => sim.start(n),
                }
            }
        }
        sim.fleet.run_until(next);
        checker.check(&sim)?;
    }
    check_convergence(&sim)
}

fn apply_fault(sim: &mut Simulation, fault: &Fault) {
    let links = &mut sim.fleet.links;
    match fault {
        Fault::CutLink(from, to) => links.set_cut(*from, *to, true),
        Fault::CutBothWays(a, b) => {
            links.set_cut(*a, *b, true);
            links.set_cut(*b, *a, true);
        }
        Fault::Partition(groups) => links.partition(groups),
        Fault::DefaultLink(link) => links.default = *link,
        Fault::Heal => *links = Links::default(),
        Fault::Stall(n, duration) => sim.fleet.inject(&ProcessFault::Stall(*n, *duration)),
        Fault::Kill(n) => sim.kill(*n),
        Fault::Restart(n) => restart(sim, *n),
        Fault::RestartStale(n) => {
            let boots = &mut sim.folders[*n].boots;
            boots.truncate(boots.len().saturating_sub(2));
            restart(sim, *n);
        }
        Fault::RestartEmpty(n) => {
            sim.folders[*n].boots.clear();
            restart(sim, *n);
        }
        Fault::DiskFull(n, full) => {
            sim.folders[*n].full = *full;
            if let Some(member) = sim.fleet.member_mut(*n) {
                member.folder.full = *full;
            }
        }
    }
}

fn restart(sim: &mut Simulation, n: usize) {
    if sim.fleet.member(n).is_none() {
        sim.start(n);
    }
}

/// Properties that are checked throughout a run, with the state that the checks need.
#[derive(Default)]
struct PropertyChecker {
    /// Newest incarnation (boot, refutations) that each instance of an observer has held of each member, by
    /// observer slot, observer instance and member slot. An observer must never go back to an older one.
    newest: BTreeMap<(usize, u64, usize), (u64, u64)>,
    /// Virtual time since which each dead member is dead.
    dead_since: BTreeMap<usize, Micros>,
    /// Virtual time since which each live member runs without being stalled.
    running_since: BTreeMap<usize, Micros>,
}

impl PropertyChecker {
    fn check(&mut self, sim: &Simulation) -> Result<(), Violation> {
        let at = sim.fleet.now();
        let violation = |description: String| Err(Violation { at, description });
        let mut acting_view: Option<(usize, ViewId)> = None;
        for n in 0..sim.fleet.len() {
            let (is_alive, is_running) = (sim.fleet.member(n).is_some(), !sim.fleet.is_stopped(n));
            let (entered, left) = if is_alive {
                (&mut self.running_since, &mut self.dead_since)
            } else {
                (&mut self.dead_since, &mut self.running_since)
            };
            left.remove(&n);
            entered.entry(n).or_insert(at);
            if is_alive && !is_running {
                self.running_since.remove(&n);
            }
        }
        for n in 0..sim.fleet.len() {
            let Some(member) = sim.fleet.member(n) else { continue };
            // Stalled members are checked too: they could wake now in the middle of a protected action.
            let own = sim.fleet.local_time(n);
            let core = &member.core;
            if core.permits(own).hold_duty {
                let view = core.view().id;
                if let Some((other, theirs)) = acting_view.filter(|(_, theirs)| *theirs != view) {
                    let description = format!(
                        "members {other} and {n} may act at once, under the views {theirs} and {view}"
                    );
                    return violation(description);
                }
                acting_view = Some((n, view));
            }
            // A member that has been dead for MAX_DETECTION is in no view of a member that has run for as
            // long.
            if self.running_since.get(&n).is_some_and(|since| at - since > MAX_DETECTION) {
                let long_dead = |other: &usize| {
                    self.dead_since.get(other).is_some_and(|since| at - since > MAX_DETECTION)
                };
                let held = core.view().members.keys().filter_map(|id| sim.slot_of(*id)).find(long_dead);
                if let Some(other) = held {
                    return violation(format!(
                        "member {n} still has {other} in its view, which died before the detection limit"
                    ));
                }
            }
            // A view stands for at least a settling time before the next change.
            let views = member.events.iter().filter(|(_, event)| matches!(event, Event::ViewChanged(_)));
            let times: Vec<Micros> = views.map(|(when, _)| *when).collect();
            if let Some(pair) = times.windows(2).last().filter(|p| p[1] - p[0] < sim.timing().settle) {
                return violation(format!("member {n} changes its view after only {} us", pair[1] - pair[0]));
            }
            // A member never sends under a boot number that is not on disk.
            let boot = core.local_record().incarnation.boot;
            if !member.folder.boots.contains(&boot) {
                return violation(format!(
                    "member {n} runs as boot {boot}, but its state folder has {:?}",
                    member.folder.boots
                ));
            }
            let instance = core.local_record().instance.0;
            for (id, entry) in core.members() {
                let Some(other) = sim.slot_of(id) else { continue };
                let inc = (entry.record.incarnation.boot, entry.record.incarnation.refutations);
                let newest = self.newest.entry((n, instance, other)).or_default();
                if inc < *newest {
                    return violation(format!(
                        "member {n} holds incarnation {inc:?} of {other} after {newest:?}"
                    ));
                }
                *newest = inc;
            }
        }
        Ok(())
    }
}

/// Checks that every member runs and has the complete view, with all members alive.
fn check_convergence(sim: &Simulation) -> Result<(), Violation> {
    let at = sim.fleet.now();
    for n in 0..sim.fleet.len() {
        let Some(member) = sim.fleet.member(n) else {
            return Err(Violation { at, description: format!("member {n} did not start after the repair") });
        };
        let core = &member.core;
        let not_alive: Vec<(usize, Health)> = core
            .members()
            .filter(|(_, e)| e.record.health != Health::Alive)
            .filter_map(|(id, e)| Some((sim.slot_of(id)?, e.record.health)))
            .collect();
        let state = core.state(sim.fleet.local_time(n));
        if !not_alive.is_empty() || state != yarrowhill_membership::MembershipState::Complete {
            let view_size = core.view().members.len();
            let description = format!(
                "member {n} is {state} with {view_size} members in its view; not alive: {not_alive:?}"
            );
            return Err(Violation { at, description });
        }
    }
    Ok(())
}
