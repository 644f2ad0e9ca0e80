//! Keeps the list of targets: one watch after another, and the whole list after an error.

use crate::net::http::{self, Connection};
use crate::net::node::Input;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;
use tokio::time::timeout;

/// How long a watch waits for news. Short: an agent that has fallen silent shows only when this has passed,
/// and what it had to tell counts as told a few seconds later all the same.
const WATCH: Duration = Duration::from_secs(2);
/// An answer later than this is taken for lost.
const GRACE: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_secs(1);
/// A failed call is followed by the next after the first of these, doubled up to the second.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// Longest list that is read.
const MOST: usize = 8 << 20;

/// The list of targets, or what changed in it.
#[derive(Debug, Deserialize)]
pub(crate) struct List {
    pub(crate) rev: u64,
    pub(crate) all: bool,
    pub(crate) targets: Vec<Line>,
}

/// What the list says of one target.
#[derive(Debug, Deserialize)]
pub(crate) struct Line {
    pub(crate) uid: String,
    pub(crate) endpoint: SocketAddr,
    pub(crate) az: String,
    pub(crate) model: String,
    pub(crate) pod_group: u64,
    pub(crate) state: State,
    #[serde(default = "one")]
    pub(crate) capacity_hint: f64,
}

fn one() -> f64 {
    1.0
}

/// Where a target stands.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    InService,
    Terminating,
    Terminated,
}

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

/// Watches from `rev` on, for ever; whatever is told goes to the node in its order. A new address breaks off
/// the watch at the old one, and the whole list is asked for there: the old one may have fallen behind.
pub(crate) async fn watch(mut at: watch::Receiver<SocketAddr>, rev: u64, node: Sender<Input>) {
    let mut known = Some(rev);
    let mut connection = None;
    let mut pause = BACK_OFF.0;
    loop {
        let to = *at.borrow_and_update();
        let told = tokio::select! {
            biased;
            told = call(to, known, &mut connection) => told,
            Ok(()) = at.changed() => {
                (known, connection, pause) = (None, None, BACK_OFF.0);
                continue;
            }
        };
        match told {
            Ok(list) => {
                pause = BACK_OFF.0;
                known = Some(list.rev);
                if node.send(Input::List(list)).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                eprintln!("discovery: {e}");
                (known, connection) = (None, None);
                // A new address is tried at once.
                let _ = timeout(pause, at.changed()).await;
                pause = (pause * 2).min(BACK_OFF.1);
            }
        }
    }
}

async fn call(
    at: SocketAddr,
    known: Option<u64>,
    connection: &mut Option<Connection>,
) -> Result<List, Failed> {
    let (path, limit) = match known {
        Some(rev) => (format!("/api/targets?index={rev}&wait={}", WATCH.as_millis()), WATCH + GRACE),
        None => ("/api/targets".to_owned(), GRACE),
    };
    if !connection.as_ref().is_some_and(Connection::is_open) {
        *connection = Some(Connection::open(at, CONNECT).await?);
    }
    let open = connection.as_mut().ok_or(Failed::Broken)?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|_| Failed::Broken)?;
    http::set_host(&mut request, at);
    let exchange = async {
        let answer = open.send(request).await.map_err(|_| Failed::Broken)?;
        match answer.status() {
            StatusCode::OK => http::body(answer.into_body(), MOST).await.ok_or(Failed::Broken),
            status => Err(Failed::Status(status)),
        }
    };
    let text = timeout(limit, exchange).await.map_err(|_| Failed::Silent)??;
    Ok(serde_json::from_slice(&text)?)
}
