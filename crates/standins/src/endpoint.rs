//! A destination's endpoint.

use crate::ledger::Ledger;
use crate::rng::Rng;
use crate::wire::{Read, Wire, answer};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use yarrowhill_checker::{CallEnd, Event};

/// How an answer can be spoilt (or brings more than belongs to it).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Malformed {
    /// Bytes that are no answer.
    #[serde(rename = "Noise")]
    Garbage,
    /// A first line that says 200, and a head that can't be read.
    #[serde(rename = "Head")]
    UnparsableHead,
    /// A head that does not end.
    EndlessHead,
    /// A length longer than what comes.
    #[serde(rename = "Length")]
    ShortBody,
    /// A body that is said to have 3 GB, and keeps coming.
    #[serde(rename = "Huge")]
    HugeBody,
    /// The front of a good answer, and no more.
    #[serde(rename = "Cut")]
    Truncated,
    /// A good answer with noise right behind.
    #[serde(rename = "NoiseBehind")]
    TrailingGarbage,
    /// A good answer with a load report that can't be read.
    #[serde(rename = "Report")]
    UnparsableReport,
    /// A good answer behind interim ones.
    #[serde(rename = "Interim")]
    InterimResponses,
}

impl Malformed {
    /// All of them.
    pub const ALL: [Malformed; 9] = [
        Malformed::Garbage,
        Malformed::UnparsableHead,
        Malformed::EndlessHead,
        Malformed::ShortBody,
        Malformed::HugeBody,
        Malformed::Truncated,
        Malformed::TrailingGarbage,
        Malformed::UnparsableReport,
        Malformed::InterimResponses,
    ];
}

/// The shares of calls that fare in each way; what is left is served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// Answered with a fault: it may have run.
    pub error: f64,
    /// Answered with something spoilt.
    #[serde(rename = "spoilt")]
    pub malformed: f64,
    /// Never answered; the connection stays open.
    pub silent: f64,
    /// Answered when the time of the first message in the call is just up: it counts for none.
    pub late: f64,
    /// The connection is reset before the call is answered.
    pub reset: f64,
    /// A good answer, and the same again right behind.
    #[serde(rename = "copy")]
    pub duplicate: f64,
    /// Such a copy comes after up to so long (ms), unless another call has begun by then.
    #[serde(rename = "copy_after")]
    pub duplicate_within_ms: f64,
    /// Of a batch, some items are turned away, faulty or over.
    pub mixed: f64,
    /// Answered in the last moments before the time of the first message is up.
    #[serde(rename = "last_moment")]
    pub just_in_time: f64,
}

/// What the endpoints of one destination share: its limit, its outage, its pace.
#[derive(Clone, Debug)]
pub struct Destination {
    number: u64,
    state: Arc<Mutex<State>>,
    ledger: Ledger,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: Rng,
    /// Usual time of a call (ms).
    pace: f64,
    /// Calls a second.
    limit: f64,
    /// Share of refusals that tell a wait.
    tells: f64,
    allowance: f64,
    filled: f64,
    /// A wait that was told holds until then: nothing is let through that comes before.
    down: Option<Down>,
    /// When it came back, and how long it takes to be warm (ms).
    back: Option<(f64, f64)>,
    /// When the time of each message is up, as its client has it.
    deadlines: std::collections::HashMap<String, f64>,
}

/// How a destination is down.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Down {
    /// It refuses all, and tells a wait until it is back (ms, run time).
    Shut(f64),
    /// It answers nothing.
    Silent,
}

