//! Rare faults of the real program, over loopback sockets: restarts with requests in flight, a silent
//! discovery, and events between two steps of the program. Each order of events is forced: stand-ins withhold
//! bytes until the test releases them, and the kernel queues events while the program is stopped.

mod support;

use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{Discovery, Forwarder, FullBacklog, RawConnection, RawServer, Stub, TIMEOUT, target};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const QUIET: Duration = Duration::from_millis(150);

/// Sets a short grace period after a drain is announced, and a connect timeout that is longer than it.
fn short_grace_period(c: &mut Value) {
    c["settings"]["guarantees"]["stopSendingWithin"] = json!(250.0);
    c["settings"]["limits"]["connectTimeout"] = json!(9000.0);
}

// ---- Drains ----

/// A call waits for its connection while the drain of its endpoint is announced. Its first byte would be sent
/// long after the grace period.
#[tokio::test]
async fn does_not_write_a_call_whose_connection_is_established_after_a_drain() {
    let (discovery, mut full, mut next) =
        (Discovery::start().await, FullBacklog::start().await, Stub::start().await);
    let known = [target("t", full.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, short_grace_period).await;
    assert_eq!(forwarder.submit("keyed", "m", 20_000).await.status(), 202);
    sleep(QUIET).await;
    discovery.push(
        2,
        vec![
            target("t", full.addr, 7, "plain", "terminating"),
            target("u", next.addr, 7, "plain", "in_service"),
        ],
    );
    // The message goes to the other endpoint as soon as the drain is announced.
    let call = next
        .next_within(Duration::from_secs(2))
        .await
        .expect("the message is sent to the other target at once");
    assert_eq!(call.header("req-id"), "m");
    call.answer(200);
    full.accept_for(Duration::from_secs(4)).await;
    assert_eq!(full.received_bytes(), 0, "the call was written");
}

/// Guards against work that goes to the wrong partner: a list was read that has another destination's endpoint at
/// the address of one that is gone, and a call decided on before was written before the next turn applied it.
#[tokio::test]
async fn does_not_write_a_call_to_an_address_that_has_passed_to_another_destination() {
    let (discovery, mut full) = (Discovery::start().await, FullBacklog::start().await);
    let known = [target("t", full.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, |c| {
        c["settings"]["limits"]["connectTimeout"] = json!(9000.0);
        // Longer than it takes for the connection to be established.
        c["settings"]["round"] = json!(4000.0);
    })
    .await;
    assert_eq!(forwarder.submit("keyed", "m", 20_000).await.status(), 202);
    sleep(QUIET).await;
    discovery.push(
        2,
        vec![
            target("t", full.addr, 7, "plain", "terminated"),
            target("u", full.addr, 8, "plain", "in_service"),
        ],
    );
    sleep(QUIET).await;
    full.accept_for(Duration::from_secs(3)).await;
    assert_eq!(full.received_bytes(), 0, "the call was written");
}

/// The program is stopped (SIGSTOP) while a connection is established and the drain of its endpoint is
/// announced. When it resumes, both events are pending.
#[tokio::test]
async fn does_not_write_a_call_to_an_endpoint_that_drained_while_the_process_was_stopped() {
    let (discovery, mut full, mut next) =
        (Discovery::start().await, FullBacklog::start().await, Stub::start().await);
    let known = [target("t", full.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, short_grace_period).await;
    assert_eq!(forwarder.submit("keyed", "m", 20_000).await.status(), 202);
    sleep(QUIET).await;
    forwarder.pause().await;
    discovery.push(
        2,
        vec![
            target("t", full.addr, 7, "plain", "terminating"),
            target("u", next.addr, 7, "plain", "in_service"),
        ],
    );
    // The system establishes the connection for the stopped program.
    full.accept_for(Duration::from_secs(2)).await;
    forwarder.resume();
    let call = next.next().await;
    assert_eq!(call.header("req-id"), "m");
    call.answer(200);
    full.accept_for(Duration::from_secs(1)).await;
    assert_eq!(full.received_bytes(), 0, "the call was written");
}

/// A new process starts with an old list, and the discovery agent has had a newer one for some time.
#[tokio::test]
async fn sends_nothing_after_a_restart_before_the_agent_has_returned_its_list() {
    let (discovery, mut old, mut new) = (Discovery::start().await, Stub::start().await, Stub::start().await);
    let known = [target("t", old.addr, 7, "plain", "in_service")];
    let mut forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    assert_eq!(forwarder.submit("keyed", "a", 20_000).await.status(), 202);
    let call = old.next().await;
    call.answer_with(429, &[("Wait-Ms", "9000")], "");
    // Accepted and not sent.
    assert_eq!(forwarder.submit("keyed", "b", 20_000).await.status(), 202);
    forwarder.kill();
    discovery.push(
        5,
        vec![
            target("t", old.addr, 7, "plain", "terminating"),
            target("u", new.addr, 7, "plain", "in_service"),
        ],
    );
    forwarder.restart().await;
    for _ in 0..2 {
        new.next().await.answer(200);
    }
    assert!(old.stays_quiet(QUIET).await, "a draining target was called");
}

/// Guards against messages that are sent by an old list while the agent of a new process is silent. The agent
/// has had another list since before the start, in which the endpoint is gone.
#[tokio::test]
async fn sends_nothing_while_the_agent_of_a_new_process_is_silent() {
    let (discovery, mut gone, mut new) = (Discovery::start().await, Stub::start().await, Stub::start().await);
    let known = [target("t", gone.addr, 7, "plain", "in_service")];
    discovery.set_silent(true);
    discovery.push(
        5,
        vec![
            target("t", gone.addr, 7, "plain", "terminated"),
            target("u", new.addr, 7, "plain", "in_service"),
        ],
    );
    let start = Instant::now();
    let forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    assert!(start.elapsed() < Duration::from_secs(5), "ready after {:?}", start.elapsed());
    assert_eq!(forwarder.submit("keyed", "m", 20_000).await.status(), 202);
    assert!(gone.stays_quiet(Duration::from_secs(3)).await, "sent by a list that nobody has confirmed");
    discovery.set_silent(false);
    let call = new.next_within(Duration::from_secs(3)).await.expect("sent once the agent has answered");
    assert_eq!(call.header("req-id"), "m");
    call.answer(200);
    assert!(gone.stays_quiet(QUIET).await, "a call to the endpoint that is gone");
}

/// Guards against messages that get no end while nothing may be sent.
#[tokio::test]
async fn ends_a_message_in_time_while_the_agent_of_a_new_process_is_silent() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    discovery.set_silent(true);
    let forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    let submitted_at = Instant::now();
    assert_eq!(forwarder.submit("keyed", "m", 1500).await.status(), 202);
    let notice = discovery.notice().await;
    assert_eq!((&notice["message"], &notice["outcome"]), (&json!("m"), &json!("handed_back")));
    assert!(submitted_at.elapsed() < Duration::from_millis(1800), "after {:?}", submitted_at.elapsed());
    assert!(stub.stays_quiet(QUIET).await, "sent by a list that nobody has confirmed");
}

/// Guards against messages that are sent by the list of an earlier agent when that of the new configuration has
/// been silent for longer than 4 s, the time after which what it has counts as announced.
#[tokio::test]
async fn sends_nothing_by_an_old_list_while_the_agent_of_a_new_configuration_is_silent() {
    let (first, second) = (Discovery::start().await, Discovery::start().await);
    let (mut gone, mut new) = (Stub::start().await, Stub::start().await);
    let known = [target("t", gone.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&first, &known, |_| {}).await;
    assert_eq!(forwarder.submit("keyed", "confirmed", 20_000).await.status(), 202);
    gone.next().await.answer(200);
    second.set_silent(true);
    second.push_full_list(9, vec![target("u", new.addr, 7, "plain", "in_service")]);
    let reloaded_at = Instant::now();
    forwarder.reload(|c| c["discovery"] = json!(second.addr.to_string()));
    assert_eq!(forwarder.submit("keyed", "a", 20_000).await.status(), 202);
    gone.next_within(Duration::from_secs(2)).await.expect("sent before the time is over").answer(200);
    sleep(Duration::from_millis(4200).saturating_sub(reloaded_at.elapsed())).await;
    assert_eq!(forwarder.submit("keyed", "b", 20_000).await.status(), 202);
    assert!(gone.stays_quiet(Duration::from_secs(1)).await, "sent by the list of the earlier agent");
    second.set_silent(false);
    let call = new.next_within(Duration::from_secs(3)).await.expect("sent once the agent has answered");
    assert_eq!(call.header("req-id"), "b");
    call.answer(200);
}

/// Discovery has moved, and the new one lags behind: it still lists a drained endpoint as in service.
#[tokio::test]
async fn an_older_list_does_not_bring_back_a_drained_endpoint() {
    let (discovery, mut drained, mut other) =
        (Discovery::start().await, Stub::start().await, Stub::start().await);
    let known = [target("t", drained.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    discovery.push(
        9,
        vec![
            target("t", drained.addr, 7, "plain", "terminating"),
            target("u", other.addr, 7, "plain", "in_service"),
        ],
    );
    for n in 0.. {
        forwarder.submit("keyed", &format!("probe-{n}"), 9000).await;
        tokio::select! {
            call = other.next() => { call.answer(200); break }
            call = drained.next() => call.answer(200),
        }
    }
    // An older version as a full list: "t" is in service in it, and "u" is not in it yet.
    let second = Discovery::start().await;
    second.push_full_list(
        4,
        vec![
            target("t", drained.addr, 7, "plain", "in_service"),
            target("v", other.addr, 8, "plain", "in_service"),
        ],
    );
    forwarder.reload(|c| c["discovery"] = json!(second.addr.to_string()));
    // The list has been applied once its other entry is in force.
    let dest_8 = [
        ("Req-Id", "x"),
        ("Req-Owner", "acme"),
        ("Req-Deadline-Ms", "9000"),
        ("Idempotency-Key", "k"),
        ("Envelope", "dest=8"),
    ];
    let applied = async {
        while support::request(forwarder.addr, "POST", "/keyed", &dest_8, b"")
            .await
            .is_none_or(|r| r.status() != 202)
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, applied).await.expect("the new list is applied in time");
    other.next().await.answer(200);
    forwarder.submit("keyed", "after", 9000).await;
    assert!(drained.stays_quiet(QUIET * 2).await, "a draining target was called because of an older list");
    // A version that is not older brings the endpoint back.
    second.push(9, vec![target("t", drained.addr, 7, "plain", "in_service")]);
    let call = drained.next().await;
    assert_eq!(call.header("req-id"), "after");
    call.answer(200);
}

// ---- Restarts ----

/// The first list of the new process lacks the destination of a message that was accepted and never sent: the
/// message waits for a list that has it.
#[tokio::test]
async fn a_recovered_unsent_message_waits_until_its_destination_is_listed() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let long_wait = |c: &mut Value| c["settings"]["limits"]["maxRetryAfter"] = json!(9000.0);
    let mut forwarder = Forwarder::start(&discovery, &known, long_wait).await;
    assert_eq!(forwarder.submit("keyed", "a", 600).await.status(), 202);
    stub.next().await.answer_with(429, &[("Wait-Ms", "9000")], "");
    // This end shows that the 429 has been read: the next message is held back by its wait.
    let notice = discovery.notice().await;
    assert_eq!((&notice["message"], &notice["outcome"]), (&json!("a"), &json!("handed_back")));
    assert_eq!(forwarder.submit("unsafe", "untried", 20_000).await.status(), 202);
    // Without the record the next process would repeat the notice of the first message.
    forwarder.wait_until_closed("a").await;
    assert!(stub.stays_quiet(QUIET).await, "the message was sent during the wait");
    forwarder.kill();
    forwarder.edit_config(|c| c["known"]["targets"] = json!([]));
    forwarder.restart().await;
    assert!(discovery.stays_quiet(QUIET).await, "the message was given up without a call");
    discovery.push_full_list(3, vec![target("t", stub.addr, 7, "plain", "in_service")]);
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "untried");
    call.answer(200);
}

/// The messages that an earlier process accepted and never sent nearly fill the limit on open messages, and
/// the only endpoint of their destination drains: new messages are refused, and none of the others is given up.
#[tokio::test]
async fn new_messages_do_not_displace_recovered_unsent_ones() {
    const OPEN_CAP: u64 = 100;
    const RECOVERED: u64 = OPEN_CAP - 2;
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let mut forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    forwarder.kill();
    forwarder.fill_journal(RECOVERED, Duration::from_secs(20));
    let draining = target("t", stub.addr, 7, "plain", "terminating");
    forwarder.edit_config(|c| c["known"]["targets"] = json!([draining]));
    forwarder.restart().await;
    for n in 0..50 {
        assert_eq!(forwarder.submit("unsafe", &format!("new-{n}"), 20_000).await.status(), 503);
    }
    assert!(discovery.stays_quiet(QUIET).await, "a recovered message was given up without a call");
    discovery.push_full_list(3, vec![target("t", stub.addr, 7, "plain", "in_service")]);
    let call = stub.next().await;
    assert!(call.header("req-id").starts_with("open-"));
    call.answer(200);
}

/// The process is killed behind a call that its endpoint never answers. What the call carried may have run, so
/// the next process gives it up; it must not be most of the messages that were accepted.
#[tokio::test]
async fn a_kill_behind_an_unanswered_call_leaves_half_of_the_unsafe_messages_unsent() {
    const MESSAGES: usize = 12;
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "several", "in_service")];
    let mut forwarder = Forwarder::start(&discovery, &known, |c| {
        c["settings"]["limits"]["maxRetryAfter"] = json!(9000.0);
        // Longer than any step of the test takes, so that the messages can wait.
        c["settings"]["classes"][1]["goalTime"] = json!(100_000.0);
        c["settings"]["classes"][1]["deadline"] = json!(200_000.0);
    })
    .await;
    // A wait holds the messages back until all of them are accepted. The notice shows that it has been read.
    assert_eq!(forwarder.submit("keyed", "first", 600).await.status(), 202);
    stub.next().await.answer_with(429, &[("Wait-Ms", "3000")], "");
    assert_eq!(discovery.notice().await["message"], "first");
    for n in 0..MESSAGES {
        assert_eq!(forwarder.submit("unsafe", &format!("m{n}"), 200_000).await.status(), 202);
    }
    let unanswered = stub.next().await;
    forwarder.kill();
    unanswered.wait_closed().await;
    forwarder.restart().await;
    let (mut given_up, mut delivered) = (0, 0);
    while given_up + delivered < MESSAGES {
        tokio::select! {
            notices = discovery.notices() => {
                given_up += notices.iter().filter(|notice| notice["message"] != "first").count();
            }
            call = stub.next() => {
                let items: Vec<Value> = serde_json::from_slice(&call.body).unwrap_or_default();
                delivered += items.len().max(1);
                let states: Vec<Value> =
                    items.iter().map(|item| json!({"id": item["id"], "state": "accepted"})).collect();
                call.answer_with(200, &[], &json!(states).to_string());
            }
        }
    }
    assert!(given_up * 2 <= MESSAGES, "{given_up} of {MESSAGES} were given up without a call");
}

/// A call was in flight when the process was killed, and the destination keeps its key for one second only.
#[tokio::test]
async fn does_not_repeat_a_keyed_message_after_its_key_ttl_of_a_second() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let mut forwarder =
        Forwarder::start(&discovery, &known, |c| c["settings"]["classes"][0]["keyTtl"] = json!(1000.0)).await;
    assert_eq!(forwarder.submit("keyed", "m", 20_000).await.status(), 202);
    let call = stub.next().await;
    forwarder.kill();
    call.wait_closed().await;
    sleep(Duration::from_millis(1000)).await;
    forwarder.restart().await;
    assert_eq!(discovery.notice().await, json!({"message": "m", "outcome": "given_up"}));
    assert!(stub.stays_quiet(QUIET).await);
}

