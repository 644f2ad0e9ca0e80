//! Client connections: the limit on their number, the eviction of idle ones when room runs short, and how
//! each of them is closed.
//!
//! A connection is never just dropped. Closing a socket that holds unread bytes resets the connection, and
//! the client may lose a response that it has not read yet. So the sending side is shut down first, which
//! tells the client that nothing more will come; what the client still sends is read for a bounded time and
//! discarded (lingering close), and the client submits it once more on a new connection.

use crate::client_state::{ConnectionState, RequestObserver};
use crate::intake::Intake;
use crate::log_limit::LogLimit;
use crate::observed::ObservedStream;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet, yield_now};
use tokio::time::{sleep, timeout};
use yarrowhill_engine::Phase;

/// Size of a connection's read buffer. Even with many slow clients the buffers stay far below the memory
/// limit.
const BUFFER_BYTES: usize = 16 << 10;
/// Time limit for a request head, the idle time before it included. Together with the time limit for a body
/// this closes the connection of a client that sends no complete request within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long a connection that is to close in the middle of a request head waits for the rest of the head.
const PARTIAL_HEAD_TIMEOUT: Duration = Duration::from_millis(200);
/// Idle time after which a connection may be evicted when room runs short: a client that has a request to
/// send has sent it by then.
const MIN_EVICTABLE_IDLE: Duration = Duration::from_millis(250);
/// Time limit of a lingering close.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Size of the buffer of a lingering close.
const LINGER_BUFFER_BYTES: usize = 4 << 10;
/// Number of bytes after which a lingering close ends.
const MAX_LINGER_BYTES: usize = 256 << 10;
/// The share of connections reserved for those that are closing is one divided by this.
const CLOSING_DIVISOR: usize = 8;
/// Delay before the next attempt to accept a connection when descriptors or memory are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Response to a client for which there is no room.
const OVERLOADED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Serves at most `max_connections` clients at a time until the shutdown is complete and the last client has
/// its response. The listener stays open until then: a connection that comes late, or that waits in the
/// listener's queue, is refused with a response.
pub async fn serve(listener: TcpListener, max_connections: usize, intake: Arc<Intake>) {
    let mut phase = intake.phase();
    let max_closing = (max_connections / CLOSING_DIVISOR).max(1);
    let max_open = max_connections.saturating_sub(max_closing).max(1);
    let mut clients = Clients {
        max_open,
        max_closing,
        open: Vec::new(),
        closing: Vec::new(),
        tasks: JoinSet::new(),
        accept_warnings: LogLimit::default(),
    };
    tokio::select! {
        () = clients.accept_all(&listener, intake) => {}
        _ = phase.wait_for(|p| *p == Phase::Closed) => {}
    }
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => clients.refuse(stream),
                Err(e) => clients.recover(&e).await,
            },
            () = clients.all_closed() => return,
        }
    }
}

/// The connections of all clients.
struct Clients {
    max_open: usize,
    open: Vec<Client>,
    /// Tasks of refused and evicted connections, the oldest first. Each ends by itself, or is aborted
    /// when there are too many.
    closing: Vec<AbortHandle>,
    max_closing: usize,
    tasks: JoinSet<()>,
    /// Limits the warnings about failures to accept a connection.
    accept_warnings: LogLimit,
}

struct Client {
    state: Arc<ConnectionState>,
    task: AbortHandle,
}

