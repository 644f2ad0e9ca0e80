//! Calls to endpoints: one connection carries one call at a time, and each message in it gets its outcome.

use crate::connection::{self, Broken, Connection, GiveUp};
use crate::pool::{CheckIn, Gated};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep, sleep_until, timeout};
#[cfg(feature = "gate")]
use yarrowhill_engine::CallResult;
use yarrowhill_engine::{AttemptEnd, Call, CallCommand, CallUpdate, Input, Item};
use yarrowhill_policy::api::{LimitReport, MessageId, Micros, Outcome};
use yarrowhill_settings::parse_limit_report;

/// Longest that a call is held back with a slot and a connection before it goes back to the module.
#[cfg(feature = "gate")]
const HELD_MOST: Duration = Duration::from_millis(250);
/// What takes so much longer than it should, takes it because the process was stopped.
const STOPPED: Duration = Duration::from_millis(100);
/// After that so much time is given to what came meanwhile: a drain or a wait is read before a byte leaves.
const CATCH_UP: Duration = Duration::from_millis(30);
/// A call that was written less than so long ago is not cancelled yet. Its answer is most likely on its way, and what it
/// tells binds whether it is read or not: a wait counts as told when it is written.
const HEARD_OUT: Duration = Duration::from_millis(250);
/// Where another endpoint may have the messages, a connection that is not up after this part of its time is not waited
/// for.
const LATE_PART: u32 = 4;
/// Longest answer that is read.
const ANSWER_MOST: usize = 64 << 10;
/// Longest wait that is believed (ms): far longer than any that is meant, and one that was spoilt on its way does
/// not shut a destination out for good.
const WAIT_MOST: f64 = 60_000.0;

/// Makes the call, on an idle connection if there is one, and tells the engine of its outcomes. A connection
/// that can be used again goes to `keep` first.
pub(crate) async fn make(
    mut call: Call,
    mut connection: Option<Connection>,
    results: Sender<Input>,
    gate: Gated,
    check_in: CheckIn,
) {
    let (waiting, now) = (std::mem::take(&mut call.items), Instant::now());
    let mut pending = Pending {
        call,
        results,
        waiting,
        given_up: Vec::new(),
        gone: Vec::new(),
        late: false,
        held: false,
        several: false,
        heard_out: now,
        cancelled: Vec::new(),
    };
    #[cfg(feature = "gate")]
    let mut began = Instant::now();
    let (answer, given_up) = loop {
        connection = connection.filter(Connection::is_open);
        let kept = connection.is_some();
        pending.heed();
        if pending.waiting.is_empty() {
            check_in.now(connection);
            return pending.tell().await;
        }
        let stopped = if kept {
            pending.call.decided_at.elapsed() > STOPPED
        } else {
            let limit = pending.call.connect_timeout;
            let late = if pending.call.has_alternative { limit / LATE_PART } else { limit };
            let mut opening = Box::pin(unstopped(Connection::open(pending.call.address, limit)));
            let up = timeout(late, opening.as_mut());
            match pending.during(up, Stage::Connecting).await {
                Some(Ok((Ok(open), stopped))) => {
                    connection = Some(open);
                    stopped
                }
                Some(Ok((Err(_), _))) => break (Some(Err(Silence::NeverRan)), false),
                // Another endpoint may have the messages at once; this connection is kept if it comes up.
                Some(Err(_)) => {
                    check_in.once_up(async move { opening.await.0.ok() });
                    pending.part(Outcome::ConnectFailed, |_| true);
                    return pending.tell().await;
                }
                // Nothing of it was written, and the socket is gone.
                None => return pending.tell().await,
            }
        };
        if stopped && pending.during(sleep(CATCH_UP), Stage::Connecting).await.is_none() {
            check_in.now(connection);
            return pending.tell().await;
        }
        #[cfg(feature = "gate")]
        pending.admit(&gate).await;
        // However it came to be that late, and whatever was ordered in the very moment in which the connection came up.
        pending.expire(Stage::Connecting, Instant::now());
        pending.heed();
        // The last look before a byte leaves: the process may have been stopped since this was decided.
        let request = request(&pending.waiting, pending.call.address).filter(|_| gate.may_send());
        let (Some(request), Some(open)) = (request, &mut connection) else {
            // Whatever happens, the module hears of each attempt: one that never ends holds its slot for ever.
            pending.part(Outcome::NotSent, |_| true);
            check_in.now(connection);
            return pending.tell().await;
        };
        tracing::debug!(
            endpoint = pending.call.endpoint,
            first = pending.waiting.first().map(|i| &*i.message_id),
            kept,
            "written"
        );
        #[cfg(feature = "gate")]
        (began = Instant::now());
        pending.several = pending.waiting.len() > 1;
        pending.heard_out = Instant::now() + HEARD_OUT;
        let begin_by = pending.waiting.iter().map(|i| Stage::Connecting.ends(i)).min();
        let give_up = open.give_up();
        let (answer, given_up) = {
            let mut exchange = pin!(exchange(open, request, begin_by));
            match pending.during(exchange.as_mut(), Stage::Written).await {
                Some(answer) => (Some(answer), false),
                None => (pending.last_word(exchange, &give_up).await, true),
            }
        };
        match answer {
            // A connection that was kept has turned out to be of no use, or its first byte was too late for some: what may
            // still begin goes by another one, and what was held meanwhile goes back.
            Some(Err(Silence::Unwritten))
                if kept || pending.held || begin_by.is_some_and(|by| by <= Instant::now()) =>
            {
                connection = None;
            }
            answer => break (answer, given_up),
        }
    };
    #[cfg(feature = "gate")]
    if let Some(how) = went(&answer, pending.late) {
        gate.ended(pending.call.dest, began.elapsed(), how);
    }
    if given_up && let Some(open) = connection.take() {
        pending.reconsider(open.status());
        open.close().await;
    }
    if let Some(answer) = answer {
        let whole = answer.as_ref().is_ok_and(|a| a.whole && !a.spoilt);
        check_in.now(connection.filter(|_| whole));
        pending.given_up.extend(outcomes(&pending.waiting, &answer));
    }
    pending.tell().await;
}

