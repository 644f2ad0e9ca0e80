//! How client connections are closed, over loopback sockets; the test takes the place of the engine. Races
//! are made deterministic in the kernel: the test and the server share one thread, and the server cannot run
//! between the steps of a test that do not await.

use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use yarrowhill_engine::{Answer, Input, Phase};
use yarrowhill_http::Intake;

/// Time limit of every step.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// A server for a few clients, and an engine that accepts every message.
struct TestServer {
    to: SocketAddr,
    phase: watch::Sender<Phase>,
    task: JoinHandle<()>,
    /// Ids of the accepted messages, in order.
    accepted: mpsc::UnboundedReceiver<String>,
    /// Ids of the messages whose client had left before the engine answered.
    abandoned: mpsc::UnboundedReceiver<String>,
    /// While set, the engine accepts messages and does not answer.
    delays_answers: watch::Sender<bool>,
}

async fn start_server(max_connections: usize) -> TestServer {
    let settings = json!({"classes": [{"name": "order", "idempotency": "side_effect"}]});
    let (settings, names) = yarrowhill_settings::from_json(&settings).expect("settings are valid");
    let (engine, mut inputs) = mpsc::channel(8);
    let (phase, phase_receiver) = watch::channel(Phase::Serving);
    let intake = Arc::new(Intake::new(names, settings, engine, phase_receiver, 1024));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
    let to = listener.local_addr().expect("listener is bound");
    let task = tokio::spawn(yarrowhill_http::serve(listener, max_connections, intake));
    let (accepted_sender, accepted) = mpsc::unbounded_channel();
    let (abandoned_sender, abandoned) = mpsc::unbounded_channel();
    let (delays_answers, mut is_delayed) = watch::channel(false);
    tokio::spawn(async move {
        while let Some(Input::Submission(message)) = inputs.recv().await {
            let _ = accepted_sender.send(message.id.clone());
            let _ = is_delayed.wait_for(|is_delayed| !is_delayed).await;
            if message.answer.send(Answer::Accepted).is_err() {
                let _ = abandoned_sender.send(message.id);
            }
        }
    });
    TestServer { to, phase, task, accepted, abandoned, delays_answers }
}

fn request(id: &str) -> String {
    format!(
        "POST /order HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 9000\r\nEnvelope: dest=7\r\n\
         Content-Length: 2\r\n\r\nhi"
    )
}

/// A client that does not block the thread: the server runs while the client waits for data.
struct Client(TcpStream);

impl Client {
    fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("server listens");
        stream.set_nonblocking(true).expect("socket is valid");
        stream.set_nodelay(true).expect("socket is valid");
        Client(stream)
    }

    fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("send buffer has room");
    }

    /// Reads one response head and checks that the connection stays open.
    async fn read_response(&mut self) -> String {
        let (text, end) = self.read(|text| text.ends_with("\r\n\r\n")).await;
        assert_eq!(end, None, "{text:?}");
        text
    }

    /// Reads to the end of the connection. Returns the text, and the error that the connection ended with.
    async fn read_to_end(&mut self) -> (String, Option<ErrorKind>) {
        let (text, end) = self.read(|_| false).await;
        // After the end of the stream a reset no longer shows in a read, but on a slower network it may
        // overtake the data.
        let reset = self.0.take_error().expect("socket is valid").map(|e| e.kind());
        (text, end.expect("connection ends").or(reset))
    }

    async fn read(&mut self, done: impl Fn(&str) -> bool) -> (String, Option<Option<ErrorKind>>) {
        let (mut text, since) = (String::new(), Instant::now());
        let mut buffer = [0; 4096];
        while !done(&text) {
            assert!(since.elapsed() < STEP_TIMEOUT, "received only {text:?}");
            match self.0.read(&mut buffer) {
                Ok(0) => return (text, Some(None)),
                Ok(n) => text.push_str(&String::from_utf8_lossy(&buffer[..n])),
                Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(Duration::from_millis(2)).await,
                Err(e) => return (text, Some(Some(e.kind()))),
            }
        }
        (text, None)
    }
}

/// Returns an idle client that has received one response.
async fn idle_client(server: &mut TestServer, id: &str) -> Client {
    let mut client = Client::connect(server.to);
    client.write(&request(id));
    assert!(client.read_response().await.starts_with("HTTP/1.1 202 "));
    assert_eq!(server.accepted.recv().await.as_deref(), Some(id));
    client
}

async fn wait_for_end(server: TestServer) {
    timeout(STEP_TIMEOUT, server.task).await.expect("server ends").expect("server does not panic");
}

