//! Memory of the real program while peers send in a way that makes it hold much, and its service to others
//! meanwhile. The limit is the smallest that the platform gives (LATER, "Score").

mod support;

use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Discovery, Forwarder, RawConnection, RawServer, Stub, target};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

const MEMORY_MB: u64 = 32;
/// Longest body of a message.
const BODY_BYTES: usize = 64 << 10;
/// Time that a client waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time within which a client that stops in a request gets an error or a close.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

fn smallest_limits(c: &mut Value) {
    c["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024, "disk_mb": 3});
    c["settings"]["familyInfo"]["slots"] = json!(40);
}

/// Fails once the forwarder holds more than its limit. Never returns otherwise.
async fn exceed_memory(forwarder: &Forwarder) {
    loop {
        let held = forwarder.memory_bytes();
        assert!(held <= MEMORY_MB << 20, "{} KiB are held of {MEMORY_MB} MiB", held >> 10);
        sleep(Duration::from_millis(5)).await;
    }
}

/// Submits a message every 20 ms. Each must be taken on within the time that its client waits. Never returns.
async fn submit_usual_messages(forwarder: &Forwarder) {
    for n in 0.. {
        let submitted =
            timeout(CLIENT_TIMEOUT, forwarder.submit("keyed", &format!("usual-{n}"), 20_000)).await;
        let status = submitted.unwrap_or_else(|_| panic!("message {n} has no answer")).status();
        assert_eq!(status, 202, "message {n}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Held by the test that runs: the trouble of one is not meant to slow down the forwarder of another.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Watches memory and usual messages until `trouble` is over.
async fn serve_beside(forwarder: &Forwarder, trouble: impl Future<Output = ()>) {
    tokio::select! {
        () = trouble => {}
        () = exceed_memory(forwarder) => {}
        () = submit_usual_messages(forwarder) => {}
    }
}

/// Starts a forwarder whose only target answers each call with 200.
async fn start() -> (Forwarder, Discovery) {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [target("t", stub.addr, 7, "plain", "in_service")];
    let forwarder = Forwarder::start(&discovery, &known, smallest_limits).await;
    tokio::spawn(async move {
        loop {
            stub.next_within(Duration::MAX).await.into_iter().for_each(|call| call.answer(200));
        }
    });
    (forwarder, discovery)
}

/// Time between the starts of two clients that stop: they are many at a time, and come one after another.
const START_INTERVAL: Duration = Duration::from_millis(4);

/// A client that stops in the middle of a request and stays.
#[derive(Clone, Copy)]
struct StoppingClient {
    /// Fields of its head beyond those that a message needs, each with a name of its own.
    further_fields: usize,
    /// Size of the pieces in which its body is written.
    piece_bytes: usize,
    /// Bytes of the body that it sends.
    sent_bytes: usize,
    /// Time within which it sends them.
    duration: Duration,
}

impl StoppingClient {
    /// Sends a part of a request, and waits until the forwarder ends the connection.
    async fn run(self, to: SocketAddr, id: String) {
        let mut stream = TcpStream::connect(to).await.expect("the forwarder listens");
        stream.set_nodelay(true).expect("the socket is open");
        let further: String = (0..self.further_fields).map(|n| format!("f{n}: {n:0>100}\r\n")).collect();
        let head = format!(
            "POST /keyed HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9000\r\n\
             Idempotency-Key: k-{id}\r\nEnvelope: dest=7\r\nContent-Length: {BODY_BYTES}\r\n{further}\r\n"
        );
        let begin = Instant::now();
        // A forwarder that refuses the request closes the connection while it is being written.
        let mut is_open = stream.write_all(head.as_bytes()).await.is_ok();
        let mut sent = 0;
        while is_open && sent < self.sent_bytes {
            is_open = stream.write_all(&vec![b'x'; self.piece_bytes]).await.is_ok();
            sent += self.piece_bytes;
            sleep_until(begin + self.duration.mul_f64(sent as f64 / self.sent_bytes as f64)).await;
        }
        let ended = timeout(BAD_CLIENT_TIMEOUT, RawConnection(stream).read_to_end()).await;
        ended.expect("a client that stops gets an error or a close within 3 s");
    }

    /// Runs `clients` of them, each twice.
    async fn run_many(self, clients: u32, to: SocketAddr) {
        let mut tasks = JoinSet::new();
        for client in 0..clients {
            tasks.spawn(async move {
                sleep(START_INTERVAL * client).await;
                self.run(to, format!("bad-{client}-a")).await;
                self.run(to, format!("bad-{client}-b")).await;
            });
        }
        tasks.join_all().await;
    }
}

async fn clients_that_stop(clients: u32, client: StoppingClient) {
    let _running = RUNNING.lock().await;
    let (forwarder, _discovery) = start().await;
    serve_beside(&forwarder, client.run_many(clients, forwarder.addr)).await;
}

/// Nearly all of the longest body.
const MOST_BYTES: usize = BODY_BYTES - 144;
/// A little more than half of the time that a body may take.
const HALF_SECOND: Duration = Duration::from_millis(500);

/// Guards against a buffer of 8 KiB that was held for each piece of an incomplete body: the process was killed for
/// memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_segments_take_memory_for_their_bytes_alone() {
    let client = StoppingClient {
        further_fields: 0,
        piece_bytes: 536,
        sent_bytes: MOST_BYTES,
        duration: Duration::from_millis(366),
    };
    clients_that_stop(100, client).await;
}

/// As above, with shorter pieces from fewer clients.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_short_pieces_take_memory_for_their_bytes_alone() {
    let client =
        StoppingClient { further_fields: 0, piece_bytes: 64, sent_bytes: MOST_BYTES, duration: HALF_SECOND };
    clients_that_stop(30, client).await;
}

/// Guards against messages that were refused because the announced length of bodies that had stopped counted as
/// held, and against heads that were held as long as their bodies.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_that_stop_half_way_keep_no_message_out() {
    let client = StoppingClient {
        further_fields: 80,
        piece_bytes: 1460,
        sent_bytes: BODY_BYTES / 2,
        duration: Duration::from_millis(200),
    };
    clients_that_stop(340, client).await;
}

/// A target whose answers do not end.
#[derive(Clone, Copy)]
struct EndlessAnswers {
    /// Status line and headers of an answer.
    head: &'static str,
    /// What follows again and again, until the forwarder has closed the connection.
    piece: &'static str,
    /// Time between two pieces.
    gap: Duration,
}

impl EndlessAnswers {
    /// Answers calls, and reports the text of each. The target has one call on each connection.
    async fn serve(self, target: RawServer, calls: mpsc::UnboundedSender<String>) {
        loop {
            let (mut connection, calls) = (target.accept().await, calls.clone());
            tokio::spawn(async move {
                calls.send(connection.request().await).expect("the test counts calls");
                let stream = connection.0.into_std().expect("the socket is open");
                tokio::task::spawn_blocking(move || self.write_until_closed(stream));
            });
        }
    }

    /// Writes an answer in a thread of its own, since the runtime's timer is coarser than the gaps.
    fn write_until_closed(self, mut stream: std::net::TcpStream) {
        stream.set_nonblocking(false).and_then(|()| stream.set_nodelay(true)).expect("the socket is open");
        let mut is_open = stream.write_all(self.head.as_bytes()).is_ok();
        while is_open {
            std::thread::sleep(self.gap);
            is_open = stream.write_all(self.piece.as_bytes()).is_ok();
        }
    }

    /// Submits messages for 2 s to a forwarder whose only target is this one. Returns how many of them the target
    /// had, and how many calls.
    async fn run(self, model: &str) -> (usize, usize) {
        let _running = RUNNING.lock().await;
        let discovery = Discovery::start().await;
        let target_server = RawServer::start().await;
        let mut known = [target("t", target_server.addr, 7, model, "in_service")];
        known[0]["capacity_hint"] = json!(200.0);
        let forwarder = Forwarder::start(&discovery, &known, |c| {
            smallest_limits(c);
            c["settings"]["familyInfo"]["slots"] = json!(200);
        })
        .await;
        let (report, mut reported) = mpsc::unbounded_channel();
        let target_task = tokio::spawn(self.serve(target_server, report));
        serve_beside(&forwarder, sleep(Duration::from_secs(2))).await;
        target_task.abort();
        let mut calls = Vec::new();
        while let Ok(call) = reported.try_recv() {
            calls.push(call);
        }
        let count = calls.len();
        let id =
            |call: &String| call.lines().find(|l| l.to_lowercase().starts_with("req-id")).map(str::to_owned);
        let mut ids: Vec<_> = calls.iter().filter_map(id).collect();
        ids.sort();
        ids.dedup();
        (ids.len(), count)
    }
}

/// Guards against a buffer of 8 KiB that was held for each piece of an answer: the process was killed for memory.
/// The status line alone tells that the message is delivered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_of_3_gb_in_short_pieces_takes_no_memory_and_delivers() {
    let answers = EndlessAnswers {
        head: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        piece: "xxxxxxxxxxxxxxxx",
        gap: Duration::from_micros(250),
    };
    let (messages, calls) = answers.run("plain").await;
    assert!(messages > 20 && messages == calls, "{calls} calls of {messages} messages");
}

/// As above, where no length is announced.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_in_short_chunks_takes_no_memory_and_delivers() {
    let answers = EndlessAnswers {
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        piece: "10\r\nxxxxxxxxxxxxxxxx\r\n",
        gap: Duration::from_micros(250),
    };
    let (messages, calls) = answers.run("plain").await;
    assert!(messages > 20 && messages == calls, "{calls} calls of {messages} messages");
}
