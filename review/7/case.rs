//! A target's answers are said to have 3 GB and keep coming, in small pieces.

use standins::*;
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Memory limit of the forwarder (LATER, "Score": 32 to 192 MB by language and day).
const MEMORY_MB: u64 = 32;
/// Every so many answers of the target one is spoilt.
const SPOILT_EVERY: u64 = 3;
/// Length of the pieces in which a spoilt answer is written.
const PIECE_BYTES: usize = 16;
/// Time between two pieces.
const PIECE_GAP: Duration = Duration::from_micros(250);

fn main() {
    let record = Record::open();
    watchdog(ms(110_000));
    let (log, count) = (record.clone(), Arc::new(AtomicU64::new(0)));
    let addr = listen(move |mut stream| {
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let n = count.fetch_add(1, Ordering::SeqCst);
            thread::sleep(ms(60));
            let is_spoilt = !is_calm() && n > 60 && n % SPOILT_EVERY == 0;
            log.line_at(request.last_byte, format!("call {}", request.header("Req-Id")));
            log.line(format!("answer {}: 200, spoilt: {is_spoilt}", request.header("Req-Id")));
            if is_spoilt {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
                // Until the forwarder has closed the connection.
                let (mut written, begin) = (0, Instant::now());
                while written < 3_000_000_000 && stream.write_all(&[b'x'; PIECE_BYTES]).is_ok() {
                    written += PIECE_BYTES;
                    let next = begin + PIECE_GAP * (written / PIECE_BYTES) as u32;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
                log.line(format!("{written} bytes of a body written"));
                return;
            }
            if answer(&stream, 200, &[("Srv-Load", "x0=0.8,x1=120")], "").is_err() {
                return;
            }
        }
    });
    let target = Target { uid: "s-5be2a07c".to_owned(), addr, dest: 7, kind: "small-partner", zone: "hall-a", state: "in_service", hint: 120.0 };
    let platform = Platform::start(&record, &[target]);
    let limits = format!("{{\"cores\":1.0,\"memory_mb\":{MEMORY_MB},\"sockets\":1024,\"disk_mb\":3}}");
    let mut forwarder = Forwarder::start(&record, &platform, &riga(2, 40, 600), &limits);
    let load = Load::start(&record, forwarder.addr, 60.0, |n| Message {
        id: format!("{:016x}", 0x9b1f_0000 + n),
        class: "auth-notice",
        owner: "vidzemes-stacijas",
        dest: 7,
        deadline_ms: 28_000,
    });
    let (most, was_killed) = forwarder.watch_memory(&record, MEMORY_MB, ms(20_000));
    drop(load.stop());
    let mb = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    record.line(format!("at most {:.1} MB of {MEMORY_MB} MB", mb(most)));
    say(&format!("at most {:.1} MB of {MEMORY_MB} MB", mb(most)));
    let mut broken = Vec::new();
    if was_killed {
        broken.push(format!("the forwarder held {:.1} MB, and was killed for memory", mb(most)));
    } else if forwarder.has_ended() {
        broken.push("the forwarder has ended by itself".to_owned());
    }
    finish(&record, forwarder, &broken)
}
