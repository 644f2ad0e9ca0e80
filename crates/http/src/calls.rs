//! Calls to endpoints. A connection carries one call at a time; each message in a call gets its own outcome.

use crate::body_memory::BodyMemory;
use crate::connection::{CancelHandle, Connection, SendError};
use crate::gate_handle::GateHandle;
use crate::idle::{CheckIn, RestingPlace};
use crate::listed::ListedAddresses;
use crate::outcomes::{delivered, end, outcomes};
use crate::own_response::{WaitReports, own_response, rest, settle};
use crate::request::request;
use crate::response::{CallError, CallResponse, read};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep, sleep_until, timeout};
#[cfg(feature = "gate")]
use yarrowhill_engine::CallResult;
use yarrowhill_engine::{AttemptEnd, Call, CallCommand, CallUpdate, Input, Item};
#[cfg(feature = "gate")]
use yarrowhill_policy::api::Micros;
use yarrowhill_policy::api::{MessageId, Outcome};

/// Longest time that the gate may delay a call, which occupies a slot and a connection meanwhile, before its
/// messages return to the decision module.
#[cfg(feature = "gate")]
const MAX_ADMISSION_DELAY: Duration = Duration::from_millis(250);
/// A step that takes longer than expected by this much does so because the process was suspended.
const SUSPEND_THRESHOLD: Duration = Duration::from_millis(100);
/// Time to process what arrived during a suspension: a drain or a wait is read before a byte is written.
const CATCH_UP: Duration = Duration::from_millis(30);
/// Minimum time from a call's first byte to its cancellation. The response is most likely in transit, and
/// what it contains is binding whether it is read or not: a wait counts as announced when it is written.
const MIN_CANCEL_AGE: Duration = Duration::from_millis(250);
/// Where another endpoint can take the messages, a call waits for its connection only for the connect
/// timeout divided by this.
const EARLY_CONNECT_DIVISOR: u32 = 4;

/// What the calls of a pool share.
#[derive(Clone, Debug)]
pub(crate) struct CallContext {
    pub(crate) gate: GateHandle,
    /// Memory for the bodies of responses.
    pub(crate) bodies: Arc<BodyMemory>,
    /// Without it, the engine alone knows the list.
    pub(crate) listed: Option<ListedAddresses>,
}