#[tokio::test]
async fn a_refusal_is_not_lost_to_a_reset_when_the_body_is_unread() {
    let server = start_server(8).await;
    let mut client = Client::connect(server.to);
    // The body is longer than the limit and than the server's buffer, so that the rest stays in the socket.
    let head =
        "POST /order HTTP/1.1\r\nHost: a\r\nReq-Id: m\r\nReq-Deadline-Ms: 9000\r\nEnvelope: dest=7\r\n";
    client.write(&format!("{head}Content-Length: 100000\r\n\r\n{}", "x".repeat(100_000)));
    let (text, error) = client.read_to_end().await;
    assert!(text.starts_with("HTTP/1.1 413 "), "{text:?}");
    assert_eq!(error, None, "connection was reset after {text:?}");
}

#[tokio::test]
async fn bytes_after_the_last_request_do_not_reset_its_response() {
    let mut server = start_server(8).await;
    server.phase.send_replace(Phase::Closing);
    let mut client = Client::connect(server.to);
    // The second request crosses the end of the connection and must not be accepted.
    client.write(&(request("first") + &request("second") + &"x".repeat(40_000)));
    let (text, error) = client.read_to_end().await;
    assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("connection: close"), "{text:?}");
    assert_eq!((error, text.matches("HTTP/1.1").count()), (None, 1), "{text:?}");
    assert_eq!(server.accepted.recv().await.as_deref(), Some("first"));
    assert!(server.accepted.try_recv().is_err());
}

#[tokio::test]
async fn a_request_that_arrives_as_its_connection_is_evicted_is_answered() {
    let mut server = start_server(2).await;
    let mut client = idle_client(&mut server, "first").await;
    sleep(Duration::from_millis(400)).await;
    // At the same time: a new connection that needs the room of the first, and a request on the first.
    let mut other = Client::connect(server.to);
    client.write(&request("second"));
    other.write(&request("third"));
    let (text, error) = client.read_to_end().await;
    assert!(text.starts_with("HTTP/1.1 202 "), "{text:?}");
    assert_eq!(error, None);
    // The other client is served, or refused if the request came first.
    let answer = other.read_response().await;
    assert!(answer.starts_with("HTTP/1.1 202 ") || answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
}

#[tokio::test]
async fn a_request_on_an_idle_connection_at_shutdown_is_answered() {
    let mut server = start_server(8).await;
    let mut client = idle_client(&mut server, "first").await;
    client.write(&request("second"));
    server.phase.send_replace(Phase::Closed);
    let (text, error) = client.read_to_end().await;
    assert_eq!(error, None, "connection was reset after {text:?}");
    // A request that arrived before the server noticed the shutdown is served as the last one.
    assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("connection: close"), "{text:?}");
    assert_eq!(server.accepted.recv().await.as_deref(), Some("second"));
    wait_for_end(server).await;
}

/// A request that is read after the server's half-close is discarded: the client submits it once more.
#[tokio::test]
async fn a_request_after_the_half_close_is_not_accepted() {
    let mut server = start_server(8).await;
    let mut client = idle_client(&mut server, "first").await;
    server.phase.send_replace(Phase::Closed);
    // The client sees the end of the stream before it writes the request.
    let (text, error) = client.read_to_end().await;
    assert_eq!((text.as_str(), error), ("", None));
    client.write(&request("second"));
    let _ = client.0.shutdown(Shutdown::Write);
    timeout(STEP_TIMEOUT, server.task).await.expect("server ends").expect("server does not panic");
    assert!(server.accepted.try_recv().is_err(), "message was accepted");
}

#[tokio::test]
async fn a_connection_in_the_listen_queue_at_shutdown_gets_a_response() {
    let server = start_server(8).await;
    // The server does not run: all connections wait in the listener's queue, with their requests.
    let mut late: Vec<Client> = (0..5).map(|_| Client::connect(server.to)).collect();
    late.iter_mut().for_each(|client| client.write(&request("late")));
    server.phase.send_replace(Phase::Closed);
    for client in &mut late {
        let (text, error) = client.read_to_end().await;
        assert!(text.starts_with("HTTP/1.1 503 ") || text.starts_with("HTTP/1.1 202 "), "{text:?} {error:?}");
        assert_eq!(error, None);
    }
    wait_for_end(server).await;
}

