//! A seed's faults over a fleet in virtual time, and what must hold under them.

use crate::member::World;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use yarrowhill_kernel::{Link, Links, Micros, ProcessFault};
use yarrowhill_membership::{Event, Health, Timing, ViewId};

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// One direction is cut.
    Cut(usize, usize),
    /// Both directions between two.
    Part(usize, usize),
    /// Nothing passes between members of different islands.
    Islands(Vec<usize>),
    /// The one law that holds everywhere else.
    Weather(Link),
    /// All links as they were.
    Heal,
    /// A member is stopped for so long (microseconds).
    Stall(usize, Micros),
    /// A member ends.
    Kill(usize),
    /// It starts with its folder as it was,
    Restart(usize),
    /// with an older copy of it,
    RestartOld(usize),
    /// or an empty one.
    RestartEmpty(usize),
    /// Its disk takes nothing more, or does again.
    Disk(usize, bool),
}

/// What a seed does to a fleet.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The seed.
    pub seed: u64,
    /// Members.
    pub size: usize,
    /// Faults with their times (microseconds), in order.
    pub faults: Vec<(Micros, Fault)>,
    /// All is mended at this time, and all members live.
    pub healed: Micros,
}

/// A property that does not hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// When (microseconds of the world).
    pub at: Micros,
    /// What.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {:.3} s: {}", self.at as f64 / 1e6, self.what)
    }
}

/// The probe period of all schedules: the protocol knows no other unit.
pub(crate) const PERIOD: Micros = 1_000_000;
/// Faults come for so long.
const TROUBLE: Micros = 60 * PERIOD;
/// What is mended is one view within this: the longest suspicion, a round of probes, and the settling of the view,
/// with hold-downs of those that flapped.
const AGREED: Micros = 90 * PERIOD;
/// A death is in nobody's view after this, whatever the links do.
const KNOWN: Micros = 60 * PERIOD;
/// How often the world is looked at.
const LOOK: Micros = PERIOD / 20;

impl Schedule {
    /// The schedule of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = [3, 3, 5, 5, 7, 9][rng.random_range(0..6)];
        let mut faults = Vec::new();
        let mut dead = BTreeSet::new();
        let mut at = rng.random_range(0..10 * PERIOD);
        while at < TROUBLE {
            let one = rng.random_range(0..size);
            let other = (one + rng.random_range(1..size)) % size;
            let fault = match rng.random_range(0..12) {
                0 => Fault::Cut(one, other),
                1 => Fault::Part(one, other),
                2 | 3 => Fault::Islands((0..size).map(|_| rng.random_range(0..2 + size / 5)).collect()),
                4 => Fault::Weather(Link {
                    loss: rng.random_range(0.0..0.3),
                    duplication: rng.random_range(0.0..0.1),
                    delay: rng.random_range(100..PERIOD / 10),
                    jitter: [200, PERIOD / 10, 2 * PERIOD][rng.random_range(0..3)],
                    cut: false,
                }),
                5 => Fault::Heal,
                6 | 7 => Fault::Stall(one, rng.random_range(PERIOD / 5..30 * PERIOD)),
                8 => Fault::Disk(one, rng.random_bool(0.5)),
                _ if dead.remove(&one) => match rng.random_range(0..4) {
                    0 => Fault::RestartOld(one),
                    1 => Fault::RestartEmpty(one),
                    _ => Fault::Restart(one),
                },
                _ => {
                    dead.insert(one);
                    Fault::Kill(one)
                }
            };
            faults.push((at, fault));
            // Now and then many at once.
            at += if rng.random_bool(0.3) { 0 } else { rng.random_range(0..6 * PERIOD) };
        }
        Schedule { seed, size, faults, healed: TROUBLE + 31 * PERIOD }
    }
}

/// Plays a schedule. The first breach ends it.
///
/// # Errors
///
/// A property that does not hold.
pub fn play(schedule: &Schedule) -> Result<(), Breach> {
    let timing = Timing::from_period(PERIOD);
    let mut world = World::new(schedule.size, timing, Links::default(), schedule.seed);
    (0..schedule.size).for_each(|n| world.start(n));
    let mut watch = Watch::default();
    let mut faults = schedule.faults.iter().peekable();
    let mut healed = false;
    let end = schedule.healed + AGREED;
    while world.fleet.now() < end {
        let next = (world.fleet.now() / LOOK + 1) * LOOK;
        while let Some((at, fault)) = faults.next_if(|(at, _)| *at < next) {
            world.fleet.run_until(*at);
            strike(&mut world, fault);
        }
        if !healed && world.fleet.now() >= schedule.healed {
            healed = true;
            world.fleet.links = Links::default();
            for n in 0..schedule.size {
                world.folders[n].full = false;
                match world.fleet.member_mut(n) {
                    Some(seated) => seated.folder.full = false,
                    None => world.start(n),
                }
            }
        }
        world.fleet.run_until(next);
        watch.look(&world)?;
    }
    agreed(&world)
}

