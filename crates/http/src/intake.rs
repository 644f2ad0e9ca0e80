//! Takes messages from clients: reads requests, hands them to the engine, and gives its answers.

use crate::heads::Heads;
use crate::pool::Gated;
use crate::watched::{Watch, Watched};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet, yield_now};
use tokio::time::{sleep, timeout};
use yarrowhill_engine::{Answer, Engines, Input, Phase, Submission};
use yarrowhill_policy::api::{Effect, Settings};
use yarrowhill_settings::{Names, index};

/// Longest body.
const BODY_MOST: usize = 64 << 10;
/// What one connection may hold of unread bytes; many slow clients together stay far from the memory limit.
const BUFFER: usize = 16 << 10;
/// Longest id or key: both go into every record of the journal.
const NAME_MOST: usize = 128;
/// A message may not be deliverable for longer than this; it keeps sums of times far from overflow.
const DEADLINE_MOST: u64 = 24 * 3600 * 1000;
/// So long a connection may stand without a whole head, whether it is idle, silent or slow;
const HEAD: Duration = Duration::from_secs(2);
/// and so long a body may take. Together they end a client that sends no whole request within 3 s.
const BODY: Duration = Duration::from_millis(800);
/// Where room is short, a connection without an open request gives way after this time: a client that has
/// something to say has said it by then.
const SPARE: Duration = Duration::from_millis(250);
/// When a client is to come again for whose message there is no room now.
const AGAIN: Duration = Duration::from_secs(1);
/// All that a client hears for whom there is no room.
const NO_ROOM: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What all connections share.
pub struct Intake {
    names: Names,
    settings: Settings,
    engines: Engines,
    phase: watch::Receiver<Phase>,
    /// KiB that bodies may take until the engine has them.
    bodies: Semaphore,
    gate: Gated,
}

/// Serves clients, at most `most` connections at a time, until all is shut and the last has its answer.
pub async fn serve(listener: TcpListener, most: usize, intake: Arc<Intake>) {
    let mut phase = intake.phase.clone();
    let mut clients = Clients { most, open: Vec::new(), tasks: JoinSet::new() };
    tokio::select! {
        () = clients.accept(listener, intake) => {}
        _ = phase.wait_for(|p| *p == Phase::Shut) => {}
    }
    while clients.tasks.join_next().await.is_some() {}
}

/// The open connections.
struct Clients {
    most: usize,
    open: Vec<Client>,
    tasks: JoinSet<()>,
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
    /// The head that was read last is ambiguous.
    ambiguous: AtomicBool,
}

impl Use {
    const BUSY: u64 = u64::MAX;

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
}

