//! Max-min fair division of a pool between requests.

/// Divides a pool by water filling: no share exceeds its request, and no share can grow without another that
/// is not larger shrinking. Shares are integers, so up to one unit per member may stay undivided.
///
/// ```
/// use yarrowhill_rights::water_fill;
/// assert_eq!(water_fill(10, &[2, 9, 0, 9]), [2, 4, 0, 4]);
/// assert_eq!(water_fill(100, &[2, 9]), [2, 9]);
/// ```
pub fn water_fill(pool: u64, requests: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..requests.len()).collect();
    order.sort_unstable_by_key(|n| requests[*n]);
    let mut shares = vec![0; requests.len()];
    let (mut left, mut members) = (pool, requests.len() as u64);
    for n in order {
        let share = requests[n].min(left / members.max(1));
        shares[n] = share;
        left -= share;
        members -= 1;
    }
    shares
}

#[cfg(test)]
mod tests {
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
}
