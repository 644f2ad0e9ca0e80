//! Tests of many real senders that share one destination, under simulated time: what each sender does would
//! be harmless alone. `cargo test -p yarrowhill-policy --test fleet -- --nocapture --test-threads 1` prints
//! the results of each scene as a table, for 1 to 300 senders.

mod destination;
mod play;

use destination::OutageMode;
use play::{RunResult, Scene, play};
use std::ops::RangeInclusive;
use yarrowhill_policy::api::{Micros, Outcome};

const MS: Micros = 1000;
const SEC: Micros = 1000 * MS;
/// Numbers of senders with which each scene is played.
const SIZES: [usize; 5] = [1, 3, 30, 100, 300];

/// Plays a scene with each number of senders, prints the results and returns them.
fn table(name: &str, scene: impl Fn(usize) -> Scene) -> Vec<(usize, RunResult)> {
    println!("{name}: limit 60 per second");
    let results: Vec<_> = SIZES.into_iter().map(|n| (n, play(scene(n), 7))).collect();
    for (n, result) in &results {
        println!(
            "{n:4} senders: {:4.1} delivered per second, {:.2} refused, {:.2} of the first sender's and \
             {:.2} of the others' messages delivered, {:4.1} connections refused per second, peak load \
             {:.2} (informed share {:.2})",
            result.delivered,
            result.refused,
            result.first_sender_delivered,
            result.others_delivered,
            result.connects_refused,
            result.peak_load,
            result.informed_share
        );
    }
    results
}

#[test]
fn demand_above_a_shared_limit_is_not_spent_on_refusals() {
    for (n, result) in table("1.2 times the limit", |n| Scene::new(n, 1.2)) {
        assert!(result.delivered > 50.0 && result.refused < 0.13, "{n} senders: {result:?}");
    }
}

#[test]
fn a_limit_that_falls_to_half_keeps_delivering() {
    let scene = |n| Scene { limit_halves_at: Some(6 * SEC), ..Scene::new(n, 0.9) };
    for (n, result) in table("0.9 times the limit, which falls to half after 6 s", scene) {
        let (delivered, refused) = if n > 30 { (19.0, 0.42) } else { (31.0, 0.1) };
        assert!(result.delivered > delivered && result.refused < refused, "{n} senders: {result:?}");
    }
}

#[test]
fn a_sender_with_a_third_of_the_traffic_is_served_and_starves_no_other() {
    let scene = |n| Scene { first_sender_share: 1.0 / 3.0, ..Scene::new(n, 0.7) };
    for (n, result) in table("0.7 times the limit, a third of it at one sender", scene) {
        assert!(
            result.first_sender_delivered > 0.6 && (n == 1 || result.others_delivered > 0.95),
            "{n} senders: {result:?}"
        );
    }
}

#[test]
fn when_connections_are_scarce_senders_do_not_lock_each_other_out() {
    let scene = |n| Scene { connections_per_sender: Some(0.3), ..Scene::new(n, 0.7) };
    for (n, result) in table("0.7 times the limit, connections for three in ten senders", scene) {
        assert!(result.delivered > 10.0 && result.connects_refused < 10.0, "{n} senders: {result:?}");
    }
}

/// Guards against a few senders that hold all connections of a destination, while it refuses the others'.
#[test]
fn when_a_destination_announces_too_many_connections_they_are_shared() {
    let scene = |n| Scene {
        connections_per_sender: Some(16.0 / n as f64),
        connection_refusal: Outcome::TooManyConnections,
        duration: 60 * SEC,
        ..Scene::new(n, 0.7)
    };
    for (n, result) in table("0.7 times the limit, 16 connections, refusals announced", scene) {
        assert!(result.delivered > 21.0, "{n} senders: under half of the demand of 42: {result:?}");
    }
}

#[test]
fn a_recovering_destination_is_not_overloaded_by_senders_that_observed_its_outage() {
    let scene = |n| Scene { outage: Some((6 * SEC, 11 * SEC)), ..Scene::new(n, 0.9) };
    for (n, result) in table("0.9 times the limit, outage from 6 to 11 s and warm-up", scene) {
        assert!(result.peak_load < 1.0 || result.informed_share < 2.0 / 3.0, "{n} senders: {result:?}");
        assert!(result.delivered > 25.0, "{n} senders: {result:?}");
    }
}

