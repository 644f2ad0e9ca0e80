//! Tests of `shards`.

use super::*;

#[test]
fn divides_slots_exactly_and_spreads_destinations_evenly() {
    for (slots, shards) in [(10, 4), (128, 4), (2, 4), (7, 1)] {
        let settings = Settings { slots, ..Settings::default() };
        let parts: Vec<usize> = (0..shards).map(|s| shard_settings(&settings, s, shards).slots).collect();
        assert_eq!(parts.iter().sum::<usize>(), slots.max(shards), "{parts:?}");
    }
    for step in [1, 2, 10, 64, 1000] {
        let mut count = [0; 4];
        (0..4000).for_each(|n| count[shard_of(n * step, 4)] += 1);
        assert!(count.iter().all(|n| (700..1300).contains(n)), "step {step}: {count:?}");
    }
}
