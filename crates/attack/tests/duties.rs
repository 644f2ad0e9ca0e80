//! Duties: the fault schedules and searches that CI runs; `attack duties` runs more.

use yarrowhill_attack::{DutyWorld, run_duties_schedule};
use yarrowhill_kernel::search;

/// Maximum number of states of each model in these tests.
const MAX_STATES: usize = 150_000;

#[test]
fn keeps_one_holder_and_all_steps_under_seeded_faults() {
    for seed in 0..60 {
        run_duties_schedule(seed).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}

#[test]
fn keeps_one_holder_in_every_explored_state() {
    let base = DutyWorld::default();
    for model in [base, DutyWorld { folder_losses: 1, restarts: 0, renewals: 0, ..base }] {
        let found = search(&model, MAX_STATES);
        assert!(found.violation.is_none(), "{found:?}");
    }
    // Clocks that drift more than the configured bound must lead to a violation.
    let excessive_drift = DutyWorld { drift: 0.0, restarts: 0, renewals: 0, ..base };
    assert!(
        search(&excessive_drift, 2 * MAX_STATES).violation.is_some(),
        "the search must find the violation that excessive drift causes"
    );
}
