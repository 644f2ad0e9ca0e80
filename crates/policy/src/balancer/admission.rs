//! Admission of calls: the calls in flight to a destination are capped at a share of the slots, and at less
//! while it is degraded.

use super::params::SECOND_US;
use super::scope::PhaseCause;
use super::state::Balancer;
use crate::api::{Action, DestId, Effect, EndpointId, MessageId, Micros};
use std::collections::BTreeMap;

/// Quarters of the slots that a destination may use while its calls succeed.
const HEALTHY_SLOT_QUARTERS: usize = 3;
/// Quarters of the slots that a degraded destination may use. All degraded destinations together may use no
/// more, so that the rest is left to healthy ones.
const DEGRADED_SLOT_QUARTERS: usize = 2;
/// Number of overdue calls from which a destination is assumed to hang.
const HANG_OVERDUE_CALLS: usize = 2;
/// When slots are short, overdue calls may keep this fraction of them (one in N).
const OVERDUE_SLOTS_DIVISOR: usize = 4;
/// Number of senders from which an idle connection is kept only if the sender keeps at least one connection
/// busy. With fewer senders, keeping a proportional part of one busy is enough.
const IDLE_CONNECTION_SENDERS: f64 = 16.0;
/// Age at which a connection that is not kept busy is closed, as a multiple of the warm-up time. Opening the
/// next one shows whether the destination has room for it.
const MAX_AGE_WARM_UPS: Micros = 1;

/// The best send to a destination in this turn.
struct Offer {
    /// True if the destination is degraded.
    is_degraded: bool,
    /// Value, endpoint and message of the send, or when to check again if there is none.
    send: Result<(f64, EndpointId, MessageId), Micros>,
}

impl Balancer {
    /// Returns the number of slots in `quarters` quarters of all slots, at least one.
    pub(super) fn slot_cap(&self, quarters: usize) -> usize {
        (self.params.settings.slots / 4 * quarters + self.params.settings.slots % 4 * quarters / 4).max(1)
    }

    /// Returns true if a destination, or one of its endpoints where they are independent, is degraded.
    pub(super) fn is_dest_degraded(&self, id: DestId, now: Micros) -> bool {
        let Some(dest) = self.dests.get(&id) else { return false };
        let mut scopes = dest
            .endpoints
            .iter()
            .filter(|_| dest.kind.independent_endpoints)
            .map(|endpoint| &self.endpoints[endpoint].scope);
        dest.scope.is_degraded(now, &self.params) || scopes.any(|scope| scope.is_degraded(now, &self.params))
    }

    /// Ends a turn: sends the most valuable messages while slots are free and their destinations are under
    /// their caps.
    pub(super) fn turn_end(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.run_timers(now, actions);
        let queued: Vec<DestId> = self.dests_with_queue.iter().copied().collect();
        queued.iter().for_each(|dest| self.detect_hang(*dest, now));
        let degraded = self.calls_by_dest.iter().filter(|(dest, _)| self.is_dest_degraded(**dest, now));
        let mut degraded_calls: usize = degraded.map(|(_, calls)| calls).sum();
        let mut wake = Micros::MAX;
        let mut offers: BTreeMap<DestId, Offer> =
            self.dests_with_queue.iter().map(|dest| (*dest, self.offer(*dest, now))).collect();
        while self.calls.len() < self.params.settings.slots {
            let mut best: Option<(f64, DestId, EndpointId, MessageId, bool)> = None;
            wake = Micros::MAX;
            for (&dest, offer) in &offers {
                let cap = self.slot_cap(if offer.is_degraded {
                    DEGRADED_SLOT_QUARTERS
                } else {
                    HEALTHY_SLOT_QUARTERS
                });
                let calls = self.calls_by_dest.get(&dest).copied().unwrap_or(0);
                if calls >= cap
                    || (offer.is_degraded && degraded_calls >= self.slot_cap(DEGRADED_SLOT_QUARTERS))
                {
                    continue;
                }
                match offer.send {
                    Ok((value, endpoint, id)) if best.is_none_or(|b| value > b.0) => {
                        best = Some((value, dest, endpoint, id, offer.is_degraded))
                    }
                    Ok(_) => {}
                    Err(at) => wake = wake.min(at),
                }
            }
            let Some((_, dest, endpoint, id, is_degraded)) = best else { break };
            degraded_calls += usize::from(is_degraded);
            self.send(now, dest, endpoint, id, actions);
            // A send does not affect the other offers, and computing all of them again would be expensive.
            offers.remove(&dest);
            offers.extend(self.dests_with_queue.contains(&dest).then(|| (dest, self.offer(dest, now))));
        }
        self.cancel_overdue(now, actions);
        self.close_idle(now, actions);
        self.remove_delisted_endpoints(now);
        self.set_wake(now, wake, actions);
    }

