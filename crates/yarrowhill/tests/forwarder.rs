//! End-to-end tests of the real program over loopback sockets.

mod support;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::time::{Duration, Instant};
use support::{Discovery, Forwarder, RawConnection, RawServer, Stub, request, target};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

const QUIET: Duration = Duration::from_millis(150);
/// Time after which a connection to an endpoint is used again, and a little more.
const RESTED: Duration = Duration::from_millis(700);

struct Fixture {
    discovery: Discovery,
    target: Stub,
    forwarder: Forwarder,
}

/// Starts a forwarder with one destination, 7, which has one endpoint.
async fn fixture(model: &str, change: impl FnOnce(&mut Value)) -> Fixture {
    let (discovery, stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, model, "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, change).await;
    Fixture { discovery, target: stub, forwarder }
}

async fn plain_fixture() -> Fixture {
    fixture("plain", |_| {}).await
}

#[tokio::test]
async fn delivers_a_message_once_and_reports_it_as_delivered() {
    let mut fixture = plain_fixture().await;
    assert_eq!(fixture.forwarder.submit("keyed", "m", 9000).await.status(), 202);
    let call = fixture.target.next().await;
    assert_eq!((call.path.as_str(), call.header("req-id")), ("/hook", "m"));
    assert_eq!(call.header("idempotency-key"), "key-m");
    assert_eq!(&call.body[..], b"\0body of m");
    let wait: u64 = call.header("req-deadline-ms").parse().expect("an integer of milliseconds");
    assert!((1..=9000).contains(&wait), "{wait}");
    // A message that is submitted again while it is open counts as accepted.
    assert_eq!(fixture.forwarder.submit("keyed", "m", 9000).await.status(), 202);
    call.answer(200);
    fixture.forwarder.wait_until_delivered("keyed", "m").await;
    fixture.forwarder.kill();
    fixture.forwarder.restart().await;
    assert_eq!(fixture.forwarder.submit("keyed", "m", 9000).await.status(), 200);
    assert!(fixture.target.stays_quiet(QUIET).await);
    assert!(fixture.discovery.stays_quiet(QUIET).await);
}

#[tokio::test]
async fn reuses_a_connection() {
    let mut fixture = plain_fixture().await;
    for id in ["a", "b", "c"] {
        fixture.forwarder.submit("keyed", id, 9000).await;
        fixture.target.next().await.answer_with(200, &[], "ignored");
        fixture.forwarder.wait_until_delivered("keyed", id).await;
        tokio::time::sleep(RESTED).await;
    }
    assert_eq!(fixture.target.connections(), 1);
}

#[tokio::test]
async fn batches_the_messages_of_one_turn_and_reads_the_outcome_of_each() {
    // Turns are long, so that all messages but the first are in the same turn.
    let mut fixture = fixture("several", |c| c["settings"]["round"] = json!(400.0)).await;
    fixture.forwarder.submit("unsafe", "first", 9000).await;
    fixture.target.next().await.answer(200);
    let forwarder = &fixture.forwarder;
    tokio::join!(
        forwarder.submit("unsafe", "taken", 9000),
        forwarder.submit("unsafe", "faulty", 9000),
        forwarder.submit("unsafe", "later", 9000),
        forwarder.submit("unsafe", "missing", 9000),
    );
    let call = fixture.target.next().await;
    assert_eq!(call.path, "/hook/batch");
    let items: Vec<Value> = serde_json::from_slice(&call.body).expect("an array");
    assert_eq!(items.len(), 4);
    for item in &items {
        let id = item["id"].as_str().expect("an id");
        assert_eq!(item["key"], json!(format!("key-{id}")));
        assert_eq!(item["body"], json!(STANDARD.encode(format!("\0body of {id}"))));
    }
    let states = json!([{"id": "taken", "state": "accepted"}, {"id": "faulty", "state": "fault"},
                        {"id": "later", "state": "deferred"}, {"nonsense": 1}]);
    call.answer_with(200, &[], &states.to_string());
    // The faulty item and the one without a state may have run and are not repeated. The deferred one never
    // ran.
    let again = fixture.target.next().await;
    assert_eq!((again.path.as_str(), again.header("req-id")), ("/hook", "later"));
    again.answer(200);
    let mut given_up = fixture.discovery.notices().await;
    given_up.sort_by_key(|n| n["message"].to_string());
    let notice = |id| json!({"message": id, "outcome": "given_up"});
    assert_eq!(given_up, [notice("faulty"), notice("missing")]);
    fixture.forwarder.wait_until_delivered("unsafe", "taken").await;
}

#[tokio::test]
async fn fails_an_unsafe_message_that_may_have_run() {
    let mut fixture = plain_fixture().await;
    for (id, status) in [("error", Some(500)), ("odd", Some(302)), ("reset", None)] {
        assert_eq!(fixture.forwarder.submit("unsafe", id, 9000).await.status(), 202);
        let call = fixture.target.next().await;
        assert_eq!(call.header("req-id"), id);
        match status {
            Some(status) => call.answer(status),
            None => call.close_connection(),
        }
        assert_eq!(fixture.discovery.notice().await, json!({"message": id, "outcome": "given_up"}));
    }
    assert!(fixture.target.stays_quiet(QUIET).await);
}

#[tokio::test]
async fn repeats_a_keyed_message_that_may_have_run() {
    let mut fixture = plain_fixture().await;
    fixture.forwarder.submit("keyed", "m", 9000).await;
    fixture.target.next().await.close_connection();
    let again = fixture.target.next().await;
    assert_eq!((again.header("req-id"), again.header("idempotency-key")), ("m", "key-m"));
    again.answer(200);
    fixture.forwarder.wait_until_delivered("keyed", "m").await;
}

#[tokio::test]
async fn sends_an_unsafe_message_again_if_it_never_ran() {
    for (status, headers) in [(503, vec![]), (503, vec![("Slots-Taken", "1")]), (504, vec![])] {
        let mut fixture = plain_fixture().await;
        fixture.forwarder.submit("unsafe", "m", 9000).await;
        fixture.target.next().await.answer_with(status, &headers, "");
        fixture.target.next().await.answer(200);
        fixture.forwarder.wait_until_delivered("unsafe", "m").await;
    }
}

#[tokio::test]
async fn sends_no_notice_for_a_message_that_the_endpoint_reports_as_over() {
    let mut fixture = plain_fixture().await;
    fixture.forwarder.submit("unsafe", "m", 9000).await;
    fixture.target.next().await.answer(410);
    assert!(fixture.discovery.stays_quiet(QUIET).await && fixture.target.stays_quiet(QUIET).await);
    assert_eq!(fixture.forwarder.submit("unsafe", "m", 9000).await.status(), 500);
}

#[tokio::test]
async fn hands_back_a_message_whose_connections_were_all_refused() {
    let mut fixture = plain_fixture().await;
    let closed_addr = Stub::start().await.stop_listening().await;
    fixture.discovery.push(2, vec![target("t", closed_addr, 7, "plain", "in_service")]);
    // Messages are sent to the old address until the list is applied.
    for n in 0.. {
        fixture.forwarder.submit("unsafe", &format!("m{n}"), 1500).await;
        tokio::select! {
            call = fixture.target.next() => call.answer(200),
            // The message is handed back and has not failed: no attempt can have run.
            notice = fixture.discovery.notice() => {
                assert_eq!(notice["message"], json!(format!("m{n}")));
                assert_eq!(notice["outcome"], json!("handed_back"));
                break;
            }
        }
    }
}

#[tokio::test]
async fn a_wait_applies_to_every_message_of_the_destination() {
    // With one slot the second message is sent only after the response to the first has been read.
    let mut fixture = fixture("plain", |config| config["settings"]["familyInfo"]["slots"] = json!(1)).await;
    fixture.forwarder.submit("unsafe", "a", 9000).await;
    let call = fixture.target.next().await;
    let answered_at = Instant::now();
    call.answer_with(429, &[("Wait-Ms", "700")], "");
    fixture.forwarder.submit("keyed", "b", 9000).await;
    fixture.target.next().await.answer(200);
    assert!(answered_at.elapsed() >= Duration::from_millis(700), "{:?}", answered_at.elapsed());
    fixture.target.next().await.answer(200);
}

/// Returns a listener whose backlog is full, and the connections that fill it: further connections are
/// established only once earlier ones are accepted.
async fn full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(1).expect("the socket listens");
    let addr = listener.local_addr().expect("the listener is bound");
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(QUIET, TcpStream::connect(addr)).await {
        queued.push(stream);
    }
    (listener, queued)
}

