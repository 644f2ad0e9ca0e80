//! Tests of `token_bucket`.

use super::*;

#[test]
fn yields_calls_at_the_rate_of_the_right() {
    let mut bucket = TokenBucket::new(0);
    let mut calls = 0;
    for now in (0..10_000_000).step_by(10_000) {
        bucket.refill(now, 7 * CALL);
        while bucket.take() {
            calls += 1;
        }
    }
    assert!((68..=70).contains(&calls), "{calls}");
    // A right of one call in 150 seconds yields that call after 150 seconds.
    let mut slow = TokenBucket::new(0);
    slow.refill(0, CALL / 150);
    assert!(slow.next_token_at().is_some_and(|at| (149_000_000..151_000_000).contains(&at)));
    slow.refill(100_000_000, CALL / 150);
    assert!(!slow.take());
    slow.refill(151_000_000, CALL / 150);
    assert!(slow.take() && !slow.take());
}

#[test]
fn adds_nothing_for_a_right_that_expired_between_refills() {
    let mut bucket = TokenBucket::new(0);
    bucket.refill(0, 100 * CALL);
    // The process was stopped for a minute, in which its right expired.
    bucket.refill(60_000_000, 0);
    assert!(!bucket.take());
}
