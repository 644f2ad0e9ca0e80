//! The one owner of the decision module and the messages. It carries out what the module decides and reports
//! what came of it; it decides nothing itself.

mod calls;
mod commit;
mod intake;
mod notices;

use crate::call::{AttemptEnd, Call, CallCommand, CallUpdate, Item};
use crate::capacity::{CapacityPool, MessageCapacity};
use crate::clock::{Clock, unix_now_ms};
use crate::endpoints::Endpoints;
use crate::input::Input;
use crate::list::EndpointList;
use crate::message::{Answer, Notice, Submission};
use crate::quota_shares::QuotaShares;
use crate::transport::Transport;
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

/// Clients that may wait for the answer to one message.
const SAME_MOST: usize = 4;
/// Notices in one request.
const NOTICES_MOST: usize = 64;
/// A client waits so long for its answer (PROTOCOL, "Clients to forwarders"): a message that was taken on was sent
/// no longer before it was read, and its time is up that much before ours at the most (microseconds).
const CLIENT_WAITS: Micros = 400_000;
/// A failure that goes on is told again after this time.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// When a client is to come again whose message the journal has no room for now.
const AGAIN: Duration = Duration::from_secs(1);
/// Shards tell each other what came in this often (microseconds): owners' shares are exact but for what came since.
const TELL_SHARES: Micros = 250_000;
/// A call begins no later than this after its connection had to be up (microseconds).
const BEGIN_SLACK: Micros = 400_000;
/// Nothing is sent before discovery's agent has said what it has, or has kept silent for so long (microseconds): it may
/// have told the process before this one of a drain that the configuration does not know of.
const FIRST_WORD: Micros = 500_000;
/// What may have run at no known time ran long ago (microseconds): no destination remembers its key.
const LONG_AGO: Micros = 365 * 24 * 3600 * 1_000_000;

/// What an engine is told at its start.
#[derive(Debug)]
pub struct Options {
    /// The settings of the decision module.
    pub settings: Settings,
    /// Names that go with the settings' numbers.
    pub names: Names,
    /// For random numbers.
    pub seed: u64,
    /// The folder that outlasts the process.
    pub state_dir: PathBuf,
    /// Bytes that the journal may take there.
    pub max_journal_bytes: u64,
    /// What a written turn outlasts.
    pub durability: Durability,
    /// The list of endpoints as it was last known.
    pub initial_list: EndpointList,
    /// Its place among several engines, if it has others beside it.
    pub shard: Option<Shard>,
}

/// One of several engines, and what it shares with the others.
#[derive(Clone, Debug)]
pub struct Shard {
    /// Which of them, from 0 on.
    pub index: usize,
    /// Messages that all together may hold.
    pub capacity: Arc<CapacityPool>,
    /// What they tell each other of the owners.
    pub quota_shares: Arc<QuotaShares>,
}

/// What one of several engines knows of the owners.
struct Owners {
    shard: usize,
    quota_shares: Arc<QuotaShares>,
    /// Their whole shares (messages a second).
    quotas: Vec<f64>,
    /// What came in since the others were last told.
    counts: Vec<u64>,
    /// When they were last told.
    told: Option<Micros>,
}

struct Message {
    accepted: Accepted,
    give_up_at: Micros,
    attempts: usize,
    /// One of them was more than decided on: a connection was tried, or a byte written.
    tried: bool,
    /// Clients that wait for the answer; none once the message is taken on. A client that sends a request
    /// once more on a new connection may meet itself: both must hear the same.
    clients: Vec<oneshot::Sender<Answer>>,
    taken_on: bool,
}

impl Message {
    /// Tells whoever waits. False if nobody heard it.
    fn answer(&mut self, answer: Answer) -> bool {
        self.clients.drain(..).map(|client| client.send(answer)).filter(Result::is_ok).count() > 0
    }
}

/// An attempt that is out.
struct InFlight {
    sent: Micros,
    call: u64,
}

/// A call that is out.
struct CallOut {
    endpoint: EndpointId,
    /// The time of a message in it is up then, and with it the call's.
    ends: Micros,
    /// Attempts of it that have not ended.
    left: usize,
    commands: Sender<CallCommand>,
    /// It has been told that nothing more of it may be written.
    held: bool,
}

struct Send {
    id: MessageId,
    attempt: usize,
    endpoint: EndpointId,
    until: Micros,
    begin_by: Micros,
}

/// Everything the forwarder knows.
pub struct Engine<T> {
    settings: Settings,
    names: Names,
    balancer: Balancer,
    clock: Clock,
    journal: Journal,
    transport: T,
    messages: HashMap<MessageId, Message>,
    capacity: MessageCapacity,
    owners: Option<Owners>,
    ids: HashMap<String, MessageId>,
    next_id: MessageId,
    endpoints: Endpoints,
    in_flight: HashMap<(MessageId, usize), InFlight>,
    calls: HashMap<u64, CallOut>,
    next_call: u64,
    owed: Vec<Notice>,
    notices: Sender<Vec<Notice>>,
    inputs: Sender<Input>,
    actions: Vec<Action>,
    /// What came of the last turn's actions themselves.
    events: Vec<Event>,
    wake: Option<Micros>,
    /// When a failure of the journal was last told.
    told_failure: Option<Instant>,
    /// Until then nothing is sent, while discovery's agent has said nothing in the life of this process.
    word_by: Option<Micros>,
}