/// Makes a call, on an idle connection if there is one, and reports its outcomes to the engine. A connection
/// that can be used again is returned to the pool first.
pub(crate) async fn run(
    mut call: Call,
    mut connection: Option<Connection>,
    results: Sender<Input>,
    check_in: CheckIn,
    context: CallContext,
) {
    let CallContext { gate, bodies, listed } = context;
    let (waiting, now) = (std::mem::take(&mut call.items), Instant::now());
    let mut pending = PendingCall {
        call,
        results,
        waiting,
        ended: Vec::new(),
        ended_items: Vec::new(),
        is_late: false,
        is_deferred: false,
        is_batch: false,
        is_new_connection: false,
        cancel_after: now,
        delayed_cancels: Vec::new(),
    };
    #[cfg(feature = "gate")]
    let mut began = Instant::now();
    let (result, is_cancelled) = loop {
        connection = connection.filter(Connection::is_open);
        let is_reused = connection.is_some();
        pending.apply_queued_commands();
        if pending.waiting.is_empty() {
            check_in.put_back(connection);
            return pending.report().await;
        }
        let was_suspended = if is_reused {
            pending.call.decided_at.elapsed() > SUSPEND_THRESHOLD
        } else {
            let limit = pending.call.connect_timeout;
            let connect_wait =
                if pending.call.has_alternative { limit / EARLY_CONNECT_DIVISOR } else { limit };
            let opening = Connection::open(pending.call.address, limit, bodies.clone());
            let mut opening = Box::pin(detect_suspension(opening));
            let opened = timeout(connect_wait, opening.as_mut());
            match pending.wait_for(opened, Stage::Connecting).await {
                Some(Ok((Ok(open), was_suspended))) => {
                    connection = Some(open);
                    was_suspended
                }
                Some(Ok((Err(_), _))) => break (Some(Err(CallError::NeverRan)), false),
                // Another endpoint can take the messages at once. The pool keeps this connection if it opens
                // later.
                Some(Err(_)) => {
                    check_in.put_back_once_open(async move { opening.await.0.ok() });
                    pending.end_matching(Outcome::ConnectFailed, |_| true);
                    return pending.report().await;
                }
                // Nothing was written, and the socket is closed.
                None => return pending.report().await,
            }
        };
        if was_suspended && pending.wait_for(sleep(CATCH_UP), Stage::Connecting).await.is_none() {
            check_in.put_back(connection);
            return pending.report().await;
        }
        #[cfg(feature = "gate")]
        pending.admit(&gate).await;
        // The steps before may have taken any time, and commands may have come just as the connection opened.
        pending.expire(Stage::Connecting, Instant::now());
        pending.apply_queued_commands();
        // Last checks before a byte is written: the process may have been suspended since the decision, and a list
        // may have come that the engine has not applied yet.
        let (address, dest) = (pending.call.address, pending.call.dest);
        let is_listed = listed.as_ref().is_none_or(|listed| listed.contains(address, dest));
        let request = request(&pending.waiting, address).filter(|_| is_listed && gate.may_send());
        let (Some(request), Some(open)) = (request, &mut connection) else {
            // Every attempt must be reported to the engine: one that never ends occupies its slot for ever.
            pending.end_matching(Outcome::NotSent, |_| true);
            check_in.put_back(connection);
            return pending.report().await;
        };
        tracing::debug!(
            endpoint = pending.call.endpoint,
            first = pending.waiting.first().map(|i| &*i.message_id),
            kept = is_reused,
            connection = open.id,
            "written"
        );
        #[cfg(feature = "gate")]
        (began = Instant::now());
        pending.is_batch = pending.waiting.len() > 1;
        pending.is_new_connection = !is_reused;
        pending.cancel_after = Instant::now() + MIN_CANCEL_AGE;
        let begin_by = pending.waiting.iter().map(|i| Stage::Connecting.deadline(i)).min();
        let batch_ids = pending.batch_ids();
        let waits = pending.wait_reports();
        let cancel = open.cancel_handle();
        let (result, is_cancelled) = {
            let mut exchange = pin!(exchange(open, request, begin_by, &batch_ids, &waits));
            match pending.wait_for(exchange.as_mut(), Stage::Written).await {
                Some(result) => (Some(result), false),
                None => (pending.cancel_exchange(exchange, &cancel).await, true),
            }
        };
        match result {
            // Nothing was written: a reused connection turned out to be closed, or the first byte came too
            // late for some messages. Messages that may still begin use another connection; a deferral
            // received meanwhile applies.
            Some(Err(CallError::NotWritten))
                if is_reused || pending.is_deferred || begin_by.is_some_and(|by| by <= Instant::now()) =>
            {
                connection = None;
            }
            result => break (result, is_cancelled),
        }
    };
    #[cfg(feature = "gate")]
    if let Some(result) = call_result(&result, pending.is_late) {
        gate.call_ended(pending.call.dest, began.elapsed(), result);
    }
    if is_cancelled && let Some(open) = connection.take() {
        // On a connection that has carried other calls, the status line may belong to a copy.
        let status = open.status().filter(|_| open.history.is_empty());
        pending.apply_status_line(status);
        open.close().await;
    }
    let Some(result) = result else { return pending.report().await };
    pending.ended.extend(outcomes(&pending.waiting, &result, pending.is_new_connection));
    let reusable = match (result, connection) {
        (Ok(response), Some(open)) if response.is_complete && !response.is_malformed => {
            Some((response, open))
        }
        _ => None,
    };
    // The connection rests before its call's end is reported: the decision module may then ask for idle
    // connections to be closed, and means this one too.
    let place = reusable.is_some().then(|| check_in.begin_rest());
    pending.report().await;
    if let (Some((response, open)), Some(place)) = (reusable, place) {
        pending.settle(open, response, &place, check_in).await;
    }
}