#[tokio::test]
async fn does_not_write_a_call_whose_connection_is_established_during_a_wait() {
    for _ in 0..10 {
        let written = time_to_write_after_a_wait_of_5_s().await;
        // The system may establish one connection more than the backlog holds: that call was written before
        // the wait.
        if written > Duration::from_millis(100) {
            return assert!(written >= Duration::from_secs(5), "{written:?}");
        }
    }
    panic!("no backlog stayed full");
}

/// Returns the time from the response with a wait until the next call is read at either endpoint of its
/// destination.
async fn time_to_write_after_a_wait_of_5_s() -> Duration {
    let (discovery, mut stub, (listener, queued)) =
        (Discovery::start().await, Stub::start().await, full_backlog().await);
    let full_addr = listener.local_addr().expect("the listener is bound");
    let known =
        [target("t", stub.addr, 7, "plain", "in_service"), target("u", full_addr, 7, "plain", "in_service")];
    let forwarder =
        Forwarder::start(&discovery, &known, |c| c["settings"]["limits"]["connectTimeout"] = json!(9000))
            .await;
    forwarder.submit("keyed", "a", 20_000).await;
    forwarder.submit("keyed", "b", 20_000).await;
    // One message goes to each endpoint: idle endpoints are preferred.
    let call = stub.next().await;
    let answered_at = Instant::now();
    call.answer_with(429, &[("Wait-Ms", "5000")], "");
    for _ in 0..queued.len() {
        listener.accept().await.expect("a queued connection");
    }
    // The connection is established when the system retries it. What it carries shows whether the call was
    // written during the wait.
    let written = async {
        loop {
            let (mut stream, _) = listener.accept().await.expect("the listener is open");
            if stream.read(&mut [0; 64]).await.is_ok_and(|n| n > 0) {
                return;
            }
        }
    };
    tokio::select! {
        () = written => {}
        call = stub.next() => call.answer(200),
    }
    answered_at.elapsed()
}

