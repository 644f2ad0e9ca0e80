//! Answers that come twice, late, or in part, against the real program over loopback sockets: on a connection
//! that is used again, an answer must not be taken for that of another call.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::{Discovery, Forwarder, target};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Longer than the program lets a connection rest before it uses it again.
const RESTED: Duration = Duration::from_millis(700);
/// Time in which whatever is still to come arrives.
const SETTLE: Duration = Duration::from_millis(1500);

const DELIVERED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const REFUSED: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const REFUSED_WITH_WAIT: &str = "HTTP/1.1 429 Wait\r\nWait-Ms: 400\r\nContent-Length: 0\r\n\r\n";

/// What the endpoint does with one call.
#[derive(Clone, Copy)]
struct Reply {
    /// Time that the call takes (ms).
    after_ms: u64,
    /// Bytes of the answer; the connection is closed in place of an empty one.
    answer: &'static str,
    /// Bytes written again on the same connection, each with its delay after the answer (ms).
    again: &'static [(u64, &'static str)],
}

const fn reply(after_ms: u64, answer: &'static str) -> Reply {
    Reply { after_ms, answer, again: &[] }
}

/// An endpoint that answers the calls on each connection in order, the n-th call of all with the n-th reply,
/// and later ones with 200.
struct Endpoint {
    addr: SocketAddr,
    calls: mpsc::UnboundedReceiver<String>,
}

impl Endpoint {
    async fn start(replies: &'static [Reply]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("the listener is bound");
        let (send, calls) = mpsc::unbounded_channel();
        let count = Arc::new(AtomicUsize::new(0));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(Arc::new(stream), replies, count.clone(), send.clone()));
            }
        });
        Endpoint { addr, calls }
    }

    /// Returns how often each message was sent until now, after what is still to come has arrived.
    async fn sends(&mut self) -> HashMap<String, usize> {
        sleep(SETTLE).await;
        let mut sends = HashMap::new();
        while let Ok(call) = self.calls.try_recv() {
            let id = call.split("req-id: ").nth(1).and_then(|rest| rest.lines().next());
            *sends.entry(id.unwrap_or_default().to_owned()).or_default() += 1;
        }
        sends
    }
}

async fn serve(
    stream: Arc<TcpStream>,
    replies: &'static [Reply],
    count: Arc<AtomicUsize>,
    calls: mpsc::UnboundedSender<String>,
) {
    let mut unread = Vec::new();
    while let Some(call) = read_call(&stream, &mut unread).await {
        let n = count.fetch_add(1, Ordering::Relaxed);
        let _ = calls.send(call);
        let reply = replies.get(n).copied().unwrap_or(reply(0, DELIVERED));
        sleep(Duration::from_millis(reply.after_ms)).await;
        if reply.answer.is_empty() {
            return;
        }
        write(&stream, reply.answer).await;
        for &(delay_ms, bytes) in reply.again {
            let stream = stream.clone();
            tokio::spawn(async move {
                sleep(Duration::from_millis(delay_ms)).await;
                write(&stream, bytes).await;
            });
        }
    }
}

/// Reads one request. Returns `None` at the end of the stream.
async fn read_call(stream: &TcpStream, unread: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(unread).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1)?.lines().next()?.parse().ok()?;
            if body.len() >= length {
                unread.drain(..head.len() + 4 + length);
                return Some(text[..head.len() + 4 + length].to_owned());
            }
        }
        stream.readable().await.ok()?;
        match stream.try_read_buf(unread) {
            Ok(0) => return None,
            Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return None,
            _ => {}
        }
    }
}

/// Writes bytes that fit into the send buffer, unless the peer has closed the connection.
async fn write(stream: &TcpStream, bytes: &str) {
    if stream.writable().await.is_ok() {
        let _ = stream.try_write(bytes.as_bytes());
    }
}

struct Fixture {
    _discovery: Discovery,
    endpoint: Endpoint,
    forwarder: Forwarder,
}

