//! Reports accepted messages that ended without delivery to the platform.
//!
//! An acknowledgement does not name the notices that it belongs to. Each attempt is therefore made on a connection
//! of its own, where no copy of another's acknowledgement can arrive.

use crate::attempts::Attempts;
use crate::body_memory::BodyMemory;
use crate::connection::{self, Connection};
use crate::log_limit::LogLimit;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use yarrowhill_engine::{Input, Notice};

/// Time limit for a connection to the platform to open: the system gives up sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(300);
/// Time after which notices are sent again while their acknowledgement may still come.
const RETRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between a failed attempt and the next.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Shortest time between two attempts while the first is not acknowledged. A notice is overdue 300 ms after its
/// message's deadline.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of open attempts.
const MAX_OPEN_ATTEMPTS: usize = 2;
/// Number of unacknowledged notices from which on no more are taken from the engine. With the batch taken last, all
/// of them fit into one request of 64 KiB, whatever their ids.
const MAX_UNACKNOWLEDGED: usize = 128;

/// Sends the notices from the engine until they are acknowledged, then reports that to the engine. A change of the
/// address cancels the attempts at the old address, and the new one receives all notices that are not
/// acknowledged: a notice that arrives twice does no harm.
pub async fn send_all(
    address: watch::Receiver<SocketAddr>,
    batches: Receiver<Vec<Notice>>,
    engine: Sender<Input>,
) {
    let mut sender = NoticeSender::new(address, batches, engine);
    while sender.step().await.is_ok() {}
}

/// The engine has ended.
#[derive(Debug)]
struct EngineEnded;

/// What the sender of notices waits for.
#[derive(Debug)]
enum Event {
    /// An attempt has ended.
    Ended(Result<NoticeNumber, NoticeError>),
    /// The platform has another address.
    Moved,
    /// The next attempt is due.
    Due,
    /// The engine has passed on notices, or has ended.
    Batch(Option<Vec<Notice>>),
}

/// Number of a notice, in the order in which they are sent.
type NoticeNumber = u64;

/// Sends notices. Each attempt has all of them that are not acknowledged yet, so that an acknowledgement is one of
/// all notices up to the last one of its attempt.
#[derive(Debug)]
struct NoticeSender {
    address: watch::Receiver<SocketAddr>,
    batches: Receiver<Vec<Notice>>,
    engine: Sender<Input>,
    unacknowledged: VecDeque<Notice>,
    /// Number of the first unacknowledged notice.
    first_number: NoticeNumber,
    /// Since when unacknowledged notices have waited without an acknowledgement of any.
    waiting_since: Instant,
    /// Each attempt returns the number behind its last notice if it was acknowledged.
    attempts: Attempts<Result<NoticeNumber, NoticeError>>,
    last_sent_at: Instant,
    /// When the next attempt is due; `None` without unacknowledged notices.
    next_at: Option<Instant>,
    warnings: LogLimit,
}

impl NoticeSender {
    fn new(
        address: watch::Receiver<SocketAddr>,
        batches: Receiver<Vec<Notice>>,
        engine: Sender<Input>,
    ) -> Self {
        let now = Instant::now();
        NoticeSender {
            address,
            batches,
            engine,
            unacknowledged: VecDeque::new(),
            first_number: 0,
            waiting_since: now,
            attempts: Attempts::new(MAX_OPEN_ATTEMPTS),
            last_sent_at: now,
            next_at: None,
            warnings: LogLimit::default(),
        }
    }

    /// Waits for the next event and handles it.
    async fn step(&mut self) -> Result<(), EngineEnded> {
        match self.next_event().await {
            Event::Ended(Ok(end)) => self.acknowledged(end).await?,
            Event::Ended(Err(failure)) => self.failed(&failure),
            Event::Moved => {
                self.attempts.give_up_all();
                self.next_at = self.next_at.map(|_| Instant::now());
            }
            Event::Due => self.send(),
            Event::Batch(batch) => self.add(batch.ok_or(EngineEnded)?),
        }
        Ok(())
    }

