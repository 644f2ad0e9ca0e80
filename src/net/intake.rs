//! Takes messages from clients: reads requests, hands them to the node, and gives its answers.

use crate::api::{Effect, Settings};
use crate::net::node::Input;
use crate::wire::{Names, index};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::{sleep, timeout};

/// Longest body.
const BODY_MOST: usize = 64 << 10;
/// What one connection may hold of unread bytes; many slow clients together stay far from the memory limit.
const BUFFER: usize = 16 << 10;
/// Longest id or key: both go into every record of the journal.
const NAME_MOST: usize = 128;
/// A message may not be deliverable for longer than this; it keeps sums of times far from overflow.
const DEADLINE_MOST: u64 = 24 * 3600 * 1000;
/// A client that takes longer for a request's head or body than this has left long ago.
const READ: Duration = Duration::from_secs(5);

/// A message that a client hands in.
pub(crate) struct HandedIn {
    pub(crate) id: String,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) dest: u64,
    pub(crate) key: Option<String>,
    pub(crate) body: Bytes,
    /// The client gives it up then.
    pub(crate) deadline: Instant,
    /// Closed once the client has left.
    pub(crate) answer: oneshot::Sender<Answer>,
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Accepted,
    Delivered,
    Refused(Option<Duration>),
    Failed,
}

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    Open,
    /// Each answer is the last on its connection.
    Closing,
    /// Nothing new is read.
    Shut,
}

/// What all connections share.
pub(crate) struct Intake {
    pub(crate) names: Names,
    pub(crate) settings: Settings,
    pub(crate) node: Sender<Input>,
    pub(crate) phase: watch::Receiver<Phase>,
}

/// Serves clients, at most `most` connections at a time, until all is shut and the last has its answer.
pub(crate) async fn serve(listener: TcpListener, most: usize, intake: Arc<Intake>) {
    let room = Arc::new(Semaphore::new(most));
    let mut phase = intake.phase.clone();
    tokio::select! {
        () = accept(listener, room.clone(), intake) => {}
        _ = phase.wait_for(|p| *p == Phase::Shut) => {}
    }
    let _ = room.acquire_many(u32::try_from(most).unwrap_or(u32::MAX)).await;
}

async fn accept(listener: TcpListener, room: Arc<Semaphore>, intake: Arc<Intake>) {
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let intake = intake.clone();
                tokio::spawn(async move {
                    client(stream, intake).await;
                    drop(permit);
                });
            }
            Err(e) => {
                // Out of descriptors, say: others must close first.
                eprintln!("intake: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn client(stream: TcpStream, intake: Arc<Intake>) {
    let _ = stream.set_nodelay(true);
    let mut phase = intake.phase.clone();
    let service = service_fn(move |request| {
        let intake = intake.clone();
        async move { Ok::<_, Infallible>(intake.answer(request).await) }
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(READ).max_buf_size(BUFFER);
    let mut connection = pin!(server.serve_connection(TokioIo::new(stream), service));
    // A client that breaks off harms nobody else.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|p| *p == Phase::Shut) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

type Reply = Response<Full<Bytes>>;

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

impl Intake {
    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let mut reply = match (request.method(), request.uri().path()) {
            (&Method::GET, "/-/ready") => status(StatusCode::OK),
            (&Method::POST, path) if path.len() > 1 => match self.hand_in(request).await {
                Ok(answer) => reply(answer),
                Err(code) => status(code),
            },
            _ => status(StatusCode::NOT_FOUND),
        };
        if *self.phase.borrow() >= Phase::Closing {
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
        let body = read_body(body).await?;
        let (answer, answered) = oneshot::channel();
        let message = HandedIn {
            id: head.id,
            class,
            tenant: head.tenant,
            dest: head.dest,
            key: head.key,
            body,
            deadline: Instant::now() + head.remaining,
            answer,
        };
        // A full queue means that the node is far behind: another try does no harm.
        if self.node.try_send(Input::HandedIn(message)).is_err() {
            return Ok(Answer::Refused(None));
        }
        Ok(answered.await.unwrap_or(Answer::Refused(None)))
    }

    fn read_head(&self, class: usize, headers: &HeaderMap) -> Option<Head> {
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
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match timeout(READ, Limited::new(body, BODY_MOST).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
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
