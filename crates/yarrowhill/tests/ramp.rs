//! Twenty processes and a destination that comes back cold: what they send together, judged at the destination alone.

mod support;

use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{Discovery, Forwarder, Stub, request, target};
use tokio::time::interval;

const PROCESSES: usize = 20;
/// Calls a second that the destination takes from all together, as the list tells.
const LIMIT: f64 = 20.0;
/// Sent more than this multiple of what it can do, over so long, it falls; it begins with this part of all it can do,
/// and has all of it after so long.
const MULTIPLE: f64 = 2.0;
const OVER: Duration = Duration::from_secs(3);
const START: f64 = 0.17;
const WARM: f64 = 13.0;
/// How long it serves, is down, and is watched after its return.
const SERVES: Duration = Duration::from_secs(4);
const DOWN: Duration = Duration::from_secs(4);
const WATCHED: Duration = Duration::from_secs(7);

/// The most calls beyond the budget, and what is put down to chance, in any span after the return.
fn excess(returned: Instant, calls: &[Instant]) -> f64 {
    let spans = calls.iter().enumerate().map(|(n, from)| {
        let came = calls[n..].iter().take_while(|at| **at - *from < OVER).count() as f64;
        let warm = ((*from - returned + OVER / 2).as_secs_f64() / WARM).min(1.0);
        let budget = MULTIPLE * LIMIT * (START + (1.0 - START) * warm) * OVER.as_secs_f64();
        came - (budget + 2.0 * budget.sqrt() + 2.0)
    });
    spans.fold(f64::NEG_INFINITY, f64::max)
}

/// Plays it with processes that are told so many of them; gives the excess, and the calls after the return.
async fn played(told: usize) -> (f64, usize) {
    let mut stub = Stub::start().await;
    let mut known = target("t", stub.addr, 7, "plain", "in_service");
    known["capacity_hint"] = json!(LIMIT);
    let (mut fleet, mut agents) = (Vec::new(), Vec::new());
    for _ in 0..PROCESSES {
        // Each has an agent of its own machine.
        let discovery = Discovery::start().await;
        let settings = |c: &mut Value| c["settings"]["peersTotal"] = json!(told);
        fleet.push(Forwarder::start(&discovery, std::slice::from_ref(&known), settings).await);
        agents.push(discovery);
    }
    // Uneven loads: the first has a third of the traffic, the rest have less and less.
    let clients: Vec<_> = fleet
        .iter()
        .enumerate()
        .map(|(n, forwarder)| {
            let rate = if n == 0 { 6.0 } else { 1.1 - 0.05 * n as f64 };
            let at = forwarder.addr;
            tokio::spawn(async move {
                let mut due = interval(Duration::from_secs_f64(1.0 / rate));
                for id in 0.. {
                    due.tick().await;
                    let (id, key) = (format!("{n}-{id}"), format!("key-{n}-{id}"));
                    tokio::spawn(async move {
                        let headers = [
                            ("Req-Id", &*id),
                            ("Req-Owner", "acme"),
                            ("Req-Deadline-Ms", "20000"),
                            ("Idempotency-Key", &key),
                            ("Envelope", "dest=7"),
                        ];
                        request(at, "POST", "/keyed", &headers, b"x").await
                    });
                }
            })
        })
        .collect();
    let begun = Instant::now();
    let (fails, returns, ends) = (begun + SERVES, begun + SERVES + DOWN, begun + SERVES + DOWN + WATCHED);
    let mut calls = Vec::new();
    while Instant::now() < ends {
        let Some(call) = stub.next_within(ends - Instant::now()).await else { break };
        let at = Instant::now();
        if at < fails || at >= returns {
            call.answer(200);
        } else {
            call.answer(500);
        }
        if at >= returns {
            calls.push(at);
        }
    }
    clients.iter().for_each(|client| client.abort());
    drop((fleet, agents));
    (excess(returns, &calls), calls.len())
}

#[tokio::test]
async fn twenty_processes_keep_to_the_budget_of_a_cold_destination() {
    let (excess, calls) = played(PROCESSES).await;
    // It is used again, and not pushed over.
    assert!(calls > 10 && excess <= 0.0, "{excess:.1} over, {calls} calls");
}

/// The same where each takes the whole budget for its own: the judge sees it.
#[tokio::test]
async fn twenty_processes_that_each_take_the_whole_budget_are_seen() {
    let (excess, calls) = played(1).await;
    assert!(excess > 0.0, "{excess:.1} over, {calls} calls");
}