/// Waits for `work`, and tells whether the process was stopped just before it was done.
async fn unstopped<T>(work: impl Future<Output = T>) -> (T, bool) {
    let mut work = pin!(work);
    let mut stop: Option<Instant> = None;
    loop {
        let since = Instant::now();
        let done = tokio::select! {
            biased;
            done = &mut work => Some(done),
            () = sleep(STOPPED / 2) => None,
        };
        if since.elapsed() > STOPPED {
            stop = Some(Instant::now());
        }
        if let Some(done) = done {
            return (done, stop.is_some_and(|at| at.elapsed() < CATCH_UP));
        }
    }
}

/// How far a call has come.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// Nothing of it is written yet: what ends now never ran.
    Connecting,
    Written,
}

/// The attempts of a call that have not been told of.
struct Pending {
    call: Call,
    results: Sender<Input>,
    waiting: Vec<Item>,
    given_up: Vec<AttemptEnd>,
    /// The messages of those that were written.
    gone: Vec<Item>,
    /// One of them was written and had no answer in its time.
    late: bool,
    /// Nothing of it that is not written yet may be.
    held: bool,
    /// What was written last was for several messages.
    several: bool,
    /// It is heard out until then.
    heard_out: Instant,
    /// Attempts that are cancelled then.
    cancelled: Vec<(MessageId, usize)>,
}

impl Pending {
    /// Waits for `work`, while attempts end by their time and by order; `None` once no attempt waits for it.
    async fn during<T>(&mut self, work: impl Future<Output = T>, stage: Stage) -> Option<T> {
        let mut work = pin!(work);
        loop {
            let until = self.waiting.iter().map(|i| stage.ends(i)).min()?;
            tokio::select! {
                // What has come counts, also where its time is up by now: the process may have stood still.
                biased;
                done = &mut work => return Some(done),
                () = sleep_until(until) => self.expire(stage, Instant::now()),
                () = sleep_until(self.heard_out), if !self.cancelled.is_empty() => {
                    for (id, attempt) in std::mem::take(&mut self.cancelled) {
                        self.part(Outcome::Cancelled, |i| (i.id, i.attempt) == (id, attempt));
                    }
                }
                Some(order) = self.call.commands.recv() => self.obey(order, stage),
            }
            // Guards the rule on second copies where none is allowed: the module may send an attempt that ended
            // at once again, while this call still counts as out for its message.
            if !self.call.may_overlap_attempts
                && stage == Stage::Written
                && let Some(outcome) = self.given_up.first().map(|end| end.outcome)
            {
                self.part(outcome, |_| true);
            }
            // The last of them is told of only when the connection is closed: it holds the slot till then.
            if !self.waiting.is_empty() {
                self.tell().await;
            }
        }
    }

