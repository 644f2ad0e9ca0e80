//! The single owner of the decision module and the messages. The engine carries out the module's decisions
//! and reports their results; it decides nothing itself.

mod calls;
mod commit;
mod intake;
mod notices;
mod provisional;

use crate::call::{AttemptEnd, Call, CallCommand, CallUpdate, Item};
use crate::capacity::{CapacityPool, MessageCapacity};
use crate::clock::{Clock, unix_now_ms};
use crate::endpoints::Endpoints;
use crate::input::Input;
use crate::list::EndpointList;
use crate::list_confirmation::ListConfirmation;
use crate::message::{Answer, Notice, Submission};
use crate::quota_shares::QuotaShares;
use crate::transport::Transport;
use provisional::{Provisional, ProvisionalDeliveries};
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{Sender, channel};
use tokio::sync::oneshot;
use tokio::time::Instant;
use yarrowhill_faults::{Point, crash_point};
use yarrowhill_journal::{
    Accepted, Durability, End, Journal, JournalError, NoticeEnd, OpenMessage, Options as JournalOptions,
    Record,
};
use yarrowhill_policy::Balancer;
use yarrowhill_policy::api::{
    Action, EndedAttempt, EndpointId, Event, MessageHistory, MessageId, Micros, Outcome, Settings,
    SubmittedMessage,
};
use yarrowhill_settings::{Names, index_of};

/// Maximum number of clients that may wait for the answer to one message.
const MAX_CLIENTS_PER_MESSAGE: usize = 4;
/// Maximum number of notices in one request.
const MAX_NOTICES_PER_BATCH: usize = 64;
/// Time for which a client waits for its answer (PROTOCOL, "Clients to forwarders"). An accepted message was
/// sent at most this long before it was read, so that it expires at the client at most this much earlier than
/// here.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// [`CLIENT_TIMEOUT`] in the unit of the decision module.
const CLIENT_TIMEOUT_US: Micros = CLIENT_TIMEOUT.as_micros() as Micros;
/// Interval at which a persistent failure of the journal is logged again.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Delay that is reported to clients whose message the journal cannot record at present.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Interval at which shards report their arrivals to each other (microseconds). The division of tenants'
/// quotas is exact except for what arrived since the last report.
const SHARE_REPORT_INTERVAL_US: Micros = 250_000;
/// A call begins at most this long after its connect timeout (microseconds).
const BEGIN_SLACK_US: Micros = 400_000;
/// Age assumed for an attempt that may have run at an unknown time, and largest age of any (microseconds). No
/// destination remembers an idempotency key that long.
const MAX_ATTEMPT_AGE_US: Micros = 365 * 24 * 3600 * 1_000_000;

/// Options of an engine.
#[derive(Debug)]
pub struct Options {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the items that the settings number.
    pub names: Names,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Folder for state that outlasts the process.
    pub state_dir: PathBuf,
    /// Maximum size of the journal.
    pub max_journal_bytes: u64,
    /// Which failures a written turn survives.
    pub durability: Durability,
    /// Endpoint list to start with, as last known.
    pub initial_list: EndpointList,
    /// Place of the engine among the shards of the process; `None` for a single engine.
    pub shard: Option<Shard>,
}

/// One of several engines in a process, with the limits that they share.
#[derive(Clone, Debug)]
pub struct Shard {
    /// Index of the shard, from 0.
    pub index: usize,
    /// Capacity for open messages of all shards together.
    pub capacity: Arc<CapacityPool>,
    /// Division of the tenants' quotas among the shards.
    pub quota_shares: Arc<QuotaShares>,
}

/// A shard's part of the tenants' quotas.
struct TenantQuotas {
    shard: usize,
    quota_shares: Arc<QuotaShares>,
    /// Full quotas (messages a second), by tenant.
    quotas: Vec<f64>,
    /// Messages that arrived since the last report, by tenant.
    counts: Vec<u64>,
    /// Time of the last report to the other shards.
    reported_at: Option<Micros>,
}

struct Message {
    accepted: Accepted,
    expires_at: Micros,
    attempts: usize,
    /// Whether an attempt went beyond the decision: a connection was tried, or a byte written.
    was_tried: bool,
    /// When the first attempt that may have run was sent, and the zone of its endpoint.
    first_possible_run: Option<(Micros, usize)>,
    /// Clients that wait for the answer; none once the message is accepted. A client that repeats a request
    /// on a new connection may be in here twice: both requests must get the same answer.
    clients: Vec<oneshot::Sender<Answer>>,
    is_accepted: bool,
}

impl Message {
    /// Answers all waiting clients. Returns false if none of them received the answer.
    fn answer(&mut self, answer: Answer) -> bool {
        self.clients.drain(..).map(|client| client.send(answer)).filter(Result::is_ok).count() > 0
    }

