//! Owners' shares over several shards: each shard tells what came in to it, and counts on a part of each share as
//! large as its part of what came in to all. No lock, no I/O, no clock.

use std::sync::atomic::{AtomicU64, Ordering};

/// What came in to each shard in its last span, by owner.
#[derive(Debug)]
pub struct Shares(Vec<Vec<AtomicU64>>);

impl Shares {
    /// For so many shards and owners.
    pub fn new(shards: usize, owners: usize) -> Self {
        Shares((0..shards).map(|_| (0..owners).map(|_| AtomicU64::new(0)).collect()).collect())
    }

    /// A shard tells what came in to it since it last did (messages, by owner).
    pub fn tell(&self, shard: usize, counts: &[u64]) {
        for (cell, count) in self.0.get(shard).into_iter().flatten().zip(counts) {
            cell.store(*count, Ordering::Relaxed);
        }
    }

    /// The part of an owner's share that a shard may count on. One more is added to each count, so that a shard to
    /// which nothing came has a little; the parts of all shards sum up to the whole.
    ///
    /// ```
    /// use yarrowhill_engine::Shares;
    /// let shares = Shares::new(2, 1);
    /// assert_eq!(shares.part(0, 0), 0.5);
    /// shares.tell(0, &[98]);
    /// assert_eq!(shares.part(0, 0), 0.99);
    /// ```
    pub fn part(&self, shard: usize, owner: usize) -> f64 {
        let count = |cells: &Vec<AtomicU64>| {
            cells.get(owner).map_or(1.0, |cell| cell.load(Ordering::Relaxed) as f64 + 1.0)
        };
        let all: f64 = self.0.iter().map(count).sum();
        self.0.get(shard).map_or(0.0, count) / all.max(1.0)
    }
}