    /// Gives the call up, and hears what was on its way by then. Guards the rules on waits and on second copies: a wait
    /// counts as told when it is written, and a message that has been delivered must not go out again.
    async fn last_word(
        &mut self,
        exchange: Pin<&mut impl Future<Output = Result<Answer, Silence>>>,
        give_up: &GiveUp,
    ) -> Option<Result<Answer, Silence>> {
        give_up.end_sending();
        let answer = timeout(give_up.last, exchange).await.ok().filter(Result::is_ok);
        if answer.is_some() {
            // It tells how those ended that have not been told of.
            self.given_up.clear();
            self.waiting.append(&mut self.gone);
        }
        answer
    }

    fn obey(&mut self, order: CallCommand, stage: Stage) {
        match order {
            CallCommand::Cancel(id, attempt)
                if stage == Stage::Written && Instant::now() < self.heard_out =>
            {
                self.cancelled.push((id, attempt));
            }
            CallCommand::Cancel(id, attempt) => {
                let outcome = if stage == Stage::Written { Outcome::Cancelled } else { Outcome::NotSent };
                self.part(outcome, |i| (i.id, i.attempt) == (id, attempt));
            }
            CallCommand::Defer => {
                self.held = true;
                self.stay(stage);
            }
        }
    }

    /// Guards the rules on waits and drains: a connection may take its whole time to come up, and what was decided
    /// before would then be written in the midst of the wait, or long after the drain was told.
    fn stay(&mut self, stage: Stage) {
        if self.held && stage == Stage::Connecting {
            self.part(Outcome::NotSent, |_| true);
        }
    }

    /// Obeys what has been ordered by now, before anything is written.
    fn heed(&mut self) {
        while let Ok(order) = self.call.commands.try_recv() {
            self.obey(order, Stage::Connecting);
        }
        // Ordered while the call was thought to be written, and its first byte never left.
        self.stay(Stage::Connecting);
    }

    /// Waits until the limit that several processes share lets the call begin. What can't begin soon goes back: another
    /// endpoint's connection, or another message, may be worth the slot.
    #[cfg(feature = "gate")]
    async fn admit(&mut self, gate: &Gated) {
        let since = Instant::now();
        let mut again = false;
        let further = self.waiting.iter().all(|item| item.is_retry);
        while let Err(wait) = gate.begin(self.call.dest, further, again) {
            again = true;
            if since.elapsed() >= HELD_MOST {
                let wait = Some(wait.as_micros() as Micros);
                let held = self.waiting.drain(..).map(|i| AttemptEnd { wait, ..end(&i, Outcome::NotSent) });
                self.given_up.extend(held);
                return;
            }
            if self.during(sleep(wait), Stage::Connecting).await.is_none() {
                return;
            }
        }
    }

    /// Ends those whose time is up at this stage.
    fn expire(&mut self, stage: Stage, now: Instant) {
        let outcome = if stage == Stage::Written { Outcome::TimedOut } else { Outcome::NotSent };
        let before = self.waiting.len();
        self.part(outcome, |i| stage.ends(i) <= now);
        self.late |= stage == Stage::Written && self.waiting.len() < before;
    }

    /// Moves those that meet the condition to the ended ones.
    fn part(&mut self, outcome: Outcome, gone: impl Fn(&Item) -> bool) {
        for item in self.waiting.extract_if(.., |item| gone(item)) {
            self.given_up.push(end(&item, outcome));
            self.gone.push(item);
        }
    }

    /// A single message whose first line has come is delivered, also where its time was up before the rest came.
    fn reconsider(&mut self, first_line: Option<StatusCode>) {
        if let ([end], Some(StatusCode::OK), false) = (&mut self.given_up[..], first_line, self.several) {
            (end.outcome, end.finished) = (Outcome::Delivered, true);
        }
    }

    async fn tell(&mut self) {
        let ended = std::mem::take(&mut self.given_up);
        self.gone.clear();
        if ended.is_empty() {
            return;
        }
        // The engine is gone only when the process ends.
        let _ =
            self.results.send(Input::CallUpdate(CallUpdate { endpoint: self.call.endpoint, ended })).await;
    }
}