/// Waits for `work`. Returns its result, and whether the process was suspended just before `work` was done.
async fn detect_suspension<T>(work: impl Future<Output = T>) -> (T, bool) {
    let mut work = pin!(work);
    let mut resumed_at: Option<Instant> = None;
    loop {
        let since = Instant::now();
        let done = tokio::select! {
            biased;
            done = &mut work => Some(done),
            () = sleep(SUSPEND_THRESHOLD / 2) => None,
        };
        if since.elapsed() > SUSPEND_THRESHOLD {
            resumed_at = Some(Instant::now());
        }
        if let Some(done) = done {
            return (done, resumed_at.is_some_and(|at| at.elapsed() < CATCH_UP));
        }
    }
}

/// Progress of a call.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// Nothing is written yet: an attempt that ends now never ran.
    Connecting,
    /// The request is being written, or has been.
    Written,
}

/// A call with the attempts whose ends have not been reported.
struct PendingCall {
    call: Call,
    results: Sender<Input>,
    /// Messages that wait for an outcome.
    waiting: Vec<Item>,
    /// Ends to report.
    ended: Vec<AttemptEnd>,
    /// Messages whose ends are in `ended` and come from a timeout or a command.
    ended_items: Vec<Item>,
    /// Whether a message was written and had no response by its deadline.
    is_late: bool,
    /// Whether the engine deferred the call: what is not written yet must not be written.
    is_deferred: bool,
    /// Whether the last request was for several messages.
    is_batch: bool,
    /// Whether the last request was the first one on its connection.
    is_new_connection: bool,
    /// Earliest time at which an attempt of a written call is cancelled.
    cancel_after: Instant,
    /// Attempts to cancel at `cancel_after`.
    delayed_cancels: Vec<(MessageId, usize)>,
}

impl PendingCall {
    /// Waits for `work` while attempts end by their deadlines and by commands. Returns `None` once no message
    /// waits.
    async fn wait_for<T>(&mut self, work: impl Future<Output = T>, stage: Stage) -> Option<T> {
        let mut work = pin!(work);
        loop {
            let until = self.waiting.iter().map(|i| stage.deadline(i)).min()?;
            tokio::select! {
                // A result that is available counts even if its deadline has passed: the process may have
                // been suspended.
                biased;
                done = &mut work => return Some(done),
                () = sleep_until(until) => self.expire(stage, Instant::now()),
                () = sleep_until(self.cancel_after), if !self.delayed_cancels.is_empty() => {
                    for (id, attempt) in std::mem::take(&mut self.delayed_cancels) {
                        self.end_matching(Outcome::Cancelled, |i| (i.id, i.attempt) == (id, attempt));
                    }
                }
                Some(command) = self.call.commands.recv() => self.apply(command, stage),
            }
            // Guards the rule on second copies where none is allowed: the decision module may immediately
            // resend a message whose attempt has ended, while this call still counts as in progress for it.
            // So all attempts end together.
            if !self.call.may_overlap_attempts
                && stage == Stage::Written
                && let Some(outcome) = self.ended.first().map(|end| end.outcome)
            {
                self.end_matching(outcome, |_| true);
            }
            // The last attempts are reported only when the connection is closed: the call occupies its slot
            // until then.
            if !self.waiting.is_empty() {
                self.report().await;
            }
        }
    }

    /// Cancels the exchange and returns a response that was in transit. Guards the rules on waits and on
    /// second copies: a wait counts as announced when it is written, and a delivered message must not be sent
    /// again.
    async fn cancel_exchange(
        &mut self,
        exchange: Pin<&mut impl Future<Output = Result<CallResponse, CallError>>>,
        cancel: &CancelHandle,
    ) -> Option<Result<CallResponse, CallError>> {
        cancel.half_close();
        let response = timeout(cancel.grace, exchange).await.ok()?.ok()?;
        if response.is_provisional {
            // Nothing more can be read that would confirm it. A wait applies in any case.
            self.ended.iter_mut().for_each(|end| end.wait = end.wait.or(response.wait));
            return None;
        }
        // The response decides the outcomes that have not been reported.
        self.ended.clear();
        self.waiting.append(&mut self.ended_items);
        Some(Ok(response))
    }