#[tokio::test]
async fn a_partial_head_at_shutdown_may_be_completed() {
    let mut server = start_server(8).await;
    let mut client = idle_client(&mut server, "first").await;
    let (head, rest) = ("POST /order HTTP/1.1\r\nReq-Id: sec", request("second"));
    client.write(head);
    // The server has read the partial head once it has read another client's later request.
    drop(idle_client(&mut server, "other").await);
    server.phase.send_replace(Phase::Closed);
    sleep(Duration::from_millis(50)).await;
    client.write("ond\r\n");
    client.write(&rest.replace("POST /order HTTP/1.1\r\n", "").replace("Req-Id: second\r\n", ""));
    let (text, error) = client.read_to_end().await;
    assert!(text.starts_with("HTTP/1.1 202 "), "{text:?}");
    assert_eq!(error, None);
    assert_eq!(server.accepted.recv().await.as_deref(), Some("second"));
    wait_for_end(server).await;
}

/// A head that is never completed delays the shutdown only briefly.
#[tokio::test]
async fn a_partial_head_delays_the_shutdown_only_briefly() {
    let mut server = start_server(8).await;
    let mut client = Client::connect(server.to);
    client.write("POST /order HTTP/1.1\r\nReq-Id: sec");
    drop(idle_client(&mut server, "other").await);
    let since = Instant::now();
    server.phase.send_replace(Phase::Closed);
    let (text, error) = client.read_to_end().await;
    assert_eq!((text.as_str(), error), ("", None));
    wait_for_end(server).await;
    assert!(since.elapsed() < Duration::from_millis(1500), "{:?}", since.elapsed());
}

/// Idle connections are closed after the idle timeout and at shutdown, and a client that never closes its
/// side delays nothing.
#[tokio::test]
async fn idle_connections_are_closed_after_the_timeout_and_at_shutdown() {
    let mut server = start_server(40).await;
    let mut clients = Vec::new();
    for n in 0..10 {
        clients.push(idle_client(&mut server, &format!("m{n}")).await);
    }
    let (text, error) = clients[0].read_to_end().await;
    assert_eq!((text.as_str(), error), ("", None));
    let mut late = idle_client(&mut server, "late").await;
    let since = Instant::now();
    server.phase.send_replace(Phase::Closed);
    assert_eq!(late.read_to_end().await, (String::new(), None));
    wait_for_end(server).await;
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
}

/// However many clients connect, evicted connections hold no more than their share of the descriptors.
#[tokio::test]
async fn a_flood_of_silent_clients_does_not_lock_out_others() {
    let mut server = start_server(16).await;
    let silent: Vec<Client> = (0..100).map(|_| Client::connect(server.to)).collect();
    sleep(Duration::from_millis(400)).await;
    for n in 0..20 {
        drop(idle_client(&mut server, &format!("m{n}")).await);
    }
    drop(silent);
}

/// A message that the engine has at shutdown is answered before the server ends.
#[tokio::test]
async fn a_request_that_waits_for_the_engine_at_shutdown_is_answered() {
    let mut server = start_server(8).await;
    server.delays_answers.send_replace(true);
    let mut client = Client::connect(server.to);
    client.write(&request("m"));
    assert_eq!(server.accepted.recv().await.as_deref(), Some("m"));
    server.phase.send_replace(Phase::Closed);
    // The refusal of another client shows that the server has noticed the shutdown.
    assert!(Client::connect(server.to).read_to_end().await.0.starts_with("HTTP/1.1 503 "));
    assert!(!server.task.is_finished());
    server.delays_answers.send_replace(false);
    let (text, error) = client.read_to_end().await;
    assert!(text.starts_with("HTTP/1.1 202 "), "{text:?}");
    assert_eq!(error, None);
    wait_for_end(server).await;
}

/// Heads that begin at about the idle timeout of their connections are either served completely or
/// discarded, and no connection is reset.
#[tokio::test]
async fn a_head_that_begins_at_the_idle_timeout_is_served_or_discarded() {
    let mut server = start_server(40).await;
    let mut clients = Vec::new();
    for n in 0..12 {
        clients.push(idle_client(&mut server, &format!("m{n}")).await);
    }
    sleep(Duration::from_millis(1700)).await;
    for (n, client) in clients.iter_mut().enumerate() {
        client.write("POST /order HTTP/1.1\r\n");
        sleep(Duration::from_millis(15)).await;
        client.write(&request(&format!("late{n}")).replace("POST /order HTTP/1.1\r\n", ""));
    }
    let mut served = 0;
    for client in &mut clients {
        let (text, error) = client.read_to_end().await;
        assert!(text.is_empty() || text.starts_with("HTTP/1.1 202 "), "{text:?}");
        assert_eq!(error, None, "connection was reset after {text:?}");
        served += usize::from(!text.is_empty());
    }
    let mut accepted = 0;
    while server.accepted.try_recv().is_ok() {
        accepted += 1;
    }
    assert_eq!(accepted, served, "accepted and answered messages differ in number");
}

