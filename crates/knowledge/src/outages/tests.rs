//! Tests of `outages`.

use super::*;
use proptest::prelude::*;

const S: Micros = 1_000_000;
const SLOW_START: SlowStart = SlowStart { probe_interval: S, warm_up: 10 * S, initial_fraction: 0.2 };
const DEST: u64 = 7;

fn member(id: u64, members: usize) -> OutageDetector {
    let mut detector = OutageDetector::new(id, 1, SLOW_START);
    detector.set_membership(1, members);
    detector
}

fn fail(member: &mut OutageDetector, from: Micros) {
    (0..4)
        .for_each(|n| member.record_call_end(from + n * S / 4, DEST, from + n * S / 4, CallOutcome::Failed));
}

fn send(now: Micros, from: &mut OutageDetector, to: &mut [&mut OutageDetector]) {
    for report in from.updates_to_send(now, 24, 5) {
        to.iter_mut().for_each(|member| member.receive(now, &report));
    }
}

/// Two members find an outage; a third that never called defers its calls, one of the two probes, and its
/// report starts the recovery of all along one ramp.
#[test]
fn one_member_probes_and_all_recover_together() {
    let (mut a, mut b, mut c) = (member(1, 3), member(2, 3), member(3, 3));
    fail(&mut a, 100 * S);
    send(101 * S, &mut a, &mut [&mut b, &mut c]);
    assert_eq!(c.admit(101 * S, DEST), Admission::Fraction(1.0), "one origin alone is not enough");
    fail(&mut b, 100 * S);
    send(101 * S, &mut b, &mut [&mut a, &mut c]);
    let now = 101 * S + 1;
    let admissions = [a.admit(now, DEST), b.admit(now, DEST), c.admit(now, DEST)];
    assert_eq!(
        admissions.iter().filter(|admission| **admission == Admission::Probe).count(),
        1,
        "{admissions:?}"
    );
    assert!(matches!(admissions[2], Admission::Defer(_)));
    let first = if admissions[0] == Admission::Probe { &mut a } else { &mut b };
    assert!(matches!(first.admit(now, DEST), Admission::Defer(_)), "one probe per interval");
    first.record_call_end(102 * S, DEST, now, CallOutcome::Served);
    let reports = first.updates_to_send(102 * S, 24, 3);
    assert_eq!(first.admit(102 * S, DEST), Admission::Fraction(0.2));
    reports.iter().for_each(|report| c.receive(103 * S, report));
    // The report took a second: the receiver counts from a later recovery, never from an earlier one.
    assert_eq!(c.admit(103 * S, DEST), Admission::Fraction(0.2));
    let Admission::Fraction(half) = c.admit(108 * S, DEST) else { panic!("recovering") };
    assert!((0.59..0.61).contains(&half), "{half}");
    assert_eq!(c.admit(114 * S, DEST), Admission::Fraction(1.0));
}

/// Without recent findings members with calls probe at random, few at a time, and one does so in bounded
/// time.
#[test]
fn probes_at_random_within_bounded_time_without_recent_findings() {
    let mut first_probes = Vec::new();
    for fleet in 0..20u64 {
        let mut all: Vec<OutageDetector> = (0..300).map(|n| member(fleet * 1000 + n, 300)).collect();
        for member in &mut all {
            for origin in [900_001, 900_002] {
                let finding = Finding::Down(0);
                member.receive(100 * S, &OutageReport { dest: DEST, origin, version: (1, 1), finding });
            }
        }
        let probe = |interval: u64, all: &mut [OutageDetector]| {
            let at = (100 + interval) * S + S / 2;
            all.iter_mut()
                .filter_map(|member| (member.admit(at, DEST) == Admission::Probe).then_some(()))
                .count()
        };
        let (mut interval, mut probes) = (0, 0);
        while probes == 0 {
            interval += 1;
            probes = probe(interval, &mut all);
        }
        first_probes.push((interval, probes));
    }
    assert!(first_probes.iter().all(|(interval, _)| *interval <= 9), "{first_probes:?}");
    let mean = first_probes.iter().map(|(_, probes)| *probes).sum::<usize>() as f64 / 20.0;
    assert!(mean < 24.0, "{mean} at once: {first_probes:?}");
}

#[test]
fn drops_expired_state() {
    let mut local = member(1, 5);
    local.record_call_end(100 * S, DEST, 99 * S, CallOutcome::Served);
    local.updates_to_send(200 * S, 24, 5);
    assert_eq!(local.dests.len(), 1, "the served call may outrank later reports");
    local.updates_to_send(900 * S, 24, 5);
    assert_eq!(local.dests.len(), 0);
}

