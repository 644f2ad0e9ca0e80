//! Fuzz targets.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, channel};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};
use yarrowhill::Config;
use yarrowhill_engine::{Answer, Call, Input, Item, Phase, Transport};
use yarrowhill_fleet::{MAX_FULL_STATE_BYTES, MAX_PACKET_BYTES, decode, encode};
use yarrowhill_http::{Intake, Pool, serve};
use yarrowhill_membership::{
    FullState, InstanceId, MemberConfig, Membership, Output, Packet, Roster, Timing,
};
use yarrowhill_standins::{Class, ConfigParams, Resources, configuration};

/// Longer than any time for which a peer can make the program wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A fuzz target; it accepts any bytes.
pub enum Target {
    /// A journal file.
    Journal,
    /// A configuration file.
    Config,
    /// Requests of a client, over loopback.
    Heads {
        /// Address of the intake.
        to: SocketAddr,
        /// Task of the intake, which must never end.
        serving: JoinHandle<()>,
        /// Keeps the phase channel of the intake open.
        _phase: watch::Sender<Phase>,
    },
    /// Answers of an endpoint, over loopback. Holds the number of runs.
    Answers(AtomicU64),
    /// Message of another forwarder, decoded as a packet and as a full state.
    Packets,
}

impl Target {
    /// Names of the targets and of their corpus folders.
    pub const NAMES: [&str; 5] = ["journal", "config", "heads", "answers", "packets"];

    /// Creates the target with this name.
    ///
    /// # Errors
    ///
    /// Fails if there is no such target, or if no port can be bound.
    pub async fn from_name(name: &str) -> io::Result<Self> {
        match name {
            "journal" => Ok(Target::Journal),
            "config" => Ok(Target::Config),
            "heads" => start_intake().await,
            "answers" => Ok(Target::Answers(AtomicU64::new(0))),
            "packets" => Ok(Target::Packets),
            _ => Err(io::Error::other(format!("unknown fuzz target {name:?}"))),
        }
    }

    /// Runs the target on an input.
    ///
    /// # Panics
    ///
    /// Panics if the code under test panics, violates a property or does not finish in time.
    pub async fn run(&self, input: &[u8]) {
        match self {
            Target::Journal => drop(yarrowhill_journal::scan_bytes(input)),
            Target::Config => drop(Config::parse(input, PathBuf::new(), Path::new("fuzz"))),
            Target::Heads { to, serving, .. } => {
                send_request(*to, input).await;
                assert!(!serving.is_finished(), "the intake has ended");
            }
            Target::Packets => receive_packet(input),
            Target::Answers(calls) => answer_calls(calls.fetch_add(1, Ordering::Relaxed), input).await,
        }
    }
}

/// Starts an intake in front of an engine that refuses every message.
async fn start_intake() -> io::Result<Target> {
    let class = |name, idempotency| Class { name, idempotency, deadline_ms: 1000 };
    let params = ConfigParams {
        classes: vec![class("auth-notice", "token"), class("settle-order", "side_effect")],
        key_ttl_ms: 1000.0,
        goal_time_ms: 100.0,
        slots: 4,
        fail_back: [2.0, 1000.0, 0.2, 1000.0],
        seed: 1,
        resources: Resources::default(),
    };
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    let config = configuration(&params, unused, unused, &[]);
    let parsed = yarrowhill_settings::from_json(&config["settings"]);
    let (settings, names) = parsed.map_err(|e| io::Error::other(e.to_string()))?;
    let (inputs, mut submissions) = channel(64);
    tokio::spawn(async move {
        while let Some(input) = submissions.recv().await {
            if let Input::Submission(message) = input {
                // The client may have disconnected.
                let _ = message.answer.send(Answer::Refused(None));
            }
        }
    });
    let (phase, phases) = watch::channel(Phase::Serving);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let to = listener.local_addr()?;
    let intake = Arc::new(Intake::new(names, settings, inputs, phases, 1024));
    let serving = tokio::spawn(serve(listener, 128, intake));
    Ok(Target::Heads { to, serving, _phase: phase })
}

/// Sends the input to the intake and reads until the intake closes the connection.
async fn send_request(to: SocketAddr, input: &[u8]) {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        stream.write_all(input).await.ok()?;
        stream.shutdown().await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()
    };
    assert!(
        timeout(TIMEOUT, exchange).await.is_ok(),
        "the intake must answer or close the connection in time"
    );
}

/// Answers two calls of a connection pool with the input, and waits for the end of every attempt.
async fn answer_calls(number: u64, input: &[u8]) {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
    let Ok(to) = listener.local_addr() else { return };
    let response = input.to_vec();
    let endpoint = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                if stream.write_all(&response).await.is_err() {
                    break;
                }
            }
        }
    });
    let mut pool = Pool::new(4, Duration::from_secs(5));
    pool.set_endpoint_address(1, Some(to));
    let (results, mut updates) = mpsc::channel(64);
    for round in 0..2u64 {
        let items = 1 + (number + round) % 3;
        let (_orders, orders) = channel(1);
        let until = Instant::now() + Duration::from_millis(700);
        let item = |n| Item {
            id: n,
            attempt: 0,
            message_id: format!("m{n}"),
            key: None,
            body: "body".into(),
            deadline: until,
            begin_by: until,
            is_retry: false,
        };
        let items: Vec<Item> = (0..items).map(item).collect();
        let mut pending = items.len();
        let connect_timeout = Duration::from_secs(1);
        let call = Call {
            endpoint: 1,
            dest: 10,
            address: to,
            decided_at: Instant::now(),
            items,
            may_overlap_attempts: true,
            connect_timeout,
            has_alternative: false,
            commands: orders,
        };
        pool.start_call(call, results.clone());
        while pending > 0 {
            let update = timeout(TIMEOUT, updates.recv())
                .await
                .expect("every attempt must end")
                .expect("the channel is open");
            if let Input::CallUpdate(update) = update {
                pending = pending.checked_sub(update.ended.len()).expect("no attempt may end twice");
            }
        }
    }
    endpoint.abort();
}

/// Delivers the input to a member, which must continue with bounded output.
fn receive_packet(input: &[u8]) {
    let config_of = |name: &str| MemberConfig { name: name.to_owned(), zone: String::new(), votes: None };
    let roster = Roster::new(1, ["n0", "n1", "n2"].map(config_of).to_vec()).expect("a valid roster");
    let mut member = Membership::new(0, roster, "n0", 1, InstanceId(1), Timing::from_period(1000), 1)
        .expect("n0 is in the roster");
    if let Ok(packet) = decode::<Packet>(input, MAX_PACKET_BYTES) {
        // Delivered twice, since many packets are answered only the first time.
        member.handle(1, packet.clone());
        member.handle(2, packet);
    }
    if let Ok(full_state) = decode::<FullState>(input, MAX_FULL_STATE_BYTES) {
        member.merge_full_state(3, full_state);
    }
    (0..20).for_each(|n| member.tick(n * 500));
    let outputs = member.take_outputs();
    assert!(outputs.len() < 1000, "{} outputs after one packet", outputs.len());
    for output in outputs {
        if let Output::Send { packet, .. } = output {
            assert!(
                encode(&packet, MAX_PACKET_BYTES).is_ok(),
                "the member sent a packet over the maximum size"
            );
        }
    }
    // No packet may raise the incarnation so far that other members reject it, or add members that are not in
    // the roster.
    assert!(member.local_record().incarnation.is_plausible() && member.view().members.len() <= 3);
}
