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
mod tests;
