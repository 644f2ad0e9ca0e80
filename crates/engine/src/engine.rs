//! The one owner of the decision module and the messages. It carries out what the module decides and reports
//! what came of it; it decides nothing itself.

use crate::call::{AttemptEnd, Call, CallEnd, Item, Order};
use crate::clock::{Clock, unix_now};
use crate::endpoints::Endpoints;
use crate::input::Input;
use crate::list::EndpointList;
use crate::message::{Answer, Notice, Submission};
use crate::room::{Room, RoomPool};
use crate::shares::Shares;
use crate::transport::Transport;
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{Sender, channel};
use tokio::sync::oneshot;
use tokio::time::Instant;
use yarrowhill_faults::{Point, pass};
use yarrowhill_journal::{
    Accepted, Durability, End, Journal, JournalError, NoticeEnd, OpenMessage, Options as JournalOptions,
    Record,
};
use yarrowhill_policy::Balancer;
use yarrowhill_policy::api::{
    Action, Ended, EndpointId, Event, MessageId, Micros, Outcome, Past, Settings, Submit,
};
use yarrowhill_settings::{Names, index};

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
    pub state: PathBuf,
    /// Bytes that the journal may take there.
    pub journal_limit: u64,
    /// What a written turn outlasts.
    pub durability: Durability,
    /// The list of endpoints as it was last known.
    pub known: EndpointList,
    /// Its place among several engines, if it has others beside it.
    pub shard: Option<Shard>,
}

/// One of several engines, and what it shares with the others.
#[derive(Clone, Debug)]
pub struct Shard {
    /// Which of them, from 0 on.
    pub number: usize,
    /// Messages that all together may hold.
    pub pool: Arc<RoomPool>,
    /// What they tell each other of the owners.
    pub shares: Arc<Shares>,
}

