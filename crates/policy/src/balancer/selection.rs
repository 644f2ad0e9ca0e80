//! Selection of what to send: the best message and endpoint of a destination, and the call that carries the
//! message.

use super::message_queue::MessageQueue;
use super::scope::{DEGRADED_FAILURE_SHARE, Phase, Scope};
use super::state::{Attempt, Balancer, Dest, Endpoint, Placement};
use crate::api::{Action, DestId, Effect, EndpointId, MessageId, Micros};

impl Balancer {
    /// Returns the message with the highest value for a call to a scope, with that value. Of each queue only
    /// the first message that can still be on time and the first of all are considered; of equal values the
    /// message that is due first is returned.
    pub(super) fn best_message(
        &self,
        dest: &Dest,
        scope: &Scope,
        endpoint: &Endpoint,
        now: Micros,
    ) -> Option<(f64, MessageId)> {
        let at = now + scope.usual_latency as Micros;
        let unsafe_wait = self.unsafe_wait_share(dest, endpoint, now);
        let is_risky = scope.loss_share(now, &self.params) > DEGRADED_FAILURE_SHARE;
        let is_probe = matches!(scope.phase, Phase::Outage(_));
        let effect = |class: usize| self.params.settings.classes[class].effect;
        // What a failed attempt costs: nothing, part of the life of the message's key, or the message.
        let harm = |class: usize| match effect(class) {
            Effect::Safe => 0,
            Effect::Keyed { .. } => 1,
            Effect::Unsafe => 2,
        };
        let min_harm = dest.queues.keys().map(|(class, _)| harm(*class)).min().unwrap_or(0);
        let mut best: Option<(f64, Micros, MessageId)> = None;
        for ((class, _), queue) in &dest.queues {
            let effect = effect(*class);
            // Only messages whose loss does the minimum harm serve as probes: an unsafe message, which an
            // error would lose, is not used while another one is queued.
            if is_probe && harm(*class) > min_harm {
                continue;
            }
            let per_zone = matches!(effect, Effect::Keyed { per_zone: true, .. });
            for (due, id) in queue.first_due_from(at).into_iter().chain(queue.first()) {
                let message = &self.messages[&id];
                let other_zone =
                    per_zone && message.first_possible_run.is_some_and(|(_, zone)| zone != endpoint.zone);
                // Where calls fail, an unsafe message is deferred as long as its target latency allows.
                let may_wait =
                    is_risky && !is_probe && at + self.params.target_latency as Micros / 4 < message.due;
                if may_wait && effect == Effect::Unsafe {
                    continue;
                }
                let can_wait = |share| now < self.can_wait_until(message, share);
                if effect == Effect::Unsafe && unsafe_wait.is_some_and(can_wait) {
                    continue;
                }
                let value = self.value(message, at);
                let is_better = best.is_none_or(|(best_value, best_due, _)| {
                    value > best_value || (value == best_value && due < best_due)
                });
                if is_better && !other_zone && now < self.sendable_until(message) {
                    best = Some((value, due, id));
                }
            }
        }
        best.map(|(value, _, id)| (value, id))
    }

    /// Returns the endpoints of a destination by expected latency. Endpoints with an idle connection, in the
    /// same zone, with few calls in flight and without a recent failure come first.
    pub(super) fn ranked_endpoints(&self, dest: &Dest, now: Micros) -> Vec<(f64, EndpointId)> {
        let params = &self.params;
        let cost = |id: &EndpointId| {
            let endpoint = &self.endpoints[id];
            let latency = if endpoint.recent_latency > 0.0 {
                endpoint.recent_latency
            } else {
                dest.scope.usual_latency.max(params.target_latency / 16.0)
            };
            let is_connected = endpoint.is_connected(now, params);
            let half_latencies = 2.0
                + 2.0 * endpoint.calls_in_flight as f64
                + f64::from(!is_connected)
                + f64::from(endpoint.zone != params.settings.zone) * 2.0;
            (
                latency / 2.0 * half_latencies
                    + if now < endpoint.avoid_until { params.target_latency } else { 0.0 },
                *id,
            )
        };
        let mut ranked: Vec<(f64, EndpointId)> = dest.endpoints.iter().map(cost).collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        ranked
    }

