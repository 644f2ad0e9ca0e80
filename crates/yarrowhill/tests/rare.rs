//! Rare faults: restarts with requests in flight, silent lists, and what falls between two steps of the real program,
//! over loopback sockets. Each order of events is made to happen: stand-ins hold bytes back and let go on command, the
//! kernel lines events up while the program is stopped.

mod support;

use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{Discovery, Forwarder, Jammed, Raw, RawCall, SOON, Stub, target};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const QUIET: Duration = Duration::from_millis(150);

/// Grace after a drain was told, and the time that a connection has to come up: longer than the grace.
fn short_grace(c: &mut Value) {
    c["settings"]["guarantees"]["stopSendingWithin"] = json!(250.0);
    c["settings"]["limits"]["connectTimeout"] = json!(9000.0);
}

// ---- Drains ----

/// A call is decided, its connection takes its time, and meanwhile the drain is told. Its first byte would leave long
/// after the grace.
#[tokio::test]
async fn a_call_whose_connection_comes_up_after_a_drain_is_not_written() {
    let (discovery, mut jammed, mut next) =
        (Discovery::start().await, Jammed::start().await, Stub::start().await);
    let known = [target("t", jammed.addr, 7, "plain", "in_service")];
    let f = Forwarder::start(&discovery, &known, short_grace).await;
    assert_eq!(f.hand_in("keyed", "m", 20_000).await.status(), 202);
    sleep(QUIET).await;
    discovery.push(
        2,
        vec![
            target("t", jammed.addr, 7, "plain", "terminating"),
            target("u", next.addr, 7, "plain", "in_service"),
        ],
    );
    // It goes elsewhere as soon as the drain is told.
    let call = next.next_within(Duration::from_secs(2)).await.expect("the message is free at once");
    assert_eq!(call.header("req-id"), "m");
    call.answer(200);
    jammed.let_in(Duration::from_secs(4)).await;
    assert_eq!(jammed.read(), 0, "it was written");
}

/// The program is stopped while a connection comes up; the drain is told meanwhile. It wakes with both before it.
#[tokio::test]
async fn a_call_decided_before_a_stop_is_not_written_after_it() {
    let (discovery, mut jammed, mut next) =
        (Discovery::start().await, Jammed::start().await, Stub::start().await);
    let known = [target("t", jammed.addr, 7, "plain", "in_service")];
    let f = Forwarder::start(&discovery, &known, short_grace).await;
    assert_eq!(f.hand_in("keyed", "m", 20_000).await.status(), 202);
    sleep(QUIET).await;
    f.stop().await;
    discovery.push(
        2,
        vec![
            target("t", jammed.addr, 7, "plain", "terminating"),
            target("u", next.addr, 7, "plain", "in_service"),
        ],
    );
    // The system brings the connection up for the stopped program.
    jammed.let_in(Duration::from_secs(2)).await;
    f.go_on();
    let call = next.next().await;
    assert_eq!(call.header("req-id"), "m");
    call.answer(200);
    jammed.let_in(Duration::from_secs(1)).await;
    assert_eq!(jammed.read(), 0, "it was written");
}

/// A new process knows an old list, and the agent has had another for long.
#[tokio::test]
async fn a_new_process_sends_nothing_before_it_has_heard_what_the_agent_has() {
    let (discovery, mut old, mut new) = (Discovery::start().await, Stub::start().await, Stub::start().await);
    let known = [target("t", old.addr, 7, "plain", "in_service")];
    let mut f = Forwarder::start(&discovery, &known, |_| {}).await;
    assert_eq!(f.hand_in("keyed", "a", 20_000).await.status(), 202);
    let call = old.next().await;
    call.answer_with(429, &[("Wait-Ms", "9000")], "");
    // Taken on and not tried.
    assert_eq!(f.hand_in("keyed", "b", 20_000).await.status(), 202);
    f.kill();
    discovery.push(
        5,
        vec![
            target("t", old.addr, 7, "plain", "terminating"),
            target("u", new.addr, 7, "plain", "in_service"),
        ],
    );
    f.restart().await;
    for _ in 0..2 {
        new.next().await.answer(200);
    }
    assert!(old.is_quiet(QUIET).await, "a target that drains was called");
}