    /// Notes the end of an attempt that did not finish the message, and returns its record. `zone` is that of
    /// the endpoint.
    fn attempt_ended(
        &mut self,
        attempt: usize,
        outcome: Outcome,
        sent_at: Micros,
        zone: Option<usize>,
    ) -> Record {
        self.was_tried |= outcome != Outcome::NotSent;
        let may_have_run = !outcome.never_ran();
        if may_have_run && self.first_possible_run.is_none() {
            self.first_possible_run = Some((sent_at, zone.unwrap_or(usize::MAX)));
        }
        Record::Ended(self.accepted.id.clone(), attempt, may_have_run)
    }
}

/// An attempt in flight.
struct InFlight {
    sent_at: Micros,
    call: u64,
}

/// A call in flight.
struct OpenCall {
    endpoint: EndpointId,
    /// Time at which the first of its messages expires, and the call with it.
    expires_at: Micros,
    /// Number of its attempts that have not ended.
    remaining: usize,
    commands: Sender<CallCommand>,
    /// Whether the call has been sent [`CallCommand::Defer`].
    is_deferred: bool,
}

/// An attempt that the decision module asked for in this turn.
struct PlannedAttempt {
    id: MessageId,
    attempt: usize,
    endpoint: EndpointId,
    deadline: Micros,
    begin_by: Micros,
}

/// The state of the forwarder, or of one of its shards.
pub struct Engine<T> {
    settings: Settings,
    names: Names,
    balancer: Balancer,
    clock: Clock,
    journal: Journal,
    transport: T,
    messages: HashMap<MessageId, Message>,
    provisional: ProvisionalDeliveries,
    capacity: MessageCapacity,
    /// Present if there are other shards.
    tenants: Option<TenantQuotas>,
    /// Numbers of the open messages, by message id.
    ids: HashMap<String, MessageId>,
    next_id: MessageId,
    endpoints: Endpoints,
    in_flight: HashMap<(MessageId, usize), InFlight>,
    calls: HashMap<u64, OpenCall>,
    next_call: u64,
    pending_notices: Vec<Notice>,
    notice_sender: Sender<Vec<Notice>>,
    inputs: Sender<Input>,
    actions: Vec<Action>,
    /// Events caused by carrying out the last turn's actions, for the next turn.
    events: Vec<Event>,
    wake_at: Option<Micros>,
    /// When a failure of the journal was last logged.
    failure_logged_at: Option<Instant>,
    list_confirmation: ListConfirmation,
}

impl<T: Transport> Engine<T> {
    /// Replays the journal and submits every open message to the decision module again. Updates of calls must
    /// arrive through `inputs`; notices are sent through `notices`, one batch at a time.
    ///
    /// # Errors
    ///
    /// Fails if the journal can't be opened.
    pub fn start(
        options: Options,
        transport: T,
        notices: Sender<Vec<Notice>>,
        inputs: Sender<Input>,
    ) -> Result<Self, JournalError> {
        let journal = JournalOptions { max_bytes: options.max_journal_bytes, durability: options.durability };
        let (journal, recovered) = Journal::open(&options.state_dir, journal, unix_now_ms())?;
        let quotas: Vec<f64> = options.settings.tenants.iter().map(|t| t.quota).collect();
        let capacity = match &options.shard {
            Some(shard) => MessageCapacity::leased(&shard.capacity),
            None => MessageCapacity::fixed(options.settings.max_held_messages),
        };
        let tenants = options.shard.map(|Shard { index, quota_shares, .. }| {
            let counts = vec![0; quotas.len()];
            TenantQuotas { shard: index, quota_shares, quotas, counts, reported_at: None }
        });
        let clock = Clock::new();
        let mut engine = Engine {
            capacity,
            tenants,
            balancer: Balancer::new(options.settings.clone(), options.seed),
            names: options.names,
            list_confirmation: ListConfirmation::at_start(clock.now(), options.settings.must_subscribe),
            settings: options.settings,
            clock,
            journal,
            transport,
            messages: HashMap::new(),
            provisional: ProvisionalDeliveries::default(),
            ids: HashMap::new(),
            next_id: 0,
            endpoints: Endpoints::default(),
            in_flight: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            pending_notices: Vec::new(),
            notice_sender: notices,
            inputs,
            actions: Vec::new(),
            events: Vec::new(),
            wake_at: None,
            failure_logged_at: None,
        };
        let now = engine.clock.now();
        engine.apply_list(now, &options.initial_list);
        for (message_id, end) in recovered.orphans {
            engine.pending_notices.push(Notice { message_id, end });
        }
        recovered.open.into_iter().for_each(|open| engine.resume(now, open));
        // Nothing is sent before the first turn, which may bring the list of discovery's agent.
        engine.finish_turn(now, Vec::new(), false);
        Ok(engine)
    }

