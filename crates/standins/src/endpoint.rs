//! Stand-ins for the endpoints of destinations.

use crate::ledger::Ledger;
use crate::rng::Rng;
use crate::wire::{Connection, HttpMessage, answer};
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

/// Ways in which an answer is malformed or carries more than it should.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Malformed {
    /// Bytes that are not an HTTP answer.
    #[serde(rename = "Noise")]
    Garbage,
    /// A status line with 200, and a head that cannot be parsed.
    #[serde(rename = "Head")]
    UnparsableHead,
    /// A head that does not end.
    EndlessHead,
    /// A body shorter than its `Content-Length`.
    #[serde(rename = "Length")]
    ShortBody,
    /// A body with a `Content-Length` of 3 GB that keeps coming.
    #[serde(rename = "Huge")]
    HugeBody,
    /// The first part of a valid answer.
    #[serde(rename = "Cut")]
    Truncated,
    /// A valid answer followed immediately by bytes that are not HTTP.
    #[serde(rename = "NoiseBehind")]
    TrailingGarbage,
    /// A valid answer with a load report that cannot be parsed.
    #[serde(rename = "Report")]
    UnparsableReport,
    /// A valid answer after interim (1xx) answers.
    #[serde(rename = "Interim")]
    InterimResponses,
}

impl Malformed {
    /// All kinds.
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

/// Shares of the calls that fail in each way. The other calls are served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// Share answered with status 500: the message may have run.
    pub error: f64,
    /// Share answered with a malformed answer.
    #[serde(rename = "spoilt")]
    pub malformed: f64,
    /// Share never answered, on a connection that stays open.
    pub silent: f64,
    /// Share answered just after the earliest deadline in the call: the delivery counts for no message.
    pub late: f64,
    /// Share whose connection is reset before the call is answered.
    pub reset: f64,
    /// Share with a valid answer that is sent twice.
    #[serde(rename = "copy")]
    pub duplicate: f64,
    /// Maximum delay of the second answer (ms). It is sent even if another call has begun by then.
    #[serde(rename = "copy_after")]
    pub duplicate_within_ms: f64,
    /// Share of the batches in which some items are deferred, failed or expired.
    pub mixed: f64,
    /// Share answered just before the earliest deadline in the call.
    #[serde(rename = "last_moment")]
    pub just_in_time: f64,
    /// Share of all answers, refusals and errors among them, that are written a second time within
    /// `duplicate_within_ms`.
    #[serde(rename = "copy_any", default, skip_serializing_if = "is_zero")]
    pub duplicate_any: f64,
}

fn is_zero(share: &f64) -> bool {
    *share == 0.0
}

/// State that the endpoints of one destination share: its rate limit, its outage, its latency.
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
    /// Usual duration of a call (ms).
    latency: f64,
    /// Rate limit (calls a second).
    limit: f64,
    /// Share of the refusals that return a wait.
    wait_share: f64,
    /// Tokens of the rate limit's bucket.
    tokens: f64,
    /// When the bucket was last refilled (ms).
    refilled_at: f64,
    /// The present outage.
    down: Option<Down>,
    /// When the last outage ended, and the duration of the warm-up (ms).
    recovered: Option<(f64, f64)>,
    /// Deadline of each message (ms since the start of the run), as its client has it.
    deadlines: std::collections::HashMap<String, f64>,
}

/// Behaviour of a destination during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Down {
    /// The destination refuses all calls and returns a wait until this time (ms since the start of the run).
    #[serde(rename = "Shut")]
    Refusing(f64),
    /// The destination does not answer.
    Silent,
}