/// Discovery says nothing at all: what is known has to do, and soon.
#[tokio::test]
async fn a_new_process_does_not_wait_for_a_silent_agent() {
    let (silent, mut stub) = (Raw::start().await, Stub::start().await);
    let discovery = Discovery::start().await;
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let at = silent.addr;
    let start = Instant::now();
    let f = Forwarder::start(&discovery, &known, |c| c["discovery"] = json!(at.to_string())).await;
    assert!(start.elapsed() < Duration::from_secs(5), "ready after {:?}", start.elapsed());
    assert_eq!(f.hand_in("keyed", "m", 9000).await.status(), 202);
    let call = stub.next_within(Duration::from_secs(3)).await.expect("it is sent by what is known");
    call.answer(200);
}

/// Discovery has moved, and the new one has fallen behind: it still lists as in service what has drained.
#[tokio::test]
async fn an_older_list_brings_nobody_back_who_has_drained() {
    let (discovery, mut drained, mut other) =
        (Discovery::start().await, Stub::start().await, Stub::start().await);
    let known = [target("t", drained.addr, 7, "plain", "in_service")];
    let f = Forwarder::start(&discovery, &known, |_| {}).await;
    discovery.push(
        9,
        vec![
            target("t", drained.addr, 7, "plain", "terminating"),
            target("u", other.addr, 7, "plain", "in_service"),
        ],
    );
    for n in 0.. {
        f.hand_in("keyed", &format!("probe-{n}"), 9000).await;
        tokio::select! {
            call = other.next() => { call.answer(200); break }
            call = drained.next() => call.answer(200),
        }
    }
    // An older version, whole: "t" is in service there, and "u" is not known yet.
    let second = Discovery::start().await;
    second.push_whole(
        4,
        vec![
            target("t", drained.addr, 7, "plain", "in_service"),
            target("v", other.addr, 8, "plain", "in_service"),
        ],
    );
    f.reload(|c| c["discovery"] = json!(second.addr.to_string()));
    // It has been heard once its other line holds.
    let dest_8 = [
        ("Req-Id", "x"),
        ("Req-Owner", "acme"),
        ("Req-Deadline-Ms", "9000"),
        ("Idempotency-Key", "k"),
        ("Envelope", "dest=8"),
    ];
    let heard = async {
        while support::request(f.addr, "POST", "/keyed", &dest_8, b"").await.is_none_or(|r| r.status() != 202)
        {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(SOON, heard).await.expect("the new list is heard");
    other.next().await.answer(200);
    f.hand_in("keyed", "after", 9000).await;
    assert!(drained.is_quiet(QUIET * 2).await, "one that drains was called by an older word");
    // A version that is not older brings it back.
    second.push(9, vec![target("t", drained.addr, 7, "plain", "in_service")]);
    let call = drained.next().await;
    assert_eq!(call.header("req-id"), "after");
    call.answer(200);
}

// ---- Restarts ----

/// The list that the new process begins with does not know the destination of a message that was taken on and never
/// tried: the message waits for one that does.
#[tokio::test]
async fn a_message_found_untried_waits_for_its_destination_to_be_listed() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let mut f = Forwarder::start(&discovery, &known, |_| {}).await;
    assert_eq!(f.hand_in("keyed", "a", 600).await.status(), 202);
    stub.next().await.answer_with(429, &[("Wait-Ms", "9000")], "");
    assert_eq!(f.hand_in("unsafe", "untried", 20_000).await.status(), 202);
    // Only the other one is left.
    assert_eq!(discovery.notice().await["message"], "a");
    until_settled(&f).await;
    f.kill();
    f.configure(|c| c["known"]["targets"] = json!([]));
    f.restart().await;
    assert!(discovery.is_quiet(QUIET).await, "it was given up with no call");
    discovery.push_whole(3, vec![target("t", stub.addr, 7, "plain", "in_service")]);
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "untried");
    call.answer(200);
}