    /// Returns the shortest time between two turns.
    pub fn min_turn_interval(&self) -> Duration {
        Duration::from_micros(self.settings.min_turn_interval.max(1000) as u64)
    }

    /// Returns the time at which the next turn is due without further inputs, at most `latest`.
    pub fn next_turn(&self, latest: Instant) -> Instant {
        if !self.events.is_empty() {
            return Instant::now();
        }
        let times = [self.wake_at, self.provisional.next_expiry()];
        let first = times.into_iter().flatten().min();
        first.map_or(latest, |at| self.clock.instant(at).min(latest))
    }

    /// Returns the number of attempts in flight, those among them whose delivery is not confirmed.
    pub fn attempts_in_flight(&self) -> usize {
        self.in_flight.len() + self.provisional.len()
    }

    /// Returns the number of open messages, sent or not.
    pub fn open_messages(&self) -> usize {
        self.messages.len() + self.provisional.len()
    }

    /// Returns whether all records are written to the journal.
    pub fn is_flushed(&self) -> bool {
        self.journal.is_flushed()
    }

    /// Runs one turn. No call starts in it unless `may_send` is true.
    pub fn run_turn(&mut self, batch: Vec<Input>, may_send: bool) {
        let now = self.clock.now();
        for event in std::mem::take(&mut self.events) {
            self.balancer.on_event(now, event, &mut self.actions);
        }
        self.report_shares(now);
        let mut submitted = Vec::new();
        for input in batch {
            match input {
                Input::Submission(message) => submitted.extend(self.receive(now, message)),
                Input::CallUpdate(update) => self.call_update(now, update),
                Input::WaitAnnounced { endpoint, wait } => self.wait_announced(now, endpoint, wait),
                Input::AttemptSettled(update) => self.attempts_settled(now, update),
                Input::List(list) => {
                    self.list_confirmation.confirmed();
                    self.apply_list(now, &list);
                }
                Input::DiscoveryMoved => self.list_confirmation.discovery_moved(now),
                Input::NoticesAcknowledged(batch) => self.notices_acknowledged(batch),
                #[cfg(feature = "senders")]
                Input::Senders(count) => {
                    self.balancer.on_event(now, Event::Senders(count), &mut self.actions);
                }
                Input::Shutdown => {}
            }
        }
        self.expire_provisional(now);
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.balancer.on_event(now, Event::Wake, &mut self.actions);
        }
        self.finish_turn(now, submitted, may_send && self.list_confirmation.allows_sends(now));
    }

    /// Ends a turn: lets the decision module decide, and carries out its actions, in the order final answers,
    /// journal, acceptance, calls, notices.
    fn finish_turn(&mut self, now: Micros, submitted: Vec<MessageId>, may_send: bool) {
        let turn_end = if may_send { Event::TurnEnd } else { Event::TurnEndWithoutSends };
        self.balancer.on_event(now, turn_end, &mut self.actions);
        let mut attempts = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { id, endpoint, timeout, begin_by } => {
                    attempts.extend(self.plan_attempt(now, id, endpoint, timeout, begin_by));
                }
                Action::Refuse { id, wait } => {
                    self.end_undelivered(id, End::Refused, Some(wait).filter(|w| *w > 0));
                }
                Action::Fail { id } => self.end_undelivered(id, End::Failed, None),
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::CloseIdle { endpoint } => self.transport.close_idle(endpoint),
                Action::Wake { at } => {
                    self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
                }
                // The list is watched permanently.
                Action::Subscribe => {}
            }
        }
        self.commit(now, submitted, attempts);
        self.send_notices();
        self.capacity.release_unused(self.open_messages());
        self.transport.prune_idle();
    }

    /// Reports the arrivals at this shard to the others, and its current part of each quota to the decision
    /// module.
    fn report_shares(&mut self, now: Micros) {
        let Some(tenants) = &mut self.tenants else { return };
        let period = tenants.reported_at.map_or(SHARE_REPORT_INTERVAL_US, |at| now - at);
        if period < SHARE_REPORT_INTERVAL_US {
            return;
        }
        tenants.reported_at = Some(now);
        tenants.quota_shares.report(tenants.shard, &tenants.counts, period);
        tenants.counts.fill(0);
        let quotas = tenants.quotas.iter().enumerate();
        let quotas =
            quotas.map(|(t, quota)| quota * tenants.quota_shares.fraction(tenants.shard, t)).collect();
        self.balancer.on_event(now, Event::Quotas(quotas), &mut self.actions);
    }

    fn apply_list(&mut self, now: Micros, list: &EndpointList) {
        let event = self.endpoints.apply(now, list, &self.settings, &self.names, &mut self.transport);
        self.balancer.on_event(now, event, &mut self.actions);
        self.defer_calls(|endpoints, id| !endpoints.get(id).is_some_and(|endpoint| endpoint.in_service));
    }
}
