//! Every decision of plankwalk. The interface (settings, events, actions) is in `src/api.rs`.
//!
//! Reading order: constants; `Scope` (what is known of a destination, or of a route where routes are
//! apart); state; then `Balancer`: list, intake, admission, choice, outcomes, timers.

use crate::api::*;
use crate::parts::{Fading, chance};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Quarters of the slots that a destination may hold while its calls succeed (the design's bound),
const STEADY_QUARTERS: usize = 3;
/// and while it falters; all faltering destinations together hold no more, so that the well keep the rest.
const FALTER_QUARTERS: usize = 2;
/// An outcome's weight falls by e in this part of `warmAfter`: health is a matter of a few seconds.
const HEALTH_SPAN: f64 = 0.4;
/// Outcomes imagined good (calls): few samples do not condemn.
const PRIOR_GOOD: f64 = 3.0;
/// Share of failures from which a destination falters.
const FALTER_SHARE: f64 = 0.2;
/// Weighed failures (calls) from which, where they are most of all outcomes, an outage is assumed.
const OUTAGE_FAILS: f64 = 2.5;
/// A destination falters once calls take this multiple of its usual pace;
const SLOW_TIMES: f64 = 3.0;
/// calls out for this multiple of it, and for half an aim, are overdue;
const OVERDUE_TIMES: f64 = 4.0;
/// with so many calls overdue it is held to hang.
const HUNG_CALLS: usize = 2;
/// Where slots are short, overdue calls may keep the Nth part of them.
const STUCK_PART: usize = 4;
/// So many refusals in a row without a told wait are a shut door, not a limit.
const SHUT_REFUSALS: u32 = 4;
/// Gain of one delivery in the usual pace (tens of calls) and in the present one (a few).
const USUAL_GAIN: f64 = 0.05;
const PACE_GAIN: f64 = 0.3;
/// A refusal cuts the pace to this part of what was sent; it recovers by this part a second.
const BACK_OFF: f64 = 0.7;
const RECOVER: f64 = 0.08;
/// Sends let through unspaced, as a span of the limit (seconds).
const BURST_S: f64 = 0.3;
/// Time-out of repeatable messages as a multiple of the usual pace, and two aims at least.
const TIMEOUT_TIMES: f64 = 10.0;
/// The first further attempt after one that may have run waits the Nth part of the aim; then doubled.
const RETRY_PART: i64 = 16;
/// Held messages are shed once the Nth part of `openCap` is left.
const SHED_PART: usize = 32;
/// An endpoint whose call failed is avoided for the Nth part of `warmAfter`.
const AVOID_PART: i64 = 4;
/// A sender leaves no idle connection at a receiver where it keeps less than one busy, or less than its part
/// of one where fewer senders than this share.
const KEEP_SENDERS: f64 = 16.0;
/// Senders are uneven: one may count on this multiple of its even part of what all share.
const UNEVEN: f64 = 2.0;
/// A told limit within this multiple of the listed one, up or down, is believed.
const REPORT_TIMES: f64 = 10.0;
const SECOND: f64 = 1e6;

/// The settings and what follows from them alone (spans in microseconds).
#[derive(Default)]
struct Env {
    s: Settings,
    aim: f64,
    warm: f64,
    health: f64,
    /// Part of what all senders share that one may count on.
    part: f64,
    /// The slowest pace of use (calls a second): one call an aim; where many share, two an aim in all.
    least: f64,
    tick: Micros,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Open,
    /// Held to be down: trials only, none before this time.
    Outage(Micros),
    /// Back since then, and cold.
    Warming(Micros),
}

/// What is known of a destination, or of one route where routes are apart.
#[derive(Default)]
struct Scope {
    state: State,
    seed: u64,
    born: Micros,
    /// Time that deliveries usually take, and take now; 0 while unknown.
    usual: f64,
    pace: f64,
    good: Fading,
    bad: Fading,
    /// Of the bad ones, those that may have run.
    spent: Fading,
    last_good: Micros,
    /// When each call still out was sent.
    out: BTreeMap<u64, Micros>,
    refusals: u32,
    last_refusal: Micros,
    wait_until: Micros,
    /// When the next spaced send falls due.
    due: Micros,
    /// Calls a second: allowed to this sender now, told for all senders.
    limit: Option<f64>,
    ceiling: Option<f64>,
    /// What the list told of it; 0 where it told nothing.
    listed: f64,
    adjusted_at: Micros,
    /// The last call took all that it may.
    full: bool,
    long: Fading,
    /// Calls a second of this sender before the outage.
    base: f64,
}

impl Scope {
    fn new(now: Micros, seed: &mut u64) -> Self {
        chance(seed);
        Scope {
            seed: *seed,
            born: now,
            last_good: now,
            wait_until: now,
            due: now,
            adjusted_at: now,
            ..Scope::default()
        }
    }

    /// Calls a second of this sender, over the span of warming or since it started.
    fn own_rate(&self, now: Micros, e: &Env) -> f64 {
        let age = ((now - self.born) as f64).max(e.aim);
        self.long.get(now, e.warm) * SECOND / (e.warm * (1.0 - (-age / e.warm).exp()))
    }

    /// What this sender may count on of a limit told for all (calls a second); 0 where none is told.
    fn own_part(&self, e: &Env) -> f64 {
        self.ceiling.unwrap_or(0.0) * e.part
    }

    /// A told limit far from the listed one was spoilt on its way: a tiny one would starve the destination,
    /// and from a huge one no refusal would bring the pace back.
    fn believes(&self, limit: f64) -> bool {
        let listed = if self.listed > 0.0 { self.listed } else { 10.0 };
        let times = if self.listed > 0.0 { REPORT_TIMES } else { REPORT_TIMES * REPORT_TIMES };
        (listed / times..=listed * times).contains(&limit)
    }

    /// Age from which a call is overdue.
    fn patience(&self, e: &Env) -> Micros {
        (OVERDUE_TIMES * self.usual).max(e.aim / 2.0) as Micros
    }

    fn overdue(&self, now: Micros, e: &Env) -> usize {
        let late = self.patience(e);
        self.out.values().take_while(|sent| now - **sent > late && **sent >= self.last_good - late).count()
    }

    /// Whether the design's smaller share holds.
    fn falters(&self, now: Micros, e: &Env) -> bool {
        let bad = self.bad.get(now, e.health);
        let share = bad / (bad + self.good.get(now, e.health) + PRIOR_GOOD);
        let slow = self.pace > SLOW_TIMES * self.usual;
        self.state != State::Open || slow || share > FALTER_SHARE || self.overdue(now, e) > 0
    }

    /// Calls a second allowed now, and the span of them (seconds) that may go unspaced.
    fn rate(&self, now: Micros, e: &Env) -> Option<(f64, f64)> {
        let limit = self.limit.map(|l| l.max(e.least / 4.0));
        let State::Warming(since) = self.state else { return limit.map(|l| (l, BURST_S)) };
        let part = ((now - since) as f64 / e.warm).min(1.0);
        let warm = e.s.start_capacity + (1.0 - e.s.start_capacity) * part;
        let rate = (e.s.fall_multiple * warm * self.base).max(e.least / 4.0);
        Some((limit.map_or(rate, |l| l.min(rate)), 0.0))
    }

    /// The earliest time at which a call may go.
    fn ready_at(&self, now: Micros, e: &Env) -> Micros {
        match (self.state, self.rate(now, e)) {
            (State::Outage(next_try), _) => self.wait_until.max(next_try),
            (_, Some((_, burst))) => self.wait_until.max(self.due - (burst * SECOND) as Micros),
            _ => self.wait_until,
        }
    }

    fn sent(&mut self, call: u64, now: Micros, full: bool, e: &Env) {
        self.full = full;
        if let Some((rate, _)) = self.rate(now, e) {
            self.due = self.due.max(now) + (SECOND / rate) as Micros;
        }
        self.out.insert(call, now);
        self.long.add(now, e.warm);
        if let State::Outage(_) = self.state {
            self.plan_trial(now, e);
        }
    }

    /// Trials stay within what the destination could bear had it come back just now.
    fn plan_trial(&mut self, now: Micros, e: &Env) {
        let rate = e.s.fall_multiple * e.s.start_capacity * self.base;
        let most = e.warm / 4.0 / e.part;
        let gap = (SECOND / rate.max(e.least / 4.0)).clamp(e.aim / 16.0, most);
        // Many know of one outage, or were told one end of it: the first trial falls by chance in its gap.
        let later = if matches!(self.state, State::Outage(_)) { 0.5 } else { 0.0 };
        let part = if e.part < 0.5 { later + chance(&mut self.seed) } else { 1.0 };
        self.state = State::Outage(now.max(self.wait_until) + (gap * part) as Micros);
    }

    fn enter_outage(&mut self, now: Micros, e: &Env) {
        if self.state == State::Open {
            self.base = self.own_rate(now, e).max(self.own_part(e) / UNEVEN).max(e.least);
        }
        if !matches!(self.state, State::Outage(_)) {
            self.plan_trial(now, e);
        }
    }

    fn delivered(&mut self, now: Micros, took: f64, e: &Env) {
        self.good.add(now, e.health);
        self.last_good = now;
        self.refusals = 0;
        let gain = |old: f64, g: f64| if old == 0.0 { took } else { old + g * (took - old) };
        self.usual = gain(self.usual, USUAL_GAIN);
        self.pace = gain(self.pace, PACE_GAIN);
        // Where calls gather messages, pace is of no use until they go full or rarely.
        if let Some(l) = self.limit.filter(|l| self.full || SECOND / l > e.aim / 4.0) {
            let dt = ((now - self.adjusted_at) as f64 / SECOND).clamp(0.0, e.warm / SECOND);
            let grown = l + dt * RECOVER * (l + e.least).max(self.own_part(e));
            self.limit = Some(self.ceiling.map_or(grown, |c| grown.min(c)));
            self.adjusted_at = now;
        }
        match self.state {
            State::Outage(_) => {
                self.state = State::Warming(now);
                (self.bad, self.spent) = (Fading::default(), Fading::default());
                self.due = now;
            }
            State::Warming(since) if (now - since) as f64 > e.warm => self.state = State::Open,
            _ => {}
        }
    }

    /// Share of what is sent there that may run and is not delivered: what must not run twice is lost then.
    fn risk(&self, now: Micros, e: &Env) -> f64 {
        let spent = self.spent.get(now, e.health);
        spent / (spent + self.good.get(now, e.health) + PRIOR_GOOD)
    }

    fn failed(&mut self, now: Micros, outcome: Outcome, e: &Env) {
        self.bad.add(now, e.health);
        if !outcome.never_ran() {
            self.spent.add(now, e.health);
        }
        let bad = self.bad.get(now, e.health);
        let few = (self.own_rate(now, e) * e.health / SECOND / 2.0).max(OUTAGE_FAILS * e.part);
        if bad >= OUTAGE_FAILS.min(few) && bad > self.good.get(now, e.health) {
            self.enter_outage(now, e);
        }
    }

    /// Calls refused in one wave, sent before the first of them was heard of, count as one refusal.
    fn refused(&mut self, now: Micros, sent: Micros, wait: Option<Micros>, e: &Env) {
        if self.refusals == 0 || sent >= self.last_refusal {
            self.refusals += 1;
            // A limit is told for all senders: what counts is what this one sends, or its even part.
            let sent = self.own_rate(now, e).max(self.own_part(e));
            self.limit = Some((self.limit.map_or(sent, |l| l.min(sent)) * BACK_OFF).max(e.least / 4.0));
            (self.adjusted_at, self.last_refusal) = (now, now);
        }
        // Refused calls may use up the limit: each wave doubles the wait, and none come back together.
        let spaced = SECOND / self.limit.unwrap_or(e.least).max(e.least / 4.0);
        let most = e.aim * (1.0 / e.part).min(4.0);
        let own = (spaced * f64::from(1u32 << self.refusals.min(4)) / 2.0).min(most);
        let part = if e.part < 0.5 { 0.5 + chance(&mut self.seed) } else { 1.0 };
        self.wait_until = self.wait_until.max(now + wait.unwrap_or(0).max((own * part) as Micros));
        // A short wait comes from a limit that others use up, a long one from a shut door.
        if wait.map_or(self.refusals >= SHUT_REFUSALS, |w| w as f64 > e.warm / 4.0) {
            self.enter_outage(now, e);
        }
    }
}

#[derive(Default)]
struct Dest {
    kind: Kind,
    targets: BTreeSet<TargetId>,
    /// Messages ready to go, by class and by whether their tenant is over its share; earliest aim first.
    lanes: BTreeMap<(usize, bool), BTreeSet<(Micros, MessageId)>>,
    scope: Scope,
}

#[derive(Default)]
struct Target {
    dest: DestId,
    zone: usize,
    out: usize,
    pace: f64,
    /// When each idle connection was last used.
    idle: VecDeque<Micros>,
    avoid_until: Micros,
    /// Connections turned away in a row, and until when none is tried.
    crowded: u32,
    closed_until: Micros,
    scope: Scope,
}

#[derive(Clone, Copy, PartialEq)]
enum Place {
    /// Ready in a lane of its destination.
    Lane,
    /// Held until then.
    Parked(Micros),
    /// An attempt is out.
    Out,
    /// Between two of these, or behind another message of its key.
    Turn,
}

struct Message {
    m: Submit,
    over: bool,
    due: Micros,
    alarm: Micros,
    attempts: usize,
    place: Place,
    /// When the first attempt that may have run was sent, and its zone.
    risk: Option<(Micros, usize)>,
    started: bool,
}

/// An attempt that is out. Those that travel as one call share its number.
struct Attempt {
    call: u64,
    target: TargetId,
    dest: DestId,
    class: usize,
    sent: Micros,
    called_off: bool,
    key: Option<String>,
}

/// What a destination could be sent in this turn: value, endpoint and message, or when to look again.
struct Offer {
    falters: bool,
    found: Result<(f64, TargetId, MessageId), Micros>,
}

/// Messages of one ordered key.
#[derive(Default)]
struct Turns {
    queue: VecDeque<MessageId>,
    out: usize,
    rest_until: Micros,
}

/// One sender's decisions.
#[derive(Default)]
pub struct Balancer {
    e: Arc<Env>,
    seed: u64,
    dests: BTreeMap<DestId, Dest>,
    targets: BTreeMap<TargetId, Target>,
    /// Endpoints that the list no longer holds, and since when.
    gone: BTreeMap<TargetId, Micros>,
    /// The design's counter: calls of this sender to one destination; dropped when idle.
    counters: BTreeMap<DestId, usize>,
    messages: BTreeMap<MessageId, Message>,
    attempts: BTreeMap<(MessageId, usize), Attempt>,
    /// Attempts still out of each call; a call takes one slot.
    calls: BTreeMap<u64, usize>,
    next_call: u64,
    parked: BTreeSet<(Micros, MessageId)>,
    alarms: BTreeSet<(Micros, MessageId)>,
    turns: BTreeMap<String, Turns>,
    tenants: Vec<Fading>,
    /// Destinations with a message in a lane.
    waiting: BTreeSet<DestId>,
    /// Endpoints where a call ended in this turn.
    used: BTreeSet<TargetId>,
    /// A connection failed not long before this.
    crowded_until: Micros,
    wake_at: Micros,
    subscribe_at: Option<Micros>,
    broken: u32,
}

impl Balancer {
    /// A sender that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let aims = settings.classes.iter().map(|c| c.aim).filter(|aim| *aim > 0);
        let aim = aims.min().unwrap_or(SECOND as Micros).max(1000) as f64;
        let warm = (settings.warm_after.max(settings.overload_for) as f64).max(aim);
        let health = warm * HEALTH_SPAN;
        let part = UNEVEN / (settings.senders as f64).max(UNEVEN);
        let least = SECOND / aim * part;
        let (ask, tenants, tick) = (settings.ask, settings.tenants.len(), settings.round.max(1000));
        Balancer {
            e: Arc::new(Env { s: settings, aim, warm, health, part, least, tick }),
            seed: seed | 1,
            crowded_until: Micros::MIN,
            tenants: vec![Fading::default(); tenants],
            wake_at: Micros::MAX,
            subscribe_at: ask.then_some(Micros::MIN),
            ..Balancer::default()
        }
    }

    /// Takes one event; what is to be done is added to `actions`.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit(m) => self.submit(now, m, actions),
            Event::Ended(ended) => self.ended(now, ended, actions),
            Event::Started { id } => self.messages.get_mut(&id).into_iter().for_each(|m| m.started = true),
            Event::ClientLeft { id } => self.forget(now, id),
            Event::ListWhole(entries) => {
                self.dests.values_mut().for_each(|d| d.targets.clear());
                for id in self.targets.keys() {
                    self.gone.entry(*id).or_insert(now);
                }
                self.list(now, entries);
            }
            Event::ListChanges(entries) => self.list(now, entries),
            Event::ListBroken => {
                self.broken += 1;
                let gap = (self.e.aim as Micros / 8) << self.broken.min(4);
                self.subscribe_at = Some(now + gap / 2 + (gap as f64 * chance(&mut self.seed)) as Micros);
            }
            Event::Wake if now >= self.wake_at => self.wake_at = Micros::MAX,
            Event::Wake => {}
            Event::TurnEnd => self.turn_end(now, actions),
        }
    }

    // ---- The endpoint list ----

    /// Only what is listed as serving gets anything new, from the moment it is heard.
    fn list(&mut self, now: Micros, entries: Vec<Entry>) {
        self.broken = 0;
        for entry in entries {
            let new = || Dest { scope: Scope::new(now, &mut self.seed), ..Dest::default() };
            let dest = self.dests.entry(entry.dest).or_insert_with(new);
            dest.kind = self.e.s.kinds.get(entry.kind).copied().unwrap_or_default();
            let new = || Target {
                avoid_until: now,
                closed_until: now,
                scope: Scope::new(now, &mut self.seed),
                ..Target::default()
            };
            let target = self.targets.entry(entry.target).or_insert_with(new);
            (target.dest, target.zone) = (entry.dest, entry.zone);
            if entry.listing == Listing::Serving {
                dest.targets.insert(entry.target);
            } else {
                dest.targets.remove(&entry.target);
            }
            if entry.listing == Listing::Deleted {
                self.gone.entry(entry.target).or_insert(now);
            } else {
                self.gone.remove(&entry.target);
            }
            let scope = if dest.kind.routes_apart { &mut target.scope } else { &mut dest.scope };
            if self.e.s.weights != Weights::Off && entry.weight > 0.0 {
                scope.listed = entry.weight;
            }
            if scope.listed > 0.0 && scope.limit.is_none() {
                let part = if dest.kind.batch > 1 { self.e.s.senders.max(1) as f64 } else { 1.0 };
                scope.limit = Some(scope.listed / part);
            }
        }
    }

    /// Forgets endpoints that are gone, once no call is out there. What holds for one (a wait, an outage)
    /// holds on if it is listed again soon; what its destination has taught stays.
    fn forget_targets(&mut self, now: Micros) {
        let (targets, warm) = (&mut self.targets, self.e.warm as Micros);
        self.gone.retain(|id, since| {
            let kept =
                targets.get(id).is_some_and(|t| t.out > 0 || now < t.scope.wait_until.max(*since + warm));
            if !kept {
                targets.remove(id);
            }
            kept
        });
    }

    /// Waits, limits, health and slow start hold for a destination, or route by route.
    fn scope(&mut self, dest: DestId, target: TargetId) -> &mut Scope {
        let d = self.dests.get_mut(&dest).expect("only known destinations are sent to");
        if !d.kind.routes_apart {
            return &mut d.scope;
        }
        &mut self.targets.get_mut(&target).expect("only known endpoints are sent to").scope
    }

    // ---- Intake ----

    fn submit(&mut self, now: Micros, m: Submit, actions: &mut Vec<Action>) {
        let e = self.e.clone();
        if self.messages.contains_key(&m.id) {
            return;
        }
        let Some(c) = e.s.classes.get(m.class) else {
            return actions.push(Action::Refuse { id: m.id, wait: 0 });
        };
        // Nothing is kept for a destination that the list has never named: anybody may name any number.
        if m.past.attempts == 0 && !self.dests.contains_key(&m.dest) {
            return actions
                .push(Action::Refuse { id: m.id, wait: e.s.max_retry_after.clamp(0, e.aim as Micros) });
        }
        let mut over = false;
        if let Some((tenant, seen)) = m.tenant.and_then(|t| e.s.tenants.get(t).zip(self.tenants.get_mut(t))) {
            seen.add(now, e.warm);
            over = seen.get(now, e.warm) * SECOND / e.warm > tenant.quota;
        }
        let (id, key) = (m.id, m.key.clone().filter(|_| c.ordered));
        // A client that comes with less patience than the aim is on time until it leaves.
        let due = m.give_up_at - if m.give_up_at - now > c.aim { c.deadline - c.aim } else { 0 };
        let m = Submit { key: key.clone(), ..m };
        let Past { attempts, risk } = m.past;
        let held = Message { m, over, due, alarm: now, attempts, place: Place::Turn, risk, started: false };
        self.messages.insert(id, held);
        self.set_alarm(id);
        if self.spent(&self.messages[&id]) {
            return self.give_back(now, id, actions);
        }
        match key {
            Some(key) => {
                self.turns.entry(key.clone()).or_default().queue.push_back(id);
                self.next_turn(now, &key);
            }
            None => self.enqueue(now, id),
        }
        if self.messages.len() + e.s.open_cap / SHED_PART > e.s.open_cap {
            self.shed(now, actions);
        }
    }

    /// No send after this: too late for an answer, or the destination may have forgotten the key.
    fn sendable_until(&self, m: &Message) -> Micros {
        let usual = self.dests.get(&m.m.dest).map_or(0.0, |d| d.scope.usual);
        let end = m.m.give_up_at - (usual / 2.0) as Micros - 3 * self.e.tick;
        match (self.e.s.classes[m.m.class].effect, m.risk) {
            // The key's life counts from the first attempt that may have run.
            (Effect::Keyed { life, .. }, Some((first, _))) => end.min(first + life - self.e.tick),
            _ => end,
        }
    }

    /// No further attempt is allowed, by count or because an unsafe one may have run.
    fn spent(&self, m: &Message) -> bool {
        let once = self.e.s.classes[m.m.class].effect == Effect::Unsafe;
        (once && m.risk.is_some()) || m.attempts >= self.e.s.max_attempts
    }

    fn set_alarm(&mut self, id: MessageId) {
        let alarm = self.sendable_until(&self.messages[&id]);
        let m = self.messages.get_mut(&id).expect("alarms are set for held messages");
        self.alarms.remove(&(m.alarm, id));
        m.alarm = alarm;
        self.alarms.insert((alarm, id));
    }

    fn enqueue(&mut self, now: Micros, id: MessageId) {
        let m = self.messages.get_mut(&id).expect("only held messages are queued");
        m.place = Place::Lane;
        let new = || Dest { scope: Scope::new(now, &mut self.seed), ..Dest::default() };
        let d = self.dests.entry(m.m.dest).or_insert_with(new);
        d.lanes.entry((m.m.class, m.over)).or_default().insert((m.due, id));
        self.waiting.insert(m.m.dest);
    }

    fn unqueue(&mut self, id: MessageId) {
        let Some(m) = self.messages.get(&id) else { return };
        if let Place::Parked(at) = m.place {
            self.parked.remove(&(at, id));
        } else if m.place == Place::Lane
            && let Some(d) = self.dests.get_mut(&m.m.dest)
        {
            d.lanes.entry((m.m.class, m.over)).or_default().remove(&(m.due, id));
            d.lanes.retain(|_, lane| !lane.is_empty());
            if d.lanes.is_empty() {
                self.waiting.remove(&m.m.dest);
            }
        }
    }

    fn park(&mut self, id: MessageId, until: Micros) {
        self.messages.get_mut(&id).expect("only held messages are parked").place = Place::Parked(until);
        self.parked.insert((until, id));
    }

    /// Lets the first message of an ordered key go once nothing before it can still run.
    fn next_turn(&mut self, now: Micros, key: &str) {
        let Some(t) = self.turns.get(key).filter(|t| t.out == 0) else { return };
        let rest = t.rest_until;
        match t.queue.front().copied() {
            None if now >= rest => drop(self.turns.remove(key)),
            Some(id) if self.messages[&id].place == Place::Turn && now < rest => self.park(id, rest),
            Some(id) if self.messages[&id].place == Place::Turn => self.enqueue(now, id),
            _ => {}
        }
    }

    /// The message is over: nothing more goes out for it.
    fn forget(&mut self, now: Micros, id: MessageId) {
        self.unqueue(id);
        let Some(m) = self.messages.remove(&id) else { return };
        self.alarms.remove(&(m.alarm, id));
        if let Some(key) = m.m.key {
            self.turns.entry(key.clone()).or_default().queue.retain(|q| *q != id);
            self.next_turn(now, &key);
        }
    }

    /// Refuses where no attempt may have run, else fails.
    fn give_back(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let Some(m) = self.messages.get(&id) else { return };
        let safe = self.e.s.classes[m.m.class].effect == Effect::Safe;
        if m.place == Place::Out || (m.risk.is_some() && !safe) {
            actions.push(Action::Fail { id });
        } else {
            let wait = self.dests.get(&m.m.dest).map_or(0, |d| d.scope.wait_until - now);
            let most = if self.e.s.retry_after { self.e.s.max_retry_after.max(0) } else { 0 };
            actions.push(Action::Refuse { id, wait: wait.clamp(0, most) });
        }
        self.forget(now, id);
    }

    /// Near the cap, the message with least worth still to win makes room for what comes.
    fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let lanes = self.waiting.iter().flat_map(|d| self.dests[d].lanes.values());
        let worth = lanes.filter_map(|lane| {
            let (_, id) = *lane.first()?;
            Some((self.value(&self.messages[&id], now) / lane.len() as f64, id))
        });
        if let Some((_, id)) = worth.min_by(|a, b| a.0.total_cmp(&b.0)) {
            self.give_back(now, id, actions);
        }
    }

    /// What delivery at `at` would earn.
    fn value(&self, m: &Message, at: Micros) -> f64 {
        let c = &self.e.s.classes[m.m.class];
        let late = (at - m.due).max(0) as f64;
        let part = match self.e.s.decay {
            Decay::Halves if c.aim > 0 => (-late / c.aim as f64).exp2().max(c.late_share),
            _ => 1.0 - (1.0 - c.late_share) * (late / (m.m.give_up_at - m.due).max(1) as f64).min(1.0),
        };
        c.worth.max(0.0).sqrt() * part * if m.over { self.e.s.over_share_worth } else { 1.0 }
    }

    // ---- Admission ----

    fn cap(&self, quarters: usize) -> usize {
        (self.e.s.slots / 4 * quarters + self.e.s.slots % 4 * quarters / 4).max(1)
    }

    fn dest_falters(&self, dest: DestId, now: Micros) -> bool {
        let Some(d) = self.dests.get(&dest) else { return false };
        let mut routes = d.targets.iter().filter(|_| d.kind.routes_apart).map(|t| &self.targets[t].scope);
        d.scope.falters(now, &self.e) || routes.any(|scope| scope.falters(now, &self.e))
    }

    /// The ordinary path: what earns most goes while slots are free and its destination is under its cap.
    fn turn_end(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.timers(now, actions);
        let waiting: Vec<DestId> = self.waiting.iter().copied().collect();
        waiting.iter().for_each(|dest| self.watch(*dest, now));
        let sick = self.counters.iter().filter(|(dest, _)| self.dest_falters(**dest, now));
        let mut sick_calls: usize = sick.map(|(_, calls)| calls).sum();
        let mut wake = Micros::MAX;
        let mut offers: BTreeMap<DestId, Offer> =
            self.waiting.iter().map(|dest| (*dest, self.offer(*dest, now))).collect();
        while self.calls.len() < self.e.s.slots {
            let mut best: Option<(f64, DestId, TargetId, MessageId, bool)> = None;
            wake = Micros::MAX;
            for (&dest, offer) in &offers {
                let cap = self.cap(if offer.falters { FALTER_QUARTERS } else { STEADY_QUARTERS });
                let calls = self.counters.get(&dest).copied().unwrap_or(0);
                if calls >= cap || (offer.falters && sick_calls >= self.cap(FALTER_QUARTERS)) {
                    continue;
                }
                match offer.found {
                    Ok((v, t, m)) if best.is_none_or(|b| v > b.0) => {
                        best = Some((v, dest, t, m, offer.falters))
                    }
                    Ok(_) => {}
                    Err(at) => wake = wake.min(at),
                }
            }
            let Some((_, dest, target, id, falters)) = best else { break };
            sick_calls += usize::from(falters);
            self.send(now, dest, target, id, actions);
            // A send changes nothing for the other destinations: to look at all again costs the most where
            // many wait.
            if self.waiting.contains(&dest) {
                offers.insert(dest, self.offer(dest, now));
            } else {
                offers.remove(&dest);
            }
        }
        self.reclaim(now, actions);
        self.close_idle(now, actions);
        self.forget_targets(now);
        self.set_wake(now, wake, actions);
    }

    fn offer(&self, dest: DestId, now: Micros) -> Offer {
        Offer { falters: self.dest_falters(dest, now), found: self.candidate(dest, now) }
    }

    /// Tables of connections count idle ones, and many rare callers fill them: one that is not kept busy is
    /// closed. Guards all who share a receiver; could hurt where calls come in clumps, by a handshake each.
    fn close_idle(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let e = self.e.clone();
        let few = (e.s.senders as f64 / KEEP_SENDERS).min(1.0);
        for target in std::mem::take(&mut self.used) {
            let Some(t) = self.targets.get(&target) else { continue };
            let d = &self.dests[&t.dest];
            let scope = if d.kind.routes_apart { &t.scope } else { &d.scope };
            let busy = scope.own_rate(now, &e) * scope.usual / SECOND;
            if now < self.crowded_until && busy < few && !t.idle.is_empty() {
                self.targets.get_mut(&target).expect("just seen").idle.clear();
                actions.push(Action::Close { target });
            }
        }
    }

    /// A hang brings no outcomes: it shows in the age of calls still out.
    fn watch(&mut self, dest: DestId, now: Micros) {
        let (e, d) = (self.e.clone(), self.dests.get_mut(&dest).expect("waiting destinations are known"));
        for target in d.targets.iter().copied().collect::<Vec<_>>() {
            let scope = self.scope(dest, target);
            if scope.overdue(now, &e) >= HUNG_CALLS {
                scope.enter_outage(now, &e);
            }
        }
    }

    /// Slots for all: with every slot taken, calls long overdue give back all but a few, those that may be
    /// repeated first. One that must not run twice is lost by that, so its call is given half an aim more.
    fn reclaim(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.calls.len() < self.e.s.slots || self.waiting.is_empty() || !self.e.s.cancel {
            return;
        }
        // By call: whether something in it must not run twice, when it was sent, how late it may be.
        let mut out: BTreeMap<u64, (bool, Micros, Micros)> = BTreeMap::new();
        for a in self.attempts.values().filter(|a| !a.called_off) {
            let (d, t) = (&self.dests[&a.dest], &self.targets[&a.target]);
            let scope = if d.kind.routes_apart { &t.scope } else { &d.scope };
            let call = out.entry(a.call).or_insert((false, a.sent, scope.patience(&self.e)));
            call.0 |= self.e.s.classes[a.class].effect == Effect::Unsafe;
        }
        let extra = |once: bool| if once { self.e.aim as Micros / 2 } else { 0 };
        let late = out.into_iter().filter(|(_, (once, sent, late))| now - sent > late + extra(*once));
        let mut stuck: Vec<(bool, Micros, u64)> =
            late.map(|(call, (once, sent, _))| (once, sent, call)).collect();
        stuck.sort_unstable();
        stuck.truncate(stuck.len().saturating_sub((self.e.s.slots / STUCK_PART).max(1)));
        for (&(id, attempt), a) in &mut self.attempts {
            if !a.called_off && stuck.iter().any(|(.., call)| *call == a.call) {
                a.called_off = true;
                actions.push(Action::Cancel { id, attempt });
            }
        }
    }

    // ---- Choice of message and endpoint ----

    /// The best message for a scope: what earns most, on time before late, earliest aim first.
    fn pick(&self, d: &Dest, scope: &Scope, target: &Target, now: Micros) -> Option<(f64, MessageId)> {
        let at = now + scope.usual as Micros;
        let risky = scope.risk(now, &self.e) > FALTER_SHARE;
        let trial = matches!(scope.state, State::Outage(_));
        let effect = |class: usize| self.e.s.classes[class].effect;
        let repeatable = d.lanes.keys().any(|(class, _)| effect(*class) != Effect::Unsafe);
        let mut best: Option<(f64, Micros, MessageId)> = None;
        for ((class, _), lane) in &d.lanes {
            let effect = effect(*class);
            // Guards what an error loses for good: it is no trial while another message can be one,
            if trial && repeatable && effect == Effect::Unsafe {
                continue;
            }
            let per_zone = matches!(effect, Effect::Keyed { per_zone: true, .. });
            for &(due, id) in lane.range((at, 0)..).next().into_iter().chain(lane.first()) {
                let m = &self.messages[&id];
                let elsewhere = per_zone && m.risk.is_some_and(|(_, zone)| zone != target.zone);
                // and where calls fail it waits for better times, as long as its aim allows.
                let early = risky && !trial && at + self.e.aim as Micros / 4 < m.due;
                if early && effect == Effect::Unsafe {
                    continue;
                }
                let v = self.value(m, at);
                let better = best.is_none_or(|(b, b_due, _)| v > b || (v == b && due < b_due));
                if better && !elsewhere && now < self.sendable_until(m) {
                    best = Some((v, due, id));
                }
            }
        }
        best.map(|(v, _, id)| (v, id))
    }

    /// Endpoints by expected time: warm, near, idle and not just failed first.
    fn endpoints(&self, d: &Dest, now: Micros) -> Vec<(f64, TargetId)> {
        let e = &self.e;
        let cost = |id: &TargetId| {
            let t = &self.targets[id];
            let usual = if t.pace > 0.0 { t.pace } else { d.scope.usual.max(e.aim / 16.0) };
            let warm = t.idle.back().is_some_and(|at| now - at < e.s.idle_close);
            let halves = 2.0 + 2.0 * t.out as f64 + f64::from(!warm) + f64::from(t.zone != e.s.zone) * 2.0;
            (usual / 2.0 * halves + if now < t.avoid_until { e.aim } else { 0.0 }, *id)
        };
        let mut found: Vec<(f64, TargetId)> = d.targets.iter().map(cost).collect();
        found.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        found
    }

    /// The best send to a destination now, or when to look again.
    fn candidate(&self, dest: DestId, now: Micros) -> Result<(f64, TargetId, MessageId), Micros> {
        let d = &self.dests[&dest];
        let mut again = Micros::MAX;
        // A call takes one slot, however many messages it carries: what it earns is all of them. Guards those
        // who gather messages against starving when slots are short.
        let waiting: usize = d.lanes.values().map(BTreeSet::len).sum();
        let travelling = waiting.min(d.kind.batch.max(1)) as f64;
        for (_, id) in self.endpoints(d, now) {
            let t = &self.targets[&id];
            let scope = if d.kind.routes_apart { &t.scope } else { &d.scope };
            let idle = t.idle.back().is_some_and(|at| now - at < self.e.s.idle_close);
            let ready = scope.ready_at(now, &self.e).max(if idle { now } else { t.closed_until });
            if ready > now {
                again = again.min(ready);
            } else if let Some((value, message)) = self.pick(d, scope, t, now) {
                let slot_time = scope.usual.max(scope.pace).max(self.e.aim / 32.0);
                return Ok((value * travelling / slot_time, id, message));
            } else {
                again = again.min(now + self.e.aim as Micros / 16);
            }
        }
        Err(again)
    }

    /// One call: the message and, where the kind allows it, others that wait for the same destination.
    fn send(&mut self, now: Micros, dest: DestId, target: TargetId, first: MessageId, out: &mut Vec<Action>) {
        let (e, call) = (self.e.clone(), self.next_call);
        self.next_call += 1;
        let kind = self.dests[&dest].kind;
        let usual = self.scope(dest, target).usual.max(e.aim / 16.0);
        let (mut next, mut travelling) = (Some(first), 0);
        while let Some(id) = next.filter(|_| travelling < kind.batch.max(1)) {
            self.unqueue(id);
            let m = self.messages.get_mut(&id).expect("picked from a lane");
            m.place = Place::Out;
            let key = m.m.key.clone();
            if let Some(t) = key.as_ref().and_then(|k| self.turns.get_mut(k)) {
                t.out += 1;
            }
            let a = Attempt { call, target, dest, class: m.m.class, sent: now, called_off: false, key };
            self.attempts.insert((id, m.attempts), a);
            m.attempts += 1;
            travelling += 1;
            // Long for what must not run twice; from the usual pace for the rest.
            let left = (m.m.give_up_at - now).max(1);
            let repeatable = e.s.classes[m.m.class].effect != Effect::Unsafe;
            let short = (TIMEOUT_TIMES * usual).max(2.0 * e.aim) as Micros;
            out.push(Action::Send { id, target, timeout: if repeatable { short.min(left) } else { left } });
            let (d, t) = (&self.dests[&dest], &self.targets[&target]);
            let scope = if kind.routes_apart { &t.scope } else { &d.scope };
            next = self.pick(d, scope, t, now).map(|(_, id)| id);
        }
        self.calls.insert(call, travelling);
        *self.counters.entry(dest).or_default() += 1;
        let t = self.targets.get_mut(&target).expect("endpoints are known");
        t.out += 1;
        t.idle.pop_back();
        self.scope(dest, target).sent(call, now, travelling >= kind.batch, &e);
    }

    // ---- Outcomes ----

    fn ended(&mut self, now: Micros, end: Ended, actions: &mut Vec<Action>) {
        let Some(a) = self.attempts.remove(&(end.id, end.attempt)) else { return };
        // A wait told to one message binds every message there.
        let full = if let Outcome::Full { wait } = end.outcome { wait } else { None };
        if let Some(wait) = full.or(end.wait) {
            let scope = self.scope(a.dest, a.target);
            scope.wait_until = scope.wait_until.max(now + wait);
        }
        self.call_ended(now, &a, &end);
        if let Some(t) = a.key.as_ref().and_then(|key| self.turns.get_mut(key)) {
            t.out = t.out.saturating_sub(1);
            if matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                t.rest_until = t.rest_until.max(now + self.e.s.turn_gap);
            }
        }
        if end.finished || end.outcome == Outcome::Delivered {
            self.forget(now, end.id);
        } else if self.messages.contains_key(&end.id) {
            self.again(now, &a, &end, actions);
        }
        if let Some(key) = &a.key {
            self.next_turn(now, key);
        }
    }

    /// A further attempt, if the class and the attempts left allow one.
    fn again(&mut self, now: Micros, a: &Attempt, end: &Ended, actions: &mut Vec<Action>) {
        let (e, id, zone) = (self.e.clone(), end.id, self.targets[&a.target].zone);
        let m = self.messages.get_mut(&id).expect("checked by the caller");
        if !end.outcome.never_ran() && m.risk.is_none() {
            m.risk = Some((a.sent, zone));
        }
        m.place = Place::Turn;
        self.set_alarm(id);
        let m = &self.messages[&id];
        if now >= m.alarm || self.spent(m) {
            return self.give_back(now, id, actions);
        }
        let step = (e.aim as Micros / RETRY_PART) << (m.attempts - 1).min(4);
        let delay = if end.outcome.never_ran() { 0 } else { step };
        if delay > 0 { self.park(id, now + delay) } else { self.enqueue(now, id) }
    }

    /// Books the end of a call: slot, count and connection; then it is judged.
    fn call_ended(&mut self, now: Micros, a: &Attempt, end: &Ended) {
        let left = self.calls.get_mut(&a.call).expect("an attempt belongs to a call");
        *left -= 1;
        if *left > 0 {
            return;
        }
        self.calls.remove(&a.call);
        let scope = self.scope(a.dest, a.target);
        scope.out.remove(&a.call);
        let counter = self.counters.entry(a.dest).or_default();
        *counter = counter.saturating_sub(1);
        if *counter == 0 {
            self.counters.remove(&a.dest);
        }
        let (e, took) = (self.e.clone(), end.elapsed as f64);
        let t = self.targets.get_mut(&a.target).expect("only known endpoints are sent to");
        t.out = t.out.saturating_sub(1);
        if matches!(end.outcome, Outcome::Delivered | Outcome::Error | Outcome::Full { .. }) {
            t.idle.push_back(now);
            t.idle.retain(|at| now - at < e.s.idle_close);
            self.used.insert(a.target);
        }
        match end.outcome {
            Outcome::Delivered => {
                t.pace = if t.pace > 0.0 { t.pace + PACE_GAIN * (took - t.pace) } else { took };
                t.avoid_until = now;
                t.crowded = 0;
            }
            Outcome::Full { .. } | Outcome::NotSent | Outcome::Spoilt => {}
            // Turned away at once: it lives, but its table of connections is full.
            Outcome::ConnectFailed if end.elapsed < e.s.connect_timeout / 2 => {
                t.crowded = (t.crowded + 1).min(6);
                let wait = e.aim / 16.0 * f64::from(1 << t.crowded) * (0.5 + chance(&mut self.seed));
                t.closed_until = now + wait as Micros;
                self.crowded_until = now + e.warm as Micros;
                return;
            }
            _ => t.avoid_until = now + e.s.warm_after / AVOID_PART,
        }
        self.judge(now, a.dest, a.target, end);
    }

    fn judge(&mut self, now: Micros, dest: DestId, target: TargetId, end: &Ended) {
        let (e, batch) = (self.e.clone(), self.dests[&dest].kind.batch);
        let scope = self.scope(dest, target);
        if let Some(limit) = end.report.and_then(|r| r.limit).filter(|limit| scope.believes(*limit)) {
            if scope.ceiling.is_none() {
                scope.limit = Some(if batch > 1 { limit / e.s.senders.max(1) as f64 } else { limit });
            }
            scope.ceiling = Some(limit);
        }
        match end.outcome {
            Outcome::Delivered => scope.delivered(now, end.elapsed as f64, &e),
            Outcome::Full { wait } => scope.refused(now, now - end.elapsed, wait, &e),
            // Nobody's health shows in an answer that was spoilt on its way.
            Outcome::NotSent | Outcome::Spoilt => {}
            outcome => scope.failed(now, outcome, &e),
        }
    }

    // ---- Timers ----

    fn timers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.subscribe_at.is_some_and(|at| at <= now) {
            self.subscribe_at = None;
            actions.push(Action::Subscribe);
        }
        while let Some(&(at, id)) = self.alarms.first().filter(|(at, _)| *at <= now) {
            self.alarms.remove(&(at, id));
            let m = self.messages.get_mut(&id).expect("alarms go with their message");
            let latest = m.m.give_up_at - 2 * self.e.tick;
            if m.place == Place::Out && latest > now {
                m.alarm = latest;
                self.alarms.insert((latest, id));
            } else if !m.started {
                self.give_back(now, id, actions);
            }
        }
        while let Some(&(at, id)) = self.parked.first().filter(|(at, _)| *at <= now) {
            self.parked.remove(&(at, id));
            self.enqueue(now, id);
        }
    }

    fn set_wake(&mut self, now: Micros, at: Micros, actions: &mut Vec<Action>) {
        let firsts = [self.alarms.first(), self.parked.first()].into_iter().flatten().map(|(at, _)| *at);
        let at = firsts.chain(self.subscribe_at).fold(at, Micros::min).max(now + 1);
        if at < self.wake_at && at < Micros::MAX {
            self.wake_at = at;
            actions.push(Action::Wake { at });
        }
    }
}