impl Stage {
    /// When the wait for an attempt ends.
    fn ends(self, item: &Item) -> Instant {
        if self == Stage::Written { item.deadline } else { item.deadline.min(item.begin_by) }
    }
}

fn end(item: &Item, outcome: Outcome) -> AttemptEnd {
    AttemptEnd { id: item.id, attempt: item.attempt, outcome, finished: false, report: None, wait: None }
}

/// What a call's end says of its destination; nothing where it was cancelled.
#[cfg(feature = "gate")]
fn went(answer: &Option<Result<Answer, Silence>>, late: bool) -> Option<CallResult> {
    match answer {
        Some(Ok(answer)) if answer.status == StatusCode::OK => Some(CallResult::Served),
        Some(Ok(Answer { wait: Some(wait), .. })) => {
            Some(CallResult::Wait(Duration::from_micros(wait.unsigned_abs())))
        }
        Some(Ok(answer))
            if answer.status.is_server_error() && answer.status != StatusCode::SERVICE_UNAVAILABLE =>
        {
            Some(CallResult::Failed)
        }
        Some(Ok(_)) => Some(CallResult::Refused),
        Some(Err(_)) => Some(CallResult::Failed),
        None => late.then_some(CallResult::Failed),
    }
}

#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

/// The request for one message or for several.
fn request(items: &[Item], to: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let mut request = match items {
        [] => return None,
        [one] => single(one)?,
        several => batch(several)?,
    };
    *request.method_mut() = Method::POST;
    let wait = items.iter().map(|i| i.deadline).max()?.saturating_duration_since(Instant::now());
    let wait = HeaderValue::from(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    request.headers_mut().insert("req-deadline-ms", wait);
    connection::set_host(&mut request, to);
    Some(request)
}

fn single(item: &Item) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(item.body.clone()));
    *request.uri_mut() = Uri::from_static("/hook");
    request.headers_mut().insert("req-id", HeaderValue::from_str(&item.message_id).ok()?);
    if let Some(key) = &item.key {
        request.headers_mut().insert("idempotency-key", HeaderValue::from_str(key).ok()?);
    }
    Some(request)
}

fn batch(items: &[Item]) -> Option<Request<Full<Bytes>>> {
    let list: Vec<BatchItem> = items
        .iter()
        .map(|i| BatchItem { id: &i.message_id, key: i.key.as_deref(), body: STANDARD.encode(&i.body) })
        .collect();
    let text = serde_json::to_vec(&list).ok()?;
    let mut request = Request::new(Full::new(Bytes::from(text)));
    *request.uri_mut() = Uri::from_static("/hook/batch");
    request.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    Some(request)
}

/// What came back.
struct Answer {
    status: StatusCode,
    wait: Option<Micros>,
    no_slot: bool,
    report: Option<LimitReport>,
    /// The end of each message of a batch.
    states: Option<Vec<ItemState>>,
    /// It came to its end, so that the connection can be used again.
    whole: bool,
    /// It can't be made out what it says of the call; a wait or a report in its head holds all the same.
    spoilt: bool,
}

impl Answer {
    /// One of which only the first line is of use.
    fn bare(status: StatusCode) -> Self {
        Answer { status, wait: None, no_slot: false, report: None, states: None, whole: false, spoilt: false }
    }
}

/// Without an answer that can be read: whether the call may have run.
#[derive(Clone, Copy)]
enum Silence {
    /// Nothing of it was written.
    Unwritten,
    NeverRan,
    MayHaveRun,
    /// It may have, and the target has answered.
    Spoilt,
}

async fn exchange(
    open: &mut Connection,
    request: Request<Full<Bytes>>,
    begin_by: Option<Instant>,
) -> Result<Answer, Silence> {
    let several = request.uri().path() == "/hook/batch";
    match open.send(request, begin_by).await {
        Ok(response) => read(response, several).await,
        // The first line says so, whatever became of the rest.
        Err(Broken::Spoilt | Broken::InDoubt) if !several && open.status() == Some(StatusCode::OK) => {
            Ok(Answer::bare(StatusCode::OK))
        }
        Err(Broken::Spoilt) => Err(Silence::Spoilt),
        Err(Broken::Unwritten) => Err(Silence::Unwritten),
        Err(Broken::InDoubt) => Err(Silence::MayHaveRun),
    }
}