#[tokio::test]
async fn obeys_a_wait_in_a_response_that_accepts_messages() {
    let mut fixture = fixture("several", |c| c["settings"]["round"] = json!(400.0)).await;
    fixture.forwarder.submit("unsafe", "first", 9000).await;
    fixture.target.next().await.answer(200);
    tokio::join!(
        fixture.forwarder.submit("unsafe", "a", 9000),
        fixture.forwarder.submit("unsafe", "b", 9000)
    );
    let call = fixture.target.next().await;
    assert_eq!(call.path, "/hook/batch");
    let answered_at = Instant::now();
    let states = json!([{"id": "a", "state": "accepted"}, {"id": "b", "state": "accepted"}]);
    call.answer_with(200, &[("Wait-Ms", "900")], &states.to_string());
    fixture.forwarder.wait_until_delivered("unsafe", "a").await;
    fixture.forwarder.submit("keyed", "c", 9000).await;
    fixture.target.next().await.answer(200);
    assert!(answered_at.elapsed() >= Duration::from_millis(900), "{:?}", answered_at.elapsed());
}

#[tokio::test]
async fn a_request_that_is_repeated_before_its_answer_is_one_message() {
    let mut fixture = fixture("plain", |c| c["settings"]["round"] = json!(300.0)).await;
    fixture.forwarder.submit("keyed", "first", 9000).await;
    fixture.target.next().await.answer(200);
    let forwarder = &fixture.forwarder;
    // Both requests get the answer of the decision module, which refuses a message that has no time left.
    let (a, b) = tokio::join!(forwarder.submit("unsafe", "late", 0), forwarder.submit("unsafe", "late", 0));
    assert_eq!((a.status().as_u16(), b.status().as_u16()), (503, 503));
    let (a, b) = tokio::join!(forwarder.submit("unsafe", "m", 9000), forwarder.submit("unsafe", "m", 9000));
    assert_eq!((a.status().as_u16(), b.status().as_u16()), (202, 202));
    fixture.target.next().await.answer(200);
    fixture.forwarder.wait_until_delivered("unsafe", "m").await;
    assert!(fixture.target.stays_quiet(QUIET).await);
}

#[tokio::test]
async fn sends_nothing_new_to_a_draining_endpoint() {
    let mut fixture = plain_fixture().await;
    fixture.forwarder.submit("keyed", "before", 9000).await;
    let in_flight = fixture.target.next().await;
    let mut next = Stub::start().await;
    fixture.discovery.push(
        2,
        vec![
            target("t", fixture.target.addr, 7, "plain", "terminating"),
            target("u", next.addr, 7, "plain", "in_service"),
        ],
    );
    // The list is applied after a short time: the messages show when.
    for n in 0.. {
        fixture.forwarder.submit("keyed", &format!("probe-{n}"), 9000).await;
        let moved = tokio::select! {
            call = next.next() => { call.answer(200); true }
            call = fixture.target.next() => { call.answer(200); false }
        };
        if moved {
            break;
        }
    }
    for n in 0..5 {
        fixture.forwarder.submit("keyed", &format!("after-{n}"), 9000).await;
        next.next().await.answer(200);
    }
    // A call that is in flight may finish.
    in_flight.answer(200);
    fixture.forwarder.wait_until_delivered("keyed", "before").await;
    assert!(fixture.target.stays_quiet(QUIET).await);
}

/// A list that is pushed comes from an agent on the forwarder's own machine, and counts as announced once the
/// agent has it. The watch must therefore be immediate for any number of forwarders.
#[tokio::test]
async fn watches_a_pushed_list_from_the_start_with_many_forwarders() {
    let mut fixture = fixture("plain", |c| {
        c["settings"]["peersTotal"] = json!(300);
        c["settings"]["discovery"] = json!("push");
        // There is no limit that would be divided among the forwarders.
        c["settings"]["weights"] = json!("off");
    })
    .await;
    let mut next = Stub::start().await;
    let moved = [
        target("t", fixture.target.addr, 7, "plain", "terminating"),
        target("u", next.addr, 7, "plain", "in_service"),
    ];
    fixture.discovery.push(2, moved.to_vec());
    let pushed_at = Instant::now();
    for n in 0.. {
        fixture.forwarder.submit("keyed", &format!("m-{n}"), 9000).await;
        tokio::select! {
            call = next.next() => { call.answer(200); break }
            call = fixture.target.next() => call.answer(200),
        }
    }
    assert!(pushed_at.elapsed() < Duration::from_secs(1), "{:?}", pushed_at.elapsed());
}

#[tokio::test]
async fn closes_an_unanswered_call_at_the_deadline_of_its_message() {
    let mut fixture = plain_fixture().await;
    let start = Instant::now();
    fixture.forwarder.submit("unsafe", "m", 500).await;
    let call = fixture.target.next().await;
    assert_eq!(fixture.discovery.notice().await, json!({"message": "m", "outcome": "given_up"}));
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    call.wait_closed().await;
}

#[tokio::test]
async fn sigkill_loses_no_message_and_repeats_no_unsafe_one() {
    let mut fixture = plain_fixture().await;
    fixture.forwarder.submit("keyed", "keyed", 20_000).await;
    let keyed_call = fixture.target.next().await;
    fixture.forwarder.submit("unsafe", "unsafe", 20_000).await;
    let unsafe_call = fixture.target.next().await;
    fixture.discovery.push(2, vec![target("t", fixture.target.addr, 7, "plain", "in_service")]);
    fixture.forwarder.kill();
    keyed_call.wait_closed().await;
    unsafe_call.wait_closed().await;
    fixture.forwarder.restart().await;
    // Both messages may have run: the keyed one is sent again, the unsafe one must not be.
    assert_eq!(fixture.discovery.notice().await, json!({"message": "unsafe", "outcome": "given_up"}));
    let again = fixture.target.next().await;
    assert_eq!(again.header("req-id"), "keyed");
    again.answer(200);
    fixture.forwarder.wait_until_delivered("keyed", "keyed").await;
    // Without the record the next process would repeat the notice.
    fixture.forwarder.wait_until_closed("unsafe").await;
    fixture.forwarder.kill();
    fixture.forwarder.restart().await;
    assert!(fixture.target.stays_quiet(QUIET).await && fixture.discovery.stays_quiet(QUIET).await);
}

