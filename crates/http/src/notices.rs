//! Tells the platform how messages ended that were taken on and not delivered.

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

const CONNECT: Duration = Duration::from_secs(1);
const ANSWER: Duration = Duration::from_secs(1);
/// A failed try is followed by the next after this.
const AGAIN: Duration = Duration::from_millis(50);

/// Sends each batch that the engine hands over until it is acknowledged, then says so. A new address breaks off
/// a try at the old one, and gets the whole batch: a notice that comes twice does no harm.
pub async fn send_all(
    mut at: watch::Receiver<SocketAddr>,
    mut batches: Receiver<Vec<Notice>>,
    engine: Sender<Input>,
) {
    let mut connection = None;
    while let Some(batch) = batches.recv().await {
        loop {
            if at.has_changed().unwrap_or(false) {
                connection = None;
            }
            let to = *at.borrow_and_update();
            tokio::select! {
                biased;
                acknowledged = acknowledged(to, &batch, &mut connection) => match acknowledged {
                    true => break,
                    false => sleep(AGAIN).await,
                },
                Ok(()) = at.changed() => {}
            }
            connection = None;
        }
        if engine.send(Input::NoticesAcknowledged(batch)).await.is_err() {
            return;
        }
    }
}

async fn acknowledged(at: SocketAddr, batch: &[Notice], open: &mut Option<Connection>) -> bool {
    let lines: Vec<String> = batch.iter().filter_map(|n| serde_json::to_string(n).ok()).collect();
    let mut request = Request::new(Full::new(Bytes::from(lines.join("\n") + "\n")));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/v1/notices");
    connection::set_host(&mut request, at);
    if !open.as_ref().is_some_and(Connection::is_open) {
        *open = Connection::open(at, CONNECT).await.ok();
    }
    let Some(open) = open else { return false };
    let exchange = async {
        let answer = open.send(request, None).await.ok()?;
        let status = answer.status();
        connection::body(answer.into_body(), 1 << 16).await.map(|_| status)
    };
    match timeout(ANSWER, exchange).await {
        Ok(Some(StatusCode::NO_CONTENT)) => true,
        other => {
            tracing::warn!("notices: not acknowledged: {other:?}");
            false
        }
    }
}