async fn fixture(replies: &'static [Reply]) -> Fixture {
    let (discovery, endpoint) = (Discovery::start().await, Endpoint::start(replies).await);
    let known = [target("t", endpoint.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, |_| {}).await;
    Fixture { _discovery: discovery, endpoint, forwarder }
}

impl Fixture {
    /// Submits a message, waits until it is delivered, and lets its connection rest.
    async fn deliver_first(&self, class: &str) {
        assert_eq!(self.forwarder.submit(class, "first", 9000).await.status(), 202);
        self.forwarder.wait_until_delivered(class, "first").await;
        sleep(RESTED).await;
    }

    /// Submits a message, and checks that it is sent `sends` times and reported as delivered.
    async fn delivers(&mut self, class: &str, sends: usize) {
        assert_eq!(self.forwarder.submit(class, "next", 9000).await.status(), 202);
        self.forwarder.wait_until_delivered(class, "next").await;
        assert_eq!(self.endpoint.sends().await.get("next"), Some(&sends), "sends");
    }
}

/// The first call is answered twice; the copy comes while the next call, which is refused, is out.
const LATE_COPY: &[Reply] =
    &[Reply { again: &[(800, DELIVERED)], ..reply(0, DELIVERED) }, reply(200, REFUSED), reply(0, DELIVERED)];

/// Guards against lost messages: a copy of the answer before, read as the answer to a call that was refused,
/// ended the message without a delivery.
#[tokio::test]
async fn a_copy_of_a_delivery_does_not_end_a_message_whose_call_is_refused() {
    for class in ["keyed", "unsafe"] {
        let mut fixture = fixture(LATE_COPY).await;
        fixture.deliver_first(class).await;
        fixture.delivers(class, 2).await;
    }
}

/// Guards against lost messages: as above, with the copy a few milliseconds after the answer and the next
/// call sent at once.
#[tokio::test]
async fn a_copy_right_after_its_answer_does_not_end_the_next_message() {
    const REPLIES: &[Reply] =
        &[Reply { again: &[(60, DELIVERED)], ..reply(0, DELIVERED) }, reply(200, REFUSED)];
    let mut fixture = fixture(REPLIES).await;
    assert_eq!(fixture.forwarder.submit("unsafe", "first", 9000).await.status(), 202);
    fixture.forwarder.wait_until_delivered("unsafe", "first").await;
    fixture.delivers("unsafe", 2).await;
}

/// Guards against repeated effects: after a copy the connection was one answer behind, and a call that ran
/// was sent again because it got the refusal of the one before.
#[tokio::test]
async fn a_message_that_must_not_be_repeated_does_not_get_the_refusal_of_the_call_before() {
    const REPLIES: &[Reply] = &[
        Reply { again: &[(60, DELIVERED)], ..reply(0, DELIVERED) },
        reply(200, REFUSED),
        reply(200, DELIVERED),
    ];
    let mut fixture = fixture(REPLIES).await;
    assert_eq!(fixture.forwarder.submit("unsafe", "first", 9000).await.status(), 202);
    fixture.forwarder.wait_until_delivered("unsafe", "first").await;
    assert_eq!(fixture.forwarder.submit("unsafe", "refused", 9000).await.status(), 202);
    // The copy has come, and the second call is still out.
    sleep(Duration::from_millis(120)).await;
    assert_eq!(fixture.forwarder.submit("unsafe", "last", 9000).await.status(), 202);
    let sends = fixture.endpoint.sends().await;
    assert_eq!((sends.get("refused"), sends.get("last")), (Some(&2), Some(&1)), "sends");
}

/// Guards against lost messages: more copies than one come before the call's own answer.
#[tokio::test]
async fn several_copies_of_a_delivery_do_not_end_the_next_message() {
    const REPLIES: &[Reply] = &[
        Reply { again: &[(770, DELIVERED), (800, DELIVERED), (830, DELIVERED)], ..reply(0, DELIVERED) },
        reply(200, REFUSED),
    ];
    let mut fixture = fixture(REPLIES).await;
    fixture.deliver_first("unsafe").await;
    fixture.delivers("unsafe", 2).await;
}

/// Guards against lost messages: the first bytes of a copy stood before the refusal of the next call, and its
/// status line ended the message.
#[tokio::test]
async fn a_part_of_a_copy_does_not_end_the_next_message() {
    const REPLIES: &[Reply] =
        &[Reply { again: &[(800, "HTTP/1.1 200 OK\r\nConte")], ..reply(0, DELIVERED) }, reply(200, REFUSED)];
    let mut fixture = fixture(REPLIES).await;
    fixture.deliver_first("keyed").await;
    fixture.delivers("keyed", 2).await;
}

/// Guards against lost messages: the connection breaks after a copy, before the call's own answer.
#[tokio::test]
async fn a_copy_before_the_connection_breaks_does_not_end_the_next_message() {
    const REPLIES: &[Reply] = &[Reply { again: &[(800, DELIVERED)], ..reply(0, DELIVERED) }, reply(200, "")];
    let mut fixture = fixture(REPLIES).await;
    fixture.deliver_first("keyed").await;
    fixture.delivers("keyed", 2).await;
}

/// Guards against calls within a wait: the own answer of a call, which came after a copy, announced a wait.
#[tokio::test]
async fn a_wait_in_the_answer_after_a_copy_is_obeyed() {
    const REPLIES: &[Reply] =
        &[Reply { again: &[(800, DELIVERED)], ..reply(0, DELIVERED) }, reply(200, REFUSED_WITH_WAIT)];
    let mut fixture = fixture(REPLIES).await;
    fixture.deliver_first("keyed").await;
    assert_eq!(fixture.forwarder.submit("keyed", "next", 9000).await.status(), 202);
    let refused = async { while fixture.endpoint.calls.recv().await.is_some_and(|c| !c.contains("next")) {} };
    timeout(SETTLE, refused).await.expect("the next message is sent");
    // The refusal comes after 200 ms, and its wait lasts for 400 ms.
    let early = timeout(Duration::from_millis(560), fixture.endpoint.calls.recv()).await;
    assert!(early.is_err(), "a call in the wait");
    assert_eq!(fixture.endpoint.sends().await.get("next"), Some(&1), "sends after the wait");
}
