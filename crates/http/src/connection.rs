//! One outgoing HTTP/1.1 connection. It carries one request at a time and never sends a request twice: a
//! pooled HTTP client may resend, and a call that is sent again may take effect again.

use crate::observed::{ObservedStream, StreamObserver};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Size of a connection's read buffer, and so the longest head of a response.
const BUFFER_BYTES: usize = 16 << 10;
/// Time limit for the head of a response once its first byte has arrived, and again for the body: endpoints
/// write a response in one go.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of round trips after the cancellation of a call within which a response in transit arrives.
const GRACE_ROUND_TRIPS: u32 = 2;
/// Added to [`GRACE_ROUND_TRIPS`] for processing on both sides.
const GRACE_PROCESSING: Duration = Duration::from_millis(20);
/// Upper bound of the time that a cancelled call waits for a response in transit. The time to connect
/// estimates the round trip, and a connection that was slow to open says little about it.
const MAX_GRACE: Duration = Duration::from_millis(40);
/// Longest part of a status line that is kept.
const MAX_LINE_BYTES: usize = 256;

/// Why a request brought no response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was written.
    NotWritten,
    /// The request may have arrived, and no response came.
    MayHaveArrived,
    /// A response came that cannot be parsed.
    Malformed,
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    received: watch::Sender<Received>,
    request: Arc<RequestState>,
    /// How long the connection took to open.
    round_trip: Duration,
    driver: JoinHandle<()>,
}

/// State of the current request on its way out.
#[derive(Debug, Default)]
struct RequestState {
    stage: AtomicU8,
    /// Latest time at which the request's first byte may be written.
    begin_by: Mutex<Option<Instant>>,
    /// Whether the sending side is to be shut down: no further request follows.
    half_close: AtomicBool,
    half_close_requested: Notify,
}

impl RequestState {
    /// The first byte has not been written yet.
    const PENDING: u8 = 1;
    /// The first byte has been written.
    const WRITTEN: u8 = 2;
    /// The request met unsolicited bytes or the end of the stream, or was too late. No byte of it was
    /// written, nor will be.
    const REJECTED: u8 = 3;

    fn set(&self, stage: u8) {
        self.stage.store(stage, Ordering::Relaxed);
    }

    /// Starts the next request, whose first byte must be written before `begin_by`.
    fn begin(&self, begin_by: Option<Instant>) {
        *self.begin_by.lock().unwrap_or_else(PoisonError::into_inner) = begin_by;
        self.set(RequestState::PENDING);
    }

    fn is_late(&self) -> bool {
        let begin_by = *self.begin_by.lock().unwrap_or_else(PoisonError::into_inner);
        begin_by.is_some_and(|by| by <= Instant::now())
    }

    fn is(&self, stage: u8) -> bool {
        self.stage.load(Ordering::Relaxed) == stage
    }
}

/// Cancels the request that a connection carries, while another task waits for the response.
#[derive(Debug)]
pub(crate) struct CancelHandle {
    request: Arc<RequestState>,
    /// Time after the cancellation within which a response that was already in transit arrives.
    pub(crate) grace: Duration,
}

impl CancelHandle {
    /// Shuts down the sending side, which cancels the request. A response in transit can still be read.
    pub(crate) fn half_close(&self) {
        self.request.half_close.store(true, Ordering::Relaxed);
        self.request.half_close_requested.notify_one();
    }
}

impl Connection {
    /// Opens a connection within `limit`.
    pub(crate) async fn open(to: SocketAddr, limit: Duration) -> io::Result<Self> {
        let (received, _) = watch::channel(Received::Nothing);
        let request = Arc::new(RequestState::default());
        let opening = async {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            let observer = ResponseObserver {
                parser: StatusLineParser::default(),
                received: received.clone(),
                request: request.clone(),
            };
            let stream = ObservedStream { stream, observer };
            let mut client = http1::Builder::new();
            client.max_buf_size(BUFFER_BYTES).handshake(TokioIo::new(stream)).await.map_err(io::Error::other)
        };
        let since = Instant::now();
        let (sender, mut connection) =
            timeout(limit, opening).await.map_err(|_| io::ErrorKind::TimedOut)??;
        let round_trip = since.elapsed();
        let state = request.clone();
        let driver = tokio::spawn(async move {
            // An error of the connection shows in the outcome of the request that it carried.
            tokio::select! {
                biased;
                _ = &mut connection => return,
                // The next read performs the half-close ([`ResponseObserver::before_read`]).
                () = state.half_close_requested.notified() => {}
            }
            let _ = connection.await;
        });
        Ok(Connection { sender, received, request, round_trip, driver })
    }

    /// Returns a handle that cancels the next request on this connection.
    pub(crate) fn cancel_handle(&self) -> CancelHandle {
        let grace = (self.round_trip * GRACE_ROUND_TRIPS + GRACE_PROCESSING).min(MAX_GRACE);
        CancelHandle { request: self.request.clone(), grace }
    }

    /// Returns false once the driver has noticed that the peer has closed the connection or sent unsolicited
    /// bytes. What the driver has not noticed yet is found before the first byte of a request is written
    /// ([`ResponseObserver::before_write`]).
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns the status in the status line of the last response, even if the rest of its head cannot be
    /// parsed.
    pub(crate) fn status(&self) -> Option<StatusCode> {
        match *self.received.borrow() {
            Received::Status(status) => Some(status),
            Received::Nothing | Received::Started => None,
        }
    }

