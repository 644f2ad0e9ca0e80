//! The platform's agent: the list of endpoints, watches, and notices.

use crate::ledger::Ledger;
use crate::wire::{Read, Wire, answer};
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

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointLine {
    /// Its name.
    pub uid: String,
    /// Its address.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub az: String,
    /// Its kind.
    pub model: String,
    /// Its destination.
    pub pod_group: u64,
    /// How it stands.
    pub state: String,
    /// Its weight.
    pub capacity_hint: f64,
    /// When it started.
    pub boot_ms: u64,
}

impl EndpointLine {
    /// An endpoint in service, in zone `a`.
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
    /// The version at which each line last changed.
    changed: BTreeMap<String, u64>,
    rev: u64,
    /// Answers nothing to watches, and notices only below.
    silent: bool,
    /// Share of notices that are read and not acknowledged, every nth.
    drop_notices: u64,
    notices: u64,
}

/// A stand-in for discovery that listens. Clones share it.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    news: Arc<watch::Sender<u64>>,
    ledger: Ledger,
    _accepting: Arc<Guard>,
}

#[derive(Debug)]
struct Guard(JoinHandle<()>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Discovery {
    /// Starts one with a list.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start(lines: Vec<EndpointLine>, ledger: Ledger) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let changed = lines.iter().map(|l| (l.uid.clone(), 1)).collect();
        let lines = lines.into_iter().map(|l| (l.uid.clone(), l)).collect();
        let state = State { lines, changed, rev: 1, silent: false, drop_notices: 0, notices: 0 };
        let state = Arc::new(Mutex::new(state));
        let news = Arc::new(watch::channel(1).0);
        let (s, n, l) = (state.clone(), news.clone(), ledger.clone());
        let accepting = tokio::spawn(async move {
            let mut tasks = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (s, n, l) = (s.clone(), n.clone(), l.clone());
                tasks.spawn(async move {
                    // A connection that breaks ends its task.
                    let _ = serve(Wire::new(stream), &s, &n, &l).await;
                });
                while tasks.try_join_next().is_some() {}
            }
        });
        let guard = Arc::new(Guard(accepting));
        Ok(Discovery { addr, state, news, ledger, _accepting: guard })
    }

    /// Another agent with the same list, at another address; the notices of both go to the same ledger.
    ///
    /// # Errors
    ///
    /// No port can be had.
    pub async fn start_replica(&self) -> io::Result<Self> {
        Discovery::start(self.lines(), self.ledger.clone()).await
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The list as it stands.
    pub fn lines(&self) -> Vec<EndpointLine> {
        self.lock().lines.values().cloned().collect()
    }

    /// Its version.
    pub fn rev(&self) -> u64 {
        self.lock().rev
    }

    /// Adds a line or changes it.
    pub fn set_line(&self, line: EndpointLine) {
        let mut state = self.lock();
        state.rev += 1;
        let rev = state.rev;
        state.changed.insert(line.uid.clone(), rev);
        state.lines.insert(line.uid.clone(), line);
        drop(state);
        self.news.send_replace(rev);
    }

    /// Changes how an endpoint stands: `in_service`, `terminating` or `terminated`.
    pub fn set_state(&self, uid: &str, state: &str) {
        let line = self.lock().lines.get(uid).cloned();
        if let Some(line) = line {
            self.set_line(EndpointLine { state: state.to_owned(), ..line });
        }
    }

    /// Whether it is silent from now on; notices are acknowledged all the same.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
        self.news.send_modify(|_| {});
    }

    /// Every nth request with notices breaks off unacknowledged; 0: none.
    pub fn drop_notices(&self, nth: u64) {
        self.lock().drop_notices = nth;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(
    mut wire: Wire,
    state: &Mutex<State>,
    news: &watch::Sender<u64>,
    ledger: &Ledger,
) -> io::Result<()> {
    while wire.begins().await? {
        let request = wire.read().await?;
        if request.line.starts_with("POST /v1/notices ") {
            if !notices(&mut wire, &request, state, ledger).await? {
                wire.reset();
                return Ok(());
            }
            continue;
        }
        let (index, wait) = (number(&request.line, "index="), number(&request.line, "wait="));
        if let (Some(index), Some(wait)) = (index, wait) {
            let mut at = news.subscribe();
            let newer = async {
                loop {
                    let ready = {
                        let state = lock(state);
                        state.rev > index && !state.silent
                    };
                    if ready || at.changed().await.is_err() {
                        return;
                    }
                }
            };
            let _ = timeout(Duration::from_millis(wait.min(60_000)), newer).await;
        }
        while lock(state).silent {
            sleep(Duration::from_millis(20)).await;
        }
        let (text, told) = {
            let state = lock(state);
            let fresh = |uid: &str| index.is_none_or(|i| state.changed.get(uid).is_some_and(|c| *c > i));
            let lines: Vec<&EndpointLine> = state.lines.values().filter(|l| fresh(&l.uid)).collect();
            // Only changes name what is gone.
            let lines: Vec<&EndpointLine> =
                lines.into_iter().filter(|l| index.is_some() || l.state != "terminated").collect();
            let told: Vec<(String, String)> =
                lines.iter().map(|l| (l.uid.clone(), l.state.clone())).collect();
            (json!({"rev": state.rev, "all": index.is_none(), "targets": lines}).to_string(), told)
        };
        wire.write(&answer(200, &[], text.as_bytes())).await?;
        for (uid, state) in told {
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

fn number(line: &str, name: &str) -> Option<u64> {
    let rest = line.split(name).nth(1)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// Takes in notices. False if they are not acknowledged.
async fn notices(wire: &mut Wire, request: &Read, state: &Mutex<State>, ledger: &Ledger) -> io::Result<bool> {
    let acknowledged = {
        let mut state = lock(state);
        state.notices += 1;
        state.drop_notices == 0 || !state.notices.is_multiple_of(state.drop_notices)
    };
    let lines: Option<Vec<Value>> = request
        .body
        .split(|b| *b == b'\n')
        .filter(|l| !l.is_empty())
        .map(|l| serde_json::from_slice(l).ok())
        .collect();
    let Some(lines) = lines else {
        wire.write(&answer(400, &[], b"")).await?;
        return Ok(true);
    };
    for notice in &lines {
        let id = notice["message"].as_str().unwrap_or_default().to_owned();
        let handed_back = notice["outcome"] == "handed_back";
        ledger.write(Event::Notice { id, handed_back, acknowledged });
    }
    if acknowledged {
        wire.write(&answer(204, &[], b"")).await?;
    }
    Ok(acknowledged)
}
