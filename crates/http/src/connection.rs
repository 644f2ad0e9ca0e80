//! One HTTP/1.1 connection that this program opened. It carries one request at a time and never sends a
//! request twice: a pooled client may, and a call that is sent again may take effect again.

use crate::observed::{Watch, Watched};
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

/// What a connection may hold of unread bytes, and so the longest head of an answer.
const BUFFER: usize = 16 << 10;
/// Once an answer has begun, so long may its head take, and then the rest: targets write it in one go.
pub(crate) const WHOLE: Duration = Duration::from_millis(500);
/// What was on its way as a call was given up has come after so many round trips, and so much for both sides' turns,
const ON_ITS_WAY: u32 = 2;
const TURNS: Duration = Duration::from_millis(20);
/// or is not waited for: a connection that came up late says little of the way.
const ON_ITS_WAY_MOST: Duration = Duration::from_millis(40);
/// Longest first line of an answer that is looked at.
const LINE_MOST: usize = 256;

/// Why a request brought no answer.
#[derive(Debug)]
pub(crate) enum Broken {
    /// No byte of it was written.
    Unwritten,
    /// It may have arrived.
    InDoubt,
    /// An answer came that can't be read.
    Spoilt,
}

/// An open connection. Dropped, it closes.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    seen: watch::Sender<Seen>,
    request: Arc<Progress>,
    /// How long it took to come up.
    round_trip: Duration,
    driver: JoinHandle<()>,
}

/// How far the present request has come on its way out.
#[derive(Debug, Default)]
struct Progress {
    state: AtomicU8,
    /// Its first byte may not leave later.
    begin_by: Mutex<Option<Instant>>,
    /// Sending is to end: nothing more is asked for.
    ends: AtomicBool,
    told: Notify,
}

impl Progress {
    /// Its first byte has still to be written.
    const FRESH: u8 = 1;
    const WRITTEN: u8 = 2;
    /// It met bytes, or an end, that it did not ask for, or was too late: no byte of it was written, nor will be.
    const CROSSED: u8 = 3;

    fn set(&self, to: u8) {
        self.state.store(to, Ordering::Relaxed);
    }

    /// The next request: its first byte has still to be written, no later than then.
    fn begin(&self, by: Option<Instant>) {
        *self.begin_by.lock().unwrap_or_else(PoisonError::into_inner) = by;
        self.set(Progress::FRESH);
    }

    fn is_late(&self) -> bool {
        let by = *self.begin_by.lock().unwrap_or_else(PoisonError::into_inner);
        by.is_some_and(|by| by <= Instant::now())
    }

    fn is(&self, what: u8) -> bool {
        self.state.load(Ordering::Relaxed) == what
    }
}

/// Gives up the request that a connection carries, beside whoever waits for its answer.
#[derive(Debug)]
pub(crate) struct GiveUp {
    request: Arc<Progress>,
    /// After so long nothing can still come that was sent before the other side knew.
    pub(crate) last: Duration,
}

impl GiveUp {
    /// Ends sending, which gives the request up. What was on its way can still be read.
    pub(crate) fn end_sending(&self) {
        self.request.ends.store(true, Ordering::Relaxed);
        self.request.told.notify_one();
    }
}

impl Connection {
    /// Opens one, within `limit`.
    pub(crate) async fn open(to: SocketAddr, limit: Duration) -> io::Result<Self> {
        let (seen, _) = watch::channel(Seen::Nothing);
        let request = Arc::new(Progress::default());
        let opening = async {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            let watch = Status { lines: Lines::default(), seen: seen.clone(), request: request.clone() };
            let stream = Watched { stream, watch };
            let mut client = http1::Builder::new();
            client.max_buf_size(BUFFER).handshake(TokioIo::new(stream)).await.map_err(io::Error::other)
        };
        let since = Instant::now();
        let (sender, mut connection) =
            timeout(limit, opening).await.map_err(|_| io::ErrorKind::TimedOut)??;
        let round_trip = since.elapsed();
        let progress = request.clone();
        let driver = tokio::spawn(async move {
            // How it ended shows in the outcome of the request that it carried.
            tokio::select! {
                biased;
                _ = &mut connection => return,
                // Looked at as it is read from next ([`Status::before_read`]).
                () = progress.told.notified() => {}
            }
            let _ = connection.await;
        });
        Ok(Connection { sender, seen, request, round_trip, driver })
    }

    /// To give up the request that it carries next.
    pub(crate) fn give_up(&self) -> GiveUp {
        let last = (self.round_trip * ON_ITS_WAY + TURNS).min(ON_ITS_WAY_MOST);
        GiveUp { request: self.request.clone(), last }
    }

    /// False once the driver has seen that the other side has closed it, or has sent what nothing asked for. What it
    /// has not seen yet shows as the first byte of a request is written ([`Status::before_write`]).
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// The status in the first line of the last answer, also of one that can't be read further on.
    pub(crate) fn status(&self) -> Option<StatusCode> {
        match *self.seen.borrow() {
            Seen::Status(status) => Some(status),
            Seen::Nothing | Seen::Bytes => None,
        }
    }

