//! Membership under attack, as CI plays it; `attack schedules` and `attack search` play more.

use yarrowhill_attack::{IdentityWorld, Schedule, SupportWorld, World, play};
use yarrowhill_kernel::{Links, search};
use yarrowhill_membership::{Health, Timing};

#[test]
fn no_schedule_breaks_a_property() {
    for seed in 0..150 {
        play(&Schedule::draw(seed)).unwrap_or_else(|breach| panic!("seed {seed}: {breach}"));
    }
}

#[test]
fn no_way_of_a_small_world_lets_two_views_act() {
    let found = search(&SupportWorld::default(), 3_000_000);
    assert!(found.complete && found.violation.is_none(), "{found:?}");
    // The same with clocks worse than they were said to be: the assumption is one.
    let worse = SupportWorld { drift: 0.0, ..SupportWorld::default() };
    assert!(search(&worse, 3_000_000).violation.is_some(), "a search that finds nothing proves nothing");
}

#[test]
fn no_way_of_a_small_world_brings_a_dead_incarnation_back() {
    let found = search(&IdentityWorld { starts: 1 }, 2_000_000);
    assert!(found.complete && found.violation.is_none(), "{found:?}");
}

/// Two halves that one member alone hears: every word between them goes through it, and a probe from one half to the other
/// is answered only where it is among those that are asked for help. All are connected, so nobody is held for dead.
#[test]
fn two_halves_that_one_member_joins_hold_nobody_for_dead() {
    const PERIOD: u64 = 1_000_000;
    let (mut dead, mut seeds) = (0, Vec::new());
    for seed in 0..60 {
        // 0 is the bridge; the others are odd or even.
        let size = [5, 9, 9][seed as usize % 3];
        let mut world = World::new(size, Timing::from_period(PERIOD), Links::default(), seed);
        (0..size).for_each(|n| world.start(n));
        world.fleet.run_until(30 * PERIOD);
        for (from, to) in (1..size).flat_map(|a| (1..size).map(move |b| (a, b))) {
            world.fleet.links.set_cut(from, to, from % 2 != to % 2);
        }
        let before = dead;
        for period in 31..200 {
            world.fleet.run_until(period * PERIOD);
            let members = (0..size).filter_map(|n| world.fleet.member(n));
            dead += members
                .flat_map(|m| m.core.members())
                .filter(|(_, e)| e.record.health == Health::Dead)
                .count();
        }
        if dead > before {
            seeds.push((seed, size, dead - before));
        }
    }
    assert_eq!(dead, 0, "looks that found one held for dead, by seed and size: {seeds:?}");
}