    async fn next_event(&mut self) -> Event {
        let has_room = self.unacknowledged.len() < MAX_UNACKNOWLEDGED;
        let due = async {
            sleep_until(self.next_at?).await;
            Some(())
        };
        tokio::select! {
            biased;
            ended = self.attempts.next_ended() => Event::Ended(ended.output),
            Ok(()) = self.address.changed() => Event::Moved,
            Some(()) = due => Event::Due,
            batch = self.batches.recv(), if has_room => Event::Batch(batch),
        }
    }

    /// Adds notices. They do not wait for the acknowledgement of earlier ones.
    fn add(&mut self, batch: Vec<Notice>) {
        let now = Instant::now();
        if self.unacknowledged.is_empty() {
            self.waiting_since = now;
        }
        self.unacknowledged.extend(batch);
        let earliest = self.last_sent_at + MIN_INTERVAL;
        self.next_at = Some(self.next_at.map_or(now, |at| at.min(earliest)));
    }

    fn send(&mut self) {
        let to = *self.address.borrow_and_update();
        let end = self.first_number + self.unacknowledged.len() as NoticeNumber;
        let request = send_notices(to, body(&self.unacknowledged));
        self.attempts.start(async move { request.await.map(|()| end) });
        self.last_sent_at = Instant::now();
        self.next_at = Some(self.last_sent_at + RETRY_TIMEOUT);
        let waiting = self.waiting_since.elapsed();
        if waiting >= RETRY_TIMEOUT {
            self.warn(&NoticeError::Late(waiting));
        }
    }

    fn failed(&mut self, failure: &NoticeError) {
        self.warn(failure);
        let retry_at = Instant::now() + RETRY_DELAY;
        self.next_at = self.next_at.map(|at| at.min(retry_at));
    }

    fn warn(&mut self, failure: &NoticeError) {
        if self.warnings.allows() {
            let (to, count) = (*self.address.borrow(), self.unacknowledged.len());
            tracing::warn!("{to} did not acknowledge {count} notices: {failure}");
        }
    }

    /// Reports to the engine that the platform has acknowledged all notices before the number `end`.
    async fn acknowledged(&mut self, end: NoticeNumber) -> Result<(), EngineEnded> {
        // A later attempt, which has the notices of earlier ones, may have been acknowledged before.
        let Some(count) = end.checked_sub(self.first_number).filter(|count| *count > 0) else {
            return Ok(());
        };
        let notices = self.unacknowledged.drain(..count as usize).collect();
        self.first_number = end;
        self.waiting_since = Instant::now();
        if self.unacknowledged.is_empty() {
            self.attempts.give_up_all();
            self.next_at = None;
        } else if self.attempts.open_count() == 0 {
            self.next_at = Some(Instant::now());
        }
        let acknowledged = self.engine.send(Input::NoticesAcknowledged(notices)).await;
        acknowledged.map_err(|_| EngineEnded)
    }
}

/// Why the platform has not acknowledged notices.
#[derive(Debug, thiserror::Error)]
enum NoticeError {
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("no complete response")]
    Incomplete,
    #[error("no response within {0:.1?}")]
    Late(Duration),
}

/// Returns the body of a request with notices: one JSON object per line.
fn body(notices: &VecDeque<Notice>) -> Bytes {
    let lines: Vec<String> = notices.iter().filter_map(|n| serde_json::to_string(n).ok()).collect();
    Bytes::from(lines.join("\n") + "\n")
}

/// Sends notices once. Succeeds if the platform acknowledged them.
async fn send_notices(to: SocketAddr, body: Bytes) -> Result<(), NoticeError> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/v1/notices");
    connection::set_host(&mut request, to);
    // The body of an acknowledgement is not kept.
    let bodies = BodyMemory::new(0);
    let opening = Connection::open(to, CONNECT_TIMEOUT, bodies);
    let mut connection = opening.await.map_err(NoticeError::Connect)?;
    // The status tells all; an acknowledgement has no body.
    let response = connection.send_patiently(request, &watch::Sender::new(None)).await;
    match response.map(|response| response.status()) {
        Ok(StatusCode::NO_CONTENT) => Ok(()),
        Ok(status) => Err(NoticeError::Status(status)),
        Err(_) => Err(NoticeError::Incomplete),
    }
}
