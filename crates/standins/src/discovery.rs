//! A stand-in for the platform's agent: the list of endpoints, watches, and notices.

use crate::ledger::Ledger;
use crate::wire::{Connection, HttpMessage, answer};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use yarrowhill_checker::{Event, Standing};

/// One line of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointLine {
    /// Uid of the endpoint.
    pub uid: String,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Zone of the endpoint.
    pub az: String,
    /// Kind of the endpoint.
    pub model: String,
    /// Destination of the endpoint.
    pub pod_group: u64,
    /// State of the endpoint: `in_service`, `terminating` or `terminated`.
    pub state: String,
    /// Weight of the endpoint.
    pub capacity_hint: f64,
    /// Start time of the endpoint (ms).
    pub boot_ms: u64,
}

impl EndpointLine {
    /// Returns the line of an endpoint in service, in zone `a`.
    pub fn new(uid: &str, at: SocketAddr, dest: u64, kind: &str, weight: f64) -> Self {
        EndpointLine {
            uid: uid.to_owned(),
            endpoint: at,
            az: "a".to_owned(),
            model: kind.to_owned(),
            pod_group: dest,
            state: "in_service".to_owned(),
            capacity_hint: weight,
            boot_ms: 0,
        }
    }
}

#[derive(Debug)]
struct State {
    lines: BTreeMap<String, EndpointLine>,
    /// Revision at which each line last changed.
    changed: BTreeMap<String, u64>,
    rev: u64,
    /// Whether queries for the list and watches get no answer; notices still do.
    silent: bool,
    /// Every nth request with notices is read and not acknowledged; 0 for none.
    drop_nth: u64,
    /// Requests with notices so far.
    notice_requests: u64,
}

/// A running stand-in for discovery. Clones share its list.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Address that the stand-in listens on.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    changes: Arc<watch::Sender<u64>>,
    ledger: Ledger,
    _accepting: Arc<AbortOnDrop>,
}

