//! Tests of `findings`.

use super::*;

#[test]
fn requires_enough_failures_over_enough_time_for_an_outage() {
    let mut history = CallHistory::default();
    (0..50).for_each(|n| history.record(n, CallOutcome::Failed));
    assert_eq!(history.outage(100), None, "all within too short a time");
    history.record(200, CallOutcome::Failed);
    assert_eq!(history.outage(100), Some(200));
    history.record(210, CallOutcome::Refused);
    assert_eq!(history.outage(100), Some(200));
    history.record(220, CallOutcome::Served);
    assert_eq!(history.outage(100), None);
    // Failed calls that began before the last served one do not count.
    (0..9).for_each(|n| history.record(20 + n * 20, CallOutcome::Failed));
    assert_eq!((history.outage(100), history.last_served()), (None, Some(220)));
}