#[test]
fn a_mass_restart_during_an_outage_does_not_overload_the_destination() {
    for keeps_state in [false, true] {
        let scene = |n| Scene {
            outage: Some((6 * SEC, 11 * SEC)),
            restart_at: Some(9 * SEC),
            keeps_state,
            ..Scene::new(n, 0.9)
        };
        let name = format!("the same, seven in ten senders restart at 9 s, state kept: {keeps_state}");
        for (n, result) in table(&name, scene) {
            assert!(result.peak_load < 1.0 || result.informed_share < 2.0 / 3.0, "{n} senders: {result:?}");
        }
    }
}

/// An outage and the recovery after it.
#[derive(Clone, Copy, Debug)]
struct Recovery {
    outage_mode: OutageMode,
    /// Duration of the outage in seconds.
    outage_secs: Micros,
    load: f64,
    first_sender_share: f64,
    listed_limit_factor: Option<f64>,
    never_refuses: bool,
}

const OUTAGE_MODES: [OutageMode; 4] =
    [OutageMode::RefusesConnections, OutageMode::Hangs, OutageMode::ReturnsErrors, OutageMode::RefusesCalls];

/// Returns the recoveries that are played: each outage mode with several loads and announced limits.
fn recoveries() -> impl Iterator<Item = Recovery> {
    OUTAGE_MODES.into_iter().flat_map(|outage_mode| {
        [
            Recovery {
                outage_mode,
                outage_secs: 5,
                load: 0.9,
                first_sender_share: 0.0,
                listed_limit_factor: Some(1.0),
                never_refuses: false,
            },
            Recovery {
                outage_mode,
                outage_secs: 5,
                load: 0.9,
                first_sender_share: 0.5,
                listed_limit_factor: Some(1.0),
                never_refuses: false,
            },
            Recovery {
                outage_mode,
                outage_secs: 14,
                load: 1.3,
                first_sender_share: 0.2,
                listed_limit_factor: Some(1.0),
                never_refuses: false,
            },
            Recovery {
                outage_mode,
                outage_secs: 10,
                load: 0.9,
                first_sender_share: 0.2,
                listed_limit_factor: Some(1.5),
                never_refuses: false,
            },
            Recovery {
                outage_mode,
                outage_secs: 10,
                load: 0.9,
                first_sender_share: 0.2,
                listed_limit_factor: None,
                never_refuses: false,
            },
            Recovery {
                outage_mode,
                outage_secs: 4,
                load: 0.87,
                first_sender_share: 0.35,
                listed_limit_factor: Some(1.0),
                never_refuses: true,
            },
        ]
    })
}

/// Plays a recovery with a number of senders and a limit.
fn play_recovery(senders: usize, limit: f64, recovery: Recovery, seed: u64) -> RunResult {
    let outage = Some((6 * SEC, (6 + recovery.outage_secs) * SEC));
    let scene = Scene {
        limit,
        first_sender_share: recovery.first_sender_share,
        outage,
        outage_mode: recovery.outage_mode,
        listed_limit_factor: recovery.listed_limit_factor,
        never_refuses: recovery.never_refuses,
        ..Scene::new(senders, recovery.load)
    };
    play(scene, seed)
}

/// Plays the seeds in parallel on all cores.
fn play_in_parallel(seeds: RangeInclusive<u64>, play: impl Fn(u64) -> RunResult + Sync) -> Vec<RunResult> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let (seeds, play) = (&seeds, &play);
    std::thread::scope(|scope| {
        let part = |core| move || seeds.clone().filter(|s| s % cores == core).map(play).collect::<Vec<_>>();
        let parts: Vec<_> = (0..cores).map(|core| scope.spawn(part(core))).collect();
        parts.into_iter().flat_map(|part| part.join().expect("no run panics")).collect()
    })
}

