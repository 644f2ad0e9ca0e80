//! How connections of clients end, over loopback sockets, with the test in the engine's place. What has to
//! meet is lined up in the kernel: the test and the server share one thread, and the server has no turn
//! between the steps of a test that do not wait.

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

const SOON: Duration = Duration::from_secs(5);

/// A server for a few clients, and an engine that takes on whatever comes.
struct World {
    to: SocketAddr,
    phase: watch::Sender<Phase>,
    served: JoinHandle<()>,
    /// Ids in the order taken on.
    taken: mpsc::UnboundedReceiver<String>,
    /// While it is set the engine takes on and does not answer.
    holds: watch::Sender<bool>,
}

async fn world(most: usize) -> World {
    let settings = json!({"classes": [{"name": "order", "idempotency": "side_effect"}]});
    let (settings, names) = yarrowhill_settings::from_json(&settings).expect("they are well formed");
    let (engine, mut inputs) = mpsc::channel(8);
    let (phase, seen) = watch::channel(Phase::Serving);
    let intake = Arc::new(Intake::new(names, settings, engine, seen, 1024));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let to = listener.local_addr().expect("an address");
    let served = tokio::spawn(yarrowhill_http::serve(listener, most, intake));
    let (took, taken) = mpsc::unbounded_channel();
    let (holds, mut held) = watch::channel(false);
    tokio::spawn(async move {
        while let Some(Input::Submission(message)) = inputs.recv().await {
            let _ = took.send(message.id.clone());
            let _ = held.wait_for(|held| !held).await;
            let _ = message.answer.send(Answer::Accepted);
        }
    });
    World { to, phase, served, taken, holds }
}

fn request(id: &str) -> String {
    format!(
        "POST /order HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 9000\r\nEnvelope: dest=7\r\n\
         Content-Length: 2\r\n\r\nhi"
    )
}

/// A client whose steps block nobody: what is not there yet is waited for while the server has its turns.
struct Client(TcpStream);

