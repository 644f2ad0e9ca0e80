//! The life of held messages: they are submitted, queued, deferred, shed and given their final answer.

use super::message_queue::MessageQueue;
use super::params::SECOND_US;
use super::scope::{Scope, ScopeId};
use super::state::{Balancer, Dest, Message, Placement};
use crate::api::{Action, Decay, Effect, MessageHistory, MessageId, Micros, SubmittedMessage};

/// Messages are shed once less than this fraction (one N-th) of `openCap` is free.
const SHED_RESERVE_DIVISOR: usize = 32;

impl Balancer {
    /// Takes a submitted message. A message whose id is held already is ignored.
    pub(super) fn submit(&mut self, now: Micros, submitted: SubmittedMessage, actions: &mut Vec<Action>) {
        let params = self.params.clone();
        if self.messages.contains_key(&submitted.id) {
            return;
        }
        let Some(class) = params.settings.classes.get(submitted.class) else {
            return actions.push(Action::Refuse { id: submitted.id, wait: 0 });
        };
        // No state is kept for a destination that was never listed, since clients may name any number.
        if submitted.history.attempts == 0
            && !submitted.history.was_accepted
            && !self.dests.contains_key(&submitted.dest)
        {
            return actions.push(Action::Refuse {
                id: submitted.id,
                wait: params.settings.max_retry_after.clamp(0, params.target_latency as Micros),
            });
        }
        let mut over_quota = false;
        if let Some((tenant, submissions)) = submitted
            .tenant
            .and_then(|t| params.settings.tenants.get(t).zip(self.tenant_submissions.get_mut(t)))
        {
            submissions.add(now, params.warm_up);
            over_quota = submissions.value(now, params.warm_up) * SECOND_US / params.warm_up > tenant.quota;
        }
        self.dests
            .get_mut(&submitted.dest)
            .into_iter()
            .for_each(|dest| dest.scope.messages_submitted.add(now, params.warm_up));
        let (id, key) = (submitted.id, submitted.key.clone().filter(|_| class.ordered));
        // A message whose client waits for less than the target latency keeps its full value until the client
        // leaves.
        let due = submitted.expires_at
            - if submitted.expires_at - now > class.target_latency {
                class.deadline - class.target_latency
            } else {
                0
            };
        let submitted = SubmittedMessage { key: key.clone(), ..submitted };
        let MessageHistory { attempts, first_possible_run, .. } = submitted.history;
        let message = Message {
            submitted,
            over_quota,
            due,
            alarm: now,
            attempts,
            placement: Placement::Pending,
            first_possible_run,
            response_started: false,
        };
        self.messages.insert(id, message);
        self.set_alarm(id);
        if self.is_exhausted(&self.messages[&id]) {
            return self.refuse_or_fail(now, id, actions);
        }
        match key {
            Some(key) => {
                self.key_queues.entry(key.clone()).or_default().messages.push_back(id);
                self.release_next_of_key(now, &key);
            }
            None => self.enqueue(now, id),
        }
        let reserve = params.settings.max_held_messages / SHED_RESERVE_DIVISOR;
        if self.messages.len() + reserve > params.settings.max_held_messages {
            self.shed(now, actions);
        }
    }

    /// Returns the time after which a message must not be sent, because the response would come too late or
    /// the destination may have forgotten the idempotency key.
    pub(super) fn sendable_until(&self, message: &Message) -> Micros {
        let usual_latency =
            self.dests.get(&message.submitted.dest).map_or(0.0, |dest| dest.scope.usual_latency);
        let transit = (usual_latency.max(self.params.target_latency / 16.0) / 2.0) as Micros;
        let end = message.submitted.expires_at - (usual_latency / 2.0) as Micros - 3 * self.params.tick;
        match (self.params.settings.classes[message.submitted.class].effect, message.first_possible_run) {
            // The life of the key counts from the first attempt that may have run; the next one must arrive
            // within it.
            (Effect::Keyed { life, .. }, Some((first, _))) => end.min(first + life - transit),
            _ => end,
        }
    }

    /// Returns true if no further attempt is allowed, because of their number or because an unsafe message
    /// may have run.
    pub(super) fn is_exhausted(&self, message: &Message) -> bool {
        let is_unsafe = self.params.settings.classes[message.submitted.class].effect == Effect::Unsafe;
        (is_unsafe && message.first_possible_run.is_some())
            || message.attempts >= self.params.settings.max_attempts
    }

    /// Sets the alarm of a message to the time after which it must not be sent.
    pub(super) fn set_alarm(&mut self, id: MessageId) {
        let alarm = self.sendable_until(&self.messages[&id]);
        let message = self.messages.get_mut(&id).expect("alarms are set for held messages");
        self.alarms.remove(&(message.alarm, id));
        message.alarm = alarm;
        self.alarms.insert((alarm, id));
    }

    /// Puts a message into its queue, ready to be sent.
    pub(super) fn enqueue(&mut self, now: Micros, id: MessageId) {
        let message = self.messages.get_mut(&id).expect("only held messages are queued");
        message.placement = Placement::Queued;
        let scope = ScopeId { dest: message.submitted.dest, endpoint: None };
        let new = || Dest { scope: Scope::new(scope, now, &mut self.seed), ..Dest::default() };
        let dest = self.dests.entry(scope.dest).or_insert_with(new);
        let queue = dest.queues.entry((message.submitted.class, message.over_quota)).or_default();
        queue.insert(message.due, id, message.submitted.history.was_accepted);
        self.dests_with_queue.insert(message.submitted.dest);
    }