impl Destination {
    /// One that takes `limit` calls a second, each `pace` ms.
    pub fn new(number: u64, pace: f64, limit: f64, faults: Faults, rng: Rng, ledger: Ledger) -> Self {
        let state = State {
            faults,
            rng,
            pace,
            limit,
            tells: 0.7,
            allowance: limit / 2.0,
            filled: ledger.now(),
            down: None,
            back: None,
            deadlines: Default::default(),
        };
        Destination { number, state: Arc::new(Mutex::new(state)), ledger }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells when the time of a message is up: a late answer is timed by it.
    pub fn set_deadline(&self, id: &str, up: f64) {
        self.lock().deadlines.insert(id.to_owned(), up);
    }

    /// It is down for `span` ms from now: shut (refusing all) or silent. Then it is back, cold.
    pub fn go_down(&self, shut: bool, span: f64) {
        let until = self.ledger.now() + span;
        let mut state = self.lock();
        state.down = Some(if shut { Down::Shut(until) } else { Down::Silent });
        let capacity = state.limit;
        drop(state);
        self.ledger.write(Event::Outage { dest: self.number, back: false, capacity });
    }

    /// It is back, and warm after `warm` ms.
    pub fn recover(&self, warm: f64) {
        let now = self.ledger.now();
        let mut state = self.lock();
        state.down = None;
        state.back = Some((now, warm));
        let capacity = state.limit;
        drop(state);
        self.ledger.write(Event::Outage { dest: self.number, back: true, capacity });
    }

    /// Ends all faults, so that what is open can end.
    pub fn clear_faults(&self) {
        self.lock().faults = Faults::default();
    }
}

/// What an endpoint makes of one call.
enum Fate {
    Serve,
    Refuse(Option<f64>),
    Error,
    Spoil(Malformed),
    Silent,
    Late,
    LastMoment,
    Reset,
    Copy,
    Mixed,
}

impl State {
    fn fate(&mut self, now: f64, batch: bool) -> Fate {
        match self.down {
            Some(Down::Shut(until)) => return Fate::Refuse(Some((until - now).max(1.0))),
            Some(Down::Silent) => return Fate::Silent,
            None => {}
        }
        let warm = self.back.map_or(1.0, |(at, span)| (0.17 + 0.83 * (now - at) / span).clamp(0.17, 1.0));
        self.allowance = (self.allowance + (now - self.filled) / 1000.0 * self.limit * warm)
            .min((self.limit * warm / 2.0).max(2.0));
        self.filled = now;
        if self.allowance < 1.0 {
            let wait = (1.0 - self.allowance) / (self.limit * warm) * 1000.0 + 50.0;
            let tells = self.tells;
            return Fate::Refuse(self.rng.random_bool(tells).then_some(wait));
        }
        self.allowance -= 1.0;
        let mut drawn = self.rng.random::<f64>();
        let mut falls = |share: f64| {
            drawn -= share;
            drawn < 0.0
        };
        let f = self.faults.clone();
        if falls(f.error) {
            Fate::Error
        } else if falls(f.malformed) {
            Fate::Spoil(Malformed::ALL[self.rng.random_range(0..Malformed::ALL.len())])
        } else if falls(f.silent) {
            Fate::Silent
        } else if falls(f.late) {
            Fate::Late
        } else if falls(f.reset) {
            Fate::Reset
        } else if falls(f.duplicate) {
            Fate::Copy
        } else if falls(f.just_in_time) {
            Fate::LastMoment
        } else if batch && falls(f.mixed) {
            Fate::Mixed
        } else {
            Fate::Serve
        }
    }
}

/// One endpoint that listens. Dropped, it is gone with all its connections.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name in the list.
    pub uid: String,
    /// Where it listens.
    pub addr: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Endpoint {
    /// Listens at `at` (a port of 0: any), for a destination.
    ///
    /// # Errors
    ///
    /// The address can't be had.
    pub async fn start(uid: &str, at: SocketAddr, dest: &Destination) -> io::Result<Self> {
        let listener = TcpListener::bind(at).await?;
        let addr = listener.local_addr()?;
        let (dest, name) = (dest.clone(), uid.to_owned());
        let accepting = tokio::spawn(async move {
            let mut tasks = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (dest, name) = (dest.clone(), name.clone());
                tasks.spawn(async move {
                    // A connection that breaks ends its task, whatever it was about.
                    let _ = serve(Wire::new(stream), &name, &dest).await;
                });
                while tasks.try_join_next().is_some() {}
            }
        });
        Ok(Endpoint { uid: uid.to_owned(), addr, accepting })
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// One call as it was read.
struct Call<'a> {
    number: u64,
    ids: Vec<String>,
    batch: bool,
    dest: &'a Destination,
}

impl Call<'_> {
    fn answered(&self, end: CallEnd, wait_ms: Option<f64>) {
        let ends = self.ids.iter().map(|id| (id.clone(), end)).collect();
        self.dest.ledger.write(Event::Answered { call: self.number, ends, wait_ms });
    }

    fn broke(&self) {
        self.dest.ledger.write(Event::Broke { call: self.number });
    }