#[tokio::test]
async fn each_message_ends_once_after_any_number_of_kills() {
    let mut fixture = plain_fixture().await;
    let (mut delivered, mut given_up) = (BTreeSet::new(), BTreeSet::new());
    for n in 0..24 {
        // Every third message is in flight when the process is killed; another is being accepted or answered.
        let id = format!("m{n}");
        assert_eq!(fixture.forwarder.submit("unsafe", &id, 20_000).await.status(), 202);
        if n % 3 == 0 {
            fixture.forwarder.kill();
            fixture.forwarder.restart().await;
        }
        while delivered.union(&given_up).count() <= n {
            tokio::select! {
                call = fixture.target.next() => {
                    // A second copy of an unsafe message must never come.
                    assert!(delivered.insert(call.header("req-id").to_owned()), "{}", call.header("req-id"));
                    call.answer(200);
                }
                notices = fixture.discovery.notices() => {
                    let names = notices.iter().filter_map(|n| n["message"].as_str());
                    // A message whose call was in flight at the kill may have run, and gets a notice in
                    // addition.
                    given_up.extend(names.filter(|name| !delivered.contains(*name)).map(str::to_owned));
                }
            }
        }
    }
}

#[tokio::test]
async fn fails_a_message_that_expired_before_the_restart() {
    let mut fixture = plain_fixture().await;
    fixture.forwarder.submit("unsafe", "m", 700).await;
    let call = fixture.target.next().await;
    fixture.forwarder.kill();
    call.wait_closed().await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    fixture.forwarder.restart().await;
    let restarted_at = Instant::now();
    assert_eq!(fixture.discovery.notice().await["outcome"], "given_up");
    assert!(restarted_at.elapsed() < Duration::from_secs(3));
}

#[tokio::test]
async fn sigterm_lets_calls_finish_and_keeps_open_messages() {
    let mut fixture = plain_fixture().await;
    fixture.forwarder.submit("unsafe", "out", 20_000).await;
    let in_flight = fixture.target.next().await;
    let start = Instant::now();
    fixture.forwarder.send_sigterm();
    // New clients are still served, with one answer for each connection.
    let closing = async {
        loop {
            let ready = request(fixture.forwarder.addr, "GET", "/-/ready", &[], b"")
                .await
                .expect("the forwarder serves");
            if ready.headers().get("connection").is_some_and(|v| v == "close") {
                return;
            }
        }
    };
    timeout(support::TIMEOUT, closing).await.expect("the signal is handled in time");
    assert_eq!(fixture.forwarder.submit("keyed", "late", 20_000).await.status(), 202);
    let late = fixture.target.next().await;
    in_flight.answer(200);
    late.answer_with(503, &[("Wait-Ms", "3000")], "");
    assert!(fixture.forwarder.wait_exit().await.success());
    assert!(start.elapsed() < Duration::from_millis(3700), "{:?}", start.elapsed());
    fixture.forwarder.restart().await;
    let again = fixture.target.next().await;
    assert_eq!(again.header("req-id"), "late");
    again.answer(200);
    fixture.forwarder.wait_until_delivered("keyed", "late").await;
    assert_eq!(fixture.forwarder.submit("unsafe", "out", 20_000).await.status(), 200);
    assert!(fixture.discovery.stays_quiet(QUIET).await);
}

#[tokio::test]
async fn truncates_an_incomplete_frame_of_the_journal() {
    let mut fixture = plain_fixture().await;
    fixture.forwarder.submit("keyed", "m", 20_000).await;
    fixture.target.next().await.wait_closed_after(|| fixture.forwarder.kill()).await;
    // The headers of the file and of a frame have 16 bytes each. Appends the start of a frame, as a process
    // that is killed leaves it.
    let intact = fs::read(fixture.forwarder.journal()).expect("a journal");
    let mut file = OpenOptions::new().append(true).open(fixture.forwarder.journal()).expect("a journal");
    file.write_all(&intact[16..40]).expect("the journal is writable");
    fixture.forwarder.restart().await;
    fixture.target.next().await.answer(200);
    fixture.forwarder.wait_until_delivered("keyed", "m").await;
    let text = fs::read(fixture.forwarder.journal()).expect("a journal");
    assert!(text.starts_with(&intact) && !text[intact.len()..].starts_with(&intact[16..40]));
}

/// Guards the rules on lost messages and on effects: records after a corrupt frame are replayed, and a
/// message that may have lost a record is not treated as one that never ran.
#[tokio::test]
async fn loses_and_repeats_nothing_after_a_corrupt_frame_in_the_journal() {
    let mut fixture = plain_fixture().await;
    for id in ["broken", "unsafe-before"] {
        fixture.forwarder.submit("unsafe", id, 20_000).await;
    }
    fixture.forwarder.submit("keyed", "after", 20_000).await;
    fixture.target.next().await.wait_closed_after(|| fixture.forwarder.kill()).await;
    let mut text = fs::read(fixture.forwarder.journal()).expect("a journal");
    let body = b"body of broken";
    let at = text.windows(body.len()).position(|part| part == body).expect("the body is in the journal");
    text[at] ^= 1;
    fs::write(fixture.forwarder.journal(), &text).expect("the journal is writable");
    while fixture.target.next_within(QUIET).await.is_some() {}
    fixture.forwarder.restart().await;
    // The content of the first message is lost, but a later record names it. Messages accepted after the
    // corrupt frame are intact.
    let mut ends = Vec::new();
    while ends.is_empty() {
        ends = fixture.discovery.notices().await;
    }
    assert!(ends.iter().any(|n| *n == json!({"message": "broken", "outcome": "given_up"})), "{ends:?}");
    while let Some(call) = fixture.target.next_within(QUIET).await {
        assert_ne!(call.header("req-id"), "broken");
        call.answer(200);
    }
    fixture.forwarder.wait_until_delivered("keyed", "after").await;
}