/// Submits a request whose answer the engine holds back, and waits until the engine has it.
async fn waiting_client(server: &mut TestServer, id: &str) -> Client {
    server.delays_answers.send_replace(true);
    let mut client = Client::connect(server.to);
    client.write(&request(id));
    assert_eq!(server.accepted.recv().await.as_deref(), Some(id));
    client
}

/// A client that ends its sending after its request, as TCP allows, got no answer, and its message was not
/// accepted.
#[tokio::test]
async fn a_client_that_ends_its_sending_after_its_request_is_answered() {
    let mut server = start_server(8).await;
    for is_first in [true, false] {
        let mut client =
            if is_first { Client::connect(server.to) } else { idle_client(&mut server, "earlier").await };
        server.delays_answers.send_replace(true);
        client.write(&request("last"));
        client.0.shutdown(Shutdown::Write).expect("client is connected");
        assert_eq!(server.accepted.recv().await.as_deref(), Some("last"));
        sleep(Duration::from_millis(50)).await;
        server.delays_answers.send_replace(false);
        let (text, error) = client.read_to_end().await;
        assert!(text.starts_with("HTTP/1.1 202 "), "first: {is_first}, {text:?}");
        assert_eq!((error, text.matches("HTTP/1.1").count()), (None, 1), "{text:?}");
    }
    assert!(server.abandoned.try_recv().is_err());
}

/// All of several requests that arrived before the end of the sending are answered.
#[tokio::test]
async fn pipelined_requests_before_the_end_of_the_sending_are_answered() {
    let mut server = start_server(8).await;
    let mut client = Client::connect(server.to);
    client.write(&(request("first") + &request("second")));
    client.0.shutdown(Shutdown::Write).expect("client is connected");
    let (text, error) = client.read_to_end().await;
    assert_eq!((error, text.matches("HTTP/1.1 202 ").count()), (None, 2), "{text:?}");
    assert_eq!(server.accepted.recv().await.as_deref(), Some("first"));
    assert_eq!(server.accepted.recv().await.as_deref(), Some("second"));
}

#[tokio::test]
async fn a_client_that_resets_its_connection_is_noticed_before_the_answer() {
    let mut server = start_server(8).await;
    let client = waiting_client(&mut server, "m").await;
    socket2::SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).expect("socket is valid");
    drop(client);
    sleep(Duration::from_millis(50)).await;
    server.delays_answers.send_replace(false);
    assert_eq!(timeout(STEP_TIMEOUT, server.abandoned.recv()).await.expect("noticed").as_deref(), Some("m"));
}

/// A client waits for 400 ms and then closes its connection; it may submit the message again elsewhere.
#[tokio::test]
async fn a_client_that_gives_up_waiting_is_noticed_before_the_answer() {
    let mut server = start_server(8).await;
    let client = waiting_client(&mut server, "m").await;
    sleep(Duration::from_millis(450)).await;
    drop(client);
    sleep(Duration::from_millis(50)).await;
    server.delays_answers.send_replace(false);
    assert_eq!(timeout(STEP_TIMEOUT, server.abandoned.recv()).await.expect("noticed").as_deref(), Some("m"));
}

/// A request whose body is cut off by the end of the sending is not accepted.
#[tokio::test]
async fn a_request_that_ends_within_its_body_is_not_accepted() {
    let mut server = start_server(8).await;
    let mut client = Client::connect(server.to);
    client.write(request("cut").strip_suffix('i').expect("the body is \"hi\""));
    client.0.shutdown(Shutdown::Write).expect("client is connected");
    let (text, _) = client.read_to_end().await;
    assert!(!text.contains(" 202 "), "{text:?}");
    assert!(server.accepted.try_recv().is_err());
}

/// Clients that end their sending and never read their answer take no place for long.
#[tokio::test]
async fn clients_that_end_their_sending_and_never_read_do_not_lock_out_others() {
    let mut server = start_server(16).await;
    let mut silent = Vec::new();
    for n in 0..100 {
        let mut client = Client::connect(server.to);
        client.write(&request(&format!("silent{n}")));
        client.0.shutdown(Shutdown::Write).expect("client is connected");
        assert!(server.accepted.recv().await.is_some());
        silent.push(client);
    }
    for n in 0..20 {
        drop(idle_client(&mut server, &format!("m{n}")).await);
    }
}
