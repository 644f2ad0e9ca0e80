//! One request for the endpoint list, from its connection to the parsed response. Nothing in it has a time limit:
//! the caller decides how long it stays open.

use crate::body::BodyError;
use crate::body_memory::BodyMemory;
use crate::connection::{self, Connection};
use crate::schedule::{FailureKind, WatchRequest};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use yarrowhill_engine::EndpointList;

/// Time limit for a connection to open: the system gives up sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(300);

/// Time in which a list arrives unless its request is stuck: one that takes longer gives way to others that need
/// its memory. Long, because lists that are merely slow would otherwise push each other out.
const LIST_TIME: Duration = Duration::from_secs(8);

/// Why a request brought no list.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    #[error("connection closed before a complete head of the response")]
    ConnectionLost,
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("cannot read the list: {0}")]
    Body(#[from] BodyError),
    #[error("malformed endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("list {0} is older than the one requested: a copy of an earlier response")]
    Copy(u64),
    #[error("changes up to list {0}, which is older than the one requested: discovery has lost versions")]
    VersionsLost(u64),
}

impl WatchError {
    /// Classifies the error by what it says about the requested version.
    pub(super) fn kind(&self) -> FailureKind {
        match self {
            WatchError::Connect(_)
            | WatchError::ConnectionLost
            | WatchError::Body(_)
            | WatchError::Copy(_) => FailureKind::Unavailable,
            WatchError::Status(status)
                if status.is_server_error() || *status == StatusCode::TOO_MANY_REQUESTS =>
            {
                FailureKind::Unavailable
            }
            WatchError::Status(_) | WatchError::Malformed(_) | WatchError::VersionsLost(_) => {
                FailureKind::Unusable
            }
        }
    }
}

/// A request for the endpoint list.
#[derive(Debug)]
pub(super) struct ListRequest {
    pub(super) to: SocketAddr,
    pub(super) request: WatchRequest,
    /// Newest version that was known when the request was sent.
    pub(super) known_version: Option<u64>,
    /// Connection of an earlier request.
    pub(super) idle: Option<Connection>,
    pub(super) max_list_bytes: usize,
    /// Memory for the lists that are being received.
    pub(super) lists: Arc<BodyMemory>,
    /// Set when the response begins.
    pub(super) begun_at: watch::Sender<Option<Instant>>,
}

/// How a request for the endpoint list ended.
#[derive(Debug)]
pub(super) struct ListResponse {
    pub(super) to: SocketAddr,
    /// Newest version that was known when the request was sent.
    pub(super) known_version: Option<u64>,
    /// Whether the connection carried another request before.
    pub(super) is_reused: bool,
    /// The connection, if it was opened.
    pub(super) connection: Option<Connection>,
    pub(super) list: Result<EndpointList, WatchError>,
}

impl ListRequest {
    /// Sends the request and reads the response.
    pub(super) async fn run(mut self) -> ListResponse {
        let is_reused = self.idle.as_ref().is_some_and(Connection::is_open);
        let opened = match self.idle.take().filter(|_| is_reused) {
            Some(connection) => Ok(connection),
            None => Connection::open(self.to, CONNECT_TIMEOUT, self.lists.clone()).await,
        };
        let (connection, list) = match opened {
            Ok(mut connection) => {
                let list = self.exchange(&mut connection).await;
                (Some(connection), list)
            }
            Err(e) => (None, Err(e.into())),
        };
        ListResponse { to: self.to, known_version: self.known_version, is_reused, connection, list }
    }

    async fn exchange(&self, connection: &mut Connection) -> Result<EndpointList, WatchError> {
        let path = match self.request.version {
            Some(version) => format!("/api/targets?index={version}&wait={}", self.request.wait.as_millis()),
            None => "/api/targets".to_owned(),
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = path.parse().map_err(|_| WatchError::ConnectionLost)?;
        connection::set_host(&mut request, self.to);
        let response = connection.send_patiently(request, &self.begun_at).await;
        let response = response.map_err(|_| WatchError::ConnectionLost)?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        let body = response.into_body();
        let body = connection.collect_body_patiently(body, self.max_list_bytes, LIST_TIME).await?;
        Ok(serde_json::from_slice(&body.bytes)?)
    }
}
