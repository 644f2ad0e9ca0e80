//! Division of tenants' quotas among shards: each shard reports how much arrived at it, and may count on the
//! fraction of each quota that corresponds to its part of all arrivals. Uses no lock, no I/O and no clock.

use std::sync::atomic::{AtomicU64, Ordering};
use yarrowhill_policy::api::Micros;

/// Arrival rates at each shard over its last reporting period (messages in 1,000 s), by shard and tenant.
#[derive(Debug)]
pub struct QuotaShares(Vec<Vec<AtomicU64>>);

impl QuotaShares {
    /// Creates a table for these numbers of shards and tenants, with all rates at zero.
    pub fn new(shards: usize, tenants: usize) -> Self {
        QuotaShares((0..shards).map(|_| (0..tenants).map(|_| AtomicU64::new(0)).collect()).collect())
    }

    /// Reports how many messages of each tenant arrived at a shard in the `period` since its last report. A
    /// shard with little to do reports less often.
    pub fn report(&self, shard: usize, counts: &[u64], period: Micros) {
        let period = u64::try_from(period).unwrap_or(0).max(1);
        for (rate, count) in self.0.get(shard).into_iter().flatten().zip(counts) {
            rate.store(count.saturating_mul(1_000_000_000) / period, Ordering::Relaxed);
        }
    }

    /// Returns the fraction of a tenant's quota that a shard may count on. One message a second is added to
    /// the rate of every shard, so that a shard without arrivals keeps a small fraction. The fractions of all
    /// shards sum to 1.
    ///
    /// ```
    /// use yarrowhill_engine::QuotaShares;
    /// let shares = QuotaShares::new(2, 1);
    /// assert_eq!(shares.fraction(0, 0), 0.5);
    /// shares.report(0, &[98], 1_000_000);
    /// assert_eq!(shares.fraction(0, 0), 0.99);
    /// ```
    pub fn fraction(&self, shard: usize, tenant: usize) -> f64 {
        let rate = |rates: &Vec<AtomicU64>| {
            rates.get(tenant).map_or(1000.0, |rate| rate.load(Ordering::Relaxed) as f64 + 1000.0)
        };
        let total: f64 = self.0.iter().map(rate).sum();
        self.0.get(shard).map_or(0.0, rate) / total.max(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// For any counts and reporting periods, the fractions sum to 1, and of two shards the one with the
        /// higher arrival rate has at least as large a fraction.
        #[test]
        fn fractions_sum_to_one_and_follow_rates(
            reports in proptest::collection::vec((0..100_000u64, 1_000..2_000_000i64), 1..6)
        ) {
            let shares = QuotaShares::new(reports.len(), 1);
            reports.iter().enumerate().for_each(|(n, (count, period))| shares.report(n, &[*count], *period));
            let fractions: Vec<f64> = (0..reports.len()).map(|n| shares.fraction(n, 0)).collect();
            prop_assert!((fractions.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{:?}", fractions);
            let rate = |n: usize| reports[n].0 as f64 / reports[n].1 as f64;
            for n in 1..reports.len() {
                prop_assert!(rate(n) <= rate(n - 1) + 1e-9 || fractions[n] >= fractions[n - 1]);
            }
        }
    }
}