    /// Reports the final end of a provisional one, lets the connection rest, and returns it to the pool if
    /// nothing has followed the response.
    async fn settle(
        self,
        mut open: Connection,
        response: CallResponse,
        place: &RestingPlace,
        check_in: CheckIn,
    ) {
        let (is_provisional, answered_at) = (response.is_provisional, Instant::now());
        if is_provisional {
            let (within, waits) = (open.history.provisional_for(), self.wait_reports());
            let settled = tokio::select! {
                biased;
                settled = settle(&mut open, response, false, within, &waits) => Some(settled),
                () = place.needed() => None,
            };
            let ended = match &settled {
                Some(settled) => outcomes(&self.waiting, settled, false),
                None => self.waiting.iter().map(delivered).collect(),
            };
            if !open.is_open() {
                // A call that is sent again must not overlap this one.
                open.close().await;
                return self.report_settled(ended).await;
            }
            self.report_settled(ended).await;
        }
        tokio::select! {
            biased;
            () = place.closing() => {}
            () = rest(&mut open, answered_at.elapsed()) => {}
            () = place.needed() => {}
        }
        check_in.put_back_rested(place, open);
    }

    fn wait_reports(&self) -> WaitReports {
        WaitReports { endpoint: self.call.endpoint, results: self.results.clone() }
    }

    async fn report_settled(&self, ended: Vec<AttemptEnd>) {
        let update = CallUpdate { endpoint: self.call.endpoint, ended };
        // The channel is closed only when the process ends.
        let _ = self.results.send(Input::AttemptSettled(update)).await;
    }

    /// Returns the ids of the messages of a batch; none for a single message.
    fn batch_ids(&self) -> Vec<String> {
        let items = if self.is_batch { &self.waiting[..] } else { &[] };
        items.iter().map(|item| item.message_id.clone()).collect()
    }

    fn apply(&mut self, command: CallCommand, stage: Stage) {
        match command {
            CallCommand::Cancel(id, attempt)
                if stage == Stage::Written && Instant::now() < self.cancel_after =>
            {
                self.delayed_cancels.push((id, attempt));
            }
            CallCommand::Cancel(id, attempt) => {
                let outcome = if stage == Stage::Written { Outcome::Cancelled } else { Outcome::NotSent };
                self.end_matching(outcome, |i| (i.id, i.attempt) == (id, attempt));
            }
            CallCommand::Defer => {
                self.is_deferred = true;
                self.apply_deferral(stage);
            }
        }
    }

    /// Ends all attempts of a deferred call that is not written. Guards the rules on waits and drains: a
    /// connection may take the full timeout to open, and a call decided on before would then be written
    /// within a wait, or long after the drain was announced.
    fn apply_deferral(&mut self, stage: Stage) {
        if self.is_deferred && stage == Stage::Connecting {
            self.end_matching(Outcome::NotSent, |_| true);
        }
    }

    /// Applies the commands received so far, before anything is written.
    fn apply_queued_commands(&mut self) {
        while let Ok(command) = self.call.commands.try_recv() {
            self.apply(command, Stage::Connecting);
        }
        // A deferral may have come while the call counted as written, although its first byte was never
        // written.
        self.apply_deferral(Stage::Connecting);
    }

    /// Waits until the limit that several processes share admits the call. Messages that are not admitted
    /// within [`MAX_ADMISSION_DELAY`] return to the decision module: another endpoint's connection, or
    /// another message, may make better use of the slot.
    #[cfg(feature = "gate")]
    async fn admit(&mut self, gate: &GateHandle) {
        let since = Instant::now();
        let mut was_delayed = false;
        let is_retry = self.waiting.iter().all(|item| item.is_retry);
        while let Err(wait) = gate.admit_call(self.call.dest, is_retry, was_delayed) {
            was_delayed = true;
            if since.elapsed() >= MAX_ADMISSION_DELAY {
                let wait = Some(wait.as_micros() as Micros);
                let not_admitted =
                    self.waiting.drain(..).map(|i| AttemptEnd { wait, ..end(&i, Outcome::NotSent) });
                self.ended.extend(not_admitted);
                return;
            }
            if self.wait_for(sleep(wait), Stage::Connecting).await.is_none() {
                return;
            }
        }
    }