impl Client {
    fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("it listens");
        stream.set_nonblocking(true).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        Client(stream)
    }

    fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("there is room");
    }

    /// One answer, while the connection stays open.
    async fn answer(&mut self) -> String {
        let (text, end) = self.read(|text| text.ends_with("\r\n\r\n")).await;
        assert_eq!(end, None, "{text:?}");
        text
    }

    /// All that comes up to the end of the connection, and the error that it ended with.
    async fn rest(&mut self) -> (String, Option<ErrorKind>) {
        let (text, end) = self.read(|_| false).await;
        // Behind the end of sending a reset no longer shows in what is read, but a slower network may let it
        // overtake.
        let reset = self.0.take_error().expect("a socket").map(|e| e.kind());
        (text, end.expect("it ends").or(reset))
    }

    async fn read(&mut self, done: impl Fn(&str) -> bool) -> (String, Option<Option<ErrorKind>>) {
        let (mut text, since) = (String::new(), Instant::now());
        let mut buffer = [0; 4096];
        while !done(&text) {
            assert!(since.elapsed() < SOON, "only {text:?} came");
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

/// A client that has had one answer and rests.
async fn resting(world: &mut World, id: &str) -> Client {
    let mut client = Client::connect(world.to);
    client.write(&request(id));
    assert!(client.answer().await.starts_with("HTTP/1.1 202 "));
    assert_eq!(world.taken.recv().await.as_deref(), Some(id));
    client
}

async fn ended(world: World) {
    timeout(SOON, world.served).await.expect("it ends").expect("it does not panic");
}

#[tokio::test]
async fn a_refusal_is_read_though_the_body_behind_it_is_not() {
    let world = world(8).await;
    let mut client = Client::connect(world.to);
    // More than is ever taken, and more than the server's buffer: what is left of it stands in the socket.
    let head =
        "POST /order HTTP/1.1\r\nHost: a\r\nReq-Id: m\r\nReq-Deadline-Ms: 9000\r\nEnvelope: dest=7\r\n";
    client.write(&format!("{head}Content-Length: 100000\r\n\r\n{}", "x".repeat(100_000)));
    let (text, error) = client.rest().await;
    assert!(text.starts_with("HTTP/1.1 413 "), "{text:?}");
    assert_eq!(error, None, "the connection was reset behind {text:?}");
}

#[tokio::test]
async fn bytes_behind_the_last_answer_do_not_reset_it() {
    let mut world = world(8).await;
    world.phase.send_replace(Phase::Closing);
    let mut client = Client::connect(world.to);
    // A second request crosses the end of the connection: it is not taken on.
    client.write(&(request("first") + &request("second") + &"x".repeat(40_000)));
    let (text, error) = client.rest().await;
    assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("connection: close"), "{text:?}");
    assert_eq!((error, text.matches("HTTP/1.1").count()), (None, 1), "{text:?}");
    assert_eq!(world.taken.recv().await.as_deref(), Some("first"));
    assert!(world.taken.try_recv().is_err());
}

#[tokio::test]
async fn a_request_that_comes_as_its_connection_gives_way_is_answered() {
    let mut world = world(2).await;
    let mut client = resting(&mut world, "first").await;
    sleep(Duration::from_millis(400)).await;
    // In one go: a new connection for which there is no room but that one's, and the request.
    let mut other = Client::connect(world.to);
    client.write(&request("second"));
    other.write(&request("third"));
    let (text, error) = client.rest().await;
    assert!(text.starts_with("HTTP/1.1 202 "), "{text:?}");
    assert_eq!(error, None);
    // The other is served, or refused if the first was faster.
    let answer = other.answer().await;
    assert!(answer.starts_with("HTTP/1.1 202 ") || answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
}

#[tokio::test]
async fn a_request_on_a_resting_connection_at_the_shutdown_is_answered_or_untouched() {
    let mut world = world(8).await;
    let mut client = resting(&mut world, "first").await;
    client.write(&request("second"));
    world.phase.send_replace(Phase::Closed);
    let (text, error) = client.rest().await;
    assert_eq!(error, None, "the connection was reset behind {text:?}");
    // What was there before the shutdown was read is served as the last one.
    assert!(text.starts_with("HTTP/1.1 202 ") && text.contains("connection: close"), "{text:?}");
    assert_eq!(world.taken.recv().await.as_deref(), Some("second"));
    ended(world).await;
}

/// What is read after the end of sending is never sent on: the client hands it in once more.
#[tokio::test]
async fn a_request_that_comes_after_the_end_of_sending_is_not_taken_on() {
    let mut world = world(8).await;
    let mut client = resting(&mut world, "first").await;
    world.phase.send_replace(Phase::Closed);
    // The end is seen before the request is written.
    let (text, error) = client.rest().await;
    assert_eq!((text.as_str(), error), ("", None));
    client.write(&request("second"));
    let _ = client.0.shutdown(Shutdown::Write);
    timeout(SOON, world.served).await.expect("it ends").expect("it does not panic");
    assert!(world.taken.try_recv().is_err(), "it was taken on");
}

#[tokio::test]
async fn a_connection_in_the_queue_at_the_shutdown_hears_that_it_is_refused() {
    let world = world(8).await;
    // The server has no turn: all of them stand in the listener's queue, with their requests.
    let mut late: Vec<Client> = (0..5).map(|_| Client::connect(world.to)).collect();
    late.iter_mut().for_each(|client| client.write(&request("late")));
    world.phase.send_replace(Phase::Closed);
    for client in &mut late {
        let (text, error) = client.rest().await;
        assert!(text.starts_with("HTTP/1.1 503 ") || text.starts_with("HTTP/1.1 202 "), "{text:?} {error:?}");
        assert_eq!(error, None);
    }
    ended(world).await;
}

#[tokio::test]
async fn a_head_that_is_half_read_at_the_shutdown_may_come_whole() {
    let mut world = world(8).await;
    let mut client = resting(&mut world, "first").await;
    let (head, rest) = ("POST /order HTTP/1.1\r\nReq-Id: sec", request("second"));
    client.write(head);
    // The half is read when another client's whole request is, which comes later.
    drop(resting(&mut world, "other").await);
    world.phase.send_replace(Phase::Closed);
    sleep(Duration::from_millis(50)).await;
    client.write("ond\r\n");
    client.write(&rest.replace("POST /order HTTP/1.1\r\n", "").replace("Req-Id: second\r\n", ""));
    let (text, error) = client.rest().await;
    assert!(text.starts_with("HTTP/1.1 202 "), "{text:?}");
    assert_eq!(error, None);
    assert_eq!(world.taken.recv().await.as_deref(), Some("second"));
    ended(world).await;
}

/// Half a head is no reason to stay for ever.
#[tokio::test]
async fn half_a_head_holds_the_shutdown_up_for_a_moment_only() {
    let mut world = world(8).await;
    let mut client = Client::connect(world.to);
    client.write("POST /order HTTP/1.1\r\nReq-Id: sec");
    drop(resting(&mut world, "other").await);
    let since = Instant::now();
    world.phase.send_replace(Phase::Closed);
    let (text, error) = client.rest().await;
    assert_eq!((text.as_str(), error), ("", None));
    ended(world).await;
    assert!(since.elapsed() < Duration::from_millis(1500), "{:?}", since.elapsed());
}

/// Clients that rest until they are ended are ended, and one that never closes its side holds nothing up.
#[tokio::test]
async fn resting_connections_end_by_themselves_and_at_the_shutdown() {
    let mut world = world(40).await;
    let mut clients = Vec::new();
    for n in 0..10 {
        clients.push(resting(&mut world, &format!("m{n}")).await);
    }
    let (text, error) = clients[0].rest().await;
    assert_eq!((text.as_str(), error), ("", None));
    let mut late = resting(&mut world, "late").await;
    let since = Instant::now();
    world.phase.send_replace(Phase::Closed);
    assert_eq!(late.rest().await, (String::new(), None));
    ended(world).await;
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
}

/// However many come: those who have given way hold no more than their part of the descriptors.
#[tokio::test]
async fn a_flood_of_silent_clients_shuts_nobody_out() {
    let mut world = world(16).await;
    let silent: Vec<Client> = (0..100).map(|_| Client::connect(world.to)).collect();
    sleep(Duration::from_millis(400)).await;
    for n in 0..20 {
        drop(resting(&mut world, &format!("m{n}")).await);
    }
    drop(silent);
}

/// What the engine has when the end comes has its answer before that.
#[tokio::test]
async fn a_request_that_waits_for_the_engine_at_the_shutdown_is_answered() {
    let mut world = world(8).await;
    world.holds.send_replace(true);
    let mut client = Client::connect(world.to);
    client.write(&request("m"));
    assert_eq!(world.taken.recv().await.as_deref(), Some("m"));
    world.phase.send_replace(Phase::Closed);
    // Another's end shows that the shutdown has been seen.
    assert!(Client::connect(world.to).rest().await.0.starts_with("HTTP/1.1 503 "));
    assert!(!world.served.is_finished());
    world.holds.send_replace(false);
    let (text, error) = client.rest().await;
    assert!(text.starts_with("HTTP/1.1 202 "), "{text:?}");
    assert_eq!(error, None);
    ended(world).await;
}

/// Heads that begin about when their connection has rested for too long: each is served whole, or untouched,
/// and none of the connections is reset.
#[tokio::test]
async fn a_head_that_begins_as_a_rest_ends_is_served_or_untouched() {
    let mut world = world(40).await;
    let mut clients = Vec::new();
    for n in 0..12 {
        clients.push(resting(&mut world, &format!("m{n}")).await);
    }
    sleep(Duration::from_millis(1700)).await;
    for (n, client) in clients.iter_mut().enumerate() {
        client.write("POST /order HTTP/1.1\r\n");
        sleep(Duration::from_millis(15)).await;
        client.write(&request(&format!("late{n}")).replace("POST /order HTTP/1.1\r\n", ""));
    }
    let mut served = 0;
    for client in &mut clients {
        let (text, error) = client.rest().await;
        assert!(text.is_empty() || text.starts_with("HTTP/1.1 202 "), "{text:?}");
        assert_eq!(error, None, "the connection was reset behind {text:?}");
        served += usize::from(!text.is_empty());
    }
    let mut taken = 0;
    while world.taken.try_recv().is_ok() {
        taken += 1;
    }
    assert_eq!(taken, served, "taken on, and answered");
}
