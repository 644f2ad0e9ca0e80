//! Tests of `water_fill`.

use super::*;
use proptest::prelude::*;

proptest! {
    /// Shares never exceed the pool or the requests, use the full pool where enough is requested, and
    /// each member that gets less than its request has as much as any other, but for the rounding.
    #[test]
    fn divides_max_min_fair(
        pool in 0..10_000u64,
        requests in proptest::collection::vec(0..3000u64, 0..20),
    ) {
        let shares = water_fill(pool, &requests);
        let sum: u64 = shares.iter().sum();
        prop_assert!(sum <= pool);
        prop_assert!(shares.iter().zip(&requests).all(|(share, request)| share <= request));
        let requested: u64 = requests.iter().sum();
        prop_assert!(sum + requests.len() as u64 >= pool.min(requested));
        let max = shares.iter().max().copied().unwrap_or(0);
        let unmet = shares.iter().zip(&requests).filter(|(share, request)| share < request);
        prop_assert!(unmet.into_iter().all(|(share, _)| share + 1 >= max), "{shares:?}");
    }
}
