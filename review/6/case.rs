//! Bad clients stop in the middle of a request and stay. Their bodies come in segments, as over a network.

use standins::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Memory limit of the forwarder (LATER, "Score": 32 to 192 MB by language and day).
const MEMORY_MB: u64 = 32;
/// Number of bad clients at a time. Clients hold a third of the 1,024 descriptors at most for requests.
const BAD_CLIENTS: u64 = 100;
/// Length of the body that they name, the longest that the protocol allows. They send all but its last segment.
const BODY_BYTES: usize = 64 << 10;
/// Length of a segment: TCP's default maximum over IPv4 (RFC 9293, 3.7.1).
const SEGMENT_BYTES: usize = 536;
/// Time between two segments.
const SEGMENT_GAP: Duration = Duration::from_micros(3000);

/// Sends a part of a request, stays until it is answered or closed, and returns what came back.
fn send_part(addr: std::net::SocketAddr, id: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(5000)))?;
    let head = format!(
        "POST /auth-notice HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Owner: vidzemes-stacijas\r\n\
         Req-Deadline-Ms: 28000\r\nIdempotency-Key: key-{id}\r\nContent-Length: {BODY_BYTES}\r\nEnvelope: dest=7\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let begin = Instant::now();
    for segment in 0..(BODY_BYTES / SEGMENT_BYTES) as u32 {
        stream.write_all(&[b'x'; SEGMENT_BYTES])?;
        thread::sleep((begin + SEGMENT_GAP * (segment + 1)).saturating_duration_since(Instant::now()));
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    Ok(String::from_utf8_lossy(&answer).lines().next().unwrap_or("closed").to_owned())
}

fn main() {
    let record = Record::open();
    watchdog(ms(110_000));
    let log = record.clone();
    let addr = listen(move |stream| {
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        while let Ok(Some(request)) = read_request(&mut reader) {
            log.line_at(request.last_byte, format!("call {}", request.header("Req-Id")));
            thread::sleep(ms(60));
            let written = answer(&stream, 200, &[("Srv-Load", "x0=0.8,x1=40")], "");
            log.line(format!("answer {}: 200 {written:?}", request.header("Req-Id")));
            if written.is_err() {
                return;
            }
        }
    });
    let target = Target { uid: "s-5be2a07c".to_owned(), addr, dest: 7, kind: "small-partner", zone: "hall-a", state: "in_service", hint: 40.0 };
    let platform = Platform::start(&record, &[target]);
    let limits = format!("{{\"cores\":1.0,\"memory_mb\":{MEMORY_MB},\"sockets\":1024,\"disk_mb\":3}}");
    let mut forwarder = Forwarder::start(&record, &platform, &riga(2, 15, 315), &limits);
    let load = Load::start(&record, forwarder.addr, 10.0, |n| Message {
        id: format!("{:016x}", 0x9b1f_0000 + n),
        class: "auth-notice",
        owner: "vidzemes-stacijas",
        dest: 7,
        deadline_ms: 28_000,
    });
    let (before, _) = forwarder.watch_memory(&record, MEMORY_MB, ms(4000));
    if !is_calm() {
        for client in 0..BAD_CLIENTS {
            let (addr, record): (_, Arc<Record>) = (forwarder.addr, record.clone());
            thread::spawn(move || {
                for n in 0..5 {
                    let id = format!("{:016x}", 0xbad0_0000 + client * 100 + n);
                    record.line(format!("bad client {id}: a head that names {BODY_BYTES} bytes, then its body in segments"));
                    let came = send_part(addr, &id);
                    record.line(format!("bad client {id}: {came:?}"));
                }
            });
        }
    }
    let (most, was_killed) = forwarder.watch_memory(&record, MEMORY_MB, ms(10_000));
    drop(load.stop());
    let mb = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    record.line(format!("at most {:.1} MB before, and {:.1} MB then, of {MEMORY_MB} MB", mb(before), mb(most)));
    say(&format!("at most {:.1} MB of {MEMORY_MB} MB", mb(most)));
    let mut broken = Vec::new();
    if was_killed {
        broken.push(format!("the forwarder held {:.1} MB, and was killed for memory", mb(most)));
    } else if forwarder.has_ended() {
        broken.push("the forwarder has ended by itself".to_owned());
    }
    finish(&record, forwarder, &broken)
}