    /// Sends one request and waits for the head of its response. A head that has begun and does not end
    /// within [`RESPONSE_TIMEOUT`] is malformed: it would occupy its slot until the call's timeout.
    ///
    /// The first byte is written before `begin_by` or not at all: the process may be suspended at any point
    /// before.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        begin_by: Option<Instant>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotWritten);
        }
        self.received.send_replace(Received::Nothing);
        self.request.begin(begin_by);
        let mut received = self.received.subscribe();
        let response = tokio::select! {
            biased;
            response = self.sender.try_send_request(request) => response,
            () = head_overdue(&mut received) => return Err(SendError::Malformed),
        };
        response.map_err(|mut e| match e.take_message() {
            Some(_) => SendError::NotWritten,
            None if self.request.is(RequestState::REJECTED) => SendError::NotWritten,
            None if e.error().is_parse() || *self.received.borrow() != Received::Nothing => {
                SendError::Malformed
            }
            None => SendError::MayHaveArrived,
        })
    }

    /// Closes the connection and returns once its socket is closed.
    pub(crate) async fn close(mut self) {
        self.driver.abort();
        let _ = (&mut self.driver).await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Returns when a response has begun and [`RESPONSE_TIMEOUT`] has passed since.
async fn head_overdue(received: &mut watch::Receiver<Received>) {
    // The connection outlives its request, so that the channel is not closed.
    let _ = received.wait_for(|received| *received != Received::Nothing).await;
    sleep(RESPONSE_TIMEOUT).await;
}

/// What a connection has received of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// No bytes, or only complete interim responses.
    Nothing,
    /// Bytes, but no status line of a final response yet.
    Started,
    /// The status line, with this status.
    Status(StatusCode),
}

/// Finds the status line of the final response, skipping interim (1xx) responses.
#[derive(Default)]
struct StatusLineParser {
    line: Vec<u8>,
    /// Whether the current line belongs to the head of an interim response.
    in_interim: bool,
    /// Whether the received bytes are not an HTTP response.
    is_malformed: bool,
}

impl StatusLineParser {
    fn read(&mut self, bytes: &[u8]) -> Received {
        for &byte in bytes {
            if byte != b'\n' {
                // The start of a longer line is enough, and a line without an end must not exhaust the
                // memory.
                if self.line.len() < MAX_LINE_BYTES {
                    self.line.push(byte);
                }
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if line.is_empty() {
                self.in_interim = false;
            } else if !self.in_interim && !self.is_malformed {
                match parse_status_line(line) {
                    Some(status) if status.is_informational() => self.in_interim = true,
                    Some(status) => {
                        *self = StatusLineParser::default();
                        return Received::Status(status);
                    }
                    None => self.is_malformed = true,
                }
            }
        }
        // After a complete interim response the endpoint may take its time again.
        if self.line.is_empty() && !self.in_interim && !self.is_malformed {
            Received::Nothing
        } else {
            Received::Started
        }
    }
}

/// Returns the status in a response's status line.
fn parse_status_line(line: &[u8]) -> Option<StatusCode> {
    let rest = line.strip_prefix(b"HTTP/1.1 ").or_else(|| line.strip_prefix(b"HTTP/1.0 "))?;
    let (code, reason) = rest.split_at_checked(3)?;
    StatusCode::from_bytes(code).ok().filter(|_| matches!(reason.first(), None | Some(b' ')))
}

/// Records the status of each response: when the rest of a head cannot be parsed, the parser reports only an
/// error, but the status line is still valid.
struct ResponseObserver {
    parser: StatusLineParser,
    received: watch::Sender<Received>,
    request: Arc<RequestState>,
}

impl StreamObserver for ResponseObserver {
    fn received(&mut self, bytes: &[u8]) {
        let before = *self.received.borrow();
        if matches!(before, Received::Status(_)) {
            return;
        }
        if before == Received::Nothing {
            self.parser = StatusLineParser::default();
        }
        let after = self.parser.read(bytes);
        self.received.send_if_modified(|received| std::mem::replace(received, after) != after);
    }

    fn before_read(&mut self, stream: &TcpStream) {
        if self.request.half_close.load(Ordering::Relaxed) {
            // An error means that the connection is closed already.
            let _ = SockRef::from(stream).shutdown(Shutdown::Write);
        }
    }

    /// Peeks at the socket itself before the first byte of a request, because the runtime's readiness may be
    /// out of date. Unsolicited bytes, such as a second copy of the previous response, would be read as the
    /// response to this request; and if the request were written to a connection that the peer has closed,
    /// the call would have to count as one that may have run.
    fn before_write(&mut self, stream: &TcpStream) -> io::Result<()> {
        if !self.request.is(RequestState::PENDING) {
            return if self.request.is(RequestState::REJECTED) {
                Err(io::ErrorKind::BrokenPipe.into())
            } else {
                Ok(())
            };
        }
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock && !self.request.is_late() => {
                self.request.set(RequestState::WRITTEN);
                Ok(())
            }
            _ => {
                self.request.set(RequestState::REJECTED);
                Err(io::ErrorKind::BrokenPipe.into())
            }
        }
    }
}

/// Reads the complete body of a response. Returns `None` if the body is longer than `max_bytes`, breaks off,
/// or takes longer than [`RESPONSE_TIMEOUT`].
pub(crate) async fn read_body(incoming: Incoming, max_bytes: usize) -> Option<Bytes> {
    let body = timeout(RESPONSE_TIMEOUT, Limited::new(incoming, max_bytes).collect()).await;
    body.ok()?.ok().map(|body| body.to_bytes())
}

/// Sets the `Host` header, which HTTP/1.1 requires.
pub(crate) fn set_host(request: &mut Request<Full<Bytes>>, to: SocketAddr) {
    // An address and a port are always a valid header value.
    if let Ok(host) = HeaderValue::from_str(&to.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
}

#[cfg(test)]
mod tests;
