//! What is known of a client connection: whether it is idle, within a request head, or waits for a response.

use crate::head_scanner::HeadScanner;
use crate::observed::StreamObserver;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep;
use yarrowhill_engine::CLIENT_TIMEOUT;

/// Idle timeout of a connection between requests.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1800);

/// State of a connection, updated by its task and read to select the connection to evict.
pub(crate) struct ConnectionState {
    opened_at: Instant,
    /// Whether a complete request head has arrived.
    pub(crate) has_sent_request: AtomicBool,
    /// Time from `opened_at` to the end of the last request; [`ConnectionState::BUSY`] during a request.
    idle_since_ms: AtomicU64,
    /// Whether a request head has begun and is not complete.
    pub(crate) is_reading_head: AtomicBool,
    /// Whether the last request head has ambiguous body framing.
    pub(crate) is_ambiguous: AtomicBool,
    /// Time from `opened_at` to the start of the last request.
    request_began_ms: AtomicU64,
    /// Wakes the connection's task at the end of the request, if the client has ended its sending.
    half_closed: Mutex<Option<Waker>>,
    /// Notified when the connection is evicted.
    pub(crate) evicted: Notify,
}

impl ConnectionState {
    const BUSY: u64 = u64::MAX;

    pub(crate) fn new() -> Self {
        ConnectionState {
            opened_at: Instant::now(),
            has_sent_request: AtomicBool::new(false),
            idle_since_ms: AtomicU64::new(0),
            is_reading_head: AtomicBool::new(false),
            is_ambiguous: AtomicBool::new(false),
            request_began_ms: AtomicU64::new(0),
            half_closed: Mutex::new(None),
            evicted: Notify::new(),
        }
    }

    pub(crate) fn begin_request(&self) {
        self.has_sent_request.store(true, Relaxed);
        self.request_began_ms.store(self.age_ms(), Relaxed);
        self.idle_since_ms.store(ConnectionState::BUSY, Relaxed);
    }

    pub(crate) fn end_request(&self) {
        self.idle_since_ms.store(self.age_ms(), Relaxed);
        if let Some(waker) = self.lock_half_closed().take() {
            waker.wake();
        }
    }

    fn lock_half_closed(&self) -> MutexGuard<'_, Option<Waker>> {
        self.half_closed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the end of the request in progress, if the client can still be waiting for its response.
    fn poll_response_due(&self, cx: &Context<'_>) -> Poll<()> {
        let waited = Duration::from_millis(self.age_ms().saturating_sub(self.request_began_ms.load(Relaxed)));
        if self.idle_time().is_some() || waited >= CLIENT_TIMEOUT {
            return Poll::Ready(());
        }
        *self.lock_half_closed() = Some(cx.waker().clone());
        Poll::Pending
    }

    fn age_ms(&self) -> u64 {
        u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(ConnectionState::BUSY - 1)
    }

    /// Returns how long the connection has been idle; `None` during a request.
    pub(crate) fn idle_time(&self) -> Option<Duration> {
        let since = Some(self.idle_since_ms.load(Relaxed)).filter(|since| *since != ConnectionState::BUSY)?;
        Some(Duration::from_millis(self.age_ms().saturating_sub(since)))
    }

    /// Returns when the connection has been idle for [`IDLE_TIMEOUT`]. A connection within a request head is
    /// not idle: the head has a time limit of its own.
    pub(crate) async fn idle_timeout(&self) {
        loop {
            let idle = self.idle_time().filter(|_| !self.is_reading_head.load(Relaxed));
            match idle {
                Some(idle) if idle >= IDLE_TIMEOUT => return,
                idle => sleep(IDLE_TIMEOUT - idle.unwrap_or_default()).await,
            }
        }
    }
}

/// Scans each request head before the HTTP parser, which hides a `Content-Length` that follows a
/// `Transfer-Encoding` or is repeated, and tells a client that has only ended its sending from one that has
/// left: the parser takes both for the end of the connection.
pub(crate) struct RequestObserver {
    scanner: HeadScanner,
    state: Arc<ConnectionState>,
}

impl RequestObserver {
    pub(crate) fn new(state: Arc<ConnectionState>) -> Self {
        RequestObserver { scanner: HeadScanner::default(), state }
    }
}

impl StreamObserver for RequestObserver {
    fn received(&mut self, bytes: &[u8]) {
        if self.scanner.scan(bytes) {
            self.state.is_ambiguous.store(true, Relaxed);
        }
        self.state.is_reading_head.store(self.scanner.is_inside_head(), Relaxed);
    }

    fn poll_end_of_stream(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.scanner.is_between_requests() { self.state.poll_response_due(cx) } else { Poll::Ready(()) }
    }
}
