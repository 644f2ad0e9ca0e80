//! The connections of clients: how many there are, which one gives way, and how each of them ends.
//!
//! A connection is never just dropped. A close over bytes that nobody has read resets it, and the client may lose an
//! answer that it has not read yet. So sending is ended first, which tells the client that nothing more will come; what
//! it still sends is read for a bounded time and thrown away, and it hands that in once more on a new connection.

use crate::head_scanner::Heads;
use crate::intake::Intake;
use crate::observed::{Watch, Watched};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet, yield_now};
use tokio::time::{sleep, timeout};
use yarrowhill_engine::Phase;

/// What one connection may hold of unread bytes; many slow clients together stay far from the memory limit.
const BUFFER: usize = 16 << 10;
/// So long a connection may rest between requests;
const REST: Duration = Duration::from_millis(1800);
/// and so long a head may take, the rest before it counted. With the time of a body this ends a client that sends no
/// whole request within 3 s.
const HEAD: Duration = Duration::from_millis(2200);
/// A connection that is to end while a head is half read waits so long for the rest of it.
const HALF_READ: Duration = Duration::from_millis(200);
/// Where room is short, a connection without an open request gives way after this time: a client that has
/// something to say has said it by then.
const SPARE: Duration = Duration::from_millis(250);
/// So long is read on behind the end of an answer, and so much at the most.
const LINGER: Duration = Duration::from_millis(300);
const LINGER_BYTES: usize = 256 << 10;
/// Connections that have given way and are still read on: one in so many of all.
const LEAVING_PART: usize = 8;
/// Out of descriptors, or of memory for one: so long until the next try.
const EXHAUSTED: Duration = Duration::from_millis(10);
/// It is told no more often than this.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// All that a client hears for whom there is no room.
const NO_ROOM: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Serves clients, at most `most` connections at a time, until all is shut and the last has its answer. The listener
/// stays till then: a connection that comes late, or that stands in its queue, hears that it is refused.
pub async fn serve(listener: TcpListener, most: usize, intake: Arc<Intake>) {
    let mut phase = intake.phase();
    let leaving_most = (most / LEAVING_PART).max(1);
    let most = most.saturating_sub(leaving_most).max(1);
    let mut clients = Clients {
        most,
        leaving_most,
        open: Vec::new(),
        leaving: Vec::new(),
        tasks: JoinSet::new(),
        told: None,
    };
    tokio::select! {
        () = clients.accept(&listener, intake) => {}
        _ = phase.wait_for(|p| *p == Phase::Closed) => {}
    }
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => clients.turn_away(stream),
                Err(e) => clients.recover(&e).await,
            },
            () = clients.ended() => return,
        }
    }
}

/// The open connections.
struct Clients {
    most: usize,
    open: Vec<Client>,
    /// Those that have given way, the earliest first: they end soon by themselves, or at once where there are many.
    leaving: Vec<AbortHandle>,
    leaving_most: usize,
    tasks: JoinSet<()>,
    /// When it was last told that none could be accepted.
    told: Option<Instant>,
}

struct Client {
    using: Arc<Use>,
    task: AbortHandle,
}

/// What a connection is used for: told by its task, looked at where room is short.
struct Use {
    opened: Instant,
    /// It has brought a whole head.
    asked: AtomicBool,
    /// Milliseconds from `opened` to when it last had no open request; [`Use::BUSY`] while it has one.
    idle_from: AtomicU64,
    /// A head has begun and has not come whole.
    half_read: AtomicBool,
    /// The head that was read last is ambiguous.
    ambiguous: AtomicBool,
    /// It is to give way.
    give_way: Notify,
}

impl Use {
    const BUSY: u64 = u64::MAX;

    fn new() -> Self {
        Use {
            opened: Instant::now(),
            asked: AtomicBool::new(false),
            idle_from: AtomicU64::new(0),
            half_read: AtomicBool::new(false),
            ambiguous: AtomicBool::new(false),
            give_way: Notify::new(),
        }
    }

    fn begin(&self) {
        self.asked.store(true, Relaxed);
        self.idle_from.store(Use::BUSY, Relaxed);
    }

    fn end(&self) {
        self.idle_from.store(self.age(), Relaxed);
    }

    fn age(&self) -> u64 {
        u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(Use::BUSY - 1)
    }

    /// How long it has had no open request; nothing while it has one.
    fn idle(&self) -> Option<Duration> {
        let from = Some(self.idle_from.load(Relaxed)).filter(|from| *from != Use::BUSY)?;
        Some(Duration::from_millis(self.age().saturating_sub(from)))
    }

    /// Returns when it has rested for long. A head that is half read is no rest: it has a bound of its own.
    async fn rested(&self) {
        loop {
            let idle = self.idle().filter(|_| !self.half_read.load(Relaxed));
            match idle {
                Some(idle) if idle >= REST => return,
                idle => sleep(REST - idle.unwrap_or_default()).await,
            }
        }
    }
}