/// What one of several engines knows of the owners.
struct Owners {
    shard: usize,
    shares: Arc<Shares>,
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
    orders: Sender<Order>,
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
    room: Room,
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
        let journal = JournalOptions { limit: options.journal_limit, durability: options.durability };
        let (journal, recovered) = Journal::open(&options.state, journal, unix_now())?;
        let quotas: Vec<f64> = options.settings.tenants.iter().map(|t| t.quota).collect();
        let room = match &options.shard {
            Some(shard) => Room::leased(&shard.pool),
            None => Room::own(options.settings.open_cap),
        };
        let owners = options.shard.map(|Shard { number, shares, .. }| {
            let counts = vec![0; quotas.len()];
            Owners { shard: number, shares, quotas, counts, told: None }
        });
        let mut engine = Engine {
            room,
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
        };
        let now = engine.clock.now();
        engine.list(now, &options.known);
        for (message, end) in recovered.orphans {
            engine.owed.push(Notice { message, end });
        }
        recovered.open.into_iter().for_each(|open| engine.resume(now, open));
        engine.finish_turn(now, Vec::new(), true);
        Ok(engine)
    }

    /// Least time between two turns.
    pub fn round(&self) -> Duration {
        Duration::from_micros(self.settings.round.max(1000) as u64)
    }

    /// When the next turn is due, whatever comes in: no later than `latest`.
    pub fn next_turn(&self, latest: Instant) -> Instant {
        if !self.events.is_empty() {
            return Instant::now();
        }
        self.wake.map_or(latest, |at| self.clock.instant(at).min(latest))
    }

    /// Attempts that are out.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Messages that are held, sent or not.
    pub fn open_messages(&self) -> usize {
        self.messages.len()
    }

    /// Whether all that was noted stands in the journal.
    pub fn is_settled(&self) -> bool {
        self.journal.is_settled()
    }

    /// Takes one turn; without `sending` no call starts in it.
    pub fn turn(&mut self, batch: Vec<Input>, sending: bool) {
        let now = self.clock.now();
        for event in std::mem::take(&mut self.events) {
            self.balancer.on_event(now, event, &mut self.actions);
        }
        self.tell_shares(now);
        let mut fresh = Vec::new();
        for input in batch {
            match input {
                Input::Submission(message) => fresh.extend(self.hand_in(now, message)),
                Input::Call(news) => self.call_end(now, news),
                Input::List(list) => self.list(now, &list),
                Input::Noticed(batch) => self.noticed(batch),
                #[cfg(feature = "senders")]
                Input::Senders(n) => self.balancer.on_event(now, Event::Senders(n), &mut self.actions),
                Input::Close => {}
            }
        }
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            self.balancer.on_event(now, Event::Wake, &mut self.actions);
        }
        self.finish_turn(now, fresh, sending);
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
                Action::Close { endpoint } => self.transport.close_idle(endpoint),
                Action::Wake { at } => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
                // The list is watched all the time.
                Action::Subscribe => {}
            }
        }
        self.commit(now, fresh, sends);
        self.pass_on_notices();
        self.room.settle(self.messages.len());
        self.transport.sweep();
    }

    /// Tells the other engines what came in to this one, and the module which part of each share is its own now.
    fn tell_shares(&mut self, now: Micros) {
        let Some(owners) = &mut self.owners else { return };
        let span = owners.told.map_or(TELL_SHARES, |told| now - told);
        if span < TELL_SHARES {
            return;
        }
        owners.told = Some(now);
        owners.shares.tell(owners.shard, &owners.counts, span);
        owners.counts.fill(0);
        let quotas = owners.quotas.iter().enumerate();
        let quotas = quotas.map(|(owner, quota)| quota * owners.shares.part(owners.shard, owner)).collect();
        self.balancer.on_event(now, Event::Quotas(quotas), &mut self.actions);
    }

    fn list(&mut self, now: Micros, list: &EndpointList) {
        let event = self.endpoints.apply(now, list, &self.settings, &self.names, &mut self.transport);
        self.balancer.on_event(now, event, &mut self.actions);
    }

    // ---- Intake ----

    /// Gives a message to the module, unless its end is known or the forwarder holds all that it may.
    fn hand_in(&mut self, now: Micros, message: Submission) -> Option<MessageId> {
        let Submission { id: name, class, tenant, dest, key, body, deadline, answer } = message;
        if let Some(open) = self.ids.get(&name).and_then(|id| self.messages.get_mut(id))
            && !open.taken_on
        {
            // Guards the memory: any number of clients may name the same message.
            if open.clients.len() < SAME_MOST {
                open.clients.push(answer);
            } else {
                let _ = answer.send(Answer::Refused(None));
            }
            return None;
        }
        let known = match self.journal.end_of(&name) {
            Some((End::Delivered, _)) => Some(Answer::Delivered),
            Some((End::Failed, _)) => Some(Answer::Failed),
            Some((End::Refused, _)) => Some(Answer::Refused(None)),
            None if self.ids.contains_key(&name) => Some(Answer::Accepted),
            None if !self.room.admits(self.messages.len()) => Some(Answer::Refused(None)),
            None => None,
        };
        let class_name = self.names.classes.get(class).cloned();
        let tenant_name = tenant.and_then(|t| self.names.tenants.get(t).cloned());
        let (None, Some(class_name)) = (known, class_name) else {
            // A client that has left needs no answer.
            let _ = answer.send(known.unwrap_or(Answer::Refused(None)));
            return None;
        };
        if let Some(count) = self.owners.as_mut().zip(tenant).and_then(|(o, t)| o.counts.get_mut(t)) {
            *count += 1;
        }
        let give_up_at = self.clock.micros(deadline);
        let left = u64::try_from((give_up_at - now) / 1000).unwrap_or(0);
        let accepted = Accepted {
            id: name,
            class: class_name,
            tenant: tenant_name,
            dest,
            key,
            deadline: unix_now() + left,
            body,
        };
        let message = Message {
            accepted,
            give_up_at,
            attempts: 0,
            tried: false,
            clients: vec![answer],
            taken_on: false,
        };
        Some(self.submit(now, message, class, tenant, Past::default()))
    }

    fn submit(
        &mut self,
        now: Micros,
        message: Message,
        class: usize,
        tenant: Option<usize>,
        past: Past,
    ) -> MessageId {
        let (dest, give_up_at) = (message.accepted.dest, message.give_up_at);
        tracing::debug!(id = %message.accepted.id, class, dest, left = give_up_at - now, ?past, "taken");
        let id = self.hold(message);
        let submit = Submit { id, class, tenant, key: None, give_up_at, dest, past };
        self.balancer.on_event(now, Event::Submit(submit), &mut self.actions);
        id
    }

    fn hold(&mut self, message: Message) -> MessageId {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(message.accepted.id.clone(), id);
        self.messages.insert(id, message);
        id
    }

    /// Takes up a message of an earlier process.
    fn resume(&mut self, now: Micros, open: OpenMessage) {
        let OpenMessage { accepted, attempts, owed, in_doubt } = open;
        if let Some(end) = owed {
            return self.owed.push(Notice { message: accepted.id, end });
        }
        let unix = unix_now();
        let ago = |then: u64| (then as i64 - unix as i64).saturating_mul(1000);
        // What the journal has lost of it may have been an attempt at any time.
        let unknown = in_doubt.then_some((now.saturating_sub(LONG_AGO), usize::MAX));
        let risk = unknown.or_else(|| {
            let first = attempts.iter().filter(|a| a.may_have_run).min_by_key(|a| a.sent)?;
            let zone = index(&self.names.zones, &first.zone).unwrap_or(usize::MAX);
            Some((now.saturating_add(ago(first.sent).max(-LONG_AGO)), zone))
        });
        let past = Past { attempts: attempts.len().max(usize::from(in_doubt)), risk };
        let class = index(&self.names.classes, &accepted.class);
        let tenant = accepted.tenant.as_ref().and_then(|t| index(&self.names.tenants, t));
        let give_up_at = now.saturating_add(ago(accepted.deadline));
        let message = Message {
            accepted,
            give_up_at,
            attempts: past.attempts,
            tried: past.attempts > 0,
            clients: Vec::new(),
            taken_on: true,
        };
        match class {
            Some(class) => drop(self.submit(now, message, class, tenant, past)),
            // The settings know its class no longer: nothing may be promised about its effect.
            None => {
                let id = self.hold(message);
                self.give_up(id, End::Failed, None);
            }
        }
    }

    /// The module's final answer: to the client while it waits, else by a notice.
    fn give_up(&mut self, id: MessageId, end: End, wait: Option<Micros>) {
        let Some(mut message) = self.messages.remove(&id) else { return };
        self.ids.remove(&message.accepted.id);
        tracing::debug!(id = %message.accepted.id, ?end, wait, taken_on = message.taken_on, "given up");
        let wait = wait.and_then(|w| u64::try_from(w).ok());
        if !message.taken_on {
            // A client that has left needs no answer.
            message.answer(match end {
                End::Refused => Answer::Refused(wait.map(Duration::from_micros)),
                _ => Answer::Failed,
            });
            return;
        }
        let end = match end {
            End::Refused => NoticeEnd::HandedBack { retry_in_ms: wait.map(|w| w.div_ceil(1000)) },
            _ => NoticeEnd::GivenUp,
        };
        self.owe(message.accepted, end);
    }

    /// A notice is owed, on record until it is acknowledged.
    fn owe(&mut self, message: Accepted, end: NoticeEnd) {
        let Accepted { id, deadline, .. } = message;
        self.journal.note(&Record::Owed(id.clone(), end, deadline), unix_now());
        self.owed.push(Notice { message: id, end });
    }

    // ---- Journal ----

    /// Writes the turn, then answers clients and starts calls. Without room, or if writing fails, nothing new
    /// is taken on and nothing goes out.
    fn commit(&mut self, now: Micros, fresh: Vec<MessageId>, sends: Vec<Send>) {
        let unix = unix_now();
        let (mut taken, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        for id in fresh {
            let Some(message) = self.messages.get(&id) else { continue };
            let more = bytes + message.accepted.body.len();
            if message.clients.iter().all(|client| client.is_closed())
                || !self.journal.has_room(taken.len() + 1, more, unix)
            {
                self.turn_away(id);
                continue;
            }
            bytes = more;
            records.push(Record::Accepted(message.accepted.clone()));
            taken.push(id);
        }
        for send in &sends {
            // One without a message or an endpoint is not sent.
            if let Some(message) = self.messages.get(&send.id)
                && let Some(endpoint) = self.endpoints.get(send.endpoint)
            {
                let zone = endpoint.zone.clone();
                records.push(Record::Sent(message.accepted.id.clone(), send.attempt, unix, zone));
            }
        }
        pass(Point::BeforeCommit);
        if let Err(e) = self.journal.commit(&records, unix) {
            // It may fail in every turn for a while.
            if self.told_failure.is_none_or(|at| at.elapsed() > TELL_EVERY) {
                self.told_failure = Some(Instant::now());
                tracing::error!("engine: {e}");
            }
            taken.into_iter().for_each(|id| self.turn_away(id));
            return sends.iter().for_each(|s| self.not_sent(s));
        }
        pass(Point::AfterCommit);
        for id in taken {
            if let Some(message) = self.messages.get_mut(&id) {
                message.taken_on = true;
                if !message.answer(Answer::Accepted) {
                    self.client_left(id);
                }
            }
        }
        pass(Point::AfterAnswers);
        let calls = sends.len();
        self.start_calls(now, sends);
        if calls > 0 {
            pass(Point::AfterCalls);
        }
    }

    /// Not taken on after all: the client is refused, if it has not left, and the module forgets the message.
    fn turn_away(&mut self, id: MessageId) {
        if let Some(mut message) = self.messages.remove(&id) {
            self.ids.remove(&message.accepted.id);
            message.answer(Answer::Refused(Some(AGAIN)));
            self.events.push(Event::ClientLeft { id });
        }
    }

    /// The client left before it heard that the message was taken on.
    fn client_left(&mut self, id: MessageId) {
        if let Some(message) = self.messages.remove(&id) {
            self.ids.remove(&message.accepted.id);
            self.journal.note(&Record::Closed(message.accepted.id, End::Refused, 0), unix_now());
            self.events.push(Event::ClientLeft { id });
        }
    }

    fn not_sent(&mut self, send: &Send) {
        self.events.push(Event::Ended(Ended {
            id: send.id,
            attempt: send.attempt,
            outcome: Outcome::NotSent,
            elapsed: 0,
            finished: !self.messages.contains_key(&send.id),
            report: None,
            wait: None,
        }));
    }

    // ---- Calls ----

    fn prepare(
        &mut self,
        now: Micros,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Micros,
        begin_by: Micros,
    ) -> Option<Send> {
        let message = self.messages.get_mut(&id)?;
        let attempt = message.attempts;
        message.attempts += 1;
        let until = if timeout == 0 { message.give_up_at } else { now.saturating_add(timeout) };
        Some(Send { id, attempt, endpoint, until: until.min(message.give_up_at), begin_by })
    }

    /// Sends of one turn to one endpoint travel together, up to what its kind allows.
    fn start_calls(&mut self, now: Micros, sends: Vec<Send>) {
        let mut by_endpoint: Vec<(EndpointId, Vec<Send>)> = Vec::new();
        for send in sends {
            let most = self.endpoints.get(send.endpoint).map_or(1, |t| t.batch);
            match by_endpoint.iter_mut().rfind(|(t, group)| *t == send.endpoint && group.len() < most) {
                Some((_, group)) => group.push(send),
                None => by_endpoint.push((send.endpoint, vec![send])),
            }
        }
        by_endpoint.into_iter().for_each(|(endpoint, group)| self.start_call(now, endpoint, group));
    }

    fn start_call(&mut self, now: Micros, endpoint: EndpointId, sends: Vec<Send>) {
        let mut items = Vec::with_capacity(sends.len());
        // Guards the rule on lost messages: a call is one for all that travel in it, and the platform ends it when
        // the time of the first of them is up. What is answered later counts for none of the others.
        let ends = sends.iter().filter_map(|s| self.messages.get(&s.id)).map(|m| m.give_up_at).min();
        let ends = ends.unwrap_or(now);
        for send in sends {
            let known = self.endpoints.get(endpoint).is_some();
            let Some(message) = self.messages.get(&send.id).filter(|_| known) else {
                self.not_sent(&send);
                continue;
            };
            self.in_flight.insert((send.id, send.attempt), InFlight { sent: now, call: self.next_call });
            let (name, dest) = (&message.accepted.id, message.accepted.dest);
            tracing::debug!(id = %name, attempt = send.attempt, endpoint, dest, call = self.next_call, "sent");
            items.push(Item {
                id: send.id,
                attempt: send.attempt,
                name: message.accepted.id.clone(),
                key: message.accepted.key.clone(),
                body: message.accepted.body.clone(),
                until: self.clock.instant(send.until.min(ends)),
                begin_by: self.clock.instant(send.begin_by),
                further: message.tried,
            });
        }
        let Some(t) = self.endpoints.get_mut(endpoint).filter(|_| !items.is_empty()) else { return };
        // Each attempt is called off once at most; one more place is for a wait.
        let (sender, orders) = channel(items.len() + 1);
        self.calls.insert(self.next_call, CallOut { endpoint, ends, left: items.len(), orders: sender });
        self.next_call += 1;
        t.in_flight += 1;
        let connect_timeout = Duration::from_micros(self.settings.connect_timeout.max(1000) as u64);
        let second_copies = self.settings.second_copies;
        let call = Call { endpoint, dest: t.dest, to: t.to, items, second_copies, connect_timeout, orders };
        self.transport.start(call, self.inputs.clone());
    }

    fn cancel(&mut self, id: MessageId, attempt: usize) {
        let call = self.in_flight.get(&(id, attempt)).and_then(|out| self.calls.get(&out.call));
        if let Some(call) = call {
            // Closed: its outcome is on its way.
            let _ = call.orders.try_send(Order::CallOff(id, attempt));
        }
    }

    /// A wait was told at this endpoint: calls of its destination that are not written yet are not to be.
    fn hold_calls(&self, endpoint: EndpointId) {
        let dest = self.endpoints.get(endpoint).map(|t| t.dest);
        for call in self.calls.values() {
            if self.endpoints.get(call.endpoint).map(|t| t.dest) == dest {
                // Full: it has been told so before.
                let _ = call.orders.try_send(Order::Hold);
            }
        }
    }

    fn call_end(&mut self, now: Micros, news: CallEnd) {
        if news.ended.iter().any(|e| e.wait.is_some()) {
            self.hold_calls(news.endpoint);
        }
        for ended in news.ended {
            self.ended(now, ended);
        }
    }

    fn ended(&mut self, now: Micros, ended: AttemptEnd) {
        let AttemptEnd { id, attempt, outcome, finished, report, wait } = ended;
        let Some(out) = self.in_flight.remove(&(id, attempt)) else { return };
        let mut late = false;
        if let Some(call) = self.calls.get_mut(&out.call) {
            late = now + CLIENT_WAITS >= call.ends;
            call.left -= 1;
            if call.left == 0 {
                let endpoint = call.endpoint;
                self.calls.remove(&out.call);
                if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
                    endpoint.in_flight -= 1;
                }
            }
        }
        let unix = unix_now();
        let name = || self.messages.get(&id).map(|m| &*m.accepted.id);
        tracing::debug!(id = name(), attempt, ?outcome, took = now - out.sent, ?report, wait, "ended");
        if finished && let Some(message) = self.messages.remove(&id) {
            self.ids.remove(&message.accepted.id);
            if outcome == Outcome::Delivered && late {
                // Heard so near the call's end, it may have been answered when the client's time was up, where
                // it does not count. A notice for a message that is over does no harm.
                self.owe(message.accepted, NoticeEnd::GivenUp);
            } else {
                let Accepted { id, deadline, .. } = message.accepted;
                let end = if outcome == Outcome::Delivered { End::Delivered } else { End::Failed };
                self.journal.note(&Record::Closed(id, end, deadline), unix);
            }
        } else if let Some(message) = self.messages.get_mut(&id) {
            message.tried |= outcome != Outcome::NotSent;
            let record = Record::Ended(message.accepted.id.clone(), attempt, !outcome.never_ran());
            self.journal.note(&record, unix);
        }
        let finished = !self.messages.contains_key(&id);
        let ended = Ended { id, attempt, outcome, elapsed: now - out.sent, finished, report, wait };
        self.balancer.on_event(now, Event::Ended(ended), &mut self.actions);
    }

    // ---- Notices ----

    /// One batch at a time, and only what stands in the journal: a client that was told to come again must
    /// never meet the same message sent by the next process.
    fn pass_on_notices(&mut self) {
        if self.owed.is_empty() || !self.journal.is_settled() {
            return;
        }
        if let Ok(room) = self.notices.try_reserve() {
            room.send(self.owed.drain(..self.owed.len().min(NOTICES_MOST)).collect());
        }
    }

    fn noticed(&mut self, batch: Vec<Notice>) {
        let unix = unix_now();
        for Notice { message, end } in batch {
            let until = self.journal.end_of(&message).map_or(0, |(_, until)| until);
            self.journal.note(&Record::Closed(message, end.into(), until), unix);
        }
    }
}