#[tokio::test]
async fn refuses_messages_while_the_journal_is_full() {
    let mut fixture = fixture("plain", |c| c["limits"]["disk_mb"] = json!(0.02)).await;
    let mut refused = false;
    for n in 0..50 {
        let answer = fixture.forwarder.submit("keyed", &format!("m{n}"), 20_000).await;
        refused |= answer.status() == 503;
        assert!(answer.status() == 202 || answer.status() == 503);
    }
    assert!(refused);
    let size = fs::metadata(fixture.forwarder.journal()).expect("a journal").len();
    assert!(size <= 20_000, "{size}");
    // Accepted messages are still sent.
    fixture.target.next().await.answer(200);
}

#[tokio::test]
async fn repeats_a_notice_until_it_is_acknowledged() {
    let mut fixture = plain_fixture().await;
    fixture.forwarder.submit("unsafe", "m", 9000).await;
    fixture.target.next().await.answer(500);
    let first = fixture.discovery.next_notice().await.take_body(|c| c.answer(500));
    let second = fixture.discovery.next_notice().await.take_body(|c| c.close_connection());
    assert_eq!(first, second);
    // A notice that is not acknowledged when the process is killed is sent by the next process.
    fixture.discovery.next_notice().await.wait_closed_after(|| fixture.forwarder.kill()).await;
    fixture.forwarder.restart().await;
    assert_eq!(fixture.discovery.notice().await, json!({"message": "m", "outcome": "given_up"}));
    assert!(fixture.discovery.stays_quiet(QUIET).await && fixture.target.stays_quiet(QUIET).await);
}

#[tokio::test]
async fn refuses_invalid_requests_with_their_status() {
    let fixture = plain_fixture().await;
    let good = [
        ("Req-Id", "m"),
        ("Req-Owner", "acme"),
        ("Req-Deadline-Ms", "9000"),
        ("Idempotency-Key", "k"),
        ("Envelope", "dest=7"),
    ];
    let long = "x".repeat(200);
    for (name, value) in [
        ("Req-Id", None),
        ("Req-Id", Some(long.as_str())),
        ("Req-Owner", None),
        ("Req-Owner", Some("nobody")),
        ("Req-Deadline-Ms", None),
        ("Req-Deadline-Ms", Some("soon")),
        ("Req-Deadline-Ms", Some("99999999999999999999")),
        ("Idempotency-Key", None),
        ("Envelope", None),
        ("Envelope", Some("dest=x")),
    ] {
        let headers: Vec<_> = good
            .iter()
            .filter_map(|(n, v)| if *n == name { value.map(|v| (*n, v)) } else { Some((*n, *v)) })
            .collect();
        let answer =
            request(fixture.forwarder.addr, "POST", "/keyed", &headers, b"").await.expect("an answer");
        assert_eq!(answer.status(), 400, "{name}: {value:?}");
    }
    let status = async |method: &str, path: &str, body: &[u8]| {
        request(fixture.forwarder.addr, method, path, &good, body).await.expect("an answer").status().as_u16()
    };
    assert_eq!(status("POST", "/unknown", b"").await, 400);
    assert_eq!(status("POST", "/", b"").await, 404);
    assert_eq!(status("POST", "/keyed/more", b"").await, 404);
    assert_eq!(status("GET", "/keyed", b"").await, 404);
    assert_eq!(status("POST", "/keyed", &vec![0; (64 << 10) + 1]).await, 413);
    assert_eq!(status("POST", "/keyed", &vec![0; 64 << 10]).await, 202);
}

#[tokio::test]
async fn slow_and_broken_clients_do_not_affect_others() {
    let mut fixture = plain_fixture().await;
    let mut slow = Vec::new();
    for text in
        ["POST /keyed HTTP/1.1\r\nReq-", "\0\0\0", "POST /keyed HTTP/1.1\r\nContent-Length: 9\r\n\r\nab"]
    {
        let mut client = TcpStream::connect(fixture.forwarder.addr).await.expect("the forwarder listens");
        client.write_all(text.as_bytes()).await.expect("the forwarder reads");
        slow.push(client);
    }
    assert_eq!(fixture.forwarder.submit("keyed", "m", 9000).await.status(), 202);
    fixture.target.next().await.answer(200);
    // Each slow client finally gets an error or loses its connection.
    for mut client in slow {
        let mut text = Vec::new();
        let _ = timeout(support::TIMEOUT, client.read_to_end(&mut text))
            .await
            .expect("the connection is closed in time");
    }
}

