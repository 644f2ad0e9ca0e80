//! The real program beside a discovery that takes longer for each answer than the program waits for one.

mod support;

use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Call, Discovery, Forwarder, Stub, target};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time that each answer with a list takes once discovery is slow.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(1500);
/// Time after a change of the list from which no call may go to an endpoint that drains by it: 6 s after which it
/// counts as told, and the grace period of 2 s.
const DRAINED_AFTER: Duration = Duration::from_secs(8);
/// Time between two messages.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);

/// State of discovery.
#[derive(Clone, Copy)]
struct DiscoveryState {
    answer_time: Duration,
    /// State of the endpoint that drains later on.
    endpoint: &'static str,
}

impl DiscoveryState {
    fn version(self) -> u64 {
        if self.endpoint == "in_service" { 1 } else { 2 }
    }
}

/// Starts a discovery that answers with the list of two endpoints of destination 7. Returns its address.
async fn discovery(
    draining: SocketAddr,
    other: SocketAddr,
    state: watch::Receiver<DiscoveryState>,
) -> SocketAddr {
    let mut stub = Stub::start().await;
    let address = stub.addr;
    tokio::spawn(async move {
        while let Some(call) = stub.next_within(Duration::from_secs(60)).await {
            tokio::spawn(answer_list(call, draining, other, state.clone()));
        }
    });
    address
}

/// Waits as the request asks, then for the answer time, and answers with the list.
async fn answer_list(
    call: Call,
    draining: SocketAddr,
    other: SocketAddr,
    mut state: watch::Receiver<DiscoveryState>,
) {
    let number = |name: &str| call.path.split(name).nth(1)?.split('&').next()?.parse::<u64>().ok();
    let (index, wait) = (number("index="), Duration::from_millis(number("wait=").unwrap_or(0)));
    let _ = timeout(wait, state.wait_for(|state| index.is_none_or(|index| state.version() > index))).await;
    let answer_time = state.borrow().answer_time;
    sleep(answer_time).await;
    let state = *state.borrow();
    let entries = [("t", draining, state.endpoint), ("u", other, "in_service")];
    let targets = entries.map(|(uid, address, state)| target(uid, address, 7, "plain", state));
    call.answer_with(200, &[], &json!({"rev": state.version(), "all": true, "targets": targets}).to_string());
}

/// Answers all calls to an endpoint; the watched value is the time of the last one.
fn serve_calls(mut endpoint: Stub) -> watch::Receiver<Option<Instant>> {
    let (last, last_call) = watch::channel(None);
    tokio::spawn(async move {
        while let Some(call) = endpoint.next_within(Duration::from_secs(60)).await {
            last.send_replace(Some(Instant::now()));
            call.answer(200);
        }
    });
    last_call
}

/// Guards against calls to a drained endpoint for as long as discovery is slow, also after a restart meanwhile, and
/// against a restarted process that sends nothing.
#[tokio::test]
async fn obeys_a_drain_and_sends_while_each_answer_of_discovery_is_late() {
    let (draining, other) = (Stub::start().await, Stub::start().await);
    let known = [("t", draining.addr), ("u", other.addr)]
        .map(|(uid, addr)| target(uid, addr, 7, "plain", "in_service"));
    let calm = DiscoveryState { answer_time: Duration::ZERO, endpoint: "in_service" };
    let (state, watched_state) = watch::channel(calm);
    let discovery = discovery(draining.addr, other.addr, watched_state).await;
    // Notices have a discovery of their own in the tests; none are expected here.
    let unused = Discovery::start().await;
    let (calls_to_draining, calls_to_other) = (serve_calls(draining), serve_calls(other));
    let mut forwarder =
        Forwarder::start(&unused, &known, |c| c["discovery"] = json!(discovery.to_string())).await;
    let mut number = 0;
    let mut submit_until = async |forwarder: &Forwarder, until: Instant| {
        while Instant::now() < until {
            number += 1;
            assert_eq!(forwarder.submit("keyed", &format!("m{number}"), 20_000).await.status(), 202);
            sleep(MESSAGE_INTERVAL).await;
        }
    };
    submit_until(&forwarder, Instant::now() + Duration::from_secs(1)).await;
    state.send_modify(|state| state.answer_time = SLOW_ANSWER_TIME);
    submit_until(&forwarder, Instant::now() + Duration::from_secs(4)).await;
    assert!(calls_to_draining.borrow().is_some(), "the endpoint gets calls before its drain");

    state.send_modify(|state| state.endpoint = "terminating");
    let drained_at = Instant::now() + DRAINED_AFTER;
    submit_until(&forwarder, drained_at + Duration::from_secs(2)).await;
    let last_call = calls_to_draining.borrow().expect("there was a call");
    assert!(last_call < drained_at, "called {:?} too late", last_call - drained_at);

    forwarder.kill();
    forwarder.restart().await;
    let restarted_at = Instant::now();
    submit_until(&forwarder, restarted_at + Duration::from_secs(1)).await;
    let mut calls_to_other = calls_to_other;
    let sends = calls_to_other.wait_for(|last| last.is_some_and(|at| at > restarted_at));
    timeout(DRAINED_AFTER, sends).await.expect("the new process sends").expect("the endpoint runs");
    sleep_until(restarted_at + Duration::from_secs(3)).await;
    assert!(calls_to_draining.borrow().expect("as before") < drained_at, "called after the restart");
}