    /// Takes a message out of its queue, or out of the deferred messages.
    pub(super) fn dequeue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if let Placement::Deferred(at) = message.placement {
            self.deferred.remove(&(at, id));
        } else if message.placement == Placement::Queued
            && let Some(dest) = self.dests.get_mut(&message.submitted.dest)
        {
            let queue = dest.queues.entry((message.submitted.class, message.over_quota)).or_default();
            queue.remove(message.due, id);
            dest.queues.retain(|_, queue| !queue.is_empty());
            if dest.queues.is_empty() {
                self.dests_with_queue.remove(&message.submitted.dest);
            }
        }
    }

    /// Defers a message until a later time, at which it is queued.
    pub(super) fn defer(&mut self, id: MessageId, until: Micros) {
        let message = self.messages.get_mut(&id).expect("only held messages are deferred");
        message.placement = Placement::Deferred(until);
        self.deferred.insert((until, id));
    }

    /// Releases the first message of an ordered key once no earlier one can still be running.
    pub(super) fn release_next_of_key(&mut self, now: Micros, key: &str) {
        let Some(queue) = self.key_queues.get(key).filter(|queue| queue.in_flight == 0) else { return };
        let blocked_until = queue.blocked_until;
        match queue.messages.front().copied() {
            None if now >= blocked_until => drop(self.key_queues.remove(key)),
            Some(id) if self.messages[&id].placement == Placement::Pending && now < blocked_until => {
                self.defer(id, blocked_until)
            }
            Some(id) if self.messages[&id].placement == Placement::Pending => self.enqueue(now, id),
            _ => {}
        }
    }

    /// Removes a finished message, so that nothing more is sent for it.
    pub(super) fn remove_message(&mut self, now: Micros, id: MessageId) {
        self.dequeue(id);
        let Some(message) = self.messages.remove(&id) else { return };
        self.alarms.remove(&(message.alarm, id));
        if let Some(key) = message.submitted.key {
            self.key_queues.entry(key.clone()).or_default().messages.retain(|queued| *queued != id);
            self.release_next_of_key(now, &key);
        }
    }

    /// Gives a message its final answer: it is refused if another attempt does no harm, and fails otherwise.
    pub(super) fn refuse_or_fail(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        let is_safe = self.params.settings.classes[message.submitted.class].effect == Effect::Safe;
        if message.placement == Placement::InFlight || (message.first_possible_run.is_some() && !is_safe) {
            actions.push(Action::Fail { id });
        } else {
            let wait = self.dests.get(&message.submitted.dest).map_or(0, |dest| dest.scope.wait_until - now);
            let max_wait = if self.params.settings.may_send_retry_after {
                self.params.settings.max_retry_after.max(0)
            } else {
                0
            };
            actions.push(Action::Refuse { id, wait: wait.clamp(0, max_wait) });
        }
        self.remove_message(now, id);
    }

    /// Sheds a message to make room for new ones when the cap on held messages is near. Messages that an
    /// earlier process had accepted may fill the cap after a restart; they are shed only if there is no other
    /// and the cap is exceeded, as a refused new client can still submit elsewhere.
    pub(super) fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let exceeds_cap = self.messages.len() > self.params.settings.max_held_messages;
        let recovered = || self.cheapest_queued(now, MessageQueue::first_recovered);
        let id = self
            .cheapest_queued(now, MessageQueue::first_new)
            .or_else(|| exceeds_cap.then(recovered).flatten());
        if let Some(id) = id {
            self.refuse_or_fail(now, id, actions);
        }
    }

    /// Returns the message with the lowest value divided by the length of its queue, of the candidates of all
    /// queues.
    fn cheapest_queued(
        &self,
        now: Micros,
        candidate: impl Fn(&MessageQueue) -> Option<MessageId>,
    ) -> Option<MessageId> {
        let queues = self.dests_with_queue.iter().flat_map(|dest| self.dests[dest].queues.values());
        let values = queues.filter_map(|queue| {
            let id = candidate(queue)?;
            Some((self.value(&self.messages[&id], now) / queue.len() as f64, id))
        });
        values.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// Returns the value that a delivery at `at` would earn.
    pub(super) fn value(&self, message: &Message, at: Micros) -> f64 {
        let class = &self.params.settings.classes[message.submitted.class];
        let lateness = (at - message.due).max(0) as f64;
        let share = match self.params.settings.decay {
            Decay::Exponential if class.target_latency > 0 => {
                (-lateness / class.target_latency as f64).exp2().max(class.deadline_value_share)
            }
            _ => {
                1.0 - (1.0 - class.deadline_value_share)
                    * (lateness / (message.submitted.expires_at - message.due).max(1) as f64).min(1.0)
            }
        };
        class.value.max(0.0).sqrt()
            * share
            * if message.over_quota { self.params.settings.over_quota_value_factor } else { 1.0 }
    }
}
