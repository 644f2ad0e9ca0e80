//! Twenty forwarders and a destination that recovers cold: their total traffic, measured at the destination.

mod support;

use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{Discovery, Forwarder, Stub, request, target};
use tokio::time::interval;

const FORWARDERS: usize = 20;
/// Limit of the destination for all forwarders together, as in the list (calls per second).
const LIMIT: f64 = 20.0;
/// Multiple of its capacity at which the destination fails, if it receives more than that over the window.
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// Window of the overload.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);
/// Fraction of its capacity that the destination has at its recovery.
const INITIAL_FRACTION: f64 = 0.17;
/// Time from its recovery to its full capacity (s).
const WARM_UP_SECS: f64 = 13.0;
/// Time during which it serves calls before the outage.
const BEFORE_OUTAGE: Duration = Duration::from_secs(4);
/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(4);
/// Time during which the calls after its recovery are recorded.
const AFTER_RECOVERY: Duration = Duration::from_secs(7);

/// Returns the maximum number of calls above the budget and an allowance for chance, over all windows after
/// the recovery.
fn max_excess(recovered_at: Instant, calls: &[Instant]) -> f64 {
    let excesses = calls.iter().enumerate().map(|(n, from)| {
        let count = calls[n..].iter().take_while(|at| **at - *from < OVERLOAD_WINDOW).count() as f64;
        let progress = ((*from - recovered_at + OVERLOAD_WINDOW / 2).as_secs_f64() / WARM_UP_SECS).min(1.0);
        let fraction = INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * progress;
        let budget = OVERLOAD_MULTIPLE * LIMIT * fraction * OVERLOAD_WINDOW.as_secs_f64();
        count - (budget + 2.0 * budget.sqrt() + 2.0)
    });
    excesses.fold(f64::NEG_INFINITY, f64::max)
}

/// Runs the outage with forwarders whose configured number of peers is `peers_total`. Returns the maximum
/// excess and the number of calls after the recovery.
async fn run_outage(peers_total: usize) -> (f64, usize) {
    let mut stub = Stub::start().await;
    let mut known = target("t", stub.addr, 7, "plain", "in_service");
    known["capacity_hint"] = json!(LIMIT);
    let (mut fleet, mut agents) = (Vec::new(), Vec::new());
    for _ in 0..FORWARDERS {
        // Each forwarder has a discovery agent on its own machine.
        let discovery = Discovery::start().await;
        let settings = |c: &mut Value| c["settings"]["peersTotal"] = json!(peers_total);
        fleet.push(Forwarder::start(&discovery, std::slice::from_ref(&known), settings).await);
        agents.push(discovery);
    }
    // The load is uneven: the first forwarder has a third of the traffic, each further one less than the one
    // before.
    let clients: Vec<_> = fleet
        .iter()
        .enumerate()
        .map(|(n, forwarder)| {
            let rate = if n == 0 { 6.0 } else { 1.1 - 0.05 * n as f64 };
            let addr = forwarder.addr;
            tokio::spawn(async move {
                let mut timer = interval(Duration::from_secs_f64(1.0 / rate));
                for id in 0.. {
                    timer.tick().await;
                    let (id, key) = (format!("{n}-{id}"), format!("key-{n}-{id}"));
                    tokio::spawn(async move {
                        let headers = [
                            ("Req-Id", &*id),
                            ("Req-Owner", "acme"),
                            ("Req-Deadline-Ms", "20000"),
                            ("Idempotency-Key", &key),
                            ("Envelope", "dest=7"),
                        ];
                        request(addr, "POST", "/keyed", &headers, b"x").await
                    });
                }
            })
        })
        .collect();
    let fails_at = Instant::now() + BEFORE_OUTAGE;
    let recovers_at = fails_at + OUTAGE;
    let end = recovers_at + AFTER_RECOVERY;
    let mut calls = Vec::new();
    while Instant::now() < end {
        let Some(call) = stub.next_within(end - Instant::now()).await else { break };
        let at = Instant::now();
        if at < fails_at || at >= recovers_at {
            call.answer(200);
        } else {
            call.answer(500);
        }
        if at >= recovers_at {
            calls.push(at);
        }
    }
    clients.iter().for_each(|client| client.abort());
    drop((fleet, agents));
    (max_excess(recovers_at, &calls), calls.len())
}

#[tokio::test]
async fn twenty_forwarders_stay_within_the_budget_of_a_recovering_destination() {
    let (excess, calls) = run_outage(FORWARDERS).await;
    // The destination gets calls again, but not so many that it fails.
    assert!(calls > 10 && excess <= 0.0, "excess {excess:.1}, {calls} calls");
}

/// Checks the measurement: if each forwarder assumes that it is the only one, the excess is detected.
#[tokio::test]
async fn detects_twenty_forwarders_that_each_use_the_full_budget() {
    let (excess, calls) = run_outage(1).await;
    assert!(excess > 0.0, "excess {excess:.1}, {calls} calls");
}
