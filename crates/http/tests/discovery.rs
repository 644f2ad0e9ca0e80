//! The watch on the endpoint list beside a discovery that is slow, silent, or answers out of order.

use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use yarrowhill_engine::{EndpointList, Input};
use yarrowhill_http::ListedAddresses;
use yarrowhill_http::discovery::{self, WatchConfig};

/// Time after which a change counts as told, whether or not it arrived.
const TOLD_AFTER: Duration = Duration::from_secs(6);
const TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum length of a list.
const MAX_LIST_BYTES: usize = 1 << 20;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How discovery answers one request.
#[derive(Clone, Copy, Debug)]
struct Manner {
    /// Time from when an answer is due to its first byte; `None` for no answer.
    delay: Option<Duration>,
    /// Whether the list is the one of when the answer was due, in place of when it is written.
    is_list_taken_first: bool,
    /// Number of pieces of the body, and the time before each.
    pieces: (u32, Duration),
    /// Number of blanks in the body.
    padding: usize,
}

const PROMPT: Manner = late(0);

/// An answer that comes late in one piece.
const fn late(millis: u64) -> Manner {
    Manner { delay: Some(ms(millis)), is_list_taken_first: false, pieces: (1, Duration::ZERO), padding: 0 }
}

/// Returns how the nth request (from 0), which comes so long after the start, is answered.
type Script = fn(usize, Duration) -> Manner;