/// A second SIGTERM, and a SIGHUP after the first, change nothing: the process exits in time, and the outcome
/// of the call is in the journal.
#[tokio::test]
async fn ignores_signals_during_the_shutdown() {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let mut forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    assert_eq!(forwarder.submit("unsafe", "m", 20_000).await.status(), 202);
    let in_flight = stub.next().await;
    let start = Instant::now();
    for _ in 0..3 {
        forwarder.send_sigterm();
        forwarder.send_sighup();
        sleep(Duration::from_millis(20)).await;
    }
    in_flight.answer(200);
    assert!(forwarder.wait_exit().await.success());
    assert!(start.elapsed() < Duration::from_millis(3700), "{:?}", start.elapsed());
    forwarder.restart().await;
    assert_eq!(forwarder.submit("unsafe", "m", 20_000).await.status(), 200);
    assert!(stub.stays_quiet(QUIET).await);
}

/// At SIGTERM some clients have idle connections, and others have just sent a request.
#[tokio::test]
async fn closes_idle_clients_without_a_reset_at_sigterm() {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let mut forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    let mut clients = Vec::new();
    for n in 0..6 {
        let mut client =
            RawConnection(TcpStream::connect(forwarder.addr).await.expect("the forwarder listens"));
        client.write(&message(&format!("m{n}"))).await;
        stub.next().await.answer(200);
        clients.push(client);
    }
    forwarder.pause().await;
    forwarder.send_sigterm();
    // Half of the connections have a pending request before the program handles the signal.
    for (n, client) in clients.iter_mut().enumerate().skip(3) {
        client.write(&message(&format!("late{n}"))).await;
    }
    forwarder.resume();
    let answering = tokio::spawn(async move {
        while let Some(call) = stub.next_within(Duration::from_secs(4)).await {
            call.answer(200);
        }
    });
    for (n, client) in clients.iter_mut().enumerate() {
        let text = client.read_to_clean_end().await;
        let answers = text.matches("HTTP/1.1 202").count();
        assert_eq!(answers, if n < 3 { 1 } else { 2 }, "client {n}: {text:?}");
    }
    assert!(forwarder.wait_exit().await.success());
    answering.abort();
}