impl Destination {
    /// Returns a destination that takes `limit` calls a second, each for about `latency` ms.
    pub fn new(number: u64, latency: f64, limit: f64, faults: Faults, rng: Rng, ledger: Ledger) -> Self {
        let state = State {
            faults,
            rng,
            latency,
            limit,
            wait_share: 0.7,
            tokens: limit / 2.0,
            refilled_at: ledger.now(),
            down: None,
            recovered: None,
            deadlines: Default::default(),
        };
        Destination { number, state: Arc::new(Mutex::new(state)), ledger }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the deadline of a message (ms since the start of the run), by which late and just-in-time answers
    /// are timed.
    pub fn set_deadline(&self, id: &str, deadline: f64) {
        self.lock().deadlines.insert(id.to_owned(), deadline);
    }

    /// Begins an outage in which the destination refuses all calls or does not answer. Refusals return a wait
    /// that ends `duration` ms from now; the outage itself ends with [`Destination::recover`].
    pub fn go_down(&self, refuses: bool, duration: f64) {
        let until = self.ledger.now() + duration;
        let mut state = self.lock();
        state.down = Some(if refuses { Down::Refusing(until) } else { Down::Silent });
        let capacity = state.limit;
        drop(state);
        self.ledger.write(Event::Outage { dest: self.number, back: false, capacity });
    }

    /// Ends the outage. The destination has its full capacity after `warm_up` ms.
    pub fn recover(&self, warm_up: f64) {
        let now = self.ledger.now();
        let mut state = self.lock();
        state.down = None;
        state.recovered = Some((now, warm_up));
        let capacity = state.limit;
        drop(state);
        self.ledger.write(Event::Outage { dest: self.number, back: true, capacity });
    }

    /// Ends all faults, so that messages in progress can end.
    pub fn clear_faults(&self) {
        self.lock().faults = Faults::default();
    }
}

/// What an endpoint does with one call.
enum Reaction {
    Serve,
    Refuse(Option<f64>),
    Error,
    Malformed(Malformed),
    Silent,
    Late,
    JustInTime,
    Reset,
    Duplicate,
    Mixed,
}

impl State {
    /// Draws the delay of a second answer.
    fn duplicate_delay(&mut self) -> Duration {
        let max = self.faults.duplicate_within_ms;
        let delay_ms = if max > 0.0 { self.rng.random_range(0.0..max) } else { 0.0 };
        Duration::from_secs_f64(delay_ms / 1000.0)
    }

    /// Draws whether an answer of any kind is written a second time, and when.
    fn draw_duplicate(&mut self) -> Option<Duration> {
        let share = self.faults.duplicate_any;
        (share > 0.0 && self.rng.random_bool(share)).then(|| self.duplicate_delay())
    }

    fn react(&mut self, now: f64, batch: bool) -> Reaction {
        match self.down {
            Some(Down::Refusing(until)) => return Reaction::Refuse(Some((until - now).max(1.0))),
            Some(Down::Silent) => return Reaction::Silent,
            None => {}
        }
        let warm =
            self.recovered.map_or(1.0, |(at, warm_up)| (0.17 + 0.83 * (now - at) / warm_up).clamp(0.17, 1.0));
        self.tokens = (self.tokens + (now - self.refilled_at) / 1000.0 * self.limit * warm)
            .min((self.limit * warm / 2.0).max(2.0));
        self.refilled_at = now;
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / (self.limit * warm) * 1000.0 + 50.0;
            let wait_share = self.wait_share;
            return Reaction::Refuse(self.rng.random_bool(wait_share).then_some(wait));
        }
        self.tokens -= 1.0;
        let mut drawn = self.rng.random::<f64>();
        let mut hits = |share: f64| {
            drawn -= share;
            drawn < 0.0
        };
        let faults = self.faults.clone();
        if hits(faults.error) {
            Reaction::Error
        } else if hits(faults.malformed) {
            Reaction::Malformed(Malformed::ALL[self.rng.random_range(0..Malformed::ALL.len())])
        } else if hits(faults.silent) {
            Reaction::Silent
        } else if hits(faults.late) {
            Reaction::Late
        } else if hits(faults.reset) {
            Reaction::Reset
        } else if hits(faults.duplicate) {
            Reaction::Duplicate
        } else if hits(faults.just_in_time) {
            Reaction::JustInTime
        } else if batch && hits(faults.mixed) {
            Reaction::Mixed
        } else {
            Reaction::Serve
        }
    }
}

/// A running endpoint. Dropping it closes its listener and all its connections.
#[derive(Debug)]
pub struct Endpoint {
    /// Uid of the endpoint in the list.
    pub uid: String,
    /// Address that the endpoint listens on.
    pub addr: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Endpoint {
    /// Starts an endpoint of a destination that listens at `at` (port 0 for any port).
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
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
                    // An error on a connection ends only its task.
                    let _ = serve(Connection::new(stream), &name, &dest).await;
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

/// A call that was read.
struct Call<'a> {
    number: u64,
    ids: Vec<String>,
    batch: bool,
    dest: &'a Destination,
}

impl Call<'_> {
    fn record_answer(&self, end: CallEnd, wait_ms: Option<f64>) {
        let ends = self.ids.iter().map(|id| (id.clone(), end)).collect();
        self.dest.ledger.write(Event::Answered { call: self.number, ends, wait_ms });
    }