impl Clients {
    async fn accept(&mut self, listener: TcpListener, intake: Arc<Intake>) {
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
                Err(e) => {
                    // Out of descriptors, say: others must close first.
                    tracing::warn!("intake: {e}");
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Serves a new connection, in place of an idle one where there is no room. Guards good clients against
    /// silent ones: nobody waits for room, so connections that say nothing shut nobody out.
    fn take(&mut self, stream: TcpStream, intake: Arc<Intake>) {
        while self.tasks.try_join_next().is_some() {}
        self.open.retain(|client| !client.task.is_finished());
        if self.open.len() >= self.most && !self.make_room() {
            // Its bytes fit into the socket's empty buffer; a client that has left needs none.
            let _ = stream.try_write(NO_ROOM);
            return;
        }
        let using = Arc::new(Use {
            opened: Instant::now(),
            asked: AtomicBool::new(false),
            idle_from: AtomicU64::new(0),
            ambiguous: AtomicBool::new(false),
        });
        let task = self.tasks.spawn(client(stream, intake, using.clone()));
        self.open.push(Client { using, task });
    }

    /// Closes one connection without an open request: one that never asked before the others, then the longest
    /// idle.
    fn make_room(&mut self) -> bool {
        let idle = self.open.iter().enumerate().filter_map(|(n, client)| {
            let idle = client.using.idle().filter(|idle| *idle >= SPARE)?;
            Some((!client.using.asked.load(Relaxed), idle, n))
        });
        let Some((.., n)) = idle.max() else { return false };
        self.open.swap_remove(n).task.abort();
        true
    }
}

async fn client(stream: TcpStream, intake: Arc<Intake>, using: Arc<Use>) {
    let _ = stream.set_nodelay(true);
    let mut phase = intake.phase.clone();
    let watch = Ambiguous { heads: Heads::default(), using: using.clone() };
    let stream = Watched { stream, watch };
    let service = service_fn(move |request| {
        let (intake, using) = (intake.clone(), using.clone());
        async move {
            using.begin();
            let reply = intake.answer(request, using.ambiguous.load(Relaxed)).await;
            using.end();
            Ok::<_, Infallible>(reply)
        }
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEAD).max_buf_size(BUFFER);
    let mut connection = pin!(server.serve_connection(TokioIo::new(stream), service));
    // A client that breaks off harms nobody else.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|p| *p == Phase::Shut) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
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
    }
}

type Reply = Response<Full<Bytes>>;

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

impl Intake {
    /// Reads messages by these names and settings, and hands them to the engine. `bodies` bounds what bodies may
    /// take until the engine has them (KiB).
    pub fn new(
        names: Names,
        settings: Settings,
        engines: impl Into<Engines>,
        phase: watch::Receiver<Phase>,
        bodies: usize,
    ) -> Self {
        let (engines, bodies) = (engines.into(), Semaphore::new(bodies));
        Intake { names, settings, engines, phase, bodies, gate: Gated::default() }
    }

    /// The same with a gate that is looked at before each message and at each question whether it is ready.
    #[cfg(feature = "gate")]
    #[must_use]
    pub fn with_gate(mut self, gate: Option<Arc<dyn yarrowhill_engine::Gate>>) -> Self {
        self.gate = Gated::new(gate);
        self
    }

    async fn answer(&self, request: Request<Incoming>, ambiguous: bool) -> Reply {
        let mut reply = match (request.method(), request.uri().path()) {
            _ if ambiguous => status(StatusCode::BAD_REQUEST),
            // Messages come with their length; without chunks, where a body ends is never in doubt.
            _ if request.headers().contains_key(TRANSFER_ENCODING) => status(StatusCode::LENGTH_REQUIRED),
            (&Method::GET, "/-/ready") if self.gate.is_ready() => status(StatusCode::OK),
            (&Method::GET, "/-/ready") => status(StatusCode::SERVICE_UNAVAILABLE),
            (&Method::POST, path) if path.len() > 1 => match self.hand_in(request).await {
                Ok(answer) => reply(answer),
                Err(code) => status(code),
            },
            _ => status(StatusCode::NOT_FOUND),
        };
        // Nothing behind a request that was not understood is read as another.
        if reply.status().is_client_error() || *self.phase.borrow() >= Phase::Closing {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn hand_in(&self, request: Request<Incoming>) -> Result<Answer, StatusCode> {
        let (parts, body) = request.into_parts();
        // The path's first part is the class; there is nothing below it.
        let class = parts.uri.path().trim_start_matches('/');
        if class.contains('/') {
            return Err(StatusCode::NOT_FOUND);
        }
        let class = index(&self.names.classes, class).ok_or(StatusCode::BAD_REQUEST)?;
        let head = self.read_head(class, &parts.headers).ok_or(StatusCode::BAD_REQUEST)?;
        let Some(length) = body.size_hint().exact().filter(|length| *length <= BODY_MOST as u64) else {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        };
        // Bounds the memory that many bodies at once may take.
        let Ok(_room) = self.bodies.try_acquire_many(length.div_ceil(1024) as u32) else {
            return Ok(Answer::Refused(Some(AGAIN)));
        };
        let body = read_body(body).await?;
        if !self.gate.may_take_on() {
            return Ok(Answer::Refused(Some(AGAIN)));
        }
        let (answer, answered) = oneshot::channel();
        let message = Submission {
            id: head.id,
            class,
            tenant: head.tenant,
            dest: head.dest,
            key: head.key,
            body,
            deadline: tokio::time::Instant::now() + head.remaining,
            answer,
        };
        // A full queue means that the engine is far behind: another try does no harm.
        let engine = self.engines.of(message.dest);
        if engine.is_none_or(|engine| engine.try_send(Input::Submission(message)).is_err()) {
            return Ok(Answer::Refused(Some(AGAIN)));
        }
        Ok(answered.await.unwrap_or(Answer::Refused(None)))
    }

    fn read_head(&self, class: usize, headers: &HeaderMap) -> Option<Head> {
        // Of two values nobody knows which one others go by.
        let once = |name: &str| headers.get_all(name).iter().nth(1).is_none();
        if !["req-id", "req-owner", "req-deadline-ms", "idempotency-key", "envelope"].iter().all(|n| once(n))
        {
            return None;
        }
        let text = |name: &str| headers.get(name).map(|v| v.to_str().ok().map(str::trim)).unwrap_or(Some(""));
        let name = |header: &str| text(header).filter(|v| v.len() <= NAME_MOST);
        let tenant = match name("req-owner")? {
            "" if self.names.tenants.is_empty() => None,
            owner => Some(index(&self.names.tenants, owner)?),
        };
        let key = Some(name("idempotency-key")?.to_owned()).filter(|k| !k.is_empty());
        if key.is_none() && matches!(self.settings.classes[class].effect, Effect::Keyed { .. }) {
            return None;
        }
        let remaining = text("req-deadline-ms")?.parse().ok().filter(|ms| *ms <= DEADLINE_MOST)?;
        Some(Head {
            id: Some(name("req-id")?.to_owned()).filter(|id| !id.is_empty())?,
            tenant,
            dest: text("envelope")?
                .split(',')
                .filter_map(|pair| pair.trim().split_once('='))
                .find_map(|(name, value)| (name == "dest").then(|| value.parse().ok())?)?,
            key,
            remaining: Duration::from_millis(remaining),
        })
    }
}

/// What the headers of a message tell.
struct Head {
    id: String,
    tenant: Option<usize>,
    dest: u64,
    key: Option<String>,
    remaining: Duration,
}

async fn read_body(body: Incoming) -> Result<Bytes, StatusCode> {
    match timeout(BODY, Limited::new(body, BODY_MOST).collect()).await {
        // Copied: what the reader gives is a slice of its buffer, and a held message would keep all of that.
        Ok(Ok(whole)) => Ok(Bytes::copy_from_slice(&whole.to_bytes())),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn reply(answer: Answer) -> Reply {
    match answer {
        Answer::Accepted => status(StatusCode::ACCEPTED),
        Answer::Delivered => status(StatusCode::OK),
        Answer::Failed => status(StatusCode::INTERNAL_SERVER_ERROR),
        Answer::Refused(wait) => {
            let mut reply = status(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = wait.map(|w| format!("{:.3}", w.as_secs_f64()));
            if let Some(Ok(value)) = seconds.map(|s| HeaderValue::from_str(&s)) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
            reply
        }
    }
}