/// What all senders together send to a recovering destination stays within its budget and a margin for
/// chance, for any number of senders and however uneven their loads. `SEEDS=1000 cargo test --release -p
/// yarrowhill-policy --test fleet budget -- --nocapture` plays more seeds and prints what was delivered.
#[test]
fn the_fleet_stays_within_the_budget_of_a_recovering_destination() {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    for senders in [1, 5, 20, 30, 300] {
        for limit in [3.0, 15.0, 60.0] {
            for recovery in recoveries() {
                let results =
                    play_in_parallel(1..=seeds, |seed| play_recovery(senders, limit, recovery, seed));
                let mean =
                    |metric: fn(&RunResult) -> f64| results.iter().map(metric).sum::<f64>() / seeds as f64;
                let max = |metric: fn(&RunResult) -> f64| {
                    results.iter().map(metric).fold(f64::NEG_INFINITY, f64::max)
                };
                let (informed, worst) =
                    (max(|result| result.excess_calls.0), max(|result| result.excess_calls.1));
                println!(
                    "{senders:3} senders, limit {limit:4.1}, {recovery:?}: at most {informed:6.1} calls \
                     over the budget, {worst:6.1} with uninformed senders; mean peak load {:.2}, {:.3} of \
                     the limit delivered",
                    mean(|result| result.peak_load),
                    mean(|result| result.delivered) / limit
                );
                assert!(
                    informed <= 0.0,
                    "{senders} senders, limit {limit}, {recovery:?}: {informed:.1} calls over the budget"
                );
            }
        }
    }
}

/// The runs beyond the margin of the test above that are known do not make the destination fall: one of 30
/// senders, found with a thousand seeds, is 0.1 calls over, and what three hundred send that could not know of
/// the outage does not come from those that had observed it.
#[test]
fn the_known_runs_over_the_margin_do_not_make_the_destination_fall() {
    for (senders, limit, seeds) in [(30, 3.0, 371..=371), (300, 15.0, 1..=4)] {
        let (mut over, mut informed) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        for recovery in recoveries() {
            for result in
                play_in_parallel(seeds.clone(), |seed| play_recovery(senders, limit, recovery, seed))
            {
                over = over.max(result.excess_calls.1);
                informed = informed.max(result.calls_beyond_its_fall.0);
            }
        }
        println!("{senders} senders: {over:.1} calls over the margin, {informed:.1} beyond a fall");
        assert!(over > 0.0, "{senders} senders: the run is no longer over the margin");
        assert!(informed <= 0.0, "{senders} senders: {informed:.1} calls beyond the fall");
    }
}

/// In this model, at a destination without an announced limit, refused connections of one wave were counted
/// one by one, no probe was made for up to eighteen seconds, and forty-five calls were sent in one turn.
#[test]
fn a_single_sender_does_not_send_its_backlog_at_once_to_a_recovering_destination() {
    let recovery = Recovery {
        outage_mode: OutageMode::RefusesConnections,
        outage_secs: 10,
        load: 0.9,
        first_sender_share: 0.2,
        listed_limit_factor: None,
        never_refuses: false,
    };
    for seed in 1..=40 {
        let result = play_recovery(1, 15.0, recovery, seed);
        assert!(
            result.excess_calls.0 <= 0.0,
            "seed {seed}: {:.1} calls over the budget",
            result.excess_calls.0
        );
    }
}

/// Found with a thousand seeds: after refused connections of a few waves, no connection was attempted until
/// the end of an outage of four seconds. The outage was not detected, and the backlog was sent at the usual
/// rate.
#[test]
fn an_outage_of_refused_connections_is_detected() {
    let recovery = Recovery {
        outage_mode: OutageMode::RefusesConnections,
        outage_secs: 4,
        load: 0.87,
        first_sender_share: 0.35,
        listed_limit_factor: Some(1.0),
        never_refuses: true,
    };
    for seed in [114, 115, 454, 455] {
        let result = play_recovery(1, 15.0, recovery, seed);
        assert!(
            result.excess_calls.0 <= 0.0,
            "seed {seed}: {:.1} calls over the budget",
            result.excess_calls.0
        );
    }
}