impl<T: Transport> Engine<T> {
    /// Replays the journal and hands every open message back to the module. Ends of calls are to come back by
    /// `inputs`; notices go out by `notices`, one batch at a time.
    ///
    /// # Errors
    ///
    /// The journal can't be opened.
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
        let owners = options.shard.map(|Shard { index, quota_shares, .. }| {
            let counts = vec![0; quotas.len()];
            Owners { shard: index, quota_shares, quotas, counts, told: None }
        });
        let mut engine = Engine {
            capacity,
            owners,
            balancer: Balancer::new(options.settings.clone(), options.seed),
            settings: options.settings,
            names: options.names,
            clock: Clock::new(),
            journal,
            transport,
            messages: HashMap::new(),
            ids: HashMap::new(),
            next_id: 0,
            endpoints: Endpoints::default(),
            in_flight: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            owed: Vec::new(),
            notices,
            inputs,
            actions: Vec::new(),
            events: Vec::new(),
            wake: None,
            told_failure: None,
            word_by: None,
        };
        let now = engine.clock.now();
        // Where discovery has to be asked, many do, and what is known has to do.
        engine.word_by = (!engine.settings.must_subscribe).then_some(now + FIRST_WORD);
        engine.list(now, &options.initial_list);
        for (message_id, end) in recovered.orphans {
            engine.owed.push(Notice { message_id, end });
        }
        recovered.open.into_iter().for_each(|open| engine.resume(now, open));
        // Nothing is sent yet: what was known may be old.
        engine.finish_turn(now, Vec::new(), false);
        Ok(engine)
    }

    /// Least time between two turns.
    pub fn min_turn_interval(&self) -> Duration {
        Duration::from_micros(self.settings.min_turn_interval.max(1000) as u64)
    }

    /// When the next turn is due, whatever comes in: no later than `latest`.
    pub fn next_turn(&self, latest: Instant) -> Instant {
        if !self.events.is_empty() {
            return Instant::now();
        }
        let first = self.wake.into_iter().chain(self.word_by).min();
        first.map_or(latest, |at| self.clock.instant(at).min(latest))
    }

    /// Attempts that are out.
    pub fn attempts_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Messages that are held, sent or not.
    pub fn open_messages(&self) -> usize {
        self.messages.len()
    }

    /// Whether all that was noted stands in the journal.
    pub fn is_flushed(&self) -> bool {
        self.journal.is_flushed()
    }

    /// Takes one turn; without `sending` no call starts in it.
    pub fn run_turn(&mut self, batch: Vec<Input>, sending: bool) {
        let now = self.clock.now();
        for event in std::mem::take(&mut self.events) {
            self.balancer.on_event(now, event, &mut self.actions);
        }
        self.tell_shares(now);
        let mut fresh = Vec::new();
        for input in batch {
            match input {
                Input::Submission(message) => fresh.extend(self.hand_in(now, message)),
                Input::CallUpdate(news) => self.call_end(now, news),
                Input::List(list) => {
                    self.word_by = None;
                    self.list(now, &list);
                }
                Input::NoticesAcknowledged(batch) => self.noticed(batch),
                #[cfg(feature = "senders")]
                Input::Senders(n) => self.balancer.on_event(now, Event::Senders(n), &mut self.actions),
                Input::Shutdown => {}
            }
        }
        self.word_by = self.word_by.filter(|by| now < *by);
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            self.balancer.on_event(now, Event::Wake, &mut self.actions);
        }
        self.finish_turn(now, fresh, sending && self.word_by.is_none());
    }

    /// Lets the module decide, and carries that out: final answers, journal, acceptance, calls, notices.
    fn finish_turn(&mut self, now: Micros, fresh: Vec<MessageId>, sending: bool) {
        // Sends are decided at the end of a turn: without it, none start.
        if sending {
            self.balancer.on_event(now, Event::TurnEnd, &mut self.actions);
        }
        let mut sends = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { id, endpoint, timeout, begin_by } => {
                    sends.extend(self.prepare(now, id, endpoint, timeout, begin_by));
                }
                Action::Refuse { id, wait } => {
                    self.give_up(id, End::Refused, Some(wait).filter(|w| *w > 0));
                }
                Action::Fail { id } => self.give_up(id, End::Failed, None),
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::CloseIdle { endpoint } => self.transport.close_idle(endpoint),
                Action::Wake { at } => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
                // The list is watched all the time.
                Action::Subscribe => {}
            }
        }
        self.commit(now, fresh, sends);
        self.pass_on_notices();
        self.capacity.settle(self.messages.len());
        self.transport.prune_idle();
    }

    /// Tells the other engines what came in to this one, and the module which part of each share is its own now.
    fn tell_shares(&mut self, now: Micros) {
        let Some(owners) = &mut self.owners else { return };
        let span = owners.told.map_or(TELL_SHARES, |told| now - told);
        if span < TELL_SHARES {
            return;
        }
        owners.told = Some(now);
        owners.quota_shares.report(owners.shard, &owners.counts, span);
        owners.counts.fill(0);
        let quotas = owners.quotas.iter().enumerate();
        let quotas =
            quotas.map(|(owner, quota)| quota * owners.quota_shares.fraction(owners.shard, owner)).collect();
        self.balancer.on_event(now, Event::Quotas(quotas), &mut self.actions);
    }

    fn list(&mut self, now: Micros, list: &EndpointList) {
        let event = self.endpoints.apply(now, list, &self.settings, &self.names, &mut self.transport);
        self.balancer.on_event(now, event, &mut self.actions);
        self.hold_calls(|endpoints, endpoint| !endpoints.get(endpoint).is_some_and(|t| t.serves));
    }
}