#[tokio::test]
async fn sighup_changes_the_discovery_address_and_ignores_an_invalid_file() {
    let mut fixture = plain_fixture().await;
    fixture.forwarder.submit("keyed", "before", 9000).await;
    let in_flight = fixture.target.next().await;
    // The file is no valid configuration: the old one stays in force, and the process goes on.
    fixture.forwarder.reload(|c| *c = json!({"name": c["name"], "kept": *c}));
    let mut second = Stub::start().await;
    fixture.discovery.push(2, vec![target("u", second.addr, 8, "plain", "in_service")]);
    // A notice that the old address leaves unanswered is sent to the new one, as is the watch.
    fixture.forwarder.submit("unsafe", "owed", 9000).await;
    fixture.target.next().await.answer(500);
    let unanswered = fixture.discovery.next_notice().await;
    let mut new = Stub::start().await;
    fixture.forwarder.reload(|c| {
        *c = c["kept"].take();
        c["discovery"] = json!(new.addr.to_string());
    });
    let (mut watched, mut noticed) = (false, false);
    while !watched || !noticed {
        let call = new.next().await;
        if call.path == "/v1/notices" {
            assert_eq!(call.take_body(|c| c.answer(204)), unanswered.body);
            noticed = true;
        } else if call.path == "/api/targets" {
            let list = json!({"rev": 9, "all": true, "targets": [
                target("t", fixture.target.addr, 7, "plain", "terminating"),
                target("v", second.addr, 7, "plain", "in_service"),
            ]});
            call.answer_with(200, &[], &list.to_string());
            watched = true;
        }
    }
    // The next watch shows that the list was received: new messages follow it.
    assert_eq!(new.next().await.path, "/api/targets?index=9&wait=2000");
    fixture.forwarder.submit("keyed", "after", 9000).await;
    let call = second.next().await;
    assert_eq!(call.header("req-id"), "after");
    call.answer(200);
    // A call that was in flight before ends as usual.
    in_flight.answer(200);
    fixture.forwarder.wait_until_delivered("keyed", "before").await;
}

