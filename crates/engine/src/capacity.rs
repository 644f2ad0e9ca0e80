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
mod tests;