/// Reads the answer to its end. One that does not come to it is spoilt: whatever its status says, the call may
/// have run. Only a 200 for one message is true as soon as its first line is there.
async fn read(response: Response<Incoming>, several: bool) -> Result<Answer, Silence> {
    let headers = response.headers();
    let mut answer = Answer {
        wait: text(headers, "wait-ms").and_then(wait),
        no_slot: text(headers, "slots-taken") == Some("1"),
        report: text(headers, "srv-load").and_then(report),
        ..Answer::bare(response.status())
    };
    let body = connection::body(response.into_body(), ANSWER_MOST).await;
    answer.whole = body.is_some();
    if several && answer.status == StatusCode::OK {
        answer.states = body.as_deref().and_then(states);
        answer.spoilt = answer.states.is_none();
    } else {
        answer.spoilt = !answer.whole && answer.status != StatusCode::OK;
    }
    Ok(answer)
}

/// Item by item, so that one that can't be read does not hide the others.
fn states(body: &[u8]) -> Option<Vec<ItemState>> {
    let items: Vec<serde_json::Value> = serde_json::from_slice(body).ok()?;
    Some(items.into_iter().filter_map(|item| serde_json::from_value(item).ok()).collect())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

fn wait(ms: &str) -> Option<Micros> {
    ms.parse::<f64>().ok().filter(|ms| *ms > 0.0).map(|ms| (ms.min(WAIT_MOST) * 1000.0) as Micros)
}

/// What can be read of a load report: one value that can't does not hide the others.
fn report(values: &str) -> Option<LimitReport> {
    let pairs = values.split(',').filter_map(|pair| pair.trim().split_once('='));
    parse_limit_report(pairs.filter(|(_, value)| value.parse().is_ok_and(f64::is_finite)))
}

#[derive(Deserialize)]
struct ItemState {
    id: String,
    state: String,
}

/// The outcome of each message that is still waited for.
fn outcomes(waiting: &[Item], answer: &Result<Answer, Silence>) -> Vec<AttemptEnd> {
    let answer = match answer {
        Ok(answer) => answer,
        Err(Silence::Unwritten | Silence::NeverRan) => {
            return waiting.iter().map(|i| end(i, Outcome::ConnectFailed)).collect();
        }
        Err(Silence::MayHaveRun) => return waiting.iter().map(|i| end(i, Outcome::Reset)).collect(),
        Err(Silence::Spoilt) => return waiting.iter().map(|i| end(i, Outcome::Malformed)).collect(),
    };
    let ended = waiting.iter().map(|item| {
        let mut states = answer.states.iter().flatten();
        let state = states.find(|s| s.id == item.message_id).map(|s| s.state.as_str());
        let (outcome, finished) = outcome(answer, state);
        // A wait binds beside every outcome: it may come with messages that were all accepted.
        AttemptEnd { finished, report: answer.report, wait: answer.wait, ..end(item, outcome) }
    });
    let mut ended: Vec<AttemptEnd> = ended.collect();
    // The module judges a call by the last end that it hears of it: a few accepted messages must not hide
    // that the rest were turned away or failed.
    ended.sort_by_key(|e| match e.outcome {
        Outcome::Delivered => 0,
        Outcome::NotSent => 1,
        Outcome::Full { .. } => 2,
        _ => 3,
    });
    ended
}

/// The outcome, and whether the message is over.
fn outcome(answer: &Answer, state: Option<&str>) -> (Outcome, bool) {
    let full = Outcome::Full { wait: answer.wait };
    match answer.status {
        _ if answer.spoilt => (Outcome::Malformed, false),
        StatusCode::OK if answer.states.is_some() => match state {
            Some("accepted") => (Outcome::Delivered, true),
            Some("deferred") => (full, false),
            Some("expired") => (Outcome::NotSent, true),
            Some("no_more") => (Outcome::NotSent, false),
            // A fault, or nothing that can be read: it may have run.
            _ => (Outcome::Error, false),
        },
        StatusCode::OK => (Outcome::Delivered, true),
        StatusCode::SERVICE_UNAVAILABLE if answer.no_slot => (Outcome::NotSent, false),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => (full, false),
        StatusCode::GONE => (Outcome::NotSent, true),
        StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
            (Outcome::NotSent, false)
        }
        _ => (Outcome::Error, false),
    }
}
