//! How many messages may be open: a number of its own, or portions leased from what all shards of a process share.
//! No lock, no I/O, no clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What is leased at a time, as a part of all for each shard: few leases, and little that lies idle.
const PORTIONS: usize = 8;

/// What the shards of a process share.
#[derive(Debug)]
pub struct CapacityPool {
    free: AtomicUsize,
    portion: usize,
}

impl CapacityPool {
    /// MessageCapacity for so many messages in all.
    pub fn new(total: usize, shards: usize) -> Arc<Self> {
        let portion = (total / (PORTIONS * shards.max(1))).max(1);
        Arc::new(CapacityPool { free: AtomicUsize::new(total), portion })
    }

    fn take(&self) -> usize {
        let take = |free: usize| free.checked_sub(self.portion.min(free).max(1));
        let before = self.free.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        before.map_or(0, |free| self.portion.min(free).max(1))
    }
}

/// MessageCapacity for open messages.
///
#[derive(Debug)]
pub(crate) struct MessageCapacity {
    held: usize,
    pool: Option<Arc<CapacityPool>>,
}

impl MessageCapacity {
    /// So many, whatever others do.
    pub fn fixed(most: usize) -> Self {
        MessageCapacity { held: most, pool: None }
    }

    /// Leased from a pool as it is needed.
    pub fn leased(pool: &Arc<CapacityPool>) -> Self {
        MessageCapacity { held: 0, pool: Some(pool.clone()) }
    }

    /// Whether one more may be open beside so many. What all shards hold together is never more than the pool had.
    pub fn admits(&mut self, open: usize) -> bool {
        while open >= self.held
            && let Some(pool) = &self.pool
        {
            match pool.take() {
                0 => return false,
                portion => self.held += portion,
            }
        }
        open < self.held
    }

    /// Gives back what is held beyond two portions more than so many open.
    pub fn settle(&mut self, open: usize) {
        let Some(pool) = &self.pool else { return };
        let keep = open + 2 * pool.portion;
        if self.held > keep {
            pool.free.fetch_add(self.held - keep, Ordering::Relaxed);
            self.held = keep;
        }
    }
}

impl Drop for MessageCapacity {
    fn drop(&mut self) {
        if let Some(pool) = &self.pool {
            pool.free.fetch_add(self.held, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever comes and goes on each shard: all together never more than the pool, and one that needs room
        /// gets all that the others do not keep.
        #[test]
        fn leases_never_sum_up_to_more_than_there_is(
            total in 1..200usize, steps in proptest::collection::vec((0..3usize, any::<bool>()), 1..600)
        ) {
            let pool = CapacityPool::new(total, 3);
            let mut rooms: Vec<MessageCapacity> = (0..3).map(|_| MessageCapacity::leased(&pool)).collect();
            let mut open = [0usize; 3];
            for (shard, comes) in steps {
                if comes {
                    open[shard] += usize::from(rooms[shard].admits(open[shard]));
                } else {
                    open[shard] = open[shard].saturating_sub(1);
                    rooms[shard].settle(open[shard]);
                }
                prop_assert!(open.iter().sum::<usize>() <= total);
                let held: usize = rooms.iter().map(|room| room.held).sum();
                prop_assert_eq!(held + pool.free.load(Ordering::Relaxed), total);
            }
            open.iter().zip(&mut rooms).for_each(|(open, room)| room.settle(*open));
            let kept: usize = (1..3).map(|s| rooms[s].held).sum();
            while rooms[0].admits(open[0]) {
                open[0] += 1;
            }
            prop_assert_eq!(open[0], total - kept);
        }
    }
}
