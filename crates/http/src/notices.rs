//! Reports accepted messages that ended without delivery to the platform.
//!
//! An acknowledgement does not name the notices that it belongs to. Each batch is therefore sent on a connection
//! of its own, where no copy of another's acknowledgement can arrive.

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
use tokio::time::{sleep, timeout};
use yarrowhill_engine::{Input, Notice};

/// Time limit for a connection to the platform to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the complete response to a batch.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest body of a response.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Delay between a failed attempt and the next.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends each batch of notices from the engine until it is acknowledged, then reports that to the engine. A
/// change of the address cancels the attempt at the old address, and the new one receives the complete batch:
/// a notice that arrives twice does no harm.
pub async fn send_all(
    mut address: watch::Receiver<SocketAddr>,
    mut batches: Receiver<Vec<Notice>>,
    engine: Sender<Input>,
) {
    let mut warnings = LogLimit::default();
    while let Some(batch) = batches.recv().await {
        loop {
            let to = *address.borrow_and_update();
            tokio::select! {
                biased;
                sent = send_batch(to, &batch) => match sent {
                    Ok(()) => break,
                    Err(failure) => {
                        if warnings.allows() {
                            tracing::warn!("{to} did not acknowledge {} notices: {failure}", batch.len());
                        }
                        sleep(RETRY_DELAY).await;
                    }
                },
                Ok(()) = address.changed() => {}
            }
        }
        if engine.send(Input::NoticesAcknowledged(batch)).await.is_err() {
            return;
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
    #[error("no response within {RESPONSE_TIMEOUT:?}")]
    Timeout,
}

/// Sends a batch once. Succeeds if the platform acknowledged it.
async fn send_batch(to: SocketAddr, batch: &[Notice]) -> Result<(), NoticeError> {
    let lines: Vec<String> = batch.iter().filter_map(|n| serde_json::to_string(n).ok()).collect();
    let mut request = Request::new(Full::new(Bytes::from(lines.join("\n") + "\n")));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/v1/notices");
    connection::set_host(&mut request, to);
    // The body of an acknowledgement is not kept.
    let bodies = BodyMemory::new(0);
    let opening = Connection::open(to, CONNECT_TIMEOUT, bodies);
    let mut connection = opening.await.map_err(NoticeError::Connect)?;
    let exchange = async {
        let response = connection.send(request, None).await.ok()?;
        let status = response.status();
        connection::discard_body(response.into_body(), MAX_RESPONSE_BYTES, |_| ()).await.ok()?;
        Some(status)
    };
    match timeout(RESPONSE_TIMEOUT, exchange).await {
        Ok(Some(StatusCode::NO_CONTENT)) => Ok(()),
        Ok(Some(status)) => Err(NoticeError::Status(status)),
        Ok(None) => Err(NoticeError::Incomplete),
        Err(_) => Err(NoticeError::Timeout),
    }
}
