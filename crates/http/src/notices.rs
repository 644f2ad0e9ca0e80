//! Reports accepted messages that ended without delivery to the platform.
//!
//! An acknowledgement does not name the notices that it belongs to. Each attempt is therefore made on a connection
//! of its own, where no copy of another's acknowledgement can arrive.

mod unacknowledged;

use crate::attempts::{Attempts, EndedAttempt};
use crate::body_memory::BodyMemory;
use crate::connection::{self, Connection};
use crate::log_limit::LogLimit;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use unacknowledged::{NoticeNumber, RETRY_DELAY, RETRY_TIMEOUT, UnacknowledgedNotices};
use yarrowhill_engine::{Input, Notice};

/// Time limit for a connection to the platform to open: the system gives up sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(300);
/// Shortest time between two attempts while one is open. A notice is overdue 300 ms after its
/// message's deadline.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of open attempts.
const MAX_OPEN_ATTEMPTS: usize = 3;
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

/// What an attempt has led to.
#[derive(Debug)]
struct Attempted {
    numbers: Vec<NoticeNumber>,
    result: Result<(), NoticeError>,
}

/// What the sender of notices waits for.
#[derive(Debug)]
enum Event {
    /// An attempt has ended.
    Ended(EndedAttempt<Attempted>),
    /// The platform has another address.
    Moved,
    /// The next attempt is due.
    Due,
    /// The engine has passed on notices, or has ended.
    Batch(Option<Vec<Notice>>),
}

/// Sends notices. An attempt has those that are due: notices that an open attempt has are sent again only when that
/// is late. Where too many attempts are open, one of them is given up for an attempt with all notices.
#[derive(Debug)]
struct NoticeSender {
    address: watch::Receiver<SocketAddr>,
    batches: Receiver<Vec<Notice>>,
    engine: Sender<Input>,
    unacknowledged: UnacknowledgedNotices,
    /// Since when unacknowledged notices have waited without an acknowledgement of any.
    waiting_since: Instant,
    attempts: Attempts<Attempted>,
    /// When the next attempt may start.
    earliest_at: Instant,
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
            unacknowledged: UnacknowledgedNotices::default(),
            waiting_since: now,
            attempts: Attempts::new(MAX_OPEN_ATTEMPTS),
            earliest_at: now,
            warnings: LogLimit::default(),
        }
    }

    /// Waits for the next event and handles it.
    async fn step(&mut self) -> Result<(), EngineEnded> {
        match self.next_event().await {
            Event::Ended(ended) => self.ended(ended).await?,
            Event::Moved => {
                self.attempts.give_up_all();
                self.unacknowledged.retry_all();
                self.earliest_at = Instant::now();
            }
            Event::Due => self.send(),
            Event::Batch(batch) => self.add(batch.ok_or(EngineEnded)?),
        }
        Ok(())
    }

    async fn next_event(&mut self) -> Event {
        let has_room = self.unacknowledged.len() < MAX_UNACKNOWLEDGED;
        let next_at = self.unacknowledged.next_due_at().map(|due_at| due_at.max(self.earliest_at));
        let due = async {
            sleep_until(next_at?).await;
            Some(())
        };
        tokio::select! {
            biased;
            ended = self.attempts.next_ended() => Event::Ended(ended),
            Ok(()) = self.address.changed() => Event::Moved,
            Some(()) = due => Event::Due,
            batch = self.batches.recv(), if has_room => Event::Batch(batch),
        }
    }

    /// Adds notices. They do not wait for the acknowledgement of earlier ones.
    fn add(&mut self, batch: Vec<Notice>) {
        if self.unacknowledged.is_empty() {
            self.waiting_since = Instant::now();
        }
        self.unacknowledged.add(batch);
    }

    fn send(&mut self) {
        let to = *self.address.borrow_and_update();
        let numbers = match self.attempts.open_count() < MAX_OPEN_ATTEMPTS {
            true => self.unacknowledged.due(),
            false => self.unacknowledged.all(),
        };
        let request = send_notices(to, body(self.unacknowledged.get(&numbers)));
        let attempted = numbers.clone();
        let id = self.attempts.start(async move { Attempted { numbers: attempted, result: request.await } });
        self.unacknowledged.record_attempt(&numbers, id);
        self.earliest_at = Instant::now() + MIN_INTERVAL;
        let waiting = self.waiting_since.elapsed();
        if waiting >= RETRY_TIMEOUT {
            self.warn(&NoticeError::Late(waiting));
        }
    }

    async fn ended(&mut self, attempt: EndedAttempt<Attempted>) -> Result<(), EngineEnded> {
        let Attempted { numbers, result } = attempt.output;
        match result {
            Ok(()) => self.acknowledged(&numbers).await?,
            Err(failure) => {
                self.warn(&failure);
                self.unacknowledged.record_failure(&numbers, attempt.id);
                self.earliest_at = self.earliest_at.min(Instant::now() + RETRY_DELAY);
            }
        }
        Ok(())
    }

    fn warn(&mut self, failure: &NoticeError) {
        if self.warnings.allows() {
            let (to, count) = (*self.address.borrow(), self.unacknowledged.len());
            tracing::warn!("{to} did not acknowledge {count} notices: {failure}");
        }
    }

    /// Reports to the engine that the platform has acknowledged these notices.
    async fn acknowledged(&mut self, numbers: &[NoticeNumber]) -> Result<(), EngineEnded> {
        // A later attempt with them may have been acknowledged before.
        let notices = self.unacknowledged.acknowledge(numbers);
        if notices.is_empty() {
            return Ok(());
        }
        self.waiting_since = Instant::now();
        if self.unacknowledged.is_empty() {
            self.attempts.give_up_all();
        }
        if self.attempts.open_count() == 0 {
            self.earliest_at = Instant::now();
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
fn body<'a>(notices: impl Iterator<Item = &'a Notice>) -> Bytes {
    let lines: Vec<String> = notices.filter_map(|n| serde_json::to_string(n).ok()).collect();
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
