//! Discovery is slow: each answer comes 1.5 s late. An endpoint is drained meanwhile.

use standins::*;
use std::io::BufReader;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Latest time, after discovery had a change, at which it counts as told (PROTOCOL, "Figures").
const TOLD_AFTER_MS: u64 = 6000;
/// Grace period of the site, and what each time limit is longer on sockets.
const GRACE_MS: u64 = 2000 + 50;

fn main() {
    let record = Record::open();
    watchdog(ms(110_000));
    // When the first byte of each call came, by endpoint.
    let calls: Arc<Mutex<Vec<(Instant, &str, String)>>> = Arc::default();
    let endpoint = |name: &'static str| {
        let (calls, record) = (calls.clone(), record.clone());
        let addr = listen(move |stream| {
            let Ok(read) = stream.try_clone() else { return };
            let mut reader = BufReader::new(read);
            while let Ok(Some(request)) = read_request(&mut reader) {
                let id = request.header("Req-Id").to_owned();
                record.line_at(request.first_byte, format!("call at {name}: {id}"));
                calls.lock().expect("not poisoned").push((request.first_byte, name, id));
                thread::sleep(ms(60));
                let written = answer(&stream, 200, &[("Srv-Load", "x0=0.8,x1=40")], "");
                record.line(format!("answer of {name}: {} 200 {written:?}", request.header("Req-Id")));
                if written.is_err() {
                    return;
                }
            }
        });
        Target { uid: format!("s-{name}"), addr, dest: 7, kind: "small-partner", zone: "hall-a", state: "in_service", hint: 40.0 }
    };
    let (one, two) = (endpoint("one"), endpoint("two"));
    let platform = Platform::start(&record, &[one.clone(), two.clone()]);
    let mut forwarder = Forwarder::start(&record, &platform, &riga(2, 15, 315), LIMITS);
    let load = Load::start(&record, forwarder.addr, 20.0, |n| Message {
        id: format!("{:016x}", 0x9b1f_0000 + n),
        class: "auth-notice",
        owner: "vidzemes-stacijas",
        dest: 7,
        deadline_ms: 28_000,
    });
    thread::sleep(ms(5000));
    if !is_calm() {
        platform.set_delay(ms(1500));
    }
    thread::sleep(ms(6000));
    let drained_at = platform.push(&[Target { state: "terminating", ..one.clone() }]);
    thread::sleep(ms(25_000));
    load.stop();
    let mut broken = Vec::new();
    if forwarder.has_ended() {
        broken.push("the forwarder has ended by itself".to_owned());
    }
    let calls = calls.lock().expect("not poisoned");
    let (at_one, latest) = (calls.iter().filter(|c| c.1 == "one").count(), drained_at + ms(TOLD_AFTER_MS + GRACE_MS));
    let late: Vec<_> = calls.iter().filter(|c| c.1 == "one" && c.0 > latest).collect();
    record.line(format!("{} calls, {at_one} at the drained endpoint, {} of them too late", calls.len(), late.len()));
    if at_one == 0 {
        cannot_run("no call went to the endpoint that is drained");
    }
    for (at, name, id) in late.iter().take(5) {
        broken.push(format!("call {id} went to {name} {:.3} s after discovery had its drain", (*at - drained_at).as_secs_f64()));
    }
    drop(late);
    finish(&record, forwarder, &broken)
}