    fn record_break(&self) {
        self.dest.ledger.write(Event::Broke { call: self.number });
    }

    /// Returns the bytes of a valid answer.
    fn valid_answer(&self) -> Vec<u8> {
        let report = [("Srv-Load", format!("x0=0.5,x1={:.3}", self.dest.lock().limit))];
        let body = if self.batch { self.item_states(|_| "accepted") } else { Vec::new() };
        answer(200, &report, &body)
    }

    /// Returns the body of a batch's answer, with a state for each item by its position.
    fn item_states(&self, state: impl Fn(usize) -> &'static str) -> Vec<u8> {
        let items = self.ids.iter().enumerate().map(|(n, id)| json!({"id": id, "state": state(n)}));
        Value::Array(items.collect()).to_string().into_bytes()
    }

    /// Returns the earliest deadline of the call's messages (ms since the start of the run).
    fn deadline(&self) -> f64 {
        let state = self.dest.lock();
        let deadlines = self.ids.iter().filter_map(|id| state.deadlines.get(id).copied());
        deadlines.fold(f64::INFINITY, f64::min)
    }
}

/// What to do with a connection after a call.
enum Next {
    /// Wait for another call.
    Call,
    /// Reset the connection.
    Reset,
}

async fn serve(mut connection: Connection, uid: &str, dest: &Destination) -> io::Result<()> {
    loop {
        if !connection.await_first_byte().await? {
            return Ok(());
        }
        let number = dest.ledger.next_call();
        dest.ledger.write(Event::Began { call: number, uid: uid.to_owned(), dest: dest.number });
        let request = connection.read().await?;
        let (ids, batch) = message_ids(&request);
        dest.ledger.write(Event::Called {
            call: number,
            uid: uid.to_owned(),
            dest: dest.number,
            ids: ids.clone(),
        });
        let call = Call { number, ids, batch, dest };
        match answer_to(&mut connection, &call).await {
            Ok(Next::Call) => {}
            Ok(Next::Reset) => {
                connection.reset();
                return Ok(());
            }
            Err(e) => {
                call.record_break();
                return Err(e);
            }
        }
    }
}

/// Returns the ids of the messages in a request, and whether it is a batch.
fn message_ids(request: &HttpMessage) -> (Vec<String>, bool) {
    if !request.line.starts_with("POST /hook/batch ") {
        return (request.header("req-id").map(str::to_owned).into_iter().collect(), false);
    }
    let items: Vec<Value> = serde_json::from_slice(&request.body).unwrap_or_default();
    (items.iter().filter_map(|item| item["id"].as_str()).map(str::to_owned).collect(), true)
}

/// Reacts to a call, and records how it ended. Answers are recorded before they are written: the peer may act on
/// an answer before this task runs again.
async fn answer_to(connection: &mut Connection, call: &Call<'_>) -> io::Result<Next> {
    let dest = call.dest;
    let now = dest.ledger.now();
    let (reaction, duration) = {
        let mut state = dest.lock();
        let spread = state.rng.random_range(0.6..1.6);
        (state.react(now, call.batch), state.latency * spread)
    };
    if let Reaction::Refuse(wait) = reaction {
        let headers: Vec<_> = wait.iter().map(|w| ("Wait-Ms", format!("{w:.0}"))).collect();
        let status = if wait.is_some() { 429 } else { 503 };
        call.record_answer(CallEnd::NeverRan, wait);
        write_answer(connection, call, answer(status, &headers, b"")).await?;
        return Ok(Next::Call);
    }
    if !matches!(reaction, Reaction::Silent | Reaction::Late | Reaction::JustInTime)
        && !serve_for(connection, duration).await
    {
        call.record_break();
        return Ok(Next::Reset);
    }
    match reaction {
        Reaction::Refuse(_) => {}
        Reaction::Serve => {
            call.record_answer(CallEnd::Delivered, None);
            write_answer(connection, call, call.valid_answer()).await?;
        }
        Reaction::Error => {
            call.record_answer(CallEnd::MayHaveRun, None);
            write_answer(connection, call, answer(500, &[], b"")).await?;
        }
        Reaction::Reset => {
            call.record_break();
            return Ok(Next::Reset);
        }
        Reaction::Silent => {
            while !connection.await_close().await {}
            call.record_break();
            return Ok(Next::Reset);
        }
        Reaction::Late | Reaction::JustInTime => {
            let deadline = call.deadline();
            let at = if matches!(reaction, Reaction::Late) { deadline + 5.0 } else { deadline - 30.0 };
            let left = (at - dest.ledger.now()).clamp(0.0, 20_000.0);
            if !serve_for(connection, left).await {
                call.record_break();
                return Ok(Next::Reset);
            }
            let valid = call.valid_answer();
            connection.write(&valid).await?;
            call.record_answer(CallEnd::Delivered, None);
        }
        Reaction::Duplicate => {
            let valid = call.valid_answer();
            let delay = dest.lock().duplicate_delay();
            if delay.is_zero() {
                connection.write(&[&valid[..], &valid].concat()).await?;
            } else {
                connection.write(&valid).await?;
                connection.write_later(delay, valid);
            }
            call.record_answer(CallEnd::Delivered, None);
        }
        Reaction::Mixed => {
            let body = call.item_states(|n| ["accepted", "deferred", "fault", "expired"][n % 4]);
            let end =
                |n: usize| [CallEnd::Delivered, CallEnd::NeverRan, CallEnd::MayHaveRun, CallEnd::Over][n % 4];
            let ends = call.ids.iter().enumerate().map(|(n, id)| (id.clone(), end(n))).collect();
            dest.ledger.write(Event::Answered { call: call.number, ends, wait_ms: None });
            write_answer(connection, call, answer(200, &[], &body)).await?;
        }
        Reaction::Malformed(kind) => return answer_malformed(connection, call, kind).await,
    }
    Ok(Next::Call)
}