/// The end of the message before this one is on record: the same id is answered by it.
async fn until_settled(f: &Forwarder) {
    let settled = async {
        while f.hand_in("keyed", "a", 600).await.status() == 202 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(SOON, settled).await.expect("it ends");
}

/// A call was out when the process died, and the destination remembers its key for a second only.
#[tokio::test]
async fn a_keyed_message_is_not_repeated_beyond_a_window_of_a_second() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let mut f =
        Forwarder::start(&discovery, &known, |c| c["settings"]["classes"][0]["keyTtl"] = json!(1000.0)).await;
    assert_eq!(f.hand_in("keyed", "m", 20_000).await.status(), 202);
    let call = stub.next().await;
    f.kill();
    call.closed().await;
    sleep(Duration::from_millis(1000)).await;
    f.restart().await;
    assert_eq!(discovery.notice().await, json!({"message": "m", "outcome": "given_up"}));
    assert!(stub.is_quiet(QUIET).await);
}

/// A second SIGTERM, and SIGHUP after the first, change nothing: the end comes in time, and what is owed is on disk.
#[tokio::test]
async fn signals_during_the_shutdown_change_nothing() {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let mut f = Forwarder::start(&discovery, &known, |_| {}).await;
    assert_eq!(f.hand_in("unsafe", "m", 20_000).await.status(), 202);
    let out = stub.next().await;
    let start = Instant::now();
    for _ in 0..3 {
        f.terminate();
        f.hang_up();
        sleep(Duration::from_millis(20)).await;
    }
    out.answer(200);
    assert!(f.exited().await.success());
    assert!(start.elapsed() < Duration::from_millis(3700), "{:?}", start.elapsed());
    f.restart().await;
    assert_eq!(f.hand_in("unsafe", "m", 20_000).await.status(), 200);
    assert!(stub.is_quiet(QUIET).await);
}

/// SIGTERM finds clients that rest until they are ended, and one whose request comes in that moment.
#[tokio::test]
async fn clients_that_rest_at_sigterm_are_ended_without_a_reset() {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let mut f = Forwarder::start(&discovery, &known, |_| {}).await;
    let mut resting = Vec::new();
    for n in 0..6 {
        let mut client = RawCall(TcpStream::connect(f.addr).await.expect("it listens"));
        client.write(&message(&format!("m{n}"))).await;
        stub.next().await.answer(200);
        resting.push(client);
    }
    f.stop().await;
    f.terminate();
    // Before the program sees the signal, requests stand on half of the connections.
    for (n, client) in resting.iter_mut().enumerate().skip(3) {
        client.write(&message(&format!("late{n}"))).await;
    }
    f.go_on();
    let answering = tokio::spawn(async move {
        while let Some(call) = stub.next_within(Duration::from_secs(4)).await {
            call.answer(200);
        }
    });
    for (n, client) in resting.iter_mut().enumerate() {
        let text = client.rest_unbroken().await;
        let answers = text.matches("HTTP/1.1 202").count();
        assert_eq!(answers, if n < 3 { 1 } else { 2 }, "client {n}: {text:?}");
    }
    assert!(f.exited().await.success());
    answering.abort();
}

