//! Duties under attack, as CI plays it; `attack duties` plays more.

use yarrowhill_attack::{DutyWorld, play_duties};
use yarrowhill_kernel::search;

/// States at most of each small world here.
const MOST: usize = 150_000;

#[test]
fn no_schedule_lets_two_hold_a_duty_or_loses_a_step() {
    for seed in 0..60 {
        play_duties(seed).unwrap_or_else(|breach| panic!("seed {seed}: {breach}"));
    }
}

#[test]
fn no_way_of_a_small_world_lets_two_hold_a_duty() {
    let plain = DutyWorld::default();
    for world in [plain, DutyWorld { wipes: 1, restarts: 0, renewals: 0, ..plain }] {
        let found = search(&world, MOST);
        assert!(found.violation.is_none(), "{found:?}");
    }
    // The same with clocks worse than they were said to be.
    let worse = DutyWorld { drift: 0.0, restarts: 0, renewals: 0, ..plain };
    assert!(search(&worse, 2 * MOST).violation.is_some(), "a search that finds nothing proves nothing");
}
