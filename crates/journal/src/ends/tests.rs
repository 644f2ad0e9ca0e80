//! Tests of `ends`.

use super::*;
use proptest::prelude::*;
use std::collections::HashMap;

proptest! {
    /// Compares the table with a plain map over random insertions: an end is found exactly until it
    /// expires.
    #[test]
    fn finds_an_end_until_it_expires(
        steps in proptest::collection::vec((0..400u32, 0..3u8, 0..300u64, 0..20u64), 1..1500)
    ) {
        let (mut ends, mut expected, mut now) = (Ends::new([1, 2]), HashMap::new(), 1000);
        for (n, kind, ttl, elapsed) in steps {
            now += elapsed;
            let (id, end) = (n.to_string(), [End::Delivered, End::Failed, End::Refused][kind as usize]);
            ends.insert(ends.hash(&id), end, now + ttl, now);
            if ttl > 0 {
                expected.insert(id, (end, now + ttl));
            }
        }
        let unexpired = expected.values().filter(|(_, until)| *until > now).count();
        for (id, (end, until)) in &expected {
            let found = ends.get(ends.hash(id));
            let is_expired = found.is_none_or(|(_, until)| until <= now);
            let correct = if *until > now { found == Some((*end, *until)) } else { is_expired };
            prop_assert!(correct, "{}: {:?}", id, found);
        }
        prop_assert_eq!(ends.encode_unexpired(now).count(), unexpired);
        let mut reloaded = Ends::new(ends.key());
        let bytes: Vec<u8> = ends.encode_unexpired(now).flatten().collect();
        reloaded.insert_encoded(&bytes, now);
        prop_assert_eq!(reloaded.len(), unexpired);
    }
}

/// Checks the bound of 3.2 slots for each unexpired end at a steady rate, and that the table shrinks
/// afterwards.
#[test]
fn stays_within_its_size_bound_and_shrinks_after_a_burst() {
    let (mut ends, rate, ttl) = (Ends::new([3, 4]), 10, 6000);
    for now in 0..30_000u64 {
        (0..rate).for_each(|n| ends.insert(ends.hash(&format!("{now}-{n}")), End::Delivered, now + ttl, now));
        let unexpired = (rate * ttl.min(now + 1)) as usize;
        assert!(
            ends.slots.len() <= MIN_SLOTS.max(unexpired * 32 / 10 + MIN_SLOTS),
            "{} at {now}",
            ends.slots.len()
        );
    }
    for now in 36_000..70_000 {
        ends.insert(ends.hash(&format!("{now}")), End::Delivered, now + 10, now);
    }
    assert!(ends.slots.len() <= 4096, "{} slots for 10 ends", ends.slots.len());
}

/// Hashes with the same home slot share a probe sequence: removing some of them must not hide the others.
#[test]
fn keeps_the_other_entries_of_a_probe_sequence_after_removals() {
    let mut ends = Ends::new([5, 6]);
    let hash = |n| IdHash(7, n);
    (0..40).for_each(|n| ends.insert(hash(n), End::Failed, if n % 3 == 0 { 10 } else { 1000 }, 0));
    ends.sweep(MIN_SLOTS, 20);
    assert!((0..40).all(|n| ends.get(hash(n)).is_some() == (n % 3 != 0)));
}
