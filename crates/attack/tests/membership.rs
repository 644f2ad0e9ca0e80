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

/// Two halves of a fleet are connected only through one bridge member: all updates between them pass through
/// it, and a probe from one half to the other succeeds only if the bridge is among the members asked for an
/// indirect probe. Since all members are connected, none may be declared dead.
#[test]
fn declares_no_member_dead_in_halves_joined_by_one_bridge() {
    const PERIOD: u64 = 1_000_000;
    let (mut dead, mut seeds) = (0, Vec::new());
    for seed in 0..60 {
        // Member 0 is the bridge; the halves are the odd and the even members.
        let size = [5, 9, 9][seed as usize % 3];
        let mut sim = Simulation::new(size, Timing::from_period(PERIOD), Links::default(), seed);
        (0..size).for_each(|n| sim.start(n));
        sim.fleet.run_until(30 * PERIOD);
        for (from, to) in (1..size).flat_map(|a| (1..size).map(move |b| (a, b))) {
            sim.fleet.links.set_cut(from, to, from % 2 != to % 2);
        }
        let before = dead;
        for period in 31..200 {
            sim.fleet.run_until(period * PERIOD);
            let members = (0..size).filter_map(|n| sim.fleet.member(n));
            dead += members
                .flat_map(|m| m.core.members())
                .filter(|(_, e)| e.record.health == Health::Dead)
                .count();
        }
        if dead > before {
            seeds.push((seed, size, dead - before));
        }
    }
    assert_eq!(
        dead, 0,
        "connected members considered dead, counted once per check (seed, size, count): {seeds:?}"
    );
}
