//! Keeps the list of endpoints: one watch after another. When to ask, and for what, is [`crate::schedule`]'s.

use crate::connection::{self, Connection};
use crate::schedule::{Ask, Failure, Refresh};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use yarrowhill_engine::{EndpointList, Input};

const CONNECT: Duration = Duration::from_secs(1);
/// Longest list that is read.
const MOST: usize = 8 << 20;

#[derive(Debug, thiserror::Error)]
enum Failed {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("no answer")]
    Silent,
    #[error("the connection broke")]
    Broken,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("unreadable list: {0}")]
    Form(#[from] serde_json::Error),
}

impl Failed {
    /// What it says of the version that was asked from.
    fn kind(&self) -> Failure {
        match self {
            Failed::Connect(_) | Failed::Silent | Failed::Broken => Failure::Unheard,
            Failed::Status(status)
                if status.is_server_error() || *status == StatusCode::TOO_MANY_REQUESTS =>
            {
                Failure::Unheard
            }
            Failed::Status(_) | Failed::Form(_) => Failure::Unusable,
        }
    }
}

/// Parameters of the watch on the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct WatchConfig {
    /// Version of the list that is known at the start.
    pub version: u64,
    /// Number of forwarders that poll the same discovery service, this one included; `None` where a local agent
    /// receives pushed updates, which cost the service nothing.
    pub forwarders: Option<usize>,
    /// Seed of the random numbers that spread the requests.
    pub seed: u64,
}

/// Watches for ever; whatever is told goes to the engine in its order. A new address breaks off the watch at the old
/// one, and the whole list is asked for there: the old one may have fallen behind.
pub async fn watch(mut at: watch::Receiver<SocketAddr>, config: WatchConfig, engine: Sender<Input>) {
    let chance = ChaCha8Rng::seed_from_u64(config.seed);
    let mut refresh = Refresh::new(config.forwarders, config.version, chance);
    let mut connection = None;
    // A new address is tried at once.
    let _ = timeout(refresh.first(), at.changed()).await;
    loop {
        let to = *at.borrow_and_update();
        let ask = refresh.ask();
        let asked = Instant::now();
        tracing::debug!(%to, ?ask, "asks discovery");
        let told = tokio::select! {
            biased;
            told = timeout(ask.lost, call(to, ask, &mut connection)) => told.unwrap_or(Err(Failed::Silent)),
            Ok(()) = at.changed() => {
                connection = None;
                refresh.moved();
                continue;
            }
        };
        match told {
            Ok(list) => {
                tracing::debug!(rev = list.version, all = list.is_full, lines = ?list.endpoints, "list");
                refresh.answered(list.version);
                if engine.send(Input::List(list)).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                tracing::warn!("discovery: {e}");
                // One that has answered is whole.
                if !matches!(e, Failed::Status(_)) {
                    connection = None;
                }
                let pause = refresh.failed(e.kind(), asked.elapsed());
                if let Ok(Ok(())) = timeout(pause, at.changed()).await {
                    refresh.moved();
                }
            }
        }
    }
}

async fn call(at: SocketAddr, ask: Ask, open: &mut Option<Connection>) -> Result<EndpointList, Failed> {
    let path = match ask.index {
        Some(rev) => format!("/api/targets?index={rev}&wait={}", ask.wait.as_millis()),
        None => "/api/targets".to_owned(),
    };
    if !open.as_ref().is_some_and(Connection::is_open) {
        *open = Some(Connection::open(at, CONNECT).await?);
    }
    let open = open.as_mut().ok_or(Failed::Broken)?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|_| Failed::Broken)?;
    connection::set_host(&mut request, at);
    let answer = open.send(request, None).await.map_err(|_| Failed::Broken)?;
    let text = match answer.status() {
        StatusCode::OK => connection::body(answer.into_body(), MOST).await.ok_or(Failed::Broken)?,
        status => return Err(Failed::Status(status)),
    };
    Ok(serde_json::from_slice(&text)?)
}
