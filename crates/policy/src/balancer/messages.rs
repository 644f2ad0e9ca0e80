//! Messages while they are held: taken, queued, parked, shed and given their final answer.

use super::params::SECOND;
use super::scope::Scope;
use super::state::{Balancer, Dest, Message, Place};
use crate::api::{Action, Decay, Effect, MessageHistory, MessageId, Micros, SubmittedMessage};

/// Held messages are shed once the Nth part of `openCap` is left.
const SHED_PART: usize = 32;

impl Balancer {
    pub(super) fn submit(&mut self, now: Micros, m: SubmittedMessage, actions: &mut Vec<Action>) {
        let e = self.e.clone();
        if self.messages.contains_key(&m.id) {
            return;
        }
        let Some(c) = e.s.classes.get(m.class) else {
            return actions.push(Action::Refuse { id: m.id, wait: 0 });
        };
        // Nothing is kept for a destination that the list has never named: anybody may name any number.
        if m.history.attempts == 0 && !m.history.was_accepted && !self.dests.contains_key(&m.dest) {
            return actions.push(Action::Refuse {
                id: m.id,
                wait: e.s.max_retry_after.clamp(0, e.target_latency as Micros),
            });
        }
        let mut over = false;
        if let Some((tenant, seen)) = m.tenant.and_then(|t| e.s.tenants.get(t).zip(self.tenants.get_mut(t))) {
            seen.add(now, e.warm);
            over = seen.get(now, e.warm) * SECOND / e.warm > tenant.quota;
        }
        self.dests.get_mut(&m.dest).into_iter().for_each(|d| d.scope.handed_in.add(now, e.warm));
        let (id, key) = (m.id, m.key.clone().filter(|_| c.ordered));
        // A client that comes with less patience than the aim is on time until it leaves.
        let due = m.expires_at
            - if m.expires_at - now > c.target_latency { c.deadline - c.target_latency } else { 0 };
        let m = SubmittedMessage { key: key.clone(), ..m };
        let MessageHistory { attempts, first_possible_run, .. } = m.history;
        let held = Message {
            m,
            over,
            due,
            alarm: now,
            attempts,
            place: Place::Turn,
            first_possible_run,
            started: false,
        };
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
        if self.messages.len() + e.s.max_held_messages / SHED_PART > e.s.max_held_messages {
            self.shed(now, actions);
        }
    }

    /// No send after this: too late for an answer, or the destination may have forgotten the key.
    pub(super) fn sendable_until(&self, m: &Message) -> Micros {
        let usual = self.dests.get(&m.m.dest).map_or(0.0, |d| d.scope.usual);
        let way = (usual.max(self.e.target_latency / 16.0) / 2.0) as Micros;
        let end = m.m.expires_at - (usual / 2.0) as Micros - 3 * self.e.tick;
        match (self.e.s.classes[m.m.class].effect, m.first_possible_run) {
            // The key's life counts from the first attempt that may have run; this one has a way to go.
            (Effect::Keyed { life, .. }, Some((first, _))) => end.min(first + life - way),
            _ => end,
        }
    }

    /// No further attempt is allowed, by count or because an unsafe one may have run.
    pub(super) fn spent(&self, m: &Message) -> bool {
        let once = self.e.s.classes[m.m.class].effect == Effect::Unsafe;
        (once && m.first_possible_run.is_some()) || m.attempts >= self.e.s.max_attempts
    }

    pub(super) fn set_alarm(&mut self, id: MessageId) {
        let alarm = self.sendable_until(&self.messages[&id]);
        let m = self.messages.get_mut(&id).expect("alarms are set for held messages");
        self.alarms.remove(&(m.alarm, id));
        m.alarm = alarm;
        self.alarms.insert((alarm, id));
    }

    pub(super) fn enqueue(&mut self, now: Micros, id: MessageId) {
        let m = self.messages.get_mut(&id).expect("only held messages are queued");
        m.place = Place::Lane;
        let new = || Dest { scope: Scope::new(now, &mut self.seed), ..Dest::default() };
        let d = self.dests.entry(m.m.dest).or_insert_with(new);
        d.lanes.entry((m.m.class, m.over)).or_default().insert((m.due, id));
        self.waiting.insert(m.m.dest);
    }

    pub(super) fn unqueue(&mut self, id: MessageId) {
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

    pub(super) fn park(&mut self, id: MessageId, until: Micros) {
        self.messages.get_mut(&id).expect("only held messages are parked").place = Place::Parked(until);
        self.parked.insert((until, id));
    }

    /// Lets the first message of an ordered key go once nothing before it can still run.
    pub(super) fn next_turn(&mut self, now: Micros, key: &str) {
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
    pub(super) fn forget(&mut self, now: Micros, id: MessageId) {
        self.unqueue(id);
        let Some(m) = self.messages.remove(&id) else { return };
        self.alarms.remove(&(m.alarm, id));
        if let Some(key) = m.m.key {
            self.turns.entry(key.clone()).or_default().queue.retain(|q| *q != id);
            self.next_turn(now, &key);
        }
    }

    /// Refuses where no attempt may have run, else fails.
    pub(super) fn give_back(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let Some(m) = self.messages.get(&id) else { return };
        let safe = self.e.s.classes[m.m.class].effect == Effect::Safe;
        if m.place == Place::Out || (m.first_possible_run.is_some() && !safe) {
            actions.push(Action::Fail { id });
        } else {
            let wait = self.dests.get(&m.m.dest).map_or(0, |d| d.scope.wait_until - now);
            let most = if self.e.s.may_send_retry_after { self.e.s.max_retry_after.max(0) } else { 0 };
            actions.push(Action::Refuse { id, wait: wait.clamp(0, most) });
        }
        self.forget(now, id);
    }

    /// Near the cap, the message with least worth still to win makes room for what comes.
    pub(super) fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
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
    pub(super) fn value(&self, m: &Message, at: Micros) -> f64 {
        let c = &self.e.s.classes[m.m.class];
        let late = (at - m.due).max(0) as f64;
        let part = match self.e.s.decay {
            Decay::Exponential if c.target_latency > 0 => {
                (-late / c.target_latency as f64).exp2().max(c.deadline_value_share)
            }
            _ => {
                1.0 - (1.0 - c.deadline_value_share)
                    * (late / (m.m.expires_at - m.due).max(1) as f64).min(1.0)
            }
        };
        c.value.max(0.0).sqrt() * part * if m.over { self.e.s.over_quota_value_factor } else { 1.0 }
    }
}