/// Writes an answer, and perhaps a second time later.
async fn write_answer(connection: &mut Connection, call: &Call<'_>, answer: Vec<u8>) -> io::Result<()> {
    connection.write(&answer).await?;
    if let Some(delay) = call.dest.lock().draw_duplicate() {
        connection.write_later(delay, answer);
    }
    Ok(())
}

/// Waits while a call is served. Returns false if the peer closed the connection or sent more bytes
/// meanwhile.
async fn serve_for(connection: &mut Connection, ms: f64) -> bool {
    timeout(Duration::from_secs_f64(ms / 1000.0), connection.await_close()).await.is_err()
}

/// Sends a malformed answer, and records what it says of the messages as far as it can be read.
async fn answer_malformed(connection: &mut Connection, call: &Call<'_>, kind: Malformed) -> io::Result<Next> {
    let valid = call.valid_answer();
    // For a single message the status line alone decides.
    let by_status = if call.batch { CallEnd::MayHaveRun } else { CallEnd::Delivered };
    let (bytes, end): (Vec<u8>, CallEnd) = match kind {
        Malformed::Garbage => (b"\x00\x01\xffno answer\r\n\r\n".to_vec(), CallEnd::MayHaveRun),
        Malformed::UnparsableHead => (b"HTTP/1.1 200 OK\r\n\x00: \x01\r\n\r\n".to_vec(), by_status),
        Malformed::EndlessHead => (b"HTTP/1.1 200 OK\r\nA: ".to_vec(), by_status),
        Malformed::ShortBody => (b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nshort".to_vec(), by_status),
        Malformed::HugeBody => (b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n".to_vec(), by_status),
        Malformed::Truncated => (valid[..valid.len() * 2 / 3].to_vec(), by_status),
        Malformed::TrailingGarbage => ([&valid[..], b"\x00noise"].concat(), CallEnd::Delivered),
        Malformed::UnparsableReport => {
            let body = if call.batch { call.item_states(|_| "accepted") } else { Vec::new() };
            let report = [("Srv-Load", "x0=\u{fffd},x1=NaN,=,".to_owned())];
            (answer(200, &report, &body), CallEnd::Delivered)
        }
        Malformed::InterimResponses => {
            let ahead = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n";
            ([&ahead[..], &valid].concat(), CallEnd::Delivered)
        }
    };
    call.record_answer(end, None);
    connection.write(&bytes).await?;
    match kind {
        Malformed::UnparsableReport | Malformed::InterimResponses => return Ok(Next::Call),
        Malformed::HugeBody => {
            // Until the peer closes the connection, for at most a second.
            for _ in 0..100 {
                connection.write(&[b'x'; 8192]).await?;
                sleep(Duration::from_millis(10)).await;
            }
        }
        _ => {}
    }
    // The connection stays open, without serving further calls.
    while !connection.await_close().await {}
    Ok(Next::Reset)
}
