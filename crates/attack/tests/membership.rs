//! Membership under attack, as CI plays it; `attack schedules` and `attack search` play more.

use yarrowhill_attack::{IdentityWorld, Schedule, SupportWorld, play};
use yarrowhill_kernel::search;

#[test]
fn no_schedule_breaks_a_property() {
    for seed in 0..150 {
        play(&Schedule::draw(seed)).unwrap_or_else(|breach| panic!("seed {seed}: {breach}"));
    }
}

#[test]
fn no_way_of_a_small_world_lets_two_views_act() {
    let found = search(&SupportWorld::default(), 3_000_000);
    assert!(found.complete && found.breach.is_none(), "{found:?}");
    // The same with clocks worse than they were said to be: the assumption is one.
    let worse = SupportWorld { drift: 0.0, ..SupportWorld::default() };
    assert!(search(&worse, 3_000_000).breach.is_some(), "a search that finds nothing proves nothing");
}

#[test]
fn no_way_of_a_small_world_brings_a_dead_incarnation_back() {
    let found = search(&IdentityWorld { starts: 1 }, 2_000_000);
    assert!(found.complete && found.breach.is_none(), "{found:?}");
}
