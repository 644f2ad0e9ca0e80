//! One outgoing HTTP/1.1 connection. It carries one request at a time and never sends a request twice: a
//! pooled HTTP client may resend, and a call that is sent again may take effect again.
//!
//! Requests and responses are matched by their order alone, so that a response that no request asked for, such
//! as a second copy of an earlier one, shifts all that follow. A connection therefore keeps what comes after a
//! response, and reads it as a further response if it is asked to ([`Connection::further_response`]).

use crate::body::{self, BodyError};
use crate::body_memory::{BodyMemory, CompleteBody};
use crate::observed::{ObservedStream, StreamObserver};
use crate::response_history::ResponseHistory;
use crate::status_line::{NestedStatusLine, Received, StatusLineParser};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::future::{pending, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Size of a connection's read buffer, and so the longest head of a response.
const BUFFER_BYTES: usize = 16 << 10;
/// Time limit for the head of a response once its first byte has arrived, and again for the body: peers
/// write a response in one go.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of round trips after the cancellation of a call within which a response in transit arrives.
const GRACE_ROUND_TRIPS: u32 = 2;
/// Added to [`GRACE_ROUND_TRIPS`] for processing on both sides.
const GRACE_PROCESSING: Duration = Duration::from_millis(20);
/// Upper bound of the time that a cancelled call waits for a response in transit. The time to connect
/// estimates the round trip, and a connection that was slow to open says little about it.
const MAX_GRACE: Duration = Duration::from_millis(40);

type HttpConnection = http1::Connection<TokioIo<ObservedStream<ResponseObserver>>, Full<Bytes>>;

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
    /// Number of the connection in the logs.
    pub(crate) id: u64,
    session: Session,
    /// How long the connection took to open.
    round_trip: Duration,
    /// Responses to earlier requests.
    pub(crate) history: ResponseHistory,
    /// Whether a response came that no request asked for.
    is_shifted: bool,
    /// Memory for the bodies of responses.
    bodies: Arc<BodyMemory>,
}

/// The HTTP client on a stream; dropping it closes the stream.
#[derive(Debug)]
struct Session {
    sender: SendRequest<Full<Bytes>>,
    received: watch::Sender<Received>,
    request: Arc<RequestState>,
    /// What follows the last response; closed if the stream ends without more bytes.
    surplus: oneshot::Receiver<Surplus>,
    driver: JoinHandle<()>,
}

