//! A planned restart; while the process is down, the partner's endpoint is replaced, and another partner's new endpoint
//! starts at the address of the one that has gone; then discovery is down for 8 s.

#[path = "../standin.rs"]
mod standin;

use standin::*;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The partner whose orders are handed in, and the other one.
const ISSUER: u64 = 7;
const OTHER: u64 = 9;
/// Grace after the forwarder was told (BRIEF), longer by the 50 ms of the protocol page.
const GRACE_MS: f64 = 2000.0 + 50.0;
/// Discovery is down for so long (FLEET, `herd+mass`).
const SILENCE_MS: f64 = 8000.0;
/// SIGKILL follows SIGTERM after 3.7 s, and the next start 0.6 s after that (PROTOCOL).
const RESTART_MS: f64 = 3700.0 + 600.0;

/// A call: uid of the endpoint, message, time of its first byte as far as the endpoint sees it.
type Calls = Arc<Mutex<Vec<(String, String, f64)>>>;

/// An endpoint. It answers 200 to messages of its own destination, and 400 to others.
fn endpoint(
    at: SocketAddr,
    uid: &'static str,
    is_own: bool,
    calls: Calls,
    stop: Arc<AtomicBool>,
) -> SocketAddr {
    let stopped = stop.clone();
    listen(at, stop, move |mut stream: TcpStream| {
        let mut unread = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut unread) {
            // A batch names several messages; here one is handed in at a time.
            let id = match request.header("req-id") {
                "" => String::from_utf8_lossy(&request.body)
                    .split("\"id\":\"")
                    .nth(1)
                    .unwrap_or("")
                    .chars()
                    .take(16)
                    .collect(),
                id => id.to_owned(),
            };
            let at = record(&format!("call at {uid}: {id}"));
            calls.lock().unwrap().push((uid.to_owned(), id.clone(), at));
            sleep_ms(100.0);
            if stopped.load(Ordering::Relaxed) {
                return;
            }
            let status = if is_own { "200 OK" } else { "400 Bad Request" };
            record(&format!("answer of {uid} to {id}: {status}"));
            if !answer(&mut stream, status, "Srv-Load: x0=0.90,x1=20.0\r\n", "") {
                return;
            }
        }
    })
}

fn settings() -> String {
    r#"{"me":0,"peersTotal":2,"classes":[
    {"name":"auth-notice","idempotency":"token","dedupScope":"all","keyTtl":15000.0,"goalTime":3000.0,"deadline":28000.0,"worth":1.0,"lateShare":0.5,"streamed":false},
    {"name":"settle-order","idempotency":"side_effect","dedupScope":"all","keyTtl":5000.0,"goalTime":3000.0,"deadline":16000.0,"worth":1.0,"lateShare":0.3,"streamed":false}],
    "kinds":["card-issuer","small-partner"],"zone":"hall-a","zones":["hall-a","hall-b"],"round":5.0,"weights":"rough","discovery":"push",
    "realms":[{"name":"vidzemes-stacijas","quotaRps":15.0,"share":1.0}],"overShareWorth":0.1,"report":{"how":"inline","fields":["x0","x1"]},
    "familyInfo":{"batchByKind":[1,1],"kindApart":[false,false],"slots":15,"decay":"halves"},
    "limits":{"maxAttempts":6,"openCap":315,"connectTimeout":1000.0,"idleClose":5000.0,"retryAfter":true,"maxRetryAfter":3000.0,"cancel":true,"mayDuplicate":true,"probes":true,"peers":true,"maxStreams":1},
    "guarantees":{"fallMultiple":2.0,"overloadFor":3000.0,"startCapacity":0.17,"warmAfter":13000.0,"stopSendingWithin":2000.0,"graceToAnswer":20.0}}"#
        .to_owned()
}

