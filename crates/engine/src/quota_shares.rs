//! Owners' shares over several shards: each shard tells what came in to it, and counts on a part of each share as
//! large as its part of what came in to all. No lock, no I/O, no clock.

use std::sync::atomic::{AtomicU64, Ordering};
use yarrowhill_policy::api::Micros;

/// What came in to each shard in its last span (messages in 1,000 s), by owner.
#[derive(Debug)]
pub struct QuotaShares(Vec<Vec<AtomicU64>>);

impl QuotaShares {
    /// For so many shards and owners.
    pub fn new(shards: usize, owners: usize) -> Self {
        QuotaShares((0..shards).map(|_| (0..owners).map(|_| AtomicU64::new(0)).collect()).collect())
    }

    /// A shard tells what came in to it since it last did (messages, by owner), which was so long ago. One that has
    /// little to do tells less often.
    pub fn report(&self, shard: usize, counts: &[u64], span: Micros) {
        let span = u64::try_from(span).unwrap_or(0).max(1);
        for (cell, count) in self.0.get(shard).into_iter().flatten().zip(counts) {
            cell.store(count.saturating_mul(1_000_000_000) / span, Ordering::Relaxed);
        }
    }

    /// The part of an owner's share that a shard may count on. Each counts a message a second more, so that a shard
    /// to which nothing came has a little; the parts of all shards sum up to the whole.
    ///
    /// ```
    /// use yarrowhill_engine::QuotaShares;
    /// let shares = QuotaShares::new(2, 1);
    /// assert_eq!(shares.fraction(0, 0), 0.5);
    /// shares.report(0, &[98], 1_000_000);
    /// assert_eq!(shares.fraction(0, 0), 0.99);
    /// ```
    pub fn fraction(&self, shard: usize, owner: usize) -> f64 {
        let count = |cells: &Vec<AtomicU64>| {
            cells.get(owner).map_or(1000.0, |cell| cell.load(Ordering::Relaxed) as f64 + 1000.0)
        };
        let all: f64 = self.0.iter().map(count).sum();
        self.0.get(shard).map_or(0.0, count) / all.max(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever each shard tells, and however long since it last did: the parts sum up to the whole, and of two
        /// shards the one to which more came a second has more.
        #[test]
        fn parts_sum_up_to_the_whole(
            told in proptest::collection::vec((0..100_000u64, 1_000..2_000_000i64), 1..6)
        ) {
            let shares = QuotaShares::new(told.len(), 1);
            told.iter().enumerate().for_each(|(n, (count, span))| shares.report(n, &[*count], *span));
            let parts: Vec<f64> = (0..told.len()).map(|n| shares.fraction(n, 0)).collect();
            prop_assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{:?}", parts);
            let rate = |n: usize| told[n].0 as f64 / told[n].1 as f64;
            for n in 1..told.len() {
                prop_assert!(rate(n) <= rate(n - 1) + 1e-9 || parts[n] >= parts[n - 1]);
            }
        }
    }
}
