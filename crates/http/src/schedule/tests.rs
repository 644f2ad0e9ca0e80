//! When to ask, played without a clock.

use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn refresh(senders: usize, seed: u64) -> Refresh<ChaCha8Rng> {
    Refresh::new(Some(senders), 7, ChaCha8Rng::seed_from_u64(seed))
}

#[test]
fn what_is_known_stays_known_while_nothing_shows_it_wrong() {
    let mut r = refresh(100, 1);
    r.failed(Failure::Unheard, Duration::ZERO);
    assert_eq!(r.ask().index, Some(7));
    r.answered(9);
    assert_eq!(r.ask().index, Some(9));
    r.failed(Failure::Unusable, Duration::ZERO);
    assert_eq!(r.ask().index, None);
    r.answered(10);
    r.moved();
    assert_eq!(r.ask().index, None);
}

/// What came of a fleet's first twenty seconds: asks that were turned away or came too late, of all; and how many
/// forwarders heard within 9 s of a change.
struct Played {
    failed: f64,
    told: usize,
}

/// A discovery that can answer one new watch of each forwarder in 5 s, 20 a second at least, and turns away what
/// would wait for more than 4 s. Who asked is gone after 2 s, but its ask is worked on all the same. Most
/// forwarders are killed at 5 s and start again in the same tenth of a second.
fn play<F: FnMut(usize) -> Refresh<ChaCha8Rng>>(senders: usize, mut new: F) -> Played {
    let (step, change) = (Duration::from_millis(10), Duration::from_secs(6));
    let cost = (5.0 / senders as f64).min(1.0 / 20.0);
    let mut fleet: Vec<_> = (0..senders).map(&mut new).collect();
    let mut asks: Vec<_> = fleet.iter_mut().map(|r| Some(r.first())).collect();
    // By forwarder: when its ask fails, and since when it has a watch.
    let (mut fails, mut watching) = (vec![None; senders], vec![None; senders]);
    let mut asked = vec![Duration::ZERO; senders];
    let (mut busy, mut total, mut failed, mut told) = (0.0_f64, 0, 0, 0);
    let (mut now, mut seen) = (Duration::ZERO, vec![false; senders]);
    while now < Duration::from_secs(20) {
        let at = now.as_secs_f64();
        if now == Duration::from_secs(5) {
            for i in 0..senders * 4 / 5 {
                fleet[i] = new(i + senders);
                (asks[i], fails[i], watching[i]) = (Some(now + fleet[i].first()), None, None);
            }
        }
        for (i, r) in fleet.iter_mut().enumerate() {
            if asks[i].is_some_and(|at| at <= now) {
                (asks[i], asked[i], total) = (None, now, total + 1);
                let late = busy - at;
                if late <= 4.0 {
                    busy = busy.max(at) + cost;
                }
                match late {
                    _ if late > 4.0 => fails[i] = Some(now),
                    _ if late > 2.0 => fails[i] = Some(now + Duration::from_secs(2)),
                    _ => watching[i] = Some(now + Duration::from_secs_f64(late.max(0.0))),
                }
            }
            if fails[i].is_some_and(|at| at <= now) {
                (fails[i], failed) = (None, failed + 1);
                asks[i] = Some(now + r.failed(Failure::Unheard, now - asked[i]));
            }
            if watching[i].is_some_and(|since| since <= now) {
                r.answered(8);
                if now >= change && !seen[i] {
                    seen[i] = true;
                    told += usize::from(now < change + Duration::from_secs(9));
                }
            }
        }
        now += step;
    }
    Played { failed: f64::from(failed) / f64::from(total), told }
}

#[test]
fn a_fleet_that_starts_at_once_does_not_keep_discovery_overbooked() {
    for senders in [1, 3, 30, 100, 300] {
        for seed in [1, 1000] {
            let Played { failed, told } = play(senders, |i| refresh(senders, seed + i as u64));
            assert!(failed < 0.2, "{senders} forwarders: {failed:.2} of the asks failed");
            assert!(told * 10 >= senders * 9, "{senders} forwarders: {told} were told of a change");
        }
    }
}

#[test]
fn a_forwarder_alone_asks_again_at_once_and_a_fleet_spreads_out() {
    let pauses = |senders| {
        let mut r = refresh(senders, 3);
        (r.first(), (0..20).map(|_| r.failed(Failure::Unheard, Duration::ZERO)).collect::<Vec<_>>())
    };
    assert!(pauses(1).0.is_zero() && pauses(1).1.iter().all(|p| *p <= PACE_LEAST));
    // As far out of step as the time in which all have to be told allows: over half a second and three.
    let spread = &pauses(100).1[8..];
    let (least, most) = (spread.iter().min().expect("twelve"), spread.iter().max().expect("twelve"));
    assert!(*least >= PACE_MOST / 2 && *most - *least > PACE_MOST / 4, "{spread:?}");
    assert!(pauses(usize::MAX).1.iter().all(|p| *p <= PACE_MOST));
}

/// Guards the term that what discovery has is told in 6 s from when it could be reached, whatever became of the calls:
/// the fleet's back-off went up to ten seconds, and a watch that fell silent at its opening was noticed after 4.5 s.
#[test]
fn whatever_fails_the_next_answer_can_come_before_the_list_counts_as_told() {
    for askers in [None, Some(1), Some(3), Some(30), Some(300), Some(usize::MAX)] {
        for seed in 0..200 {
            let mut r = Refresh::new(askers, 7, ChaCha8Rng::seed_from_u64(seed));
            assert!(r.first() <= PACE_MOST);
            for n in 0..12 {
                let ask = r.ask();
                // What is asked of discovery by many may take most of two seconds to come.
                let answer =
                    if askers.is_some() { Duration::from_secs(2) } else { Duration::from_millis(100) };
                for took in [Duration::ZERO, ask.lost / 2, ask.lost] {
                    let mut r = Refresh::new(askers, 7, ChaCha8Rng::seed_from_u64(seed));
                    (r.failures, r.goes_on) = (n, ask.wait > Duration::ZERO);
                    let kind = if n % 2 == 0 { Failure::Unheard } else { Failure::Unusable };
                    let next = took + r.failed(kind, took);
                    // A change that came just after the ask was worked on.
                    assert!(next + answer <= TOLD, "{askers:?}: asked, and again after {next:?}");
                    assert!(r.ask().wait.is_zero(), "a new watch tells at once what there is");
                }
                if n % 3 == 0 {
                    r.answered(u64::from(n));
                } else {
                    let _ = r.failed(Failure::Unheard, ask.lost);
                }
            }
        }
    }
}
