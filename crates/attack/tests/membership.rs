//! Membership: the fault schedules and searches that CI runs; `attack schedules` and `attack search` run
//! more.

use yarrowhill_attack::{IdentityWorld, Schedule, Simulation, SupportWorld, run_schedule};
use yarrowhill_kernel::{Links, search};
use yarrowhill_membership::{Health, Timing};

#[test]
fn keeps_all_properties_under_seeded_faults() {
    for seed in 0..150 {
        run_schedule(&Schedule::from_seed(seed))
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}

#[test]
fn lets_only_one_view_act_in_every_state() {
    let found = search(&SupportWorld::default(), 3_000_000);
    assert!(found.complete && found.violation.is_none(), "{found:?}");
    // Clocks that drift more than the configured bound must lead to a violation: safety depends on this
    // assumption.
    let excessive_drift = SupportWorld { drift: 0.0, ..SupportWorld::default() };
    assert!(
        search(&excessive_drift, 3_000_000).violation.is_some(),
        "the search must find the violation that excessive drift causes"
    );
}

#[test]
fn never_reverts_to_an_older_incarnation_in_any_state() {
    let found = search(&IdentityWorld { restarts: 1 }, 2_000_000);
    assert!(found.complete && found.violation.is_none(), "{found:?}");
}

/// Runs a fleet whose halves are connected only through one bridge member: all updates between them pass
/// through it, and a probe from one half to the other succeeds only if the bridge is among the members asked
/// for an indirect probe. Returns how many members were considered dead, counted once per period; since all
/// are connected, none may be.
fn dead_in_joined_halves(size: usize, seed: u64) -> usize {
    const PERIOD: u64 = 1_000_000;
    // Member 0 is the bridge; the halves are the odd and the even members.
    let mut sim = Simulation::new(size, Timing::from_period(PERIOD), Links::default(), seed);
    (0..size).for_each(|n| sim.start(n));
    sim.fleet.run_until(30 * PERIOD);
    for (from, to) in (1..size).flat_map(|a| (1..size).map(move |b| (a, b))) {
        sim.fleet.links.set_cut(from, to, from % 2 != to % 2);
    }
    let mut dead = 0;
    for period in 31..200 {
        sim.fleet.run_until(period * PERIOD);
        let members = (0..size).filter_map(|n| sim.fleet.member(n));
        dead +=
            members.flat_map(|m| m.core.members()).filter(|(_, e)| e.record.health == Health::Dead).count();
    }
    dead
}

#[test]
fn declares_no_member_dead_in_halves_joined_by_one_bridge() {
    let fleets = (0..60).map(|seed| (seed, [5, 9, 9][seed as usize % 3]));
    let counts = fleets.map(|(seed, size)| (seed, size, dead_in_joined_halves(size, seed)));
    let dead: Vec<(u64, usize, usize)> = counts.filter(|(.., dead)| *dead > 0).collect();
    assert!(
        dead.is_empty(),
        "connected members considered dead, counted once per check (seed, size, count): {dead:?}"
    );
}

/// Guards against live members that are declared dead in larger fleets whose halves one member joins.
#[test]
fn declares_no_member_dead_in_halves_of_fifteen_joined_by_one_bridge() {
    let counts = (0..20).map(|seed| (seed, dead_in_joined_halves(15, seed)));
    let dead: Vec<(u64, usize)> = counts.filter(|(_, dead)| *dead > 0).collect();
    assert!(dead.is_empty(), "connected members considered dead (seed, count): {dead:?}");
}