    /// Body and headers of a good answer.
    fn good(&self) -> Vec<u8> {
        let report = [("Srv-Load", format!("x0=0.5,x1={:.3}", self.dest.lock().limit))];
        let body = if self.batch { self.states(|_| "accepted") } else { Vec::new() };
        answer(200, &report, &body)
    }

    fn states(&self, state: impl Fn(usize) -> &'static str) -> Vec<u8> {
        let items = self.ids.iter().enumerate().map(|(n, id)| json!({"id": id, "state": state(n)}));
        Value::Array(items.collect()).to_string().into_bytes()
    }

    /// When the time of its first message is up.
    fn up(&self) -> f64 {
        let state = self.dest.lock();
        let ups = self.ids.iter().filter_map(|id| state.deadlines.get(id).copied());
        ups.fold(f64::INFINITY, f64::min)
    }
}

/// A call that begins so soon after a copy (ms) may have crossed it.
const CROSSES: f64 = 5.0;

/// What becomes of a connection.
enum Next {
    /// It carries another call.
    Call,
    /// The same, and the last answer has just been sent once more.
    CopySent,
    Reset,
}

async fn serve(mut wire: Wire, uid: &str, dest: &Destination) -> io::Result<()> {
    let mut copied: Option<f64> = None;
    loop {
        if !wire.begins().await? {
            return Ok(());
        }
        let number = dest.ledger.next_call();
        dest.ledger.write(Event::Began { call: number, uid: uid.to_owned(), dest: dest.number });
        let request = wire.read().await?;
        let (ids, batch) = ids(&request);
        dest.ledger.write(Event::Called {
            call: number,
            uid: uid.to_owned(),
            dest: dest.number,
            ids: ids.clone(),
        });
        let call = Call { number, ids, batch, dest };
        if copied.take().is_some_and(|at| dest.ledger.now() < at + CROSSES) {
            // It may have been written before the copy came, and nothing tells the copy from its answer: so that is
            // what the answer says.
            call.answered(CallEnd::Delivered, None);
            wire.write(&call.good()).await?;
            continue;
        }
        match answer_to(&mut wire, &call).await {
            Ok(Next::Call) => {}
            Ok(Next::CopySent) => copied = Some(dest.ledger.now()),
            Ok(Next::Reset) => {
                wire.reset();
                return Ok(());
            }
            Err(e) => {
                call.broke();
                return Err(e);
            }
        }
    }
}

fn ids(request: &Read) -> (Vec<String>, bool) {
    if !request.line.starts_with("POST /hook/batch ") {
        return (request.header("req-id").map(str::to_owned).into_iter().collect(), false);
    }
    let items: Vec<Value> = serde_json::from_slice(&request.body).unwrap_or_default();
    (items.iter().filter_map(|item| item["id"].as_str()).map(str::to_owned).collect(), true)
}

