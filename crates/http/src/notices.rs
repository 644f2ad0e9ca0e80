//! Reports accepted messages that ended without delivery to the platform.
//!
//! An acknowledgement does not name the notices that it belongs to. Each batch is therefore sent on a connection
//! of its own, where no copy of another's acknowledgement can arrive.

use crate::attempts::Attempts;
use crate::body_memory::BodyMemory;
use crate::connection::{self, Connection};
use crate::log_limit::LogLimit;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use yarrowhill_engine::{Input, Notice};

/// Time limit for a connection to the platform to open: the system gives up sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(300);
/// Time after which a batch is sent again while the acknowledgement may still come.
const RETRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between a failed attempt and the next.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of open attempts at a batch.
const MAX_OPEN_ATTEMPTS: usize = 2;

/// Sends each batch of notices from the engine until it is acknowledged, then reports that to the engine. A
/// change of the address cancels the attempts at the old address, and the new one receives the complete batch:
/// a notice that arrives twice does no harm.
pub async fn send_all(
    mut address: watch::Receiver<SocketAddr>,
    mut batches: Receiver<Vec<Notice>>,
    engine: Sender<Input>,
) {
    let mut warnings = LogLimit::default();
    while let Some(batch) = batches.recv().await {
        send_until_acknowledged(&mut address, &batch, &mut warnings).await;
        if engine.send(Input::NoticesAcknowledged(batch)).await.is_err() {
            return;
        }
    }
}

/// Sends a batch until it is acknowledged. An attempt stays open while the next one is made: the platform may be
/// slow.
async fn send_until_acknowledged(
    address: &mut watch::Receiver<SocketAddr>,
    batch: &[Notice],
    warnings: &mut LogLimit,
) {
    let body = body(batch);
    let mut attempts = Attempts::new(MAX_OPEN_ATTEMPTS);
    let mut next_at = Instant::now();
    loop {
        let to = *address.borrow_and_update();
        let failure = tokio::select! {
            biased;
            ended = attempts.next_ended() => match ended.output {
                Ok(()) => return,
                Err(failure) => {
                    next_at = next_at.min(Instant::now() + RETRY_DELAY);
                    failure
                }
            },
            Ok(()) = address.changed() => {
                attempts.give_up_all();
                next_at = Instant::now();
                continue;
            }
            () = sleep_until(next_at) => {
                let is_retry = attempts.open_count() > 0;
                attempts.start(send_batch(to, body.clone()));
                next_at = Instant::now() + RETRY_TIMEOUT;
                if !is_retry {
                    continue;
                }
                NoticeError::Late
            }
        };
        if warnings.allows() {
            tracing::warn!("{to} did not acknowledge {} notices: {failure}", batch.len());
        }
    }
}

/// Why the platform has not acknowledged a batch.
#[derive(Debug, thiserror::Error)]
enum NoticeError {
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("no complete response")]
    Incomplete,
    #[error("no response within {RETRY_TIMEOUT:?}")]
    Late,
}

/// Returns the body of a request with notices: one JSON object per line.
fn body(batch: &[Notice]) -> Bytes {
    let lines: Vec<String> = batch.iter().filter_map(|n| serde_json::to_string(n).ok()).collect();
    Bytes::from(lines.join("\n") + "\n")
}

/// Sends a batch once. Succeeds if the platform acknowledged it.
async fn send_batch(to: SocketAddr, body: Bytes) -> Result<(), NoticeError> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/v1/notices");
    connection::set_host(&mut request, to);
    // The body of an acknowledgement is not kept.
    let bodies = BodyMemory::new(0);
    let opening = Connection::open(to, CONNECT_TIMEOUT, bodies);
    let mut connection = opening.await.map_err(NoticeError::Connect)?;
    // The status tells all; an acknowledgement has no body.
    let response = connection.send_patiently(request, &watch::Sender::new(None)).await;
    match response.map(|response| response.status()) {
        Ok(StatusCode::NO_CONTENT) => Ok(()),
        Ok(status) => Err(NoticeError::Status(status)),
        Err(_) => Err(NoticeError::Incomplete),
    }
}
