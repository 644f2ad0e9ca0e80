//! What is granted to whom: max-min fairness.

/// Parts of a pool by water filling: nobody gets more than it wants, and nobody could get more without one that has no
/// more getting less. Exact in whole units, up to one unit a member.
///
/// ```
/// use yarrowhill_rights::water_fill;
/// assert_eq!(water_fill(10, &[2, 9, 0, 9]), [2, 4, 0, 4]);
/// assert_eq!(water_fill(100, &[2, 9]), [2, 9]);
/// ```
pub fn water_fill(pool: u64, wants: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_unstable_by_key(|n| wants[*n]);
    let mut parts = vec![0; wants.len()];
    let (mut left, mut members) = (pool, wants.len() as u64);
    for n in order {
        let part = wants[n].min(left / members.max(1));
        parts[n] = part;
        left -= part;
        members -= 1;
    }
    parts
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Never more than there is or than is wanted; all of it where enough is wanted; and whoever lacks something has
        /// as much as anybody, but for the rounding.
        #[test]
        fn it_is_max_min_fair(pool in 0..10_000u64, wants in proptest::collection::vec(0..3000u64, 0..20)) {
            let parts = water_fill(pool, &wants);
            let sum: u64 = parts.iter().sum();
            prop_assert!(sum <= pool);
            prop_assert!(parts.iter().zip(&wants).all(|(part, want)| part <= want));
            let wanted: u64 = wants.iter().sum();
            prop_assert!(sum + wants.len() as u64 >= pool.min(wanted));
            let most = parts.iter().max().copied().unwrap_or(0);
            let lacks = parts.iter().zip(&wants).filter(|(part, want)| part < want);
            prop_assert!(lacks.into_iter().all(|(part, _)| part + 1 >= most), "{parts:?}");
        }
    }
}
