//! The limit on open messages: fixed, or leased in portions from a pool that all shards of a process share.
//! Uses no lock, no I/O and no clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of portions into which each shard's part of the pool is divided. Small portions leave little
/// capacity idle, large ones need fewer leases.
const PORTIONS_PER_SHARD: usize = 8;

/// Capacity for open messages that the shards of a process share.
#[derive(Debug)]
pub struct CapacityPool {
    available: AtomicUsize,
    portion: usize,
}

impl CapacityPool {
    /// Creates a pool with capacity for `total` messages.
    pub fn new(total: usize, shards: usize) -> Arc<Self> {
        let portion = (total / (PORTIONS_PER_SHARD * shards.max(1))).max(1);
        Arc::new(CapacityPool { available: AtomicUsize::new(total), portion })
    }

    /// Takes a portion, or what is left of one, and returns its size; 0 if the pool is empty.
    fn lease(&self) -> usize {
        let take = |available: usize| available.checked_sub(self.portion.min(available).max(1));
        let before = self.available.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        before.map_or(0, |available| self.portion.min(available).max(1))
    }
}

/// Capacity of one engine for open messages.
#[derive(Debug)]
pub(crate) struct MessageCapacity {
    limit: usize,
    pool: Option<Arc<CapacityPool>>,
}

impl MessageCapacity {
    /// Creates a fixed capacity that is not shared.
    pub fn fixed(limit: usize) -> Self {
        MessageCapacity { limit, pool: None }
    }

    /// Creates a capacity that is leased from a pool as needed.
    pub fn leased(pool: &Arc<CapacityPool>) -> Self {
        MessageCapacity { limit: 0, pool: Some(pool.clone()) }
    }

    /// Returns whether another message may be opened beside `open` others, leasing more capacity if
    /// necessary. All shards together never lease more than the pool had.
    pub fn admits(&mut self, open: usize) -> bool {
        while open >= self.limit
            && let Some(pool) = &self.pool
        {
            match pool.lease() {
                0 => return false,
                portion => self.limit += portion,
            }
        }
        open < self.limit
    }

    /// Returns leased capacity beyond `open` messages and two portions to the pool.
    pub fn release_unused(&mut self, open: usize) {
        let Some(pool) = &self.pool else { return };
        let keep = open + 2 * pool.portion;
        if self.limit > keep {
            pool.available.fetch_add(self.limit - keep, Ordering::Relaxed);
            self.limit = keep;
        }
    }
}

impl Drop for MessageCapacity {
    fn drop(&mut self) {
        if let Some(pool) = &self.pool {
            pool.available.fetch_add(self.limit, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// In any order of arrivals and ends on each shard, open messages and leases never exceed the pool,
        /// and a shard that needs capacity gets all that the others do not keep.
        #[test]
        fn leases_never_exceed_the_pool(
            total in 1..200usize, steps in proptest::collection::vec((0..3usize, any::<bool>()), 1..600)
        ) {
            let pool = CapacityPool::new(total, 3);
            let mut capacities: Vec<_> = (0..3).map(|_| MessageCapacity::leased(&pool)).collect();
            let mut open = [0usize; 3];
            for (shard, arrives) in steps {
                if arrives {
                    open[shard] += usize::from(capacities[shard].admits(open[shard]));
                } else {
                    open[shard] = open[shard].saturating_sub(1);
                    capacities[shard].release_unused(open[shard]);
                }
                prop_assert!(open.iter().sum::<usize>() <= total);
                let leased: usize = capacities.iter().map(|capacity| capacity.limit).sum();
                prop_assert_eq!(leased + pool.available.load(Ordering::Relaxed), total);
            }
            open.iter().zip(&mut capacities).for_each(|(open, capacity)| capacity.release_unused(*open));
            let kept: usize = (1..3).map(|shard| capacities[shard].limit).sum();
            while capacities[0].admits(open[0]) {
                open[0] += 1;
            }
            prop_assert_eq!(open[0], total - kept);
        }
    }
}
