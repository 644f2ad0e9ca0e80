//! Reports accepted messages that ended without delivery to the platform.

use crate::connection::{self, Connection};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
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
    let mut connection = None;
    while let Some(batch) = batches.recv().await {
        loop {
            if address.has_changed().unwrap_or(false) {
                connection = None;
            }
            let to = *address.borrow_and_update();
            tokio::select! {
                biased;
                acknowledged = send_batch(to, &batch, &mut connection) => match acknowledged {
                    true => break,
                    false => sleep(RETRY_DELAY).await,
                },
                Ok(()) = address.changed() => {}
            }
            connection = None;
        }
        if engine.send(Input::NoticesAcknowledged(batch)).await.is_err() {
            return;
        }
    }
}

/// Sends a batch once. Returns true if the platform acknowledged it.
async fn send_batch(to: SocketAddr, batch: &[Notice], idle: &mut Option<Connection>) -> bool {
    let lines: Vec<String> = batch.iter().filter_map(|n| serde_json::to_string(n).ok()).collect();
    let mut request = Request::new(Full::new(Bytes::from(lines.join("\n") + "\n")));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/v1/notices");
    connection::set_host(&mut request, to);
    if !idle.as_ref().is_some_and(Connection::is_open) {
        *idle = Connection::open(to, CONNECT_TIMEOUT).await.ok();
    }
    let Some(connection) = idle else { return false };
    let exchange = async {
        let response = connection.send(request, None).await.ok()?;
        let status = response.status();
        connection::read_body(response.into_body(), 1 << 16).await.map(|_| status)
    };
    let failure = match timeout(RESPONSE_TIMEOUT, exchange).await {
        Ok(Some(StatusCode::NO_CONTENT)) => return true,
        Ok(Some(status)) => format!("unexpected status {status}"),
        Ok(None) => "no complete response".to_owned(),
        Err(_) => format!("no response within {RESPONSE_TIMEOUT:?}"),
    };
    tracing::warn!("{to} did not acknowledge {} notices: {failure}", batch.len());
    false
}
