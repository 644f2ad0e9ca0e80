//! Messages that the intake submits, sent over a loopback socket; the test takes the place of the engine.

use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::timeout;
use yarrowhill_engine::{Answer, Input, Phase};
use yarrowhill_http::Intake;

const BODY_BYTES: usize = 200;

/// Starts a server. Returns its address, what it submits to the engine, and its phase.
async fn start_server() -> (SocketAddr, mpsc::Receiver<Input>, watch::Sender<Phase>) {
    let settings = json!({"classes": [{"name": "settle-order", "idempotency": "side_effect"}]});
    let (settings, names) = yarrowhill_settings::from_json(&settings).expect("settings are valid");
    let (engine, inputs) = mpsc::channel(8);
    let (phase, phase_updates) = watch::channel(Phase::Serving);
    let intake = Arc::new(Intake::new(names, settings, engine, phase_updates, 1024));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
    let to = listener.local_addr().expect("listener is bound");
    tokio::spawn(yarrowhill_http::serve(listener, 8, intake));
    (to, inputs, phase)
}

/// Guards against memory growth under load: a held message of 200 bytes kept the 8 KiB buffer that it was
/// read into.
#[tokio::test]
async fn a_held_body_takes_memory_only_for_its_own_size() {
    let (to, mut inputs, _phase) = start_server().await;
    let mut client = TcpStream::connect(to).await.expect("server listens");
    // From the second message on, the connection's buffer has been used before.
    for n in 0..3 {
        let head = format!(
            "POST /settle-order HTTP/1.1\r\nHost: a\r\nReq-Id: m{n}\r\nReq-Deadline-Ms: 9000\r\nEnvelope: dest=7\r\n\
             Content-Length: {BODY_BYTES}\r\n\r\n"
        );
        client.write_all(&[head.as_bytes(), &[b'x'; BODY_BYTES]].concat()).await.expect("server reads");
        let input = timeout(Duration::from_secs(5), inputs.recv()).await.expect("message arrives");
        let Some(Input::Submission(message)) = input else { panic!("{input:?}") };
        assert_eq!(message.body.len(), BODY_BYTES);
        let body = message.body.try_into_mut().expect("body is not shared");
        assert!(body.capacity() <= 2 * BODY_BYTES, "{} bytes are held", body.capacity());
        let _ = message.answer.send(Answer::Accepted);
        let mut answer = vec![0; 256];
        let read = client.read(&mut answer).await.expect("server answers");
        assert!(answer[..read].starts_with(b"HTTP/1.1 202 "));
    }
}

/// Guards against requests that are answered many at a time while all other tasks wait: 340 connections that asked
/// for readiness without end made notices late.
#[tokio::test]
async fn other_tasks_run_between_the_answers_on_one_connection() {
    const REQUESTS: usize = 64;
    let (to, _inputs, _phase) = start_server().await;
    let mut client = TcpStream::connect(to).await.expect("server listens");
    let runs = Arc::new(AtomicUsize::new(0));
    let counter = runs.clone();
    tokio::spawn(async move {
        loop {
            counter.fetch_add(1, Ordering::Relaxed);
            yield_now().await;
        }
    });
    let requests = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n".repeat(REQUESTS);
    let before = runs.load(Ordering::Relaxed);
    client.write_all(requests.as_bytes()).await.expect("server reads");
    let mut text = Vec::new();
    while text.windows(4).filter(|end| *end == b"\r\n\r\n").count() < REQUESTS {
        let read = timeout(Duration::from_secs(5), client.read_buf(&mut text)).await.expect("server answers");
        assert!(read.expect("connection is open") > 0, "closed after {} bytes", text.len());
    }
    let runs = runs.load(Ordering::Relaxed) - before;
    assert!(runs >= REQUESTS, "another task ran {runs} times during {REQUESTS} answers");
}
