//! Accepts messages from clients: parses requests, submits them to the engine, and returns its answers.

use crate::body::{self, BodyError};
use crate::body_memory::{BodyMemory, CompleteBody};
use crate::gate_handle::GateHandle;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::yield_now;
use yarrowhill_engine::{Answer, EngineSenders, Input, Phase, Submission};
use yarrowhill_policy::api::{Effect, Settings};
use yarrowhill_settings::{Names, index_of, normalize_name};

/// Longest message body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Longest id or key: both are part of every record in the journal.
const MAX_ID_BYTES: usize = 128;
/// Longest deadline of a message. The bound keeps sums of times far from overflow.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;
/// Time limit for a message body; those for heads are in `clients`.
const BODY_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay after which a client may retry a message that is refused for lack of room.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Handles the requests of all client connections.
pub struct Intake {
    names: Names,
    settings: Settings,
    engines: EngineSenders,
    phase: watch::Receiver<Phase>,
    /// Memory for bodies that the engine has not accepted.
    bodies: Arc<BodyMemory>,
    gate: GateHandle,
}

type Reply = Response<Full<Bytes>>;

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

impl Intake {
    /// Creates an intake that parses messages by these names and settings and submits them to the engine.
    /// `body_kib` is the limit (KiB) of the memory for bodies that the engine has not accepted.
    pub fn new(
        names: Names,
        settings: Settings,
        engines: impl Into<EngineSenders>,
        phase: watch::Receiver<Phase>,
        body_kib: usize,
    ) -> Self {
        let (engines, bodies) = (engines.into(), BodyMemory::new(body_kib * 1024));
        Intake { names, settings, engines, phase, bodies, gate: GateHandle::default() }
    }

    /// Sets a gate that is consulted before each message and at each readiness check.
    #[cfg(feature = "gate")]
    #[must_use]
    pub fn with_gate(mut self, gate: Option<Arc<dyn yarrowhill_engine::Gate>>) -> Self {
        self.gate = GateHandle::new(gate);
        self
    }