    /// Ends the attempts whose deadline at this stage has passed.
    fn expire(&mut self, stage: Stage, now: Instant) {
        let outcome = if stage == Stage::Written { Outcome::TimedOut } else { Outcome::NotSent };
        let before = self.waiting.len();
        self.end_matching(outcome, |i| stage.deadline(i) <= now);
        self.is_late |= stage == Stage::Written && self.waiting.len() < before;
    }

    /// Ends the waiting attempts that match the predicate with `outcome`.
    fn end_matching(&mut self, outcome: Outcome, matches: impl Fn(&Item) -> bool) {
        for item in self.waiting.extract_if(.., |item| matches(item)) {
            self.ended.push(end(&item, outcome));
            self.ended_items.push(item);
        }
    }

    /// Marks a single message as delivered if the status line with 200 has arrived, even if its deadline
    /// passed before the rest of the response.
    fn apply_status_line(&mut self, status: Option<StatusCode>) {
        if let ([end], Some(StatusCode::OK), false) = (&mut self.ended[..], status, self.is_batch) {
            (end.outcome, end.finished) = (Outcome::Delivered, true);
        }
    }

    /// Reports the ends collected so far to the engine.
    async fn report(&mut self) {
        let ended = std::mem::take(&mut self.ended);
        self.ended_items.clear();
        if ended.is_empty() {
            return;
        }
        // The channel is closed only when the process ends.
        let _ =
            self.results.send(Input::CallUpdate(CallUpdate { endpoint: self.call.endpoint, ended })).await;
    }
}

impl Stage {
    /// Returns when an attempt ends for lack of progress at this stage.
    fn deadline(self, item: &Item) -> Instant {
        if self == Stage::Written { item.deadline } else { item.deadline.min(item.begin_by) }
    }
}

/// Returns what the end of a call says about its destination; `None` if the call was cancelled.
#[cfg(feature = "gate")]
fn call_result(result: &Option<Result<CallResponse, CallError>>, is_late: bool) -> Option<CallResult> {
    match result {
        Some(Ok(response)) if response.status == StatusCode::OK => Some(CallResult::Served),
        Some(Ok(CallResponse { wait: Some(wait), .. })) => {
            Some(CallResult::Wait(Duration::from_micros(wait.unsigned_abs())))
        }
        Some(Ok(response))
            if response.status.is_server_error() && response.status != StatusCode::SERVICE_UNAVAILABLE =>
        {
            Some(CallResult::Failed)
        }
        Some(Ok(_)) => Some(CallResult::Refused),
        Some(Err(_)) => Some(CallResult::Failed),
        None => is_late.then_some(CallResult::Failed),
    }
}

/// Sends a call and returns its response. `batch_ids` are those of the messages of a batch.
async fn exchange(
    open: &mut Connection,
    request: Request<Full<Bytes>>,
    begin_by: Option<Instant>,
    batch_ids: &[String],
    waits: &WaitReports,
) -> Result<CallResponse, CallError> {
    let sent_at = Instant::now();
    let is_batch = !batch_ids.is_empty();
    let response = match open.send(request, begin_by).await {
        Ok(response) => read(open, response, is_batch).await,
        // The status line is valid regardless of what followed it.
        Err(SendError::Malformed | SendError::MayHaveArrived)
            if !is_batch && open.status() == Some(StatusCode::OK) =>
        {
            CallResponse::status_only(StatusCode::OK)
        }
        Err(SendError::Malformed) => return Err(CallError::Malformed),
        Err(SendError::NotWritten) => return Err(CallError::NotWritten),
        Err(SendError::MayHaveArrived) => return Err(CallError::MayHaveRun),
    };
    let response = own_response(open, response, batch_ids, waits).await?;
    tracing::debug!(
        connection = open.id,
        status = %response.status,
        provisional = response.is_provisional,
        took = ?sent_at.elapsed(),
        "response"
    );
    open.history.remember(response.fingerprint, sent_at.elapsed());
    Ok(response)
}
