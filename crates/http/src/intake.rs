//! Takes messages from clients: reads requests, hands them to the engine, and gives its answers.

use crate::pool::Gated;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
#[cfg(feature = "gate")]
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::timeout;
use yarrowhill_engine::{Answer, EngineSenders, Input, Phase, Submission};
use yarrowhill_policy::api::{Effect, Settings};
use yarrowhill_settings::{Names, index_of, normalize_name};

/// Longest body.
const BODY_MOST: usize = 64 << 10;
/// Longest id or key: both go into every record of the journal.
const NAME_MOST: usize = 128;
/// A message may not be deliverable for longer than this; it keeps sums of times far from overflow.
const DEADLINE_MOST: u64 = 24 * 3600 * 1000;
/// So long a body may take; see `clients` for heads.
const BODY: Duration = Duration::from_millis(800);
/// When a client is to come again for whose message there is no room now.
const AGAIN: Duration = Duration::from_secs(1);
/// What all connections share.
pub struct Intake {
    names: Names,
    settings: Settings,
    engines: EngineSenders,
    phase: watch::Receiver<Phase>,
    /// KiB that bodies may take until the engine has them.
    bodies: Semaphore,
    gate: Gated,
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
        engines: impl Into<EngineSenders>,
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

    /// How far the process is on its way to its end.
    pub(crate) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.clone()
    }

    pub(crate) async fn answer(&self, request: Request<Incoming>, ambiguous: bool) -> Reply {
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
        let class = percent_decode_str(class).decode_utf8().map_err(|_| StatusCode::BAD_REQUEST)?;
        let class = index_of(&self.names.classes, &normalize_name(&class)).ok_or(StatusCode::BAD_REQUEST)?;
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
        let engine = self.engines.for_dest(message.dest);
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
        // Without owners in the settings nobody has a share, whatever a client calls itself.
        let tenant = match headers.get("req-owner").filter(|_| !self.names.tenants.is_empty()) {
            None if self.names.tenants.is_empty() => None,
            None => return None,
            Some(owner) => {
                let owner = str::from_utf8(owner.as_bytes()).ok()?.trim();
                Some(index_of(&self.names.tenants, &normalize_name(owner))?)
            }
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