fn strike(world: &mut World, fault: &Fault) {
    let links = &mut world.fleet.links;
    match fault {
        Fault::Cut(from, to) => links.set_cut(*from, *to, true),
        Fault::Part(a, b) => {
            links.set_cut(*a, *b, true);
            links.set_cut(*b, *a, true);
        }
        Fault::Islands(of) => links.partition(of),
        Fault::Weather(link) => links.default = *link,
        Fault::Heal => *links = Links::default(),
        Fault::Stall(n, span) => world.fleet.inject(&ProcessFault::Stall(*n, *span)),
        Fault::Kill(n) => world.kill(*n),
        Fault::Restart(n) => restart(world, *n),
        Fault::RestartOld(n) => {
            let boots = &mut world.folders[*n].boots;
            boots.truncate(boots.len().saturating_sub(2));
            restart(world, *n);
        }
        Fault::RestartEmpty(n) => {
            world.folders[*n].boots.clear();
            restart(world, *n);
        }
        Fault::Disk(n, full) => {
            world.folders[*n].full = *full;
            if let Some(seated) = world.fleet.member_mut(*n) {
                seated.folder.full = *full;
            }
        }
    }
}

fn restart(world: &mut World, n: usize) {
    if world.fleet.member(n).is_none() {
        world.start(n);
    }
}

/// What is looked at again and again.
#[derive(Default)]
struct Watch {
    /// The newest word that each life of an observer has held of each member: nothing older may count again.
    newest: BTreeMap<(usize, u64, usize), (u64, u64)>,
    /// Since when each member is dead, and since when each lives and is not stopped (microseconds of the world).
    dead: BTreeMap<usize, Micros>,
    up: BTreeMap<usize, Micros>,
}

impl Watch {
    fn look(&mut self, world: &World) -> Result<(), Breach> {
        let at = world.fleet.now();
        let breach = |what: String| Err(Breach { at, what });
        let mut acting: Option<(usize, ViewId)> = None;
        for n in 0..world.fleet.len() {
            let (lives, runs) = (world.fleet.member(n).is_some(), !world.fleet.is_stopped(n));
            let (into, out_of) =
                if lives { (&mut self.up, &mut self.dead) } else { (&mut self.dead, &mut self.up) };
            out_of.remove(&n);
            into.entry(n).or_insert(at);
            if lives && !runs {
                self.up.remove(&n);
            }
        }
        for n in 0..world.fleet.len() {
            let Some(seated) = world.fleet.member(n) else { continue };
            // Also of one that is stopped: at this moment it could wake in the midst of an act.
            let own = world.fleet.local_time(n);
            let core = &seated.core;
            if core.permits(own).hold_duty {
                let view = core.view().id;
                if let Some((other, theirs)) = acting.filter(|(_, theirs)| *theirs != view) {
                    let what = format!("{other} acts under {theirs}, and {n} under {view}");
                    return breach(what);
                }
                acting = Some((n, view));
            }
            // Whoever is dead for long is in no view of one that has run for as long.
            if self.up.get(&n).is_some_and(|since| at - since > KNOWN) {
                let long = |other: &usize| self.dead.get(other).is_some_and(|since| at - since > KNOWN);
                let held = core.view().members.keys().filter_map(|id| world.number(*id)).find(long);
                if let Some(other) = held {
                    return breach(format!("{n} has {other} in its view, which is dead for long"));
                }
            }
            // One step a change: a view stands for a settling time at least.
            let views = seated.events.iter().filter(|(_, event)| matches!(event, Event::ViewChanged(_)));
            let times: Vec<Micros> = views.map(|(when, _)| *when).collect();
            if let Some(pair) = times.windows(2).last().filter(|p| p[1] - p[0] < world.timing().settle) {
                return breach(format!("{n} changes its view after {} us", pair[1] - pair[0]));
            }
            // No packet under a boot that is not on disk: what it says of itself stands in its folder.
            let boot = core.local_record().incarnation.boot;
            if !seated.folder.boots.contains(&boot) {
                return breach(format!(
                    "{n} speaks as boot {boot}, and its folder has {:?}",
                    seated.folder.boots
                ));
            }
            let life = core.local_record().instance.0;
            for (id, entry) in core.members() {
                let Some(other) = world.number(id) else { continue };
                let inc = (entry.record.incarnation.boot, entry.record.incarnation.refutations);
                let newest = self.newest.entry((n, life, other)).or_default();
                if inc < *newest {
                    return breach(format!("{n} believes {inc:?} of {other} after {newest:?}"));
                }
                *newest = inc;
            }
        }
        Ok(())
    }
}

/// Some time after all is mended: everybody holds the one view of all, and nobody is missing.
fn agreed(world: &World) -> Result<(), Breach> {
    let at = world.fleet.now();
    for n in 0..world.fleet.len() {
        let Some(seated) = world.fleet.member(n) else {
            return Err(Breach { at, what: format!("{n} did not start") });
        };
        let core = &seated.core;
        let missing: Vec<(usize, Health)> = core
            .members()
            .filter(|(_, e)| e.record.health != Health::Alive)
            .filter_map(|(id, e)| Some((world.number(id)?, e.record.health)))
            .collect();
        let standing = core.state(world.fleet.local_time(n));
        if !missing.is_empty() || standing != yarrowhill_membership::MembershipState::Complete {
            let there = core.view().members.len();
            let what = format!("{n} is {standing} with {there} in its view, and misses {missing:?}");
            return Err(Breach { at, what });
        }
    }
    Ok(())
}