fn message(id: &str) -> String {
    format!(
        "POST /unsafe HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9000\r\n\
         Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// A folder with 100,000 open messages, and an agent that says nothing: ready all the same, and what was never tried is sent.
#[tokio::test]
async fn a_hundred_thousand_open_messages_and_a_silent_agent_delay_no_start() {
    const MESSAGES: u64 = 100_000;
    let (silent, mut stub, discovery) = (Raw::start().await, Stub::start().await, Discovery::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let at = silent.addr;
    let mut f = Forwarder::start(&discovery, &known, |c| {
        c["discovery"] = json!(at.to_string());
        c["limits"]["disk_mb"] = json!(400);
        c["limits"]["memory_mb"] = json!(512);
    })
    .await;
    f.kill();
    f.fill(MESSAGES, Duration::from_secs(3600));
    let start = Instant::now();
    f.restart().await;
    assert!(start.elapsed() < Duration::from_secs(10), "ready after {:?}", start.elapsed());
    for _ in 0..20 {
        let call = stub.next().await;
        assert!(call.header("req-id").starts_with("open-"));
        call.answer(200);
    }
}

// ---- Watches ----

/// Whatever becomes of the calls to discovery, what it has is heard before it counts as told.
#[tokio::test]
async fn whatever_became_of_the_calls_the_list_is_asked_for_again_in_time() {
    /// Counts from the ask that fails to the next one's beginning.
    const NEXT: Duration = Duration::from_millis(3600);
    let (raw, stub) = (Raw::start().await, Stub::start().await);
    let discovery = Discovery::start().await;
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let at = raw.addr;
    let _f = Forwarder::start(&discovery, &known, |c| c["discovery"] = json!(at.to_string())).await;
    let empty = r#"{"rev":1,"all":false,"targets":[]}"#;
    let answers = [
        // Silent from the start, after some answers, cut in half, garbled, refused, with a body that never ends.
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
        // A whole answer first: the watch that goes on is the one that fails.
        call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{empty}", empty.len())).await;
        let ask = call.head().await;
        assert!(ask.contains("wait=2000"), "{ask:?}");
        let asked = Instant::now();
        call.write(answer).await;
        // On the same connection where the answer was whole, else on a new one.
        let whole = answer.contains("503");
        if !whole {
            call = raw.accept().await;
        }
        let again = call.head().await;
        assert!(asked.elapsed() < NEXT, "after {answer:?} asked again in {:?}", asked.elapsed());
        assert!(!again.contains("wait=2000"), "a new watch tells at once what there is: {again:?}");
        call.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{empty}", empty.len())).await;
    }
}

/// Idle clients come for every descriptor there is, discovery says nothing, and the program starts anew meanwhile: it is
/// ready soon, messages are taken on and delivered, and the bound on descriptors holds.
#[tokio::test]
async fn idle_clients_and_a_silent_discovery_shut_nobody_out() {
    const DESCRIPTORS: u64 = 64;
    let (silent, mut stub, discovery) = (Raw::start().await, Stub::start().await, Discovery::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let at = silent.addr;
    let settings = |c: &mut Value| {
        c["discovery"] = json!(at.to_string());
        c["limits"]["sockets"] = json!(DESCRIPTORS);
    };
    let mut f = Forwarder::start(&discovery, &known, settings).await;
    for round in 0..2 {
        let mut idle = Vec::new();
        for n in 0..100 {
            if let Ok(Ok(stream)) = timeout(QUIET, TcpStream::connect(f.addr)).await {
                idle.push(stream);
            }
            if n % 20 == 19 {
                // A client that has said nothing for a quarter of a second may be ended for another.
                sleep(QUIET * 2).await;
                let id = format!("m{round}-{n}");
                assert_eq!(f.hand_in("keyed", &id, 9000).await.status(), 202);
                stub.next().await.answer(200);
                let open = f.descriptors();
                assert!(open <= DESCRIPTORS, "{open} descriptors");
            }
        }
        f.kill();
        let start = Instant::now();
        f.restart().await;
        assert!(start.elapsed() < Duration::from_secs(5), "ready after {:?}", start.elapsed());
    }
}

// ---- Descriptors ----

/// The configuration allows more descriptors than the system gives: what is shared out is what there is, or idle clients
/// would take what calls, discovery and the journal need.
#[tokio::test]
async fn a_lower_limit_of_the_system_is_shared_out() {
    const DESCRIPTORS: u64 = 64;
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let many = |c: &mut Value| c["limits"]["sockets"] = json!(4096);
    let f = Forwarder::start_within(Some(DESCRIPTORS), &discovery, &known, many).await;
    let mut client = RawCall(TcpStream::connect(f.addr).await.expect("it listens"));
    let mut idle = Vec::new();
    for _ in 0..100 {
        if let Ok(Ok(stream)) = timeout(QUIET, TcpStream::connect(f.addr)).await {
            idle.push(stream);
        }
    }
    // All at once, each on a connection of its own.
    for n in 0..10 {
        client.write(&message(&format!("m{n}"))).await;
        let answer = client.head().await;
        assert!(answer.starts_with("HTTP/1.1 202"), "message {n}: {answer}");
    }
    let mut out = Vec::new();
    for n in 0..10 {
        let call = stub.next_within(Duration::from_secs(1)).await;
        out.push(call.unwrap_or_else(|| panic!("call {n} does not come, {} descriptors", f.descriptors())));
    }
    out.into_iter().for_each(|call| call.answer(200));
}

/// The descriptors are used up in truth: accepting neither spins nor ends, what is connected is served, and once there are
/// some again all is as before.
#[tokio::test]
async fn out_of_descriptors_it_serves_whom_it_has_and_goes_on() {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let f = Forwarder::start(&discovery, &known, |_| {}).await;
    let mut client = RawCall(TcpStream::connect(f.addr).await.expect("it listens"));
    client.write(&message("first")).await;
    // Its connection is kept for the next call.
    stub.next().await.answer(200);
    assert!(client.head().await.starts_with("HTTP/1.1 202"));
    f.limit_descriptors(1);
    let (ticks, start) = (f.ticks(), Instant::now());
    let queued = TcpStream::connect(f.addr).await.expect("the system takes it on");
    client.write(&message("second")).await;
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "second");
    call.answer(200);
    assert!(client.head().await.starts_with("HTTP/1.1 202"));
    sleep(Duration::from_secs(1)).await;
    let (used, span) = (f.ticks() - ticks, start.elapsed());
    assert!(u128::from(used) * 10 * 4 < span.as_millis(), "{used} ticks in {span:?}");
    f.limit_descriptors(1024);
    let mut queued = RawCall(queued);
    queued.write(&message("third")).await;
    assert!(queued.head().await.starts_with("HTTP/1.1 202"));
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "third");
    call.answer(200);
}

// ---- Calls ----

/// One of two targets accepts no connection: messages go to the other long before the connection's time is up.
#[tokio::test]
async fn messages_do_not_wait_for_one_late_connection() {
    let (discovery, jammed, mut other) =
        (Discovery::start().await, Jammed::start().await, Stub::start().await);
    let known = [
        target("t", jammed.addr, 7, "plain", "in_service"),
        target("u", other.addr, 7, "plain", "in_service"),
    ];
    let f = Forwarder::start(&discovery, &known, |c| {
        c["settings"]["limits"]["connectTimeout"] = json!(6000.0);
    })
    .await;
    for n in 0..8 {
        assert_eq!(f.hand_in("unsafe", &format!("m{n}"), 20_000).await.status(), 202);
    }
    let start = Instant::now();
    for n in 0..8 {
        let left = Duration::from_secs(4).saturating_sub(start.elapsed());
        let call = other.next_within(left).await;
        call.unwrap_or_else(|| panic!("message {n} waits for the other connection")).answer(200);
    }
}

/// A wait stands in a head that is whole; the body behind it is not.
#[tokio::test]
async fn a_wait_in_an_answer_that_never_ends_binds() {
    let (discovery, raw) = (Discovery::start().await, Raw::start().await);
    let known = [target("t", raw.addr, 7, "plain", "in_service")];
    let f = Forwarder::start(&discovery, &known, |_| {}).await;
    assert_eq!(f.hand_in("keyed", "m", 20_000).await.status(), 202);
    let mut call = raw.accept().await;
    call.request().await;
    call.write("HTTP/1.1 429 Busy\r\nWait-Ms: 4000\r\nContent-Length: 9\r\n\r\nhal").await;
    let told = Instant::now();
    let mut next = raw.accept().await;
    next.request().await;
    assert!(told.elapsed() >= Duration::from_secs(4), "called after {:?}", told.elapsed());
}