impl Clients {
    async fn accept(&mut self, listener: &TcpListener, intake: Arc<Intake>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.take(stream, intake.clone());
                    // A connection that gives way is closed by its task: without a turn for that, a wave of new
                    // ones would pass the bound.
                    if self.open.len() >= self.most {
                        yield_now().await;
                    }
                }
                Err(e) => self.recover(&e).await,
            }
        }
    }

    /// A connection could not be accepted. Guards the loop against spinning, and service against idle clients that
    /// have used up the descriptors: they are the first to be ended.
    async fn recover(&mut self, e: &io::Error) {
        if e.kind() == io::ErrorKind::ConnectionAborted {
            return;
        }
        if self.told.is_none_or(|at| at.elapsed() > TELL_EVERY) {
            self.told = Some(Instant::now());
            tracing::warn!("intake: {e}");
        }
        self.make_room();
        self.leaving.drain(..).for_each(|task| task.abort());
        sleep(EXHAUSTED).await;
    }

    /// Returns when all have ended. The runtime has looked at the listener once more by then.
    async fn ended(&mut self) {
        while self.tasks.join_next().await.is_some() {}
        yield_now().await;
    }

    fn forget_ended(&mut self) {
        while self.tasks.try_join_next().is_some() {}
        self.open.retain(|client| !client.task.is_finished());
        self.leaving.retain(|task| !task.is_finished());
    }

    /// Serves a new connection, in place of an idle one where there is no room. Guards good clients against
    /// silent ones: nobody waits for room, so connections that say nothing shut nobody out.
    fn take(&mut self, stream: TcpStream, intake: Arc<Intake>) {
        self.forget_ended();
        if self.open.len() >= self.most && !self.make_room() {
            return self.turn_away(stream);
        }
        let using = Arc::new(Use::new());
        let task = self.tasks.spawn(client(stream, intake, using.clone()));
        self.open.push(Client { using, task });
    }

    /// Refuses all that a connection may bring.
    fn turn_away(&mut self, stream: TcpStream) {
        // Its bytes fit into the socket's empty buffer; a client that has left needs none.
        let _ = stream.try_write(NO_ROOM);
        let task = self.tasks.spawn(linger(stream));
        self.let_leave(task);
    }

    /// Ends one connection without an open request: one that never asked before the others, then the longest
    /// idle.
    fn make_room(&mut self) -> bool {
        let idle = self.open.iter().enumerate().filter_map(|(n, client)| {
            let idle = client.using.idle().filter(|idle| *idle >= SPARE)?;
            Some((!client.using.asked.load(Relaxed), idle, n))
        });
        let Some((.., n)) = idle.max() else { return false };
        let Client { using, task } = self.open.swap_remove(n);
        using.give_way.notify_one();
        self.let_leave(task);
        true
    }

    fn let_leave(&mut self, task: AbortHandle) {
        self.forget_ended();
        if !self.leaving.is_empty() && self.open.len() + self.leaving.len() >= self.most + self.leaving_most {
            self.leaving.remove(0).abort();
        }
        self.leaving.push(task);
    }
}

async fn client(stream: TcpStream, intake: Arc<Intake>, using: Arc<Use>) {
    let _ = stream.set_nodelay(true);
    let mut phase = intake.phase();
    let watch = Ambiguous { heads: Heads::default(), using: using.clone() };
    let stream = Watched { stream, watch };
    let asked = using.clone();
    let service = service_fn(move |request| {
        let (intake, using) = (intake.clone(), asked.clone());
        Box::pin(async move {
            using.begin();
            let reply = intake.answer(request, using.ambiguous.load(Relaxed)).await;
            using.end();
            Ok::<_, Infallible>(reply)
        })
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEAD).max_buf_size(BUFFER);
    let mut connection = server.serve_connection(TokioIo::new(stream), service);
    // A client that breaks off harms nobody else.
    let ended = {
        let mut served = poll_fn(|cx| connection.poll_without_shutdown(cx));
        // First the connection: a request that is there when it is to end is served, as the last one.
        tokio::select! {
            biased;
            _ = &mut served => true,
            _ = phase.wait_for(|p| *p == Phase::Closed) => false,
            () = using.give_way.notified() => false,
            () = using.rested() => false,
        }
    };
    if !ended {
        // What has come by now is read first: the runtime looks at sockets only between turns of its tasks.
        let mut served = poll_fn(|cx| connection.poll_without_shutdown(cx));
        let ended = tokio::select! {
            biased;
            _ = &mut served => true,
            () = async { yield_now().await; whole(&using).await } => false,
        };
        // Half a head that has had its time is no request.
        if !ended && !using.half_read.load(Relaxed) {
            Pin::new(&mut connection).graceful_shutdown();
            let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
        }
    }
    linger(connection.into_parts().io.into_inner().stream).await;
}

/// Returns when no head is half read, or has not come whole in its time.
async fn whole(using: &Use) {
    const LOOK: Duration = Duration::from_millis(5);
    let _ = timeout(HALF_READ, async {
        while using.half_read.load(Relaxed) {
            sleep(LOOK).await;
        }
    })
    .await;
}

/// Ends sending, reads on until the client has heard that and closes too, and closes.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let rest = async {
        let (mut buffer, mut left) = ([0; 4096], LINGER_BYTES);
        while let Ok(read) = stream.read(&mut buffer).await {
            left = left.saturating_sub(read);
            if read == 0 || left == 0 {
                return;
            }
        }
    };
    let _ = timeout(LINGER, rest).await;
}

/// Looks at each head of a client before the parser does, which hides a `Content-Length` that stands behind
/// `Transfer-Encoding` or is repeated.
struct Ambiguous {
    heads: Heads,
    using: Arc<Use>,
}

impl Watch for Ambiguous {
    fn saw(&mut self, fresh: &[u8]) {
        if self.heads.read(fresh) {
            self.using.ambiguous.store(true, Relaxed);
        }
        self.using.half_read.store(self.heads.is_within(), Relaxed);
    }
}
