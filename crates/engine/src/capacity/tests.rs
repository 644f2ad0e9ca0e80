//! Tests of `capacity`.

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