    /// Returns the best send to a destination.
    fn offer(&self, dest: DestId, now: Micros) -> Offer {
        Offer { is_degraded: self.is_dest_degraded(dest, now), send: self.best_send(dest, now) }
    }

    /// Closes idle connections that are not kept busy, if connections are scarce, or in a large fleet if the
    /// connection is old. Idle connections count against a destination's connection limit, and many
    /// infrequent senders use it up. This protects all senders of a destination; the cost is one more
    /// handshake per call where calls come in bursts.
    pub(super) fn close_idle(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let params = self.params.clone();
        let min_busy = (params.settings.senders as f64 / IDLE_CONNECTION_SENDERS).min(1.0);
        for id in std::mem::take(&mut self.used_endpoints) {
            let Some(endpoint) = self.endpoints.get(&id) else { continue };
            let dest = &self.dests[&endpoint.dest];
            let scope = if dest.kind.independent_endpoints { &endpoint.scope } else { &dest.scope };
            let busy = scope.own_rate(now, &params) * scope.usual_latency / SECOND_US;
            // A sender that holds a connection is never refused one, and does not notice that others are.
            let is_old = min_busy >= 1.0
                && now - endpoint.connected_since >= MAX_AGE_WARM_UPS * params.warm_up as Micros;
            // The host may hold a connection that is not counted as idle: one that rests after a call is not
            // used for the next one.
            let may_close =
                now < self.connections_scarce_until || is_old && !endpoint.idle_connections.is_empty();
            if may_close && busy < min_busy {
                self.endpoints.get_mut(&id).expect("looked up above").idle_connections.clear();
                actions.push(Action::CloseIdle { endpoint: id });
            }
        }
    }

    /// Enters the outage phase where calls hang: a hang yields no outcomes, and shows only in the age of
    /// calls in flight.
    pub(super) fn detect_hang(&mut self, id: DestId, now: Micros) {
        let (params, dest) =
            (self.params.clone(), self.dests.get_mut(&id).expect("destinations with a queue are known"));
        for endpoint in dest.endpoints.iter().copied().collect::<Vec<_>>() {
            let scope = self.scope(id, endpoint);
            if scope.overdue_calls(now, &params) >= HANG_OVERDUE_CALLS {
                scope.enter_outage(now, PhaseCause::OverdueCalls, &params);
            }
        }
    }

    /// Cancels all but a few overdue calls when every slot is taken, so that other destinations get slots.
    /// Calls that may be repeated are cancelled first. Cancelling loses an unsafe message, so a call that
    /// carries one is given half a target latency more.
    pub(super) fn cancel_overdue(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.calls.len() < self.params.settings.slots
            || self.dests_with_queue.is_empty()
            || !self.params.settings.may_cancel
        {
            return;
        }
        // By call: whether it carries an unsafe message, when it was sent, and the age from which it is
        // overdue.
        let mut in_flight: BTreeMap<u64, (bool, Micros, Micros)> = BTreeMap::new();
        for attempt in self.attempts.values().filter(|attempt| !attempt.cancelled) {
            let (dest, endpoint) = (&self.dests[&attempt.dest], &self.endpoints[&attempt.endpoint]);
            let scope = if dest.kind.independent_endpoints { &endpoint.scope } else { &dest.scope };
            let call = in_flight.entry(attempt.call).or_insert((
                false,
                attempt.sent_at,
                scope.overdue_after(&self.params),
            ));
            call.0 |= self.params.settings.classes[attempt.class].effect == Effect::Unsafe;
        }
        let extra = |is_unsafe: bool| if is_unsafe { self.params.target_latency as Micros / 2 } else { 0 };
        let overdue = in_flight.into_iter().filter(|(_, (is_unsafe, sent_at, overdue_after))| {
            now - sent_at > overdue_after + extra(*is_unsafe)
        });
        let mut cancelled: Vec<(bool, Micros, u64)> =
            overdue.map(|(call, (is_unsafe, sent_at, _))| (is_unsafe, sent_at, call)).collect();
        cancelled.sort_unstable();
        cancelled.truncate(
            cancelled.len().saturating_sub((self.params.settings.slots / OVERDUE_SLOTS_DIVISOR).max(1)),
        );
        for (&(id, number), attempt) in &mut self.attempts {
            if !attempt.cancelled && cancelled.iter().any(|(.., call)| *call == attempt.call) {
                attempt.cancelled = true;
                actions.push(Action::Cancel { id, attempt: number });
            }
        }
    }
}
