//! Tests the schedule in simulated time.

use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn schedule(senders: usize, seed: u64) -> Schedule<ChaCha8Rng> {
    Schedule::new(Some(senders), 7, ChaCha8Rng::seed_from_u64(seed))
}

#[test]
fn keeps_the_known_version_until_it_is_unusable_or_the_address_changes() {
    let mut schedule = schedule(100, 1);
    schedule.failed(FailureKind::Unavailable, Duration::ZERO);
    assert_eq!(schedule.next_request().version, Some(7));
    schedule.succeeded(9);
    assert_eq!(schedule.next_request().version, Some(9));
    schedule.failed(FailureKind::Unusable, Duration::ZERO);
    assert_eq!(schedule.next_request().version, None);
    schedule.succeeded(10);
    schedule.address_changed();
    assert_eq!(schedule.next_request().version, None);
}

/// Result of the first twenty seconds of a fleet.
struct Simulated {
    /// Share of the requests that were rejected or answered too late.
    failed: f64,
    /// Number of forwarders that received a change within 9 s.
    informed: usize,
}

/// Simulates a discovery service that can answer one new watch of each forwarder in 5 s, at least 20 a
/// second, and rejects requests that would wait for more than 4 s. A forwarder abandons its request after 2
/// s, but the service still processes it. Four fifths of the forwarders are killed at 5 s and restart in the
/// same tenth of a second.
fn simulate<F: FnMut(usize) -> Schedule<ChaCha8Rng>>(senders: usize, mut new: F) -> Simulated {
    let (step, change) = (Duration::from_millis(10), Duration::from_secs(6));
    let cost = (5.0 / senders as f64).min(1.0 / 20.0);
    let mut fleet: Vec<_> = (0..senders).map(&mut new).collect();
    let mut requests: Vec<_> = fleet.iter_mut().map(|schedule| Some(schedule.initial_delay())).collect();
    // By forwarder: when its request fails, and since when it has a watch.
    let (mut fails, mut watching) = (vec![None; senders], vec![None; senders]);
    let mut requested_at = vec![Duration::ZERO; senders];
    let (mut busy_until, mut total, mut failed, mut informed) = (0.0_f64, 0, 0, 0);
    let (mut now, mut has_change) = (Duration::ZERO, vec![false; senders]);
    while now < Duration::from_secs(20) {
        let now_secs = now.as_secs_f64();
        if now == Duration::from_secs(5) {
            for i in 0..senders * 4 / 5 {
                fleet[i] = new(i + senders);
                (requests[i], fails[i], watching[i]) = (Some(now + fleet[i].initial_delay()), None, None);
            }
        }
        for (i, schedule) in fleet.iter_mut().enumerate() {
            if requests[i].is_some_and(|at| at <= now) {
                (requests[i], requested_at[i], total) = (None, now, total + 1);
                let queued = busy_until - now_secs;
                if queued <= 4.0 {
                    busy_until = busy_until.max(now_secs) + cost;
                }
                match queued {
                    _ if queued > 4.0 => fails[i] = Some(now),
                    _ if queued > 2.0 => fails[i] = Some(now + Duration::from_secs(2)),
                    _ => watching[i] = Some(now + Duration::from_secs_f64(queued.max(0.0))),
                }
            }
            if fails[i].is_some_and(|at| at <= now) {
                (fails[i], failed) = (None, failed + 1);
                requests[i] = Some(now + schedule.failed(FailureKind::Unavailable, now - requested_at[i]));
            }
            if watching[i].is_some_and(|since| since <= now) {
                schedule.succeeded(8);
                if now >= change && !has_change[i] {
                    has_change[i] = true;
                    informed += usize::from(now < change + Duration::from_secs(9));
                }
            }
        }
        now += step;
    }
    Simulated { failed: f64::from(failed) / f64::from(total), informed }
}

#[test]
fn a_fleet_that_starts_at_once_does_not_keep_discovery_overloaded() {
    for senders in [1, 3, 30, 100, 300] {
        for seed in [1, 1000] {
            let Simulated { failed, informed } = simulate(senders, |i| schedule(senders, seed + i as u64));
            assert!(failed < 0.2, "{senders} forwarders: {failed:.2} of the requests failed");
            assert!(informed * 10 >= senders * 9, "{senders} forwarders: {informed} received the change");
        }
    }
}

#[test]
fn a_single_forwarder_retries_at_once_and_a_fleet_spreads_its_retries() {
    let delays = |senders| {
        let mut schedule = schedule(senders, 3);
        let initial = schedule.initial_delay();
        let retries: Vec<_> =
            (0..20).map(|_| schedule.failed(FailureKind::Unavailable, Duration::ZERO)).collect();
        (initial, retries)
    };
    assert!(delays(1).0.is_zero() && delays(1).1.iter().all(|delay| *delay <= SMALL_FLEET_INTERVAL));
    // As far out of step as the time in which all forwarders have to be informed allows: the delays of a
    // large fleet differ by more than 0.8 s.
    let spread = &delays(100).1[8..];
    let (min, max) =
        (spread.iter().min().expect("twelve delays"), spread.iter().max().expect("twelve delays"));
    assert!(*min >= MAX_INTERVAL / 2 && *max - *min > MAX_INTERVAL / 4, "{spread:?}");
    assert!(delays(usize::MAX).1.iter().all(|delay| *delay <= MAX_INTERVAL));
}

/// Guards the rule that the platform assumes the list to be known 6 s after discovery became reachable,
/// regardless of whether requests succeeded. Formerly the fleet's back-off grew to ten seconds, and a watch
/// that became unresponsive when it was opened was noticed only after 4.5 s.
#[test]
fn a_retry_can_be_answered_before_the_list_is_assumed_known() {
    for forwarders in [None, Some(1), Some(3), Some(30), Some(300), Some(usize::MAX)] {
        for seed in 0..200 {
            let mut schedule = Schedule::new(forwarders, 7, ChaCha8Rng::seed_from_u64(seed));
            assert!(schedule.initial_delay() <= MAX_INTERVAL);
            for n in 0..12 {
                let request = schedule.next_request();
                // A shared discovery service may take up to two seconds to answer.
                let answer_time =
                    if forwarders.is_some() { Duration::from_secs(2) } else { Duration::from_millis(100) };
                for elapsed in [Duration::ZERO, request.timeout / 2, request.timeout] {
                    let mut schedule = Schedule::new(forwarders, 7, ChaCha8Rng::seed_from_u64(seed));
                    (schedule.failures, schedule.is_watching) = (n, request.wait > Duration::ZERO);
                    let kind = if n % 2 == 0 { FailureKind::Unavailable } else { FailureKind::Unusable };
                    let next = elapsed + schedule.failed(kind, elapsed);
                    // The worst case is a change just after discovery processed the failed request.
                    assert!(
                        next + answer_time <= ASSUMED_KNOWN_AFTER,
                        "{forwarders:?}: retry {next:?} after the request"
                    );
                    assert!(schedule.next_request().wait.is_zero(), "a new watch returns the list at once");
                }
                if n % 3 == 0 {
                    schedule.succeeded(u64::from(n));
                } else {
                    let _ = schedule.failed(FailureKind::Unavailable, request.timeout);
                }
            }
        }
    }
}