#[test]
fn prefers_own_calls_to_findings_of_others_and_ignores_a_single_origin() {
    let mut local = member(1, 5);
    local.record_call_end(100 * S, DEST, 99 * S, CallOutcome::Served);
    for origin in [2, 3] {
        let finding = Finding::Down(5 * S);
        local.receive(101 * S, &OutageReport { dest: DEST, origin, version: (1, 1), finding });
    }
    assert_eq!(local.admit(101 * S, DEST), Admission::Fraction(1.0), "a call was served since");
    let mut other = member(4, 5);
    for n in 0..1000 {
        let finding = Finding::Down(0);
        other.receive((100 + n) * S, &OutageReport { dest: DEST, origin: 2, version: (1, n + 1), finding });
        assert_eq!(other.admit((100 + n) * S, DEST), Admission::Fraction(1.0));
    }
    // Two origins make the member defer its calls, and it still probes on its own.
    let mut probes = 0;
    for n in 0..200 {
        for origin in [2, 3] {
            let finding = Finding::Down(0);
            other.receive((2000 + n) * S, &OutageReport { dest: DEST, origin, version: (2, n + 1), finding });
        }
        probes += usize::from(other.admit((2000 + n) * S + 1, DEST) == Admission::Probe);
    }
    assert!((5..60).contains(&probes), "{probes}");
    other.record_call_end(2300 * S, DEST, 2299 * S, CallOutcome::Served);
    assert!(matches!(other.admit(2300 * S, DEST), Admission::Fraction(_)));
}

/// An origin that wrongly reports a recovery is believed once, and then not alone for some time.
#[test]
fn distrusts_an_origin_after_a_wrong_recovery_report() {
    let mut local = member(1, 5);
    let mut believed = 0;
    for n in 0..100u64 {
        let now = (100 + n) * S;
        for origin in [2, 3] {
            let finding = Finding::Down(0);
            local.receive(now, &OutageReport { dest: DEST, origin, version: (1, n + 1), finding });
        }
        let finding = Finding::Recovered(0);
        local.receive(now + 1, &OutageReport { dest: DEST, origin: 4, version: (1, n + 1), finding });
        believed += usize::from(matches!(local.admit(now + 2, DEST), Admission::Fraction(_)));
    }
    assert!((1..=4).contains(&believed), "{believed} of 100");
    let finding = Finding::Recovered(0);
    local.receive(201 * S, &OutageReport { dest: DEST, origin: 5, version: (1, 1), finding });
    assert!(matches!(local.admit(201 * S, DEST), Admission::Fraction(_)), "another origin is trusted");
}

proptest! {
    /// Findings received at the same time result in the same state in any order and however often they
    /// are repeated.
    #[test]
    fn merges_findings_in_any_order(
        reports in proptest::collection::vec((2..6u64, 1..5u64, any::<bool>()), 0..12),
        seed in any::<u64>(),
    ) {
        use rand::SeedableRng;
        // An origin issues one report under one version.
        let report = |(origin, count, _): &(u64, u64, bool)| {
            let down = (origin * 7 + count * 13) % 3 != 0;
            let finding = if down { Finding::Down(0) } else { Finding::Recovered(0) };
            OutageReport { dest: DEST, origin: *origin, version: (1, *count), finding }
        };
        let reports: Vec<OutageReport> = reports.iter().map(report).collect();
        let mut shuffled = [reports.clone(), reports.clone()].concat();
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        rand::seq::SliceRandom::shuffle(&mut shuffled[..], &mut rng);
        let merge = |reports: &[OutageReport]| {
            let mut local = member(1, 5);
            reports.iter().for_each(|report| local.receive(S, report));
            let entries = local.dests.get(&DEST).map(|d| d.entries.clone()).unwrap_or_default();
            let findings = entries.iter().map(|(origin, entry)| (*origin, entry.version, entry.finding));
            findings.collect::<Vec<_>>()
        };
        let (a, b) = (merge(&reports), merge(&shuffled));
        prop_assert_eq!(a.len(), b.len());
        for (x, y) in a.iter().zip(&b) {
            prop_assert!(x.0 == y.0 && x.1 == y.1 && x.2 == y.2);
        }
    }

    /// Under any reports of others, a member with calls probes within a bounded time, and the state kept
    /// for reports is bounded.
    #[test]
    fn bounds_deferral_and_memory_under_any_reports(
        reports in proptest::collection::vec((2..40u64, 0..20_000u64, any::<bool>(), 0..50u64), 0..300),
    ) {
        let mut local = member(1, 30);
        let mut now = 100 * S;
        let mut deferred = 0;
        for (n, (origin, age, down, pause)) in reports.into_iter().enumerate() {
            now += pause * S / 100;
            let finding = if down { Finding::Down(age) } else { Finding::Recovered(age) };
            local.receive(now, &OutageReport { dest: DEST, origin, version: (1, n as u64 + 1), finding });
        }
        while matches!(local.admit(now, DEST), Admission::Defer(_)) {
            now += S / 4;
            deferred += 1;
            prop_assert!(deferred < 4 * 40, "deferred for {} intervals", deferred / 4);
        }
        let entries = local.dests.get(&DEST).map_or(0, |d| d.entries.len());
        prop_assert!(entries <= MAX_ORIGINS);
    }
}