/// When the next call of each sender followed its probe at once, thirty senders that recovered together sent
/// twice as many calls as intended. The next call now falls at a random point of the gap after the probe.
#[test]
fn senders_whose_probes_succeed_together_do_not_send_a_burst() {
    let peak_load = |recovery| {
        play_in_parallel(1..=20, move |seed| play_recovery(30, 15.0, recovery, seed))
            .into_iter()
            .map(|result| result.peak_load)
    };
    let all: Vec<f64> = recoveries().flat_map(peak_load).collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    println!("30 senders, limit 15: mean peak load {mean:.3} over {} runs", all.len());
    assert!(mean < 0.66, "mean peak load {mean:.3}");
}

/// Checks the model with a planted fault: when each sender uses the full budget, the excess is detected with
/// every number of senders.
#[test]
fn senders_that_each_use_the_full_budget_are_detected() {
    for senders in [20, 30, 300] {
        let (outage_mode, outage) = (OutageMode::ReturnsErrors, Some((6 * SEC, 11 * SEC)));
        let scene = Scene {
            outage_mode,
            outage,
            first_sender_share: 0.2,
            never_refuses: true,
            each_assumes_alone: true,
            ..Scene::new(senders, 0.9)
        };
        let worst = (1..=3).map(|seed| play(scene, seed).excess_calls.0).fold(f64::NEG_INFINITY, f64::max);
        assert!(worst > 0.0, "{senders} senders: {worst:.1} calls over the budget");
    }
}

/// Plays outages in which most calls fail and the others are delivered, at a destination that refuses nothing
/// while it is cold. Returns the senders, limit, share of failed calls, seconds and calls beyond the fall of
/// each setting in which it falls. `SEEDS` sets the number of seeds.
fn falls_after_intermittent_failures(
    listed_limit_factor: Option<f64>,
) -> Vec<(usize, f64, f64, Micros, f64)> {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(2);
    let mut falls = Vec::new();
    for (senders, limit) in
        [1, 2, 5, 20, 30, 300].into_iter().flat_map(|n| [3.0, 15.0, 35.0, 60.0].map(|limit| (n, limit)))
    {
        for (failed_share, outage_secs) in [0.52, 0.7, 0.9].into_iter().flat_map(|s| [(s, 8), (s, 15)]) {
            let recovery = Recovery {
                outage_mode: OutageMode::FailsShare(failed_share),
                outage_secs,
                load: 0.9,
                first_sender_share: 0.2,
                listed_limit_factor,
                never_refuses: true,
            };
            let results = play_in_parallel(1..=seeds, |seed| play_recovery(senders, limit, recovery, seed));
            let calls_beyond = results.iter().map(|result| result.calls_beyond_its_fall.0);
            let worst = calls_beyond.fold(f64::NEG_INFINITY, f64::max);
            let delivered = results.iter().map(|result| result.delivered).sum::<f64>() / seeds as f64;
            println!(
                "{senders:3} senders, limit {limit:4.1}, {failed_share:.2} of the calls fail for \
                 {outage_secs} s: {worst:6.1} calls beyond the fall, {:.3} of the limit delivered",
                delivered / limit
            );
            if worst > 0.0 {
                falls.push((senders, limit, failed_share, outage_secs, worst));
            }
        }
    }
    falls
}

/// Guards against a destination that fails most of its calls, delivers the others, and is overloaded when it
/// returns cold: deliveries hid the outage, or counted as its end, so that senders were back at their usual rate
/// when it was over.
#[test]
fn a_destination_that_failed_most_of_its_calls_is_not_overloaded_when_it_returns() {
    let falls = falls_after_intermittent_failures(Some(1.0));
    assert!(falls.is_empty(), "{falls:?}");
}

/// The same where no limit is announced: the growth during the warm-up, which deliveries at the usual latency
/// allow, exceeds the budget. Listed in KNOWN-RED.txt.
#[test]
fn without_a_limit_a_destination_that_failed_most_of_its_calls_is_not_overloaded() {
    let falls = falls_after_intermittent_failures(None);
    assert!(falls.is_empty(), "{falls:?}");
}