fn main() {
    let root = std::env::current_dir().expect("a folder");
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    open_record(&folder.join("record.txt"));
    let temporary = temporary_folder();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (calls, gone, running) =
        (Calls::default(), Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let old = endpoint(any, "s-7a", true, calls.clone(), gone.clone());
    let new = endpoint(any, "s-7b", true, calls.clone(), running.clone());
    let other = endpoint(any, "s-9a", false, calls.clone(), running.clone());
    let line = |uid: &str, at, dest| Line { hint: 20.0, ..Line::new(uid, at, dest, "card-issuer", "hall-a") };
    let agent = Agent::start("n0", vec![line("s-7a", old, ISSUER), line("s-9a", other, OTHER)]);
    let mut forwarder = Forwarder::new("n0", &root, &temporary.join("n0"));
    let (rev, last_had) = agent.list();
    let known = list_json(rev, true, &last_had);
    forwarder.configure(agent.address, &known, &settings());
    if !forwarder.start() {
        println!("the forwarder does not become ready");
        drop(forwarder);
        exit(2);
    }
    let clients = Clients::new(forwarder.address, "a");
    let order = || clients.hand_in("settle-order", "vidzemes-stacijas", ISSUER, 16_000);
    for _ in 0..4 {
        order();
        sleep_ms(400.0);
    }
    sleep_ms(1000.0);
    let before = calls.lock().unwrap().len();
    // The planned restart. All messages have been delivered by now, so that the process ends early.
    let term = now();
    forwarder.terminate();
    let ended = now();
    let list = |lines: Vec<Line>| agent.change(lines);
    let state = |line: Line, state: &str| Line { state: state.to_owned(), ..line };
    sleep_until(ended + 100.0);
    list(vec![state(line("s-7a", old, ISSUER), "terminating"), line("s-7b", new, ISSUER)]);
    sleep_ms(900.0);
    gone.store(true, Ordering::Relaxed);
    sleep_ms(300.0);
    endpoint(old, "s-9b", false, calls.clone(), running.clone());
    list(vec![state(line("s-7a", old, ISSUER), "terminated"), line("s-9b", old, OTHER)]);
    sleep_until((term + RESTART_MS - 200.0).max(now() + 50.0));
    if trouble() {
        agent.set_silent(true);
    }
    let silent_from = now();
    sleep_until(term + RESTART_MS);
    // The list as this forwarder last had it.
    forwarder.configure(agent.address, &known, &settings());
    let started = now();
    if !forwarder.start() {
        println!("the forwarder does not become ready again");
        drop(forwarder);
        exit(2);
    }
    sleep_until(started + GRACE_MS + 500.0);
    let mut orders = Vec::new();
    for _ in 0..4 {
        orders.push(order());
        sleep_ms(300.0);
    }
    sleep_until(silent_from + SILENCE_MS);
    agent.set_silent(false);
    sleep_ms(5000.0);
    let has_crashed = forwarder.has_crashed();
    let calls = calls.lock().unwrap();
    let wrong: Vec<&(String, String, f64)> = calls
        .iter()
        .filter(|(uid, id, at)| uid == "s-9b" && orders.contains(id) && *at > started + GRACE_MS)
        .collect();
    let right = calls.iter().filter(|(uid, id, _)| uid == "s-7b" && orders.contains(id)).count();
    let notices = agent.notices.lock().unwrap();
    let summary = format!(
        "orders delivered by s-7a before the restart {before}; of {} orders after it: calls at s-7b {right}, calls at the address of the gone s-7a {}, notices {:?}; crashed {has_crashed}",
        orders.len(),
        wrong.len(),
        notices.iter().map(|(_, outcome, _)| outcome).collect::<Vec<_>>()
    );
    record(&summary);
    let verdict = match wrong.first() {
        Some((uid, id, at)) => format!(
            "BROKEN: {id} for destination {ISSUER} was sent to s-7a, gone, {:.0} ms after the new process began, and reached {uid} of destination {OTHER}",
            at - started
        ),
        None => "held: nothing was sent to the endpoint that is gone".to_owned(),
    };
    record(&verdict);
    println!("{summary}\n{verdict}");
    let is_broken = !wrong.is_empty() || has_crashed;
    let could_run = before == 4 && (is_broken || right > 0);
    drop((calls, notices, forwarder));
    let _ = std::fs::remove_dir_all(&temporary);
    exit(if !could_run { 2 } else { i32::from(is_broken) });
}