    /// Sends one request and waits for the head of its answer, but not for one that has begun and does not end:
    /// it would hold its slot until the call's time-out.
    /// Its first byte leaves no later than `begin_by`: the process may be stopped at any point before.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        begin_by: Option<Instant>,
    ) -> Result<Response<Incoming>, Broken> {
        if self.sender.ready().await.is_err() {
            return Err(Broken::Unwritten);
        }
        self.seen.send_replace(Seen::Nothing);
        self.request.begin(begin_by);
        let mut seen = self.seen.subscribe();
        let answer = tokio::select! {
            biased;
            answer = self.sender.try_send_request(request) => answer,
            () = overdue(&mut seen) => return Err(Broken::Spoilt),
        };
        answer.map_err(|mut e| match e.take_message() {
            Some(_) => Broken::Unwritten,
            None if self.request.is(Progress::CROSSED) => Broken::Unwritten,
            None if e.error().is_parse() || *self.seen.borrow() != Seen::Nothing => Broken::Spoilt,
            None => Broken::InDoubt,
        })
    }

    /// Closes it, and returns when the socket is gone.
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

/// Ends when an answer has begun and has had its time.
async fn overdue(seen: &mut watch::Receiver<Seen>) {
    // The connection outlives its request: it is not closed.
    let _ = seen.wait_for(|seen| *seen != Seen::Nothing).await;
    sleep(WHOLE).await;
}

/// What a connection has seen of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Seen {
    Nothing,
    /// Bytes, but no first line of a final answer yet.
    Bytes,
    /// The status in its first line.
    Status(StatusCode),
}

/// Looks for the first line of the final answer, past interim ones (1xx) with their heads.
#[derive(Default)]
struct Lines {
    line: Vec<u8>,
    interim: bool,
    /// What came is no answer.
    noise: bool,
}

impl Lines {
    fn read(&mut self, bytes: &[u8]) -> Seen {
        for &byte in bytes {
            if byte != b'\n' {
                // Of a longer line the start is enough, and a line without an end must not fill the memory.
                if self.line.len() < LINE_MOST {
                    self.line.push(byte);
                }
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if line.is_empty() {
                self.interim = false;
            } else if !self.interim && !self.noise {
                match status(line) {
                    Some(status) if status.is_informational() => self.interim = true,
                    Some(status) => {
                        *self = Lines::default();
                        return Seen::Status(status);
                    }
                    None => self.noise = true,
                }
            }
        }
        // After an interim answer the target may take its time again.
        if self.line.is_empty() && !self.interim && !self.noise { Seen::Nothing } else { Seen::Bytes }
    }
}

/// The status in the first line of an answer.
fn status(line: &[u8]) -> Option<StatusCode> {
    let rest = line.strip_prefix(b"HTTP/1.1 ").or_else(|| line.strip_prefix(b"HTTP/1.0 "))?;
    let (code, reason) = rest.split_at_checked(3)?;
    StatusCode::from_bytes(code).ok().filter(|_| matches!(reason.first(), None | Some(b' ')))
}

/// Keeps the status in the first line of each answer: a head that turns out unreadable further on is only an
/// error to the parser, but what its first line says is true.
struct Status {
    lines: Lines,
    seen: watch::Sender<Seen>,
    request: Arc<Progress>,
}

impl Watch for Status {
    fn saw(&mut self, fresh: &[u8]) {
        let seen = *self.seen.borrow();
        if matches!(seen, Seen::Status(_)) {
            return;
        }
        if seen == Seen::Nothing {
            self.lines = Lines::default();
        }
        let found = self.lines.read(fresh);
        self.seen.send_if_modified(|seen| std::mem::replace(seen, found) != found);
    }

    fn before_read(&mut self, stream: &TcpStream) {
        if self.request.ends.load(Ordering::Relaxed) {
            // One that is gone has ended all by itself.
            let _ = SockRef::from(stream).shutdown(Shutdown::Write);
        }
    }

    /// Looks at the socket itself just before the first byte of a request: the runtime's readiness may be old. Guards
    /// the call against a second copy of the last answer, or noise, that came meanwhile: it would be read as this
    /// call's answer. And against a connection that the other side has closed: written to it, the call may have run
    /// as far as anybody knows.
    fn before_write(&mut self, stream: &TcpStream) -> io::Result<()> {
        if !self.request.is(Progress::FRESH) {
            return if self.request.is(Progress::CROSSED) {
                Err(io::ErrorKind::BrokenPipe.into())
            } else {
                Ok(())
            };
        }
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock && !self.request.is_late() => {
                self.request.set(Progress::WRITTEN);
                Ok(())
            }
            _ => {
                self.request.set(Progress::CROSSED);
                Err(io::ErrorKind::BrokenPipe.into())
            }
        }
    }
}

/// The whole body of an answer, if it is no longer than `most` and came unbroken and soon.
pub(crate) async fn body(incoming: Incoming, most: usize) -> Option<Bytes> {
    let whole = timeout(WHOLE, Limited::new(incoming, most).collect()).await;
    whole.ok()?.ok().map(|b| b.to_bytes())
}

/// Names the host, as HTTP/1.1 demands.
pub(crate) fn set_host(request: &mut Request<Full<Bytes>>, to: SocketAddr) {
    // An address and a port are always a valid header value.
    if let Ok(host) = HeaderValue::from_str(&to.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
}

#[cfg(test)]
mod tests;