/// Answers a call.
async fn answer_to(wire: &mut Wire, call: &Call<'_>) -> io::Result<Next> {
    let dest = call.dest;
    let now = dest.ledger.now();
    let (fate, pace) = {
        let mut state = dest.lock();
        let spread = state.rng.random_range(0.6..1.6);
        (state.fate(now, call.batch), state.pace * spread)
    };
    if let Fate::Refuse(wait) = fate {
        let headers: Vec<_> = wait.iter().map(|w| ("Wait-Ms", format!("{w:.0}"))).collect();
        let status = if wait.is_some() { 429 } else { 503 };
        wire.write(&answer(status, &headers, b"")).await?;
        call.answered(CallEnd::NeverRan, wait);
        return Ok(Next::Call);
    }
    if !matches!(fate, Fate::Silent | Fate::Late | Fate::LastMoment) && !waited(wire, pace).await {
        call.broke();
        return Ok(Next::Reset);
    }
    match fate {
        Fate::Refuse(_) => {}
        Fate::Serve => {
            wire.write(&call.good()).await?;
            call.answered(CallEnd::Delivered, None);
        }
        Fate::Error => {
            wire.write(&answer(500, &[], b"")).await?;
            call.answered(CallEnd::MayHaveRun, None);
        }
        Fate::Reset => {
            call.broke();
            return Ok(Next::Reset);
        }
        Fate::Silent => {
            while !wire.closed().await {}
            call.broke();
            return Ok(Next::Reset);
        }
        Fate::Late | Fate::LastMoment => {
            let up = call.up();
            let at = if matches!(fate, Fate::Late) { up + 5.0 } else { up - 30.0 };
            let left = (at - dest.ledger.now()).clamp(0.0, 20_000.0);
            if !waited(wire, left).await {
                call.broke();
                return Ok(Next::Reset);
            }
            let good = call.good();
            wire.write(&good).await?;
            call.answered(CallEnd::Delivered, None);
        }
        Fate::Copy => {
            let good = call.good();
            let after = {
                let mut state = dest.lock();
                let most = state.faults.duplicate_within_ms;
                if most > 0.0 { state.rng.random_range(0.0..most) } else { 0.0 }
            };
            if after == 0.0 {
                wire.write(&[&good[..], &good].concat()).await?;
                call.answered(CallEnd::Delivered, None);
            } else {
                wire.write(&good).await?;
                call.answered(CallEnd::Delivered, None);
                // Where another call waits there is no copy: nothing would tell it from that call's answer.
                let next = timeout(Duration::from_secs_f64(after / 1000.0), wire.begins()).await;
                if next.is_err() {
                    wire.write(&good).await?;
                    return Ok(Next::CopySent);
                }
            }
        }
        Fate::Mixed => {
            let body = call.states(|n| ["accepted", "deferred", "fault", "expired"][n % 4]);
            wire.write(&answer(200, &[], &body)).await?;
            let end =
                |n: usize| [CallEnd::Delivered, CallEnd::NeverRan, CallEnd::MayHaveRun, CallEnd::Over][n % 4];
            let ends = call.ids.iter().enumerate().map(|(n, id)| (id.clone(), end(n))).collect();
            dest.ledger.write(Event::Answered { call: call.number, ends, wait_ms: None });
        }
        Fate::Spoil(how) => return spoil(wire, call, how).await,
    }
    Ok(Next::Call)
}

/// Works on a call. False if the other side closed meanwhile.
async fn waited(wire: &mut Wire, ms: f64) -> bool {
    timeout(Duration::from_secs_f64(ms / 1000.0), wire.closed()).await.is_err()
}

async fn spoil(wire: &mut Wire, call: &Call<'_>, how: Malformed) -> io::Result<Next> {
    let good = call.good();
    // For one message a first line with 200 is true, whatever follows.
    let by_line = if call.batch { CallEnd::MayHaveRun } else { CallEnd::Delivered };
    let (bytes, end): (Vec<u8>, CallEnd) = match how {
        Malformed::Garbage => (b"\x00\x01\xffno answer\r\n\r\n".to_vec(), CallEnd::MayHaveRun),
        Malformed::UnparsableHead => (b"HTTP/1.1 200 OK\r\n\x00: \x01\r\n\r\n".to_vec(), by_line),
        Malformed::EndlessHead => (b"HTTP/1.1 200 OK\r\nA: ".to_vec(), by_line),
        Malformed::ShortBody => (b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nshort".to_vec(), by_line),
        Malformed::HugeBody => (b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n".to_vec(), by_line),
        Malformed::Truncated => (good[..good.len() * 2 / 3].to_vec(), by_line),
        Malformed::TrailingGarbage => ([&good[..], b"\x00noise"].concat(), CallEnd::Delivered),
        Malformed::UnparsableReport => {
            let body = if call.batch { call.states(|_| "accepted") } else { Vec::new() };
            let report = [("Srv-Load", "x0=\u{fffd},x1=NaN,=,".to_owned())];
            (answer(200, &report, &body), CallEnd::Delivered)
        }
        Malformed::InterimResponses => {
            let ahead = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n";
            ([&ahead[..], &good].concat(), CallEnd::Delivered)
        }
    };
    wire.write(&bytes).await?;
    call.answered(end, None);
    match how {
        Malformed::UnparsableReport | Malformed::InterimResponses => return Ok(Next::Call),
        Malformed::HugeBody => {
            // As long as anybody reads it, and no longer than a second.
            for _ in 0..100 {
                wire.write(&[b'x'; 8192]).await?;
                sleep(Duration::from_millis(10)).await;
            }
        }
        _ => {}
    }
    // The connection stays open and is of no further use.
    while !wire.closed().await {}
    Ok(Next::Reset)
}