fn message(id: &str) -> String {
    format!(
        "POST /unsafe HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9000\r\n\
         Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// The state folder has 100,000 open messages and discovery does not answer: the program becomes ready all
/// the same. It sends the messages that were never sent once discovery has answered, and not before.
#[tokio::test]
async fn starts_in_time_with_100_000_open_messages_and_a_silent_agent() {
    const MESSAGES: u64 = 100_000;
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    discovery.set_silent(true);
    let mut forwarder = Forwarder::start(&discovery, &known, |c| {
        c["limits"]["disk_mb"] = json!(400);
        c["limits"]["memory_mb"] = json!(512);
    })
    .await;
    forwarder.kill();
    forwarder.fill_journal(MESSAGES, Duration::from_secs(3600));
    let start = Instant::now();
    forwarder.restart().await;
    assert!(start.elapsed() < Duration::from_secs(10), "ready after {:?}", start.elapsed());
    assert!(stub.stays_quiet(QUIET).await, "sent by a list that nobody has confirmed");
    discovery.set_silent(false);
    for _ in 0..20 {
        let call = stub.next().await;
        assert!(call.header("req-id").starts_with("open-"));
        call.answer(200);
    }
}

// ---- Watches ----

/// After any failure of a request to discovery, its list is received before the platform counts it as
/// announced.
#[tokio::test]
async fn requests_the_list_again_in_time_after_any_failed_request() {
    /// Maximum time from the start of the request that fails to the start of the next one.
    const MAX_GAP: Duration = Duration::from_millis(3600);
    let (raw, stub) = (RawServer::start().await, Stub::start().await);
    let discovery = Discovery::start().await;
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let raw_addr = raw.addr;
    let _forwarder =
        Forwarder::start(&discovery, &known, |c| c["discovery"] = json!(raw_addr.to_string())).await;
    let empty = r#"{"rev":1,"all":false,"targets":[]}"#;
    let answers = [
        // No response, an incomplete body, a refusal, a garbled body, an incomplete first line, noise.
        "",
        "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":",
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{\"re",
        "HTTP/1.1 4",
        "noise\r\n\r\n",
    ];
    let mut call = raw.accept().await;
    for answer in answers.iter().chain(&answers) {
        call.head().await;
        // A complete response first, so that the request that fails is a continued watch.
        call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{empty}", empty.len())).await;
        let request = call.head().await;
        assert!(request.contains("wait=2000"), "{request:?}");
        let requested_at = Instant::now();
        call.write(answer).await;
        // The next request uses the same connection if the response was complete, else a new one.
        let is_complete = answer.contains("503");
        if !is_complete {
            call = raw.accept().await;
        }
        let again = call.head().await;
        assert!(
            requested_at.elapsed() < MAX_GAP,
            "after {answer:?} requested again in {:?}",
            requested_at.elapsed()
        );
        assert!(!again.contains("wait=2000"), "a new watch must not wait: {again:?}");
        call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{empty}", empty.len())).await;
    }
}

/// Idle clients try to take all descriptors, discovery does not answer, and the program restarts meanwhile:
/// it becomes ready in time, accepts messages, and keeps to its limit on descriptors. After each start discovery
/// answers once, and the messages are delivered.
#[tokio::test]
async fn serves_clients_beside_idle_clients_and_a_silent_discovery() {
    const DESCRIPTORS: u64 = 64;
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let settings = |c: &mut Value| c["limits"]["sockets"] = json!(DESCRIPTORS);
    discovery.set_silent(true);
    let mut forwarder = Forwarder::start(&discovery, &known, settings).await;
    for round in 0..2 {
        assert_eq!(forwarder.submit("keyed", &format!("first{round}"), 9000).await.status(), 202);
        discovery.set_silent(false);
        stub.next().await.answer(200);
        discovery.set_silent(true);
        let mut idle = Vec::new();
        for n in 0..100 {
            if let Ok(Ok(stream)) = timeout(QUIET, TcpStream::connect(forwarder.addr)).await {
                idle.push(stream);
            }
            if n % 20 == 19 {
                // A client that has sent nothing for a quarter of a second may be closed in favour of
                // another.
                sleep(QUIET * 2).await;
                let id = format!("m{round}-{n}");
                assert_eq!(forwarder.submit("keyed", &id, 9000).await.status(), 202);
                stub.next().await.answer(200);
                let open = forwarder.descriptors();
                assert!(open <= DESCRIPTORS, "{open} descriptors");
            }
        }
        forwarder.kill();
        let start = Instant::now();
        forwarder.restart().await;
        assert!(start.elapsed() < Duration::from_secs(5), "ready after {:?}", start.elapsed());
    }
}

// ---- Descriptors ----

/// The configuration allows more descriptors than the system. The limit of the system has to be split, or
/// idle clients would take what calls, discovery and the journal need.
#[tokio::test]
async fn applies_the_descriptor_limit_of_the_system_if_it_is_lower() {
    const DESCRIPTORS: u64 = 64;
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let settings = |c: &mut Value| c["limits"]["sockets"] = json!(4096);
    let forwarder = Forwarder::start_within(Some(DESCRIPTORS), &discovery, &known, settings).await;
    let mut client = RawConnection(TcpStream::connect(forwarder.addr).await.expect("the forwarder listens"));
    let mut idle = Vec::new();
    for _ in 0..100 {
        if let Ok(Ok(stream)) = timeout(QUIET, TcpStream::connect(forwarder.addr)).await {
            idle.push(stream);
        }
    }
    // The calls are concurrent, each on its own connection.
    for n in 0..10 {
        client.write(&message(&format!("m{n}"))).await;
        let answer = client.head().await;
        assert!(answer.starts_with("HTTP/1.1 202"), "message {n}: {answer}");
    }
    let mut calls = Vec::new();
    for n in 0..10 {
        let call = stub.next_within(Duration::from_secs(1)).await;
        calls.push(
            call.unwrap_or_else(|| {
                panic!("call {n} does not arrive, {} descriptors", forwarder.descriptors())
            }),
        );
    }
    calls.into_iter().for_each(|call| call.answer(200));
}

/// The system has no descriptors left: the accept loop neither spins nor ends, connected clients are served,
/// and once there are descriptors again new clients are served too.
#[tokio::test]
async fn serves_connected_clients_without_free_descriptors_and_recovers() {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    let mut client = RawConnection(TcpStream::connect(forwarder.addr).await.expect("the forwarder listens"));
    client.write(&message("first")).await;
    // The connection to the endpoint is kept for the next call.
    stub.next().await.answer(200);
    assert!(client.head().await.starts_with("HTTP/1.1 202"));
    forwarder.set_descriptor_limit(1);
    let (ticks_before, start) = (forwarder.cpu_ticks(), Instant::now());
    let queued = TcpStream::connect(forwarder.addr).await.expect("the system accepts the connection");
    client.write(&message("second")).await;
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "second");
    call.answer(200);
    assert!(client.head().await.starts_with("HTTP/1.1 202"));
    sleep(Duration::from_secs(1)).await;
    let (used, elapsed) = (forwarder.cpu_ticks() - ticks_before, start.elapsed());
    assert!(u128::from(used) * 10 * 4 < elapsed.as_millis(), "{used} ticks in {elapsed:?}");
    forwarder.set_descriptor_limit(1024);
    let mut queued = RawConnection(queued);
    queued.write(&message("third")).await;
    assert!(queued.head().await.starts_with("HTTP/1.1 202"));
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "third");
    call.answer(200);
}

// ---- Calls ----

/// One of two endpoints accepts no connection: messages go to the other endpoint long before the connect
/// timeout.
#[tokio::test]
async fn messages_do_not_wait_for_a_slow_connection_to_one_endpoint() {
    let (discovery, full, mut other) =
        (Discovery::start().await, FullBacklog::start().await, Stub::start().await);
    let known =
        [target("t", full.addr, 7, "plain", "in_service"), target("u", other.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, |c| {
        c["settings"]["limits"]["connectTimeout"] = json!(6000.0);
    })
    .await;
    for n in 0..8 {
        assert_eq!(forwarder.submit("unsafe", &format!("m{n}"), 20_000).await.status(), 202);
    }
    let start = Instant::now();
    for n in 0..8 {
        let time_left = Duration::from_secs(4).saturating_sub(start.elapsed());
        let call = other.next_within(time_left).await;
        call.unwrap_or_else(|| panic!("message {n} waits for the connection to the other target"))
            .answer(200);
    }
}

/// The head of the response, with the wait, is complete; its body is not.
#[tokio::test]
async fn obeys_a_wait_in_a_response_whose_body_never_ends() {
    let (discovery, raw) = (Discovery::start().await, RawServer::start().await);
    let known = [target("t", raw.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    assert_eq!(forwarder.submit("keyed", "m", 20_000).await.status(), 202);
    let mut call = raw.accept().await;
    call.request().await;
    call.write("HTTP/1.1 429 Busy\r\nWait-Ms: 4000\r\nContent-Length: 9\r\n\r\nhal").await;
    let answered_at = Instant::now();
    let mut next = raw.accept().await;
    next.request().await;
    assert!(answered_at.elapsed() >= Duration::from_secs(4), "called after {:?}", answered_at.elapsed());
}

// ---- Bursts of connections ----

/// Guards against connections that the system drops because too many wait to be accepted: the client tries again
/// only after a second, when it no longer waits for its answer.
#[tokio::test]
async fn a_burst_of_connections_is_established_while_the_process_is_held_up() {
    let (discovery, stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, |c| c["limits"]["sockets"] = json!(1024)).await;
    forwarder.pause().await;
    let mut connections = Vec::new();
    // A third of the descriptors.
    for n in 0..340 {
        let connecting = timeout(Duration::from_millis(400), TcpStream::connect(forwarder.addr)).await;
        connections.push(connecting.unwrap_or_else(|_| panic!("connection {n} is not established")));
    }
    forwarder.resume();
    assert_eq!(forwarder.submit("keyed", "m", 1000).await.status(), 202);
}