impl Session {
    /// Starts the HTTP client on the stream that `stream` returns for the observer.
    async fn start(
        stream: impl FnOnce(ResponseObserver) -> ObservedStream<ResponseObserver>,
    ) -> io::Result<Self> {
        let (received, _) = watch::channel(Received::Nothing);
        let request = Arc::new(RequestState::default());
        let observer = ResponseObserver {
            parser: StatusLineParser::default(),
            nested: NestedStatusLine::default(),
            received: received.clone(),
            request: request.clone(),
        };
        let mut client = http1::Builder::new();
        let handshake = client.max_buf_size(BUFFER_BYTES).handshake(TokioIo::new(stream(observer)));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let (send_surplus, surplus) = oneshot::channel();
        let driver = tokio::spawn(drive(connection, request.clone(), send_surplus));
        Ok(Session { sender, received, request, surplus, driver })
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Bytes that no request asked for, and the stream that they came from.
#[derive(Debug)]
struct Surplus {
    stream: TcpStream,
    bytes: Bytes,
}

/// What came on a connection after a complete response.
pub(crate) enum Further {
    /// Nothing.
    Nothing,
    /// The end of the stream, or an error.
    End,
    /// A further response, or bytes that are none.
    Response(Result<Response<Incoming>, SendError>),
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
    /// Whether somebody waits for what follows the response. If not, the connection closes at once.
    keeps_surplus: AtomicBool,
    /// Whether the head of the response has the status line of another one in it.
    is_head_mixed: AtomicBool,
    /// Whether the head or the body has.
    is_mixed: AtomicBool,
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
        self.keeps_surplus.store(true, Ordering::Relaxed);
        self.is_head_mixed.store(false, Ordering::Relaxed);
        self.is_mixed.store(false, Ordering::Relaxed);
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
    /// Opens a connection within `limit`. `bodies` is the memory for the bodies of its responses.
    pub(crate) async fn open(to: SocketAddr, limit: Duration, bodies: Arc<BodyMemory>) -> io::Result<Self> {
        static NEXT_ID: AtomicU64 = AtomicU64::new(0);
        let opening = async {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            Session::start(|observer| ObservedStream::new(stream, observer)).await
        };
        let since = Instant::now();
        let session = timeout(limit, opening).await.map_err(|_| io::ErrorKind::TimedOut)??;
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let history = ResponseHistory::default();
        Ok(Connection { id, session, round_trip: since.elapsed(), history, is_shifted: false, bodies })
    }

    /// Waits for up to `within` for what follows the last response, and reads it as a further one. Unless
    /// nothing comes, the connection can carry no other request.
    pub(crate) async fn further_response(&mut self, within: Duration) -> Further {
        let Surplus { stream, bytes } = match timeout(within, &mut self.session.surplus).await {
            Err(_) => return Further::Nothing,
            Ok(Err(_)) => return Further::End,
            Ok(Ok(surplus)) => surplus,
        };
        let replay = |observer| ObservedStream::replayed(stream, observer, bytes);
        let Ok(session) = Session::start(replay).await else { return Further::End };
        self.session = session;
        self.is_shifted = true;
        // The parser reads a response only after a request, which the stream discards. An interim response alone
        // does not end the wait.
        let response = timeout(RESPONSE_TIMEOUT, self.send(Request::new(Full::default()), None)).await;
        Further::Response(response.unwrap_or(Err(SendError::Malformed)))
    }

    /// Returns whether the head of the last response has the status line of another one in it.
    pub(crate) fn is_head_mixed(&self) -> bool {
        self.session.request.is_head_mixed.load(Ordering::Relaxed)
    }

    /// Returns whether the head or the body of the last response, as far as it came, has the status line of
    /// another one in it.
    pub(crate) fn is_mixed(&self) -> bool {
        self.session.request.is_mixed.load(Ordering::Relaxed)
    }

    /// From now on the connection closes as soon as bytes arrive that no request asked for.
    pub(crate) fn discard_surplus(&self) {
        self.session.request.keeps_surplus.store(false, Ordering::Relaxed);
    }

    /// Returns a handle that cancels the next request on this connection.
    pub(crate) fn cancel_handle(&self) -> CancelHandle {
        let grace = (self.round_trip * GRACE_ROUND_TRIPS + GRACE_PROCESSING).min(MAX_GRACE);
        CancelHandle { request: self.session.request.clone(), grace }
    }

    /// Returns false once the driver has noticed that the peer has closed the connection or sent unsolicited
    /// bytes. What the driver has not noticed yet is found before the first byte of a request is written
    /// ([`ResponseObserver::before_write`]).
    pub(crate) fn is_open(&self) -> bool {
        !self.is_shifted && !self.session.sender.is_closed()
    }

    /// Returns the status in the status line of the last response, even if the rest of its head cannot be
    /// parsed.
    pub(crate) fn status(&self) -> Option<StatusCode> {
        match *self.session.received.borrow() {
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
        self.send_until(request, begin_by, head_overdue).await
    }

    /// Sends one request as [`Connection::send`] does, and sets `begun_at` when its response begins. The head may
    /// take any time.
    pub(crate) async fn send_patiently(
        &mut self,
        request: Request<Full<Bytes>>,
        begun_at: &watch::Sender<Option<Instant>>,
    ) -> Result<Response<Incoming>, SendError> {
        let observe_begin = |received| async {
            response_begun(received).await;
            begun_at.send_replace(Some(Instant::now()));
            pending().await
        };
        self.send_until(request, None, observe_begin).await
    }

    /// Sends one request and waits for the head of its response until `give_up` returns, which is passed what has
    /// been received of it.
    async fn send_until<F: Future<Output = ()>>(
        &mut self,
        request: Request<Full<Bytes>>,
        begin_by: Option<Instant>,
        give_up: impl FnOnce(watch::Receiver<Received>) -> F,
    ) -> Result<Response<Incoming>, SendError> {
        if self.session.sender.ready().await.is_err() {
            return Err(SendError::NotWritten);
        }
        self.session.received.send_replace(Received::Nothing);
        self.session.request.begin(begin_by);
        let given_up = give_up(self.session.received.subscribe());
        let response = tokio::select! {
            biased;
            response = self.session.sender.try_send_request(request) => response,
            () = given_up => return Err(SendError::Malformed),
        };
        response.map_err(|mut e| match e.take_message() {
            Some(_) => SendError::NotWritten,
            None if self.session.request.is(RequestState::REJECTED) => SendError::NotWritten,
            None if e.error().is_parse() || *self.session.received.borrow() != Received::Nothing => {
                SendError::Malformed
            }
            None => SendError::MayHaveArrived,
        })
    }

    /// Reads the complete body of a response within [`RESPONSE_TIMEOUT`].
    pub(crate) async fn collect_body(
        &self,
        incoming: Incoming,
        max_bytes: usize,
    ) -> Result<CompleteBody, BodyError> {
        body::collect(incoming, max_bytes, RESPONSE_TIMEOUT, &self.bodies).await
    }

    /// Reads the complete body of a response, which may take any time. If it is too slow to be complete within
    /// `usual_time`, it gives way to others that need its memory.
    pub(crate) async fn collect_body_patiently(
        &self,
        incoming: Incoming,
        max_bytes: usize,
        usual_time: Duration,
    ) -> Result<CompleteBody, BodyError> {
        body::collect_patiently(incoming, max_bytes, usual_time, &self.bodies).await
    }

    /// Closes the connection and returns once its socket is closed.
    pub(crate) async fn close(mut self) {
        self.session.driver.abort();
        let _ = (&mut self.session.driver).await;
    }
}

/// Drives a connection until it ends, and passes on what came after the last response.
async fn drive(
    mut connection: HttpConnection,
    request: Arc<RequestState>,
    surplus: oneshot::Sender<Surplus>,
) {
    {
        // An error of the connection shows in the outcome of the request that it carried.
        let mut ended = poll_fn(|cx| connection.poll_without_shutdown(cx));
        tokio::select! {
            biased;
            _ = &mut ended => {}
            () = request.half_close_requested.notified() => {
                // The next read performs the half-close ([`ResponseObserver::before_read`]).
                let _ = ended.await;
            }
        }
    }
    let parts = connection.into_parts();
    if !parts.read_buf.is_empty() && request.keeps_surplus.load(Ordering::Relaxed) {
        let stream = parts.io.into_inner().stream;
        // Without a receiver the stream is closed here.
        let _ = surplus.send(Surplus { stream, bytes: parts.read_buf });
    }
}

/// Returns when a response has begun and [`RESPONSE_TIMEOUT`] has passed since.
async fn head_overdue(received: watch::Receiver<Received>) {
    response_begun(received).await;
    sleep(RESPONSE_TIMEOUT).await;
}

/// Returns when a response has begun.
async fn response_begun(mut received: watch::Receiver<Received>) {
    // The connection outlives its request, so that the channel is not closed.
    let _ = received.wait_for(|received| *received != Received::Nothing).await;
}

/// Records the status of each response: when the rest of a head cannot be parsed, the parser reports only an
/// error, but the status line is still valid.
struct ResponseObserver {
    parser: StatusLineParser,
    nested: NestedStatusLine,
    received: watch::Sender<Received>,
    request: Arc<RequestState>,
}

impl StreamObserver for ResponseObserver {
    fn received(&mut self, bytes: &[u8]) {
        let before = *self.received.borrow();
        if before == Received::Nothing {
            self.parser = StatusLineParser::default();
            self.nested = NestedStatusLine::default();
        }
        if matches!(before, Received::Status(_)) {
            self.nested.scan(bytes);
        } else {
            let after = self.parser.read(bytes, &mut self.nested);
            self.received.send_if_modified(|received| std::mem::replace(received, after) != after);
        }
        if self.nested.in_head || self.nested.in_body {
            self.request.is_head_mixed.store(self.nested.in_head, Ordering::Relaxed);
            self.request.is_mixed.store(true, Ordering::Relaxed);
        }
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

/// Reads a body of at most `max_bytes` to its end within [`RESPONSE_TIMEOUT`], and keeps nothing of it. Each piece
/// is passed to `visitor`.
pub(crate) async fn discard_body(
    mut incoming: Incoming,
    max_bytes: usize,
    mut visitor: impl FnMut(&Bytes),
) -> Result<(), BodyError> {
    let read_all = body::visit(&mut incoming, max_bytes, |piece| {
        visitor(piece);
        Ok(())
    });
    timeout(RESPONSE_TIMEOUT, read_all).await.map_err(|_| BodyError::TimedOut)?
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
