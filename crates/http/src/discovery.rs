//! Keeps the endpoint list current with successive long-poll watches. The private module `schedule` decides
//! when to send the next request and for which version.

use crate::body_memory::BodyMemory;
use crate::connection::{self, Connection};
use crate::listed::ListedAddresses;
use crate::schedule::{FailureKind, Schedule, WatchRequest};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use yarrowhill_engine::{EndpointList, Input};

/// Time limit for a connection to discovery to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("no response within {0:?}")]
    TimedOut(Duration),
    #[error("connection closed before the response was complete")]
    ConnectionLost,
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("malformed endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("list {0} is older than the one requested: a copy of an earlier response")]
    Copy(u64),
}

impl WatchError {
    /// Classifies the error by what it says about the requested version.
    fn kind(&self) -> FailureKind {
        match self {
            WatchError::Connect(_)
            | WatchError::TimedOut(_)
            | WatchError::ConnectionLost
            | WatchError::Copy(_) => FailureKind::Unavailable,
            WatchError::Status(status)
                if status.is_server_error() || *status == StatusCode::TOO_MANY_REQUESTS =>
            {
                FailureKind::Unavailable
            }
            WatchError::Status(_) | WatchError::Malformed(_) => FailureKind::Unusable,
        }
    }
}

/// Parameters of the watch on the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct WatchConfig {
    /// Version of the list that is known at the start.
    pub version: u64,
    /// Number of forwarders that poll the same discovery service, this one included; `None` where a local
    /// agent receives pushed updates, which cost the service nothing.
    pub forwarders: Option<usize>,
    /// Seed of the random numbers that spread the requests.
    pub seed: u64,
    /// Maximum length of a list in bytes.
    pub max_list_bytes: usize,
}

/// Watches the endpoint list without end and passes each list to the engine in the order received. Calls know the
/// addresses in it by `listed` before the engine does. When the
/// address changes, the watch at the old address is cancelled and the full list is requested from the new
/// one, because the old service may have fallen behind.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>,
    config: WatchConfig,
    listed: ListedAddresses,
    engine: Sender<Input>,
) {
    let rng = ChaCha8Rng::seed_from_u64(config.seed);
    let mut schedule = Schedule::new(config.forwarders, config.version, rng);
    let lists = BodyMemory::new(config.max_list_bytes);
    let mut connection = None;
    // A change of address ends the initial delay.
    if let Ok(Ok(())) = timeout(schedule.initial_delay(), address.changed()).await
        && engine.send(Input::DiscoveryMoved).await.is_err()
    {
        return;
    }
    loop {
        let to = *address.borrow_and_update();
        let request = schedule.next_request();
        let started_at = Instant::now();
        tracing::debug!(%to, ask = ?request, "asks discovery");
        let result = tokio::select! {
            biased;
            result = timeout(request.timeout, fetch(to, request, &mut connection, config.max_list_bytes, &lists)) => {
                result.unwrap_or(Err(WatchError::TimedOut(request.timeout)))
            }
            Ok(()) = address.changed() => {
                connection = None;
                schedule.address_changed();
                if engine.send(Input::DiscoveryMoved).await.is_err() {
                    return;
                }
                continue;
            }
        };
        match result {
            Ok(list) => {
                tracing::debug!(rev = list.version, all = list.is_full, lines = ?list.endpoints, "list");
                schedule.succeeded(list.version);
                listed.apply(&list);
                if engine.send(Input::List(list)).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                tracing::warn!("discovery request to {to} failed: {e}");
                // After a response with an error status the connection is still usable.
                if !matches!(e, WatchError::Status(_)) {
                    connection = None;
                }
                let delay = schedule.failed(e.kind(), started_at.elapsed());
                if let Ok(Ok(())) = timeout(delay, address.changed()).await {
                    schedule.address_changed();
                    if engine.send(Input::DiscoveryMoved).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

async fn fetch(
    to: SocketAddr,
    request: WatchRequest,
    idle: &mut Option<Connection>,
    max_list_bytes: usize,
    lists: &Arc<BodyMemory>,
) -> Result<EndpointList, WatchError> {
    let path = match request.version {
        Some(version) => format!("/api/targets?index={version}&wait={}", request.wait.as_millis()),
        None => "/api/targets".to_owned(),
    };
    let is_reused = idle.as_ref().is_some_and(Connection::is_open);
    if !is_reused {
        *idle = Some(Connection::open(to, CONNECT_TIMEOUT, lists.clone()).await?);
    }
    let connection = idle.as_mut().ok_or(WatchError::ConnectionLost)?;
    let known_version = request.version;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|_| WatchError::ConnectionLost)?;
    connection::set_host(&mut request, to);
    let response = connection.send(request, None).await.map_err(|_| WatchError::ConnectionLost)?;
    let text = match response.status() {
        StatusCode::OK => connection
            .collect_body(response.into_body(), max_list_bytes)
            .await
            .map_err(|_| WatchError::ConnectionLost)?,
        status => return Err(WatchError::Status(status)),
    };
    let list: EndpointList = serde_json::from_slice(&text.bytes)?;
    // A discovery that has lost versions is believed on a new connection.
    if is_reused && known_version.is_some_and(|known| list.version < known) {
        return Err(WatchError::Copy(list.version));
    }
    Ok(list)
}
