//! What is fuzzed.

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

/// Longer than anything that peers can make the program wait for.
const SOON: Duration = Duration::from_secs(20);

/// Something that takes any bytes.
pub enum Target {
    /// A journal's file.
    Journal,
    /// A configuration file.
    Config,
    /// A client's requests, over loopback.
    Heads {
        /// Where the intake listens.
        to: SocketAddr,
        /// It must never end.
        serving: JoinHandle<()>,
        /// Keeps it open.
        _phase: watch::Sender<Phase>,
    },
    /// An endpoint's answer, over loopback.
    Answers(AtomicU64),
    /// What another forwarder says, as a packet and as a whole view.
    Packets,
}

impl Target {
    /// Their names, and those of their corpora's folders.
    pub const NAMES: [&str; 5] = ["journal", "config", "heads", "answers", "packets"];

    /// The one of that name.
    ///
    /// # Errors
    ///
    /// There is none, or no port can be had.
    pub async fn named(name: &str) -> io::Result<Self> {
        match name {
            "journal" => Ok(Target::Journal),
            "config" => Ok(Target::Config),
            "heads" => heads().await,
            "answers" => Ok(Target::Answers(AtomicU64::new(0))),
            "packets" => Ok(Target::Packets),
            _ => Err(io::Error::other(format!("no target {name}"))),
        }
    }

    /// Takes an input.
    ///
    /// # Panics
    ///
    /// The program did, or did not come to an end.
    pub async fn take(&self, input: &[u8]) {
        match self {
            Target::Journal => drop(yarrowhill_journal::scan_bytes(input)),
            Target::Config => drop(Config::parse(input, PathBuf::new(), Path::new("fuzz"))),
            Target::Heads { to, serving, .. } => {
                ask(*to, input).await;
                assert!(!serving.is_finished(), "the intake has ended");
            }
            Target::Packets => packets(input),
            Target::Answers(calls) => call(calls.fetch_add(1, Ordering::Relaxed), input).await,
        }
    }
}

/// The intake before an engine that refuses everything.
async fn heads() -> io::Result<Target> {
    let class = |name, idempotency| Class { name, idempotency, deadline_ms: 1000 };
    let figures = ConfigParams {
        classes: vec![class("auth-notice", "token"), class("settle-order", "side_effect")],
        key_ttl_ms: 1000.0,
        goal_time_ms: 100.0,
        slots: 4,
        fail_back: [2.0, 1000.0, 0.2, 1000.0],
        seed: 1,
        resources: Resources::default(),
    };
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let config = configuration(&figures, nowhere, nowhere, &[]);
    let read = yarrowhill_settings::from_json(&config["settings"]);
    let (settings, names) = read.map_err(|e| io::Error::other(e.to_string()))?;
    let (inputs, mut received) = channel(64);
    tokio::spawn(async move {
        while let Some(input) = received.recv().await {
            if let Input::Submission(message) = input {
                // Its client may have left.
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

/// Says it to the intake, and hears whatever it says.
async fn ask(to: SocketAddr, input: &[u8]) {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        stream.write_all(input).await.ok()?;
        stream.shutdown().await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()
    };
    assert!(timeout(SOON, exchange).await.is_ok(), "a client is owed an error or a close");
}

/// Answers two calls on one connection with it, and waits for the end of every attempt.
async fn call(number: u64, input: &[u8]) {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
    let Ok(to) = listener.local_addr() else { return };
    let text = input.to_vec();
    let endpoint = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                if stream.write_all(&text).await.is_err() {
                    break;
                }
            }
        }
    });
    let mut pool = Pool::new(4, Duration::from_secs(5));
    pool.set_endpoint_address(1, Some(to));
    let (results, mut ends) = mpsc::channel(64);
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
        let mut left = items.len();
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
        while left > 0 {
            let end = timeout(SOON, ends.recv()).await.expect("every attempt ends").expect("it is open");
            if let Input::CallUpdate(end) = end {
                left = left.checked_sub(end.ended.len()).expect("no attempt ends twice");
            }
        }
    }
    endpoint.abort();
}

/// A member that hears it, and goes on.
fn packets(input: &[u8]) {
    let seat = |name: &str| MemberConfig { name: name.to_owned(), zone: String::new(), votes: None };
    let roster = Roster::new(1, ["n0", "n1", "n2"].map(seat).to_vec()).expect("a roster");
    let mut member = Membership::new(0, roster, "n0", 1, InstanceId(1), Timing::from_period(1000), 1)
        .expect("it is a member");
    if let Ok(packet) = decode::<Packet>(input, MAX_PACKET_BYTES) {
        // Said twice, since much is answered the first time alone.
        member.handle(1, packet.clone());
        member.handle(2, packet);
    }
    if let Ok(whole) = decode::<FullState>(input, MAX_FULL_STATE_BYTES) {
        member.merge_full_state(3, whole);
    }
    (0..20).for_each(|n| member.tick(n * 500));
    let outputs = member.take_outputs();
    assert!(outputs.len() < 1000, "{} things to do after one packet", outputs.len());
    for output in outputs {
        if let Output::Send { packet, .. } = output {
            assert!(encode(&packet, MAX_PACKET_BYTES).is_ok(), "a packet that is too long");
        }
    }
    // Nobody can take it to where it is not heard any more, and nobody comes who is not in the roster.
    assert!(member.local_record().incarnation.is_plausible() && member.view().members.len() <= 3);
}