/// Starts a forwarder with one destination, 7, whose endpoint sends the bytes that the test gives it.
async fn raw_fixture(model: &str, change: impl FnOnce(&mut Value)) -> (Discovery, RawServer, Forwarder) {
    let (discovery, raw) = (Discovery::start().await, RawServer::start().await);
    let known = [target("t", raw.addr, 7, model, "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, change).await;
    (discovery, raw, forwarder)
}

#[tokio::test]
async fn a_status_line_with_200_delivers_whatever_follows() {
    let (mut discovery, raw, forwarder) = raw_fixture("plain", |_| {}).await;
    for (id, answer) in [
        ("noise", "HTTP/1.1 200 OK\r\n\0\u{1}\r\n\r\n"),
        ("endless", "HTTP/1.1 200 OK\r\nA: b\r\n"),
        ("length", "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n"),
        ("huge", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc"),
        ("interim", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    ] {
        forwarder.submit("unsafe", id, 20_000).await;
        let mut call = raw.accept().await;
        call.request().await;
        call.write(answer).await;
        forwarder.wait_until_delivered("unsafe", id).await;
        if id != "interim" {
            // The forwarder closes the connection, since it cannot be reused; the endpoint leaves it open.
            call.read_to_end().await;
        }
    }
    assert!(discovery.stays_quiet(QUIET).await);
}

#[tokio::test]
async fn a_call_with_a_malformed_response_may_have_run_and_frees_its_slot() {
    for (model, answer) in [
        ("plain", "\0\u{1}\u{2}noise\r\n\r\n"),
        ("plain", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3000000000\r\n\r\nabc"),
        ("plain", "HTTP/1.1 429 Too Many"),
        ("several", "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n[{\"id\":\"a\""),
    ] {
        let (mut discovery, raw, forwarder) =
            raw_fixture(model, |c| c["settings"]["round"] = json!(300.0)).await;
        // The first message starts the turn; a and b are batched if the destination takes batches.
        tokio::join!(forwarder.submit("unsafe", "a", 20_000), forwarder.submit("unsafe", "b", 20_000));
        let mut ended = 0;
        while ended < 2 {
            let mut call = raw.accept().await;
            call.request().await;
            let answered_at = Instant::now();
            call.write(answer).await;
            ended += discovery.notices().await.iter().filter(|n| n["outcome"] == "given_up").count();
            assert!(
                answered_at.elapsed() < Duration::from_secs(3),
                "{answer:?}: {:?}",
                answered_at.elapsed()
            );
            call.read_to_end().await;
        }
    }
}

#[tokio::test]
async fn bytes_after_a_complete_response_are_not_read_as_the_next_one() {
    let (mut discovery, raw, forwarder) = raw_fixture("plain", |_| {}).await;
    for (id, extra) in [("copy", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"), ("noise", "\0\u{1}")] {
        forwarder.submit("unsafe", id, 20_000).await;
        let mut call = raw.accept().await;
        assert!(call.request().await.contains(id));
        call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n{extra}")).await;
        forwarder.wait_until_delivered("unsafe", id).await;
        call.read_to_end().await;
    }
    forwarder.submit("unsafe", "next", 20_000).await;
    let mut call = raw.accept().await;
    assert!(call.request().await.contains("next"));
    call.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
    forwarder.wait_until_delivered("unsafe", "next").await;
    assert!(discovery.stays_quiet(QUIET).await);
}

#[tokio::test]
async fn refuses_a_request_of_ambiguous_length_and_all_that_follows_it() {
    let mut fixture = plain_fixture().await;
    let head = |id: &str| {
        format!(
            "POST /keyed HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
             Req-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\nEnvelope: dest=7\r\n"
        )
    };
    let hidden = head("hidden") + "Content-Length: 0\r\n\r\n";
    for extra_headers in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nReq-Id: other\r\n",
        "Content-Length: 5\r\nEnvelope: dest=8\r\n",
        "Content-Length: -5\r\n",
    ] {
        let stream = TcpStream::connect(fixture.forwarder.addr).await.expect("the forwarder listens");
        let mut client = RawConnection(stream);
        client.write(&format!("{}{extra_headers}\r\n0\r\n\r\n{hidden}", head("open"))).await;
        let answer = client.read_to_end().await;
        assert!(
            answer.starts_with("HTTP/1.1 4") && answer.matches("HTTP/1.1").count() == 1,
            "{extra_headers:?}: {answer:?}"
        );
    }
    assert!(fixture.target.stays_quiet(QUIET).await);
}

#[tokio::test]
async fn silent_connections_do_not_block_clients_and_are_closed() {
    let mut fixture = plain_fixture().await;
    let opened_at = Instant::now();
    let mut silent = Vec::new();
    // These are more connections than there are descriptors.
    for _ in 0..80 {
        silent.push(RawConnection(
            TcpStream::connect(fixture.forwarder.addr).await.expect("the forwarder listens"),
        ));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.forwarder.submit("keyed", "m", 9000).await.status(), 202);
    fixture.target.next().await.answer(200);
    for client in &mut silent {
        client.read_to_end().await;
    }
    assert!(opened_at.elapsed() < Duration::from_secs(3), "{:?}", opened_at.elapsed());
}

#[tokio::test]
async fn refuses_a_message_for_an_unknown_destination() {
    let fixture = plain_fixture().await;
    let headers = [
        ("Req-Id", "m"),
        ("Req-Owner", "acme"),
        ("Req-Deadline-Ms", "9000"),
        ("Idempotency-Key", "k"),
        ("Envelope", "dest=99"),
    ];
    let answer = request(fixture.forwarder.addr, "POST", "/keyed", &headers, b"").await.expect("an answer");
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
}

#[tokio::test]
async fn a_new_endpoint_at_an_old_address_does_not_reuse_its_connections() {
    let mut fixture = plain_fixture().await;
    fixture.forwarder.submit("keyed", "before", 9000).await;
    fixture.target.next().await.answer(200);
    fixture.forwarder.wait_until_delivered("keyed", "before").await;
    assert_eq!(fixture.target.connections(), 1);
    // A full list without the old id means that this endpoint is gone.
    fixture.discovery.push_full_list(2, vec![target("u", fixture.target.addr, 7, "plain", "in_service")]);
    let moved = async {
        for n in 0.. {
            let id = format!("m{n}");
            fixture.forwarder.submit("keyed", &id, 9000).await;
            fixture.target.next().await.answer(200);
            fixture.forwarder.wait_until_delivered("keyed", &id).await;
            if fixture.target.connections() == 2 {
                return;
            }
        }
    };
    timeout(support::TIMEOUT, moved).await.expect("the new target gets its own connection in time");
}

#[tokio::test]
async fn a_status_line_with_200_delivers_on_a_reused_connection_too() {
    let (mut discovery, raw, forwarder) = raw_fixture("plain", |_| {}).await;
    forwarder.submit("unsafe", "first", 20_000).await;
    let mut call = raw.accept().await;
    call.request().await;
    call.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
    forwarder.wait_until_delivered("unsafe", "first").await;
    tokio::time::sleep(RESTED).await;
    forwarder.submit("unsafe", "second", 20_000).await;
    assert!(call.request().await.contains("second"));
    call.write("HTTP/1.1 200 OK\r\n\0\r\n\r\n").await;
    forwarder.wait_until_delivered("unsafe", "second").await;
    assert!(discovery.stays_quiet(QUIET).await);
}

/// Guards the rule on lost messages (found on the recorded day r914bea): the platform ends a call at the
/// earliest deadline of its messages, and ignores later responses. The other messages may have run, and fail
/// with it.
#[tokio::test]
async fn a_call_ends_at_the_earliest_deadline_of_its_messages() {
    let mut fixture = fixture("several", |c| c["settings"]["round"] = json!(400.0)).await;
    fixture.forwarder.submit("unsafe", "first", 9000).await;
    fixture.target.next().await.answer(200);
    let forwarder = &fixture.forwarder;
    tokio::join!(forwarder.submit("unsafe", "short", 2000), forwarder.submit("unsafe", "long", 20_000));
    let start = Instant::now();
    let call = fixture.target.next().await;
    assert_eq!(call.path, "/hook/batch");
    call.wait_closed().await;
    let (mut given_up, notice) = (Vec::new(), |id| json!({"message": id, "outcome": "given_up"}));
    while given_up.len() < 2 {
        given_up.extend(fixture.discovery.notices().await);
    }
    given_up.sort_by_key(|n| n["message"].to_string());
    assert_eq!(given_up, [notice("long"), notice("short")]);
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
}

/// Guards the rule on lost messages: a response shortly before the end of its call may have been sent after
/// the deadline of the client. The forwarder cannot tell whether it counts; a notice for a message that is
/// over is harmless.
#[tokio::test]
async fn a_delivery_just_before_the_deadline_gets_a_notice_too() {
    let mut fixture = fixture("several", |c| c["settings"]["round"] = json!(400.0)).await;
    fixture.forwarder.submit("unsafe", "first", 9000).await;
    fixture.target.next().await.answer(200);
    let (forwarder, start) = (&fixture.forwarder, Instant::now());
    tokio::join!(forwarder.submit("unsafe", "short", 2000), forwarder.submit("unsafe", "long", 20_000));
    let call = fixture.target.next().await;
    let items: Vec<Value> = serde_json::from_slice(&call.body).expect("an array");
    tokio::time::sleep(Duration::from_millis(1750).saturating_sub(start.elapsed())).await;
    let states: Vec<Value> = items.iter().map(|i| json!({"id": i["id"], "state": "accepted"})).collect();
    call.answer_with(200, &[], &json!(states).to_string());
    let mut given_up = Vec::new();
    while given_up.len() < 2 {
        given_up.extend(fixture.discovery.notices().await);
    }
    given_up.sort_by_key(|n| n["message"].to_string());
    let notice = |id| json!({"message": id, "outcome": "given_up"});
    assert_eq!(given_up, [notice("long"), notice("short")]);
    // A delivery well before the deadline needs no notice.
    fixture.forwarder.submit("unsafe", "good", 9000).await;
    fixture.target.next().await.answer(200);
    fixture.forwarder.wait_until_delivered("unsafe", "good").await;
    assert!(fixture.discovery.stays_quiet(QUIET).await);
}

/// Guards deliveries: a body of a 200 that never ends changes nothing and is not waited for; the connection
/// is not reused.
#[tokio::test]
async fn a_200_with_an_incomplete_body_delivers_on_a_reused_connection_too() {
    let (mut discovery, raw, forwarder) = raw_fixture("plain", |_| {}).await;
    forwarder.submit("unsafe", "first", 20_000).await;
    let mut call = raw.accept().await;
    call.request().await;
    call.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
    forwarder.wait_until_delivered("unsafe", "first").await;
    tokio::time::sleep(RESTED).await;
    forwarder.submit("unsafe", "second", 20_000).await;
    assert!(call.request().await.contains("second"));
    call.write("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nshort").await;
    forwarder.wait_until_delivered("unsafe", "second").await;
    assert_eq!(call.read_to_end().await, "");
    forwarder.submit("unsafe", "third", 20_000).await;
    let mut new_call = raw.accept().await;
    assert!(new_call.request().await.contains("third"));
    new_call.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
    forwarder.wait_until_delivered("unsafe", "third").await;
    assert!(discovery.stays_quiet(QUIET).await);
}

/// Guards the rule on effects: an id that is submitted again while its message is being replayed is one
/// message.
#[tokio::test]
async fn an_id_submitted_again_during_its_replay_is_one_message() {
    let mut fixture = plain_fixture().await;
    for n in 0..20 {
        assert_eq!(fixture.forwarder.submit("keyed", &format!("m{n}"), 20_000).await.status(), 202);
    }
    fixture.forwarder.kill();
    while let Some(call) = fixture.target.next_within(QUIET).await {
        call.close_connection();
    }
    // These are the first requests to the new process, while it replays its journal.
    fixture.forwarder.restart().await;
    let forwarder = &fixture.forwarder;
    let again =
        |n: usize| async move { forwarder.submit("keyed", &format!("m{n}"), 20_000).await.status().as_u16() };
    let answers = tokio::join!(again(0), again(7), again(19));
    assert_eq!(answers, (202, 202, 202));
    let mut calls_by_id = std::collections::BTreeMap::new();
    while let Some(call) = fixture.target.next_within(QUIET * 2).await {
        *calls_by_id.entry(call.header("req-id").to_owned()).or_insert(0) += 1;
        call.answer(200);
    }
    assert!(calls_by_id.len() == 20 && calls_by_id.values().all(|calls| *calls == 1), "{calls_by_id:?}");
}

/// Guards the rule on lost messages: the response arrives just before the deadline of one item of twenty,
/// while the other nineteen have time left. Each message ends once, and each that may have been late gets a
/// notice.
#[tokio::test]
async fn a_response_just_before_the_deadline_of_one_item_of_twenty_ends_all_of_them() {
    let mut fixture = fixture("several", |c| c["settings"]["round"] = json!(200.0)).await;
    fixture.forwarder.submit("unsafe", "first", 9000).await;
    fixture.target.next().await.answer(200);
    let (forwarder, start) = (&fixture.forwarder, Instant::now());
    let rest = async {
        let mut tasks = Vec::new();
        for n in 0..19 {
            tasks.push(async move { forwarder.submit("unsafe", &format!("m{n}"), 20_000).await });
        }
        for task in tasks {
            task.await;
        }
    };
    tokio::join!(forwarder.submit("unsafe", "short", 1600), rest);
    let mut waiting = std::collections::BTreeSet::new();
    let mut calls = Vec::new();
    while let Some(call) = fixture.target.next_within(Duration::from_millis(500)).await {
        let items: Vec<Value> = match call.path.as_str() {
            "/hook/batch" => serde_json::from_slice(&call.body).expect("an array"),
            _ => vec![json!({"id": call.header("req-id")})],
        };
        let ids: Vec<String> = items.iter().map(|i| i["id"].as_str().expect("an id").to_owned()).collect();
        if ids.iter().any(|id| id == "short") {
            waiting.extend(ids.iter().cloned());
            calls.push((call, ids));
        } else {
            let states: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "accepted"})).collect();
            call.answer_with(200, &[], &json!(states).to_string());
        }
    }
    let (call, ids) = calls.pop().expect("the message \"short\" was sent");
    tokio::time::sleep(Duration::from_millis(1590).saturating_sub(start.elapsed())).await;
    let states: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "accepted"})).collect();
    call.answer_with(200, &[], &json!(states).to_string());
    while !waiting.is_empty() {
        for notice in fixture.discovery.notices().await {
            assert_eq!(notice["outcome"], json!("given_up"));
            // A notice that discovery was slow to acknowledge may arrive twice.
            waiting.remove(notice["message"].as_str().expect("an id"));
        }
    }
}