    /// Returns the best send to a destination now (its value per slot time, endpoint and message), or when to
    /// check again.
    pub(super) fn best_send(
        &self,
        dest: DestId,
        now: Micros,
    ) -> Result<(f64, EndpointId, MessageId), Micros> {
        let dest = &self.dests[&dest];
        let mut check_at = Micros::MAX;
        // A call takes one slot and earns the value of all messages that it carries; counted by its first
        // message alone, destinations with batches would be starved.
        let queued: usize = dest.queues.values().map(MessageQueue::len).sum();
        let batch = queued.min(dest.kind.max_batch.max(1)) as f64;
        for (_, id) in self.ranked_endpoints(dest, now) {
            let endpoint = &self.endpoints[&id];
            let scope = if dest.kind.independent_endpoints { &endpoint.scope } else { &dest.scope };
            let is_connected = endpoint.is_connected(now, &self.params);
            let ready = scope.ready_at(now, &self.params).max(if is_connected {
                now
            } else {
                endpoint.no_connect_until
            });
            if ready > now {
                check_at = check_at.min(ready);
            } else if let Some((value, message)) = self.best_message(dest, scope, endpoint, now) {
                let slot_time =
                    scope.usual_latency.max(scope.recent_latency).max(self.params.target_latency / 32.0);
                return Ok((value * batch / slot_time, id, message));
            } else {
                check_at = check_at.min(now + self.params.target_latency as Micros / 16);
                check_at = self.next_unsafe_at(dest, endpoint, now).map_or(check_at, |at| check_at.min(at));
            }
        }
        Err(check_at)
    }

    /// Sends one call with the message `first` and, where the kind of destination allows it, other messages
    /// queued for the same destination.
    pub(super) fn send(
        &mut self,
        now: Micros,
        dest: DestId,
        endpoint: EndpointId,
        first: MessageId,
        actions: &mut Vec<Action>,
    ) {
        let (params, call) = (self.params.clone(), self.next_call);
        self.next_call += 1;
        let kind = self.dests[&dest].kind;
        let call_timeout = self.scope(dest, endpoint).call_timeout(&params);
        let (mut next, mut batch) = (Some(first), 0);
        while let Some(id) = next.filter(|_| batch < kind.max_batch.max(1)) {
            self.dequeue(id);
            let begin_by = self.sendable_until(&self.messages[&id]);
            let message = self.messages.get_mut(&id).expect("selected from a queue");
            message.placement = Placement::InFlight;
            let key = message.submitted.key.clone();
            if let Some(queue) = key.as_ref().and_then(|key| self.key_queues.get_mut(key)) {
                queue.in_flight += 1;
            }
            let class = message.submitted.class;
            let attempt = Attempt { call, endpoint, dest, class, sent_at: now, cancelled: false, key };
            self.attempts.insert((id, message.attempts), attempt);
            message.attempts += 1;
            batch += 1;
            // Unsafe messages may take until their deadline.
            let time_left = (message.submitted.expires_at - now).max(1);
            let is_repeatable = params.settings.classes[class].effect != Effect::Unsafe;
            let timeout = if is_repeatable { call_timeout.min(time_left) } else { time_left };
            actions.push(Action::Send { id, endpoint, timeout, begin_by });
            let dest_state = self.dests.get_mut(&dest).expect("only known destinations are sent to");
            dest_state.unsafe_in_flight += usize::from(!is_repeatable);
            let (dest, endpoint) = (&self.dests[&dest], &self.endpoints[&endpoint]);
            let scope = if kind.independent_endpoints { &endpoint.scope } else { &dest.scope };
            next = self.best_message(dest, scope, endpoint, now).map(|(_, id)| id);
        }
        self.calls.insert(call, batch);
        *self.calls_by_dest.entry(dest).or_default() += 1;
        let endpoint_state = self.endpoints.get_mut(&endpoint).expect("only known endpoints are sent to");
        if endpoint_state.calls_in_flight == 0 && !endpoint_state.is_connected(now, &params) {
            endpoint_state.connected_since = now;
        }
        endpoint_state.calls_in_flight += 1;
        endpoint_state.unanswered_since.get_or_insert(now);
        endpoint_state.idle_connections.pop_back();
        self.scope(dest, endpoint).record_send(call, now, batch >= kind.max_batch, &params);
    }
}