/// Discovery that answers by a script.
#[derive(Clone)]
struct Discovery {
    script: Script,
    started_at: Instant,
    version: Arc<watch::Sender<u64>>,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl Discovery {
    async fn start(script: Script) -> (SocketAddr, Discovery) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
        let address = listener.local_addr().expect("listener is bound");
        let discovery = Discovery {
            script,
            started_at: Instant::now(),
            version: Arc::new(watch::channel(1).0),
            requests: Arc::default(),
            connections: Arc::default(),
        };
        let accepting = discovery.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = accepting.clone();
                tokio::spawn(async move {
                    serving.connections.fetch_add(1, Ordering::Relaxed);
                    serving.serve(stream).await;
                    serving.connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        (address, discovery)
    }

    /// Answers the requests of a connection until the peer closes it.
    async fn serve(&self, stream: TcpStream) {
        let (mut reader, mut writer) = stream.into_split();
        let mut request = [0; 4096];
        loop {
            let Ok(length @ 1..) = reader.read(&mut request).await else { return };
            let head = String::from_utf8_lossy(&request[..length]).into_owned();
            let mut more = [0; 1];
            tokio::select! {
                is_written = self.answer(&head, &mut writer) => if !is_written { return },
                _ = reader.read(&mut more) => return,
            }
        }
    }

    /// Answers a request; returns whether the answer was written.
    async fn answer(&self, head: &str, writer: &mut (impl AsyncWriteExt + Unpin)) -> bool {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let manner = (self.script)(number, self.started_at.elapsed());
        let value = |name: &str| {
            let rest = head.split(name).nth(1)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let (index, wait) = (value("index="), ms(value("wait=").unwrap_or(0)));
        let mut version = self.version.subscribe();
        let _ = timeout(wait, version.wait_for(|version| index.is_none_or(|index| *version > index))).await;
        let taken = *version.borrow();
        let Some(delay) = manner.delay else { return std::future::pending().await };
        sleep(delay).await;
        let version = if manner.is_list_taken_first { taken } else { *version.borrow() };
        let list = json!({"rev": version, "all": index.is_none(), "targets": []}).to_string();
        let body = " ".repeat(manner.padding) + &list;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut is_written = writer.write_all(head.as_bytes()).await.is_ok();
        let (pieces, pause) = manner.pieces;
        for piece in body.as_bytes().chunks(body.len().div_ceil(pieces as usize)) {
            sleep(pause).await;
            is_written = is_written && writer.write_all(piece).await.is_ok();
        }
        is_written
    }
}

/// Starts a watch that knows version 1.
fn watch_lists(address: watch::Receiver<SocketAddr>, forwarders: Option<usize>) -> mpsc::Receiver<Input> {
    let (engine, inputs) = mpsc::channel(64);
    let known = EndpointList { version: 1, is_full: true, endpoints: Vec::new() };
    let config = WatchConfig { version: 1, forwarders, seed: 1, max_list_bytes: MAX_LIST_BYTES };
    tokio::spawn(discovery::watch(address, config, ListedAddresses::new(&known), engine));
    inputs
}

/// Returns when the engine receives a list of at least this version.
async fn received(inputs: &mut mpsc::Receiver<Input>, version: u64) {
    while let Some(input) = inputs.recv().await {
        if matches!(input, Input::List(list) if list.version >= version) {
            return;
        }
    }
    panic!("the watch has ended");
}

/// Plays a script, with a change of the list at a time, and returns how long it takes until the engine has it.
async fn time_until_told(script: Script, change_at: Duration) -> Option<Duration> {
    let (address, discovery) = Discovery::start(script).await;
    let (_address, address) = watch::channel(address);
    let mut inputs = watch_lists(address, None);
    sleep_until(discovery.started_at + change_at).await;
    discovery.version.send_replace(2);
    let changed_at = Instant::now();
    timeout(TIMEOUT, received(&mut inputs, 2)).await.ok()?;
    Some(changed_at.elapsed())
}

/// Guards against calls to a drained endpoint for as long as discovery is slow: each request was given up before
/// its answer came, and the next one after the same time, so that no list arrived any more.
#[tokio::test]
async fn a_change_is_told_in_time_however_late_the_answers_of_discovery_are() {
    /// Discovery is prompt up to this time.
    const CALM: Duration = Duration::from_secs(3);
    let scripts: [(&str, Script); 11] = [
        ("0.95 s late", |_, at| if at < CALM { PROMPT } else { late(950) }),
        ("1.5 s late", |_, at| if at < CALM { PROMPT } else { late(1500) }),
        ("1.5 s late from the start", |_, _| late(1500)),
        ("1.9 s late", |_, at| if at < CALM { PROMPT } else { late(1900) }),
        ("2.6 s late", |_, at| if at < CALM { PROMPT } else { late(2600) }),
        ("4 s late", |_, at| if at < CALM { PROMPT } else { late(4000) }),
        ("later and later", |_, at| late(700 + u64::try_from(at.as_millis() / 4).expect("short"))),
        ("a body in pieces", |_, at| match at < CALM {
            true => PROMPT,
            false => Manner { pieces: (24, ms(63)), ..PROMPT },
        }),
        ("3 s late, with the list of the request", |_, at| match at < CALM {
            true => PROMPT,
            false => Manner { is_list_taken_first: true, ..late(3000) },
        }),
        ("1.5 s late, every second request never answered", |number, at| match at < CALM {
            true => PROMPT,
            false if number % 2 == 0 => Manner { delay: None, ..PROMPT },
            false => late(1500),
        }),
        ("every second request 1.5 s late, the others prompt", |number, at| match at < CALM {
            true => PROMPT,
            false if number % 2 == 0 => late(1500),
            false => PROMPT,
        }),
    ];
    let mut plays = JoinSet::new();
    for (name, script) in scripts {
        // Several phases of the watch.
        for change_at in [7000, 7700, 8400, 9100, 9800].map(ms) {
            plays.spawn(async move { (name, change_at, time_until_told(script, change_at).await) });
        }
    }
    while let Some(play) = plays.join_next().await {
        let (name, change_at, told_after) = play.expect("no play panics");
        let is_in_time = told_after.is_some_and(|after| after < TOLD_AFTER);
        assert!(is_in_time, "{name}, change at {change_at:?}: told after {told_after:?}");
    }
}

/// Guards against a process that sends nothing for as long as discovery is slow: without a first list its own is
/// not confirmed.
#[tokio::test]
async fn a_new_process_gets_its_first_list_from_a_slow_discovery() {
    for forwarders in [None, Some(3)] {
        let (address, _discovery) = Discovery::start(|_, _| late(3500)).await;
        let (_address, address) = watch::channel(address);
        let mut inputs = watch_lists(address, forwarders);
        let first = timeout(TOLD_AFTER, received(&mut inputs, 1)).await;
        assert!(first.is_ok(), "{forwarders:?}: no list");
    }
}

/// Guards against long lists that push each other out of the memory that they share: none of them arrived while the
/// pieces of each came slowly.
#[tokio::test]
async fn long_lists_that_arrive_slowly_are_not_dropped_for_each_other() {
    let script: Script = |_, _| Manner { pieces: (24, ms(125)), padding: MAX_LIST_BYTES * 2 / 3, ..PROMPT };
    let (address, _discovery) = Discovery::start(script).await;
    let (_address, address) = watch::channel(address);
    let mut inputs = watch_lists(address, None);
    let first = timeout(TOLD_AFTER, received(&mut inputs, 1)).await;
    assert!(first.is_ok(), "no list");
}

/// Guards against watches that stay silent because a slow discovery is waited for: one that has fallen silent is
/// opened anew in time, and what it misses is told.
#[tokio::test]
async fn a_watch_that_has_fallen_silent_is_opened_anew_in_time() {
    let mut plays = JoinSet::new();
    for silent_at in [2000, 2600, 3200, 3900].map(ms) {
        plays.spawn(async move {
            let script: Script =
                |_, at| if at < ms(4000) { Manner { delay: None, ..PROMPT } } else { PROMPT };
            let (address, discovery) = Discovery::start(script).await;
            let (_address, address) = watch::channel(address);
            sleep_until(discovery.started_at + silent_at).await;
            // The first request of this watch, and each before 4 s, is never answered.
            let mut inputs = watch_lists(address, None);
            discovery.version.send_replace(2);
            let told = timeout(TOLD_AFTER, received(&mut inputs, 2)).await;
            assert!(told.is_ok(), "silent from {silent_at:?} on: not told");
        });
    }
    while let Some(play) = plays.join_next().await {
        play.expect("told in time");
    }
}

/// Guards against connections that pile up at a silent discovery, and against pauses in which no request waits for
/// its return: a change that it brings counts as told at once.
#[tokio::test]
async fn a_silent_discovery_has_few_open_requests_and_answers_them_at_its_return() {
    const RETURN: Duration = Duration::from_secs(8);
    let script: Script = |_, at| Manner { delay: Some(RETURN.saturating_sub(at)), ..PROMPT };
    let mut plays = JoinSet::new();
    for (forwarders, max_open) in [(None, 4), (Some(3), 2)] {
        plays.spawn(async move {
            let (address, discovery) = Discovery::start(script).await;
            let (_address, address) = watch::channel(address);
            let mut inputs = watch_lists(address, forwarders);
            discovery.version.send_replace(2);
            let mut most_open = 0;
            while discovery.started_at.elapsed() < RETURN - ms(100) {
                sleep(ms(10)).await;
                most_open = most_open.max(discovery.connections.load(Ordering::Relaxed));
            }
            let requests = discovery.requests.load(Ordering::Relaxed);
            assert!(inputs.try_recv().is_err(), "{forwarders:?}: discovery is silent");
            let told = timeout(ms(300), received(&mut inputs, 2)).await;
            assert!(told.is_ok(), "{forwarders:?}: not told at the return");
            // One that has been given up may still be closing.
            assert!((2..=max_open + 1).contains(&most_open), "{forwarders:?}: {most_open} open requests");
            assert!((3..=9).contains(&requests), "{forwarders:?}: {requests} requests in 8 s");
        });
    }
    while let Some(play) = plays.join_next().await {
        play.expect("the watch keeps its bounds");
    }
}

/// A scripted list.
#[derive(Clone, Copy)]
struct Answer {
    version: u64,
    is_full: bool,
    delay: Duration,
}

/// A full list that comes late.
const fn full(version: u64, delay_ms: u64) -> Answer {
    Answer { version, is_full: true, delay: ms(delay_ms) }
}

/// Answers the first request of each connection with the next list, in whatever order the delays bring about.
async fn answer_once_each(answers: Vec<Answer>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
    let address = listener.local_addr().expect("listener is bound");
    tokio::spawn(async move {
        let mut remaining = answers.into_iter();
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = remaining.next();
            tokio::spawn(async move {
                let Ok(1..) = stream.read(&mut [0; 4096]).await else { return };
                if let Some(Answer { version, is_full, delay }) = answer {
                    sleep(delay).await;
                    let body = json!({"rev": version, "all": is_full, "targets": []}).to_string();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    let _ = stream.write_all((head + &body).as_bytes()).await;
                }
                // Later requests on the connection stay unanswered.
                let _ = stream.read_to_end(&mut Vec::new()).await;
            });
        }
    });
    address
}

/// Returns the versions of all lists that the engine receives within a time.
async fn versions_within(inputs: &mut mpsc::Receiver<Input>, time: Duration) -> Vec<u64> {
    let until = Instant::now() + time;
    let mut versions = Vec::new();
    while let Ok(Some(input)) = tokio::time::timeout_at(until, inputs.recv()).await {
        if let Input::List(list) = input {
            versions.push(list.version);
        }
    }
    versions
}

/// Guards against a drain that an older list takes back: the response to an earlier request comes behind the one
/// to a later request.
#[tokio::test]
async fn an_older_list_behind_a_newer_one_is_not_passed_on() {
    let address = answer_once_each(vec![full(5, 1900), full(6, 100)]).await;
    let (_address, address) = watch::channel(address);
    let mut inputs = watch_lists(address, None);
    assert_eq!(versions_within(&mut inputs, ms(2600)).await, [6]);
}

/// Guards against a list of the old address that counts as one of the new: a request is still open there when
/// SIGHUP changes the address.
#[tokio::test]
async fn an_answer_of_the_old_address_behind_a_move_is_not_passed_on() {
    let old = answer_once_each(vec![full(9, 1500), full(9, 1000)]).await;
    let new = answer_once_each(vec![full(3, 1200)]).await;
    let (move_to, address) = watch::channel(old);
    let mut inputs = watch_lists(address, None);
    sleep(ms(1250)).await;
    move_to.send_replace(new);
    assert!(matches!(inputs.recv().await, Some(Input::DiscoveryMoved)));
    assert_eq!(versions_within(&mut inputs, ms(2000)).await, [3]);
}

/// Guards against a watch that waits for versions that discovery has lost, also while answers to earlier requests
/// are on their way.
#[tokio::test]
async fn a_discovery_that_has_lost_versions_is_believed_on_a_new_connection() {
    // The first request brings version 7 and continues unanswered; the next one is sent on a new connection.
    let address = answer_once_each(vec![full(7, 0), full(2, 200)]).await;
    let (_address, address) = watch::channel(address);
    let mut inputs = watch_lists(address, None);
    assert_eq!(versions_within(&mut inputs, ms(4500)).await, [7, 2]);
}

/// Guards against changes that are never told: a discovery that has lost versions returns the changes since a
/// version that it does not know, which are none.
#[tokio::test]
async fn a_discovery_that_has_lost_versions_is_asked_for_the_full_list() {
    let changes = Answer { is_full: false, ..full(2, 0) };
    let address = answer_once_each(vec![full(7, 0), changes, full(2, 0)]).await;
    let (_address, address) = watch::channel(address);
    let mut inputs = watch_lists(address, None);
    let full_list = async {
        loop {
            match inputs.recv().await {
                Some(Input::List(list)) if list.version == 2 => break assert!(list.is_full, "changes alone"),
                Some(_) => {}
                None => panic!("the watch has ended"),
            }
        }
    };
    timeout(TIMEOUT, full_list).await.expect("the full list is requested");
}
