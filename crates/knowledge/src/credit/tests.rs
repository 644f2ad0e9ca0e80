//! Tests of `credit`.

use super::*;
use proptest::prelude::*;

proptest! {
    /// With any reports at any times, an origin delays calls for no more than its credit and a fraction
    /// of the time.
    #[test]
    fn bounds_the_delay_that_one_origin_causes(
        reports in proptest::collection::vec((0..20_000_000u64, 0..90_000_000u64), 1..60),
    ) {
        let start = 1_000_000;
        let (mut now, mut until, mut held) = (start, 0, 0);
        let mut credit = Credit::new(now);
        for (pause, wait) in reports {
            let next = now + pause;
            held += until.clamp(now, next) - now;
            now = next;
            until = credit.spend(now, until, now + wait);
        }
        held += until.saturating_sub(now);
        let end = now.max(until);
        prop_assert!(
            held <= MAX_CREDIT + (end - start) / CREDIT_REFILL_DIVISOR + 60,
            "{held} of {}",
            end - start
        );
    }
}