    /// Returns a receiver of the shutdown phase.
    pub(crate) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.clone()
    }

    pub(crate) async fn answer(&self, request: Request<Incoming>, ambiguous: bool) -> Reply {
        let mut reply = match (request.method(), request.uri().path()) {
            _ if ambiguous => status(StatusCode::BAD_REQUEST),
            // Messages must carry a length: without chunked bodies the end of a body is never in doubt.
            _ if request.headers().contains_key(TRANSFER_ENCODING) => status(StatusCode::LENGTH_REQUIRED),
            (&Method::GET, "/-/ready") => self.readiness().await,
            (&Method::POST, path) if path.len() > 1 => match self.submit(request).await {
                Ok(answer) => reply(answer),
                Err(rejection) => rejection.reply(),
            },
            _ => status(StatusCode::NOT_FOUND),
        };
        // After a request that was not understood the connection closes, so that none of its bytes is read as
        // another request.
        if reply.status().is_client_error() || *self.phase.borrow() >= Phase::Closing {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn readiness(&self) -> Reply {
        // The answer needs nothing that would let another task run. Many connections that ask without end, each for
        // several answers at a time, would delay all others.
        yield_now().await;
        status(if self.gate.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }

    async fn submit(&self, request: Request<Incoming>) -> Result<Answer, Rejection> {
        let (parts, body) = request.into_parts();
        // The headers, and the buffer that they were read into, are released before the body is read.
        let head = self.read_parts(parts)?;
        if body.size_hint().exact().is_none_or(|length| length > MAX_BODY_BYTES as u64) {
            return Err(Rejection::Status(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let CompleteBody { bytes, reservation: _reservation } = read_body(body, &self.bodies).await?;
        if !self.gate.may_accept() {
            return Ok(Answer::Refused(Some(RETRY_DELAY)));
        }
        let (answer, answered) = oneshot::channel();
        let message = Submission {
            id: head.id,
            class: head.class,
            tenant: head.tenant,
            dest: head.dest,
            key: head.key,
            body: bytes,
            deadline: tokio::time::Instant::now() + head.remaining,
            answer,
        };
        // A full queue means that the engine is far behind. The message was not accepted, so a retry does no
        // harm.
        let engine = self.engines.for_dest(message.dest);
        if engine.is_none_or(|engine| engine.try_send(Input::Submission(message)).is_err()) {
            return Ok(Answer::Refused(Some(RETRY_DELAY)));
        }
        Ok(answered.await.unwrap_or(Answer::Refused(None)))
    }

    fn read_parts(&self, parts: Parts) -> Result<Head, Rejection> {
        // The path is a single segment, the class.
        let class = parts.uri.path().trim_start_matches('/');
        if class.contains('/') {
            return Err(Rejection::Status(StatusCode::NOT_FOUND));
        }
        let class = percent_decode_str(class).decode_utf8().ok();
        let class = class.and_then(|class| index_of(&self.names.classes, &normalize_name(&class)));
        let head = class.and_then(|class| self.read_head(class, &parts.headers));
        head.ok_or(Rejection::Status(StatusCode::BAD_REQUEST))
    }

    fn read_head(&self, class: usize, headers: &HeaderMap) -> Option<Head> {
        // With two values of a header it is unknown which one other programs would use.
        let is_unique = |name: &str| headers.get_all(name).iter().nth(1).is_none();
        if !["req-id", "req-owner", "req-deadline-ms", "idempotency-key", "envelope"]
            .iter()
            .all(|n| is_unique(n))
        {
            return None;
        }
        let text = |name: &str| headers.get(name).map(|v| v.to_str().ok().map(str::trim)).unwrap_or(Some(""));
        let id = |header: &str| text(header).filter(|v| v.len() <= MAX_ID_BYTES);
        // Without owners in the settings no tenant has a share, and the header is ignored.
        let tenant = match headers.get("req-owner").filter(|_| !self.names.tenants.is_empty()) {
            None if self.names.tenants.is_empty() => None,
            None => return None,
            Some(owner) => {
                let owner = str::from_utf8(owner.as_bytes()).ok()?.trim();
                Some(index_of(&self.names.tenants, &normalize_name(owner))?)
            }
        };
        let key = Some(id("idempotency-key")?.to_owned()).filter(|k| !k.is_empty());
        if key.is_none() && matches!(self.settings.classes[class].effect, Effect::Keyed { .. }) {
            return None;
        }
        let remaining = text("req-deadline-ms")?.parse().ok().filter(|ms| *ms <= MAX_DEADLINE_MS)?;
        Some(Head {
            class,
            id: Some(id("req-id")?.to_owned()).filter(|id| !id.is_empty())?,
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

/// Values from the path and the headers of a message.
struct Head {
    class: usize,
    id: String,
    tenant: Option<usize>,
    dest: u64,
    key: Option<String>,
    remaining: Duration,
}

/// Why a message did not reach the engine.
enum Rejection {
    /// The request cannot be understood, or was not completed in time.
    Status(StatusCode),
    /// The memory for its body was needed for others. Nothing is wrong with the request.
    OutOfMemory,
}

impl Rejection {
    fn reply(self) -> Reply {
        match self {
            Rejection::Status(code) => status(code),
            Rejection::OutOfMemory => {
                let mut reply = reply(Answer::Refused(Some(RETRY_DELAY)));
                // The rest of the body is not read.
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                reply
            }
        }
    }
}

async fn read_body(body: Incoming, memory: &Arc<BodyMemory>) -> Result<CompleteBody, Rejection> {
    body::collect(body, MAX_BODY_BYTES, BODY_TIMEOUT, memory).await.map_err(|e| match e {
        BodyError::OutOfMemory => Rejection::OutOfMemory,
        BodyError::TooLong | BodyError::Broken(_) => Rejection::Status(StatusCode::BAD_REQUEST),
        BodyError::TimedOut => Rejection::Status(StatusCode::REQUEST_TIMEOUT),
    })
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
