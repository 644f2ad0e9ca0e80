//! Tests of `waits`.

use super::*;
use proptest::prelude::*;

const S: Micros = 1_000_000;

#[test]
fn spreads_a_wait_to_other_and_new_members_until_it_ends() {
    let mut table = WaitTable::new(1, 1, 1);
    let (mut second, mut late) = (WaitTable::new(2, 1, 2), WaitTable::new(3, 1, 3));
    table.record_wait(0, 10, 30 * S);
    assert_eq!(table.wait(S, 10), None, "own waits take effect without this table");
    assert!(table.has_updates(S));
    table.updates_to_send(S, 9, 3).iter().for_each(|report| second.receive(S, report));
    assert_eq!(second.wait(S, 10), Some(29 * S));
    // The second member passes it on ten seconds later.
    second.snapshot(11 * S, 9).iter().for_each(|report| late.receive(11 * S, report));
    assert_eq!(late.wait(11 * S, 10), Some(19 * S));
    assert_eq!(late.wait(30 * S, 10), None);
    // It is sent in a bounded number of rounds.
    (0..9).for_each(|_| drop(table.updates_to_send(2 * S, 9, 3)));
    assert!(!table.has_updates(2 * S));
}

#[test]
fn ends_waits_reported_before_a_served_call() {
    let mut table = WaitTable::new(1, 1, 1);
    let report = WaitReport { dest: 10, origin: 2, version: (1, 1), remaining: 20 * S };
    table.receive(5 * S, &report);
    table.record_success(6 * S, 10, 4 * S);
    assert!(table.wait(6 * S, 10).is_some(), "the served call began before the report");
    table.record_success(7 * S, 10, 6 * S);
    assert_eq!(table.wait(7 * S, 10), None);
    table.receive(8 * S, &report);
    assert_eq!(table.wait(8 * S, 10), None, "the same version is ignored");
}

/// A faulty origin that reports the longest wait repeatedly delays calls for a minute, then a
/// quarter of the time.
#[test]
fn bounds_the_effect_of_a_faulty_origin() {
    let mut table = WaitTable::new(1, 1, 1);
    table.receive(0, &WaitReport { dest: 10, origin: 2, version: (1, 0), remaining: 3600 * S });
    assert_eq!((table.wait(0, 10), table.rejected()), (None, 1));
    let mut held = 0;
    for second in 0..600 {
        table.receive(
            second * S,
            &WaitReport { dest: 10, origin: 2, version: (1, second + 1), remaining: 60 * S },
        );
        held += u64::from(table.wait(second * S + S / 2, 10).is_some());
    }
    assert!((60..=60 + 600 / 4 + 1).contains(&held), "{held} of 600");
    // Another origin has its own credit.
    table.receive(601 * S, &WaitReport { dest: 10, origin: 3, version: (1, 1), remaining: 10 * S });
    assert_eq!(table.wait(601 * S, 10), Some(10 * S));
}

#[test]
fn bounds_state_kept_for_reports() {
    let mut table = WaitTable::new(1, 1, 1);
    for n in 0..20_000 {
        table.receive(0, &WaitReport { dest: n, origin: 2, version: (1, 1), remaining: 60 * S });
        table.receive(0, &WaitReport { dest: 5, origin: n + 3, version: (1, 1), remaining: 60 * S });
    }
    assert_eq!((table.dests.len(), table.dests[&5].len()), (MAX_DESTS, MAX_ORIGINS));
    table.updates_to_send(200 * S, 9, 300);
    table.updates_to_send(600 * S, 9, 300);
    assert_eq!(table.dests.len(), 0);
}

proptest! {
    /// Reports received at the same time result in the same state in any order and however often they are
    /// repeated.
    #[test]
    fn merges_reports_in_any_order(
        reports in proptest::collection::vec((0..3u64, 2..5u64, 0..4u64, 0..60u64), 0..12),
        seed in any::<u64>(),
    ) {
        // An origin issues one report under one version.
        let report = |(dest, origin, count, _): &(u64, u64, u64, u64)| {
            let remaining = (dest * 7 + origin * 11 + count * 13) % 60 * S;
            WaitReport { dest: *dest, origin: *origin, version: (1, *count + 1), remaining }
        };
        let reports: Vec<WaitReport> = reports.iter().map(report).collect();
        let mut shuffled = [reports.clone(), reports.clone()].concat();
        rand::seq::SliceRandom::shuffle(&mut shuffled[..], &mut ChaCha8Rng::seed_from_u64(seed));
        let merge = |reports: &[WaitReport]| {
            let mut table = WaitTable::new(1, 1, 1);
            reports.iter().for_each(|report| table.receive(S, report));
            table
        };
        let (a, b) = (merge(&reports), merge(&shuffled));
        let versions = |k: &WaitTable| -> Vec<(u64, u64, (u64, u64))> {
            let of = |(dest, origins): (&u64, &BTreeMap<u64, Entry>)| {
                origins.iter().map(|(origin, entry)| (*dest, *origin, entry.version)).collect::<Vec<_>>()
            };
            k.dests.iter().flat_map(of).collect()
        };
        prop_assert_eq!(versions(&a), versions(&b));
        for dest in 0..3 {
            prop_assert_eq!(a.wait(S, dest), b.wait(S, dest));
        }
    }
}