#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Discovery {
    /// Starts a stand-in with a list.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(lines: Vec<EndpointLine>, ledger: Ledger) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let changed = lines.iter().map(|l| (l.uid.clone(), 1)).collect();
        let lines = lines.into_iter().map(|l| (l.uid.clone(), l)).collect();
        let state = State { lines, changed, rev: 1, silent: false, drop_nth: 0, notice_requests: 0 };
        let state = Arc::new(Mutex::new(state));
        let changes = Arc::new(watch::channel(1).0);
        let shared = (state.clone(), changes.clone(), ledger.clone());
        let accepting = tokio::spawn(async move {
            let mut tasks = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (state, changes, ledger) = shared.clone();
                tasks.spawn(async move {
                    // An error on a connection ends only its task.
                    let _ = serve(Connection::new(stream), &state, &changes, &ledger).await;
                });
                while tasks.try_join_next().is_some() {}
            }
        });
        let guard = Arc::new(AbortOnDrop(accepting));
        Ok(Discovery { addr, state, changes, ledger, _accepting: guard })
    }

    /// Starts another agent with the same list, at another address. Both record notices in the same ledger.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start_replica(&self) -> io::Result<Self> {
        Discovery::start(self.lines(), self.ledger.clone()).await
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns the present list.
    pub fn lines(&self) -> Vec<EndpointLine> {
        self.lock().lines.values().cloned().collect()
    }

    /// Returns the revision of the list.
    pub fn rev(&self) -> u64 {
        self.lock().rev
    }

    /// Adds or replaces a line.
    pub fn set_line(&self, line: EndpointLine) {
        let mut state = self.lock();
        state.rev += 1;
        let rev = state.rev;
        state.changed.insert(line.uid.clone(), rev);
        state.lines.insert(line.uid.clone(), line);
        drop(state);
        self.changes.send_replace(rev);
    }

    /// Sets the state of an endpoint: `in_service`, `terminating` or `terminated`. Does nothing if there is
    /// no such endpoint.
    pub fn set_state(&self, uid: &str, state: &str) {
        let line = self.lock().lines.get(uid).cloned();
        if let Some(line) = line {
            self.set_line(EndpointLine { state: state.to_owned(), ..line });
        }
    }

    /// Stops or resumes answering queries for the list and watches. Notices are acknowledged in either case.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
        self.changes.send_modify(|_| {});
    }

    /// Resets the connection of every nth request with notices without an acknowledgement; 0 for none.
    pub fn drop_notices(&self, nth: u64) {
        self.lock().drop_nth = nth;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(
    mut connection: Connection,
    state: &Mutex<State>,
    changes: &watch::Sender<u64>,
    ledger: &Ledger,
) -> io::Result<()> {
    while connection.await_first_byte().await? {
        let request = connection.read().await?;
        if request.line.starts_with("POST /v1/notices ") {
            if !take_notices(&mut connection, &request, state, ledger).await? {
                connection.reset();
                return Ok(());
            }
            continue;
        }
        let (index, wait) = (number(&request.line, "index="), number(&request.line, "wait="));
        if let (Some(index), Some(wait)) = (index, wait) {
            let mut changed = changes.subscribe();
            let newer = async {
                loop {
                    let ready = {
                        let state = lock(state);
                        state.rev > index && !state.silent
                    };
                    if ready || changed.changed().await.is_err() {
                        return;
                    }
                }
            };
            let _ = timeout(Duration::from_millis(wait.min(60_000)), newer).await;
        }
        while lock(state).silent {
            sleep(Duration::from_millis(20)).await;
        }
        let (text, listed) = {
            let state = lock(state);
            let changed = |uid: &str| index.is_none_or(|i| state.changed.get(uid).is_some_and(|c| *c > i));
            let lines: Vec<&EndpointLine> = state.lines.values().filter(|l| changed(&l.uid)).collect();
            // Only incremental answers name endpoints that are gone.
            let lines: Vec<&EndpointLine> =
                lines.into_iter().filter(|l| index.is_some() || l.state != "terminated").collect();
            let listed: Vec<(String, String)> =
                lines.iter().map(|l| (l.uid.clone(), l.state.clone())).collect();
            (json!({"rev": state.rev, "all": index.is_none(), "targets": lines}).to_string(), listed)
        };
        connection.write(&answer(200, &[], text.as_bytes())).await?;
        for (uid, state) in listed {
            let standing = match state.as_str() {
                "in_service" => Standing::InService,
                "terminating" => Standing::Terminating,
                _ => Standing::Terminated,
            };
            ledger.write(Event::Listed { uid, standing });
        }
    }
    Ok(())
}

/// Returns the number behind `name` in a request line.
fn number(line: &str, name: &str) -> Option<u64> {
    let rest = line.split(name).nth(1)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// Records notices and answers their request. Returns false if they are not acknowledged.
async fn take_notices(
    connection: &mut Connection,
    request: &HttpMessage,
    state: &Mutex<State>,
    ledger: &Ledger,
) -> io::Result<bool> {
    let acknowledged = {
        let mut state = lock(state);
        state.notice_requests += 1;
        state.drop_nth == 0 || !state.notice_requests.is_multiple_of(state.drop_nth)
    };
    let lines: Option<Vec<Value>> = request
        .body
        .split(|b| *b == b'\n')
        .filter(|l| !l.is_empty())
        .map(|l| serde_json::from_slice(l).ok())
        .collect();
    let Some(lines) = lines else {
        connection.write(&answer(400, &[], b"")).await?;
        return Ok(true);
    };
    for notice in &lines {
        let id = notice["message"].as_str().unwrap_or_default().to_owned();
        let handed_back = notice["outcome"] == "handed_back";
        ledger.write(Event::Notice { id, handed_back, acknowledged });
    }
    if acknowledged {
        connection.write(&answer(204, &[], b"")).await?;
    }
    Ok(acknowledged)
}