impl Clients {
    async fn accept_all(&mut self, listener: &TcpListener, intake: Arc<Intake>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.add(stream, intake.clone());
                    // The task of an evicted connection closes its socket. Unless it can run, a burst of new
                    // connections exceeds the limit.
                    if self.open.len() >= self.max_open {
                        yield_now().await;
                    }
                }
                Err(e) => self.recover(&e).await,
            }
        }
    }

    /// Handles a failure to accept a connection. The delay keeps the loop from spinning, and idle clients
    /// that have used up the descriptors are the first to be closed, so that service continues.
    async fn recover(&mut self, e: &io::Error) {
        if e.kind() == io::ErrorKind::ConnectionAborted {
            return;
        }
        if self.accept_warnings.allows() {
            tracing::warn!("cannot accept client connection: {e}");
        }
        self.evict_idle();
        self.closing.drain(..).for_each(|task| task.abort());
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Returns when all connections are closed. The runtime has polled the listener once more by then.
    async fn all_closed(&mut self) {
        while self.tasks.join_next().await.is_some() {}
        yield_now().await;
    }

    fn remove_finished(&mut self) {
        while self.tasks.try_join_next().is_some() {}
        self.open.retain(|client| !client.task.is_finished());
        self.closing.retain(|task| !task.is_finished());
    }

    /// Serves a new connection, evicting an idle one if there is no room. No client waits for room, so that
    /// connections that send nothing cannot lock out clients that do.
    fn add(&mut self, stream: TcpStream, intake: Arc<Intake>) {
        self.remove_finished();
        if self.open.len() >= self.max_open && !self.evict_idle() {
            return self.refuse(stream);
        }
        let state = Arc::new(ConnectionState::new());
        let task = self.tasks.spawn(serve_client(stream, intake, state.clone()));
        self.open.push(Client { state, task });
    }

    /// Refuses a connection with a 503 response, regardless of what the client sends.
    fn refuse(&mut self, stream: TcpStream) {
        // The response fits into the socket's empty send buffer. An error means that the client is gone.
        let _ = stream.try_write(OVERLOADED_RESPONSE);
        let task = self.tasks.spawn(linger(stream));
        self.add_closing(task);
    }

    /// Evicts an idle connection: one that never sent a request if there is any, and among those the longest
    /// idle. Returns false if no connection can be evicted.
    fn evict_idle(&mut self) -> bool {
        let idle = self.open.iter().enumerate().filter_map(|(n, client)| {
            let idle = client.state.idle_time().filter(|idle| *idle >= MIN_EVICTABLE_IDLE)?;
            Some((!client.state.has_sent_request.load(Relaxed), idle, n))
        });
        let Some((.., n)) = idle.max() else { return false };
        let Client { state, task } = self.open.swap_remove(n);
        state.evicted.notify_one();
        self.add_closing(task);
        true
    }

    fn add_closing(&mut self, task: AbortHandle) {
        self.remove_finished();
        let connections = self.open.len() + self.closing.len();
        if !self.closing.is_empty() && connections >= self.max_open + self.max_closing {
            self.closing.remove(0).abort();
        }
        self.closing.push(task);
    }
}

async fn serve_client(stream: TcpStream, intake: Arc<Intake>, state: Arc<ConnectionState>) {
    let _ = stream.set_nodelay(true);
    let mut phase = intake.phase();
    let observer = RequestObserver::new(state.clone());
    let stream = ObservedStream::new(stream, observer);
    let service_state = state.clone();
    let service = service_fn(move |request| {
        let (intake, state) = (intake.clone(), service_state.clone());
        state.begin_request();
        Box::pin(async move {
            let reply = intake.answer(request, state.is_ambiguous.load(Relaxed)).await;
            state.end_request();
            Ok::<_, Infallible>(reply)
        })
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(BUFFER_BYTES);
    let mut connection = server.serve_connection(TokioIo::new(stream), service);
    // Errors of the connection are ignored: they concern this client alone.
    let is_finished = {
        let mut served = poll_fn(|cx| connection.poll_without_shutdown(cx));
        // The connection is polled first: a request that has arrived when it is to close is served as the
        // last one.
        tokio::select! {
            biased;
            _ = &mut served => true,
            _ = phase.wait_for(|p| *p == Phase::Closed) => false,
            () = state.evicted.notified() => false,
            () = state.idle_timeout() => false,
        }
    };
    if !is_finished {
        // Read what has arrived by now: the runtime polls sockets only between runs of its tasks.
        let mut served = poll_fn(|cx| connection.poll_without_shutdown(cx));
        let is_finished = tokio::select! {
            biased;
            _ = &mut served => true,
            () = async { yield_now().await; wait_for_head(&state).await } => false,
        };
        // A head that is still incomplete after its time limit is not a request.
        if !is_finished && !state.is_reading_head.load(Relaxed) {
            Pin::new(&mut connection).graceful_shutdown();
            let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
        }
    }
    linger(connection.into_parts().io.into_inner().stream).await;
}

/// Returns when no request head is incomplete, or after [`PARTIAL_HEAD_TIMEOUT`].
async fn wait_for_head(state: &ConnectionState) {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    let _ = timeout(PARTIAL_HEAD_TIMEOUT, async {
        while state.is_reading_head.load(Relaxed) {
            sleep(POLL_INTERVAL).await;
        }
    })
    .await;
}

/// Performs a lingering close: shuts down the sending side, reads until the client closes its side too, and
/// closes the socket.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let discard = async {
        // On the heap: in the task of each connection it would take its memory from the start.
        let (mut buffer, mut left) = (vec![0; LINGER_BUFFER_BYTES], MAX_LINGER_BYTES);
        while let Ok(read) = stream.read(&mut buffer).await {
            left = left.saturating_sub(read);
            if read == 0 || left == 0 {
                return;
            }
            // Many clients that go on sending must not delay others.
            yield_now().await;
        }
    };
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}
