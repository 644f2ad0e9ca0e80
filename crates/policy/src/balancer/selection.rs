//! Which message goes where: the best offer of a destination, and the call that carries it.

use super::scope::{FALTER_SHARE, Scope, State};
use super::state::{Attempt, Balancer, Dest, Endpoint, Place};
use crate::api::{Action, DestId, Effect, EndpointId, MessageId, Micros};
use std::collections::BTreeSet;

/// Time-out of repeatable messages as a multiple of the usual pace, and two aims at least.
const TIMEOUT_TIMES: f64 = 10.0;

impl Balancer {
    /// The best message for a scope: what earns most, on time before late, earliest aim first.
    pub(super) fn pick(
        &self,
        d: &Dest,
        scope: &Scope,
        endpoint: &Endpoint,
        now: Micros,
    ) -> Option<(f64, MessageId)> {
        let at = now + scope.usual as Micros;
        let risky = scope.loss_share(now, &self.e) > FALTER_SHARE;
        let trial = matches!(scope.state, State::Outage(_));
        let effect = |class: usize| self.e.s.classes[class].effect;
        // What an attempt that comes to nothing costs: nothing, the life of its key, or the message.
        let harm = |class: usize| match effect(class) {
            Effect::Safe => 0,
            Effect::Keyed { .. } => 1,
            Effect::Unsafe => 2,
        };
        let least = d.lanes.keys().map(|(class, _)| harm(*class)).min().unwrap_or(0);
        let mut best: Option<(f64, Micros, MessageId)> = None;
        for ((class, _), lane) in &d.lanes {
            let effect = effect(*class);
            // Guards what an error loses for good: it is no trial while another message can be one,
            if trial && harm(*class) > least {
                continue;
            }
            let per_zone = matches!(effect, Effect::Keyed { per_zone: true, .. });
            for &(due, id) in lane.range((at, 0)..).next().into_iter().chain(lane.first()) {
                let m = &self.messages[&id];
                let elsewhere =
                    per_zone && m.first_possible_run.is_some_and(|(_, zone)| zone != endpoint.zone);
                // and where calls fail it waits for better times, as long as its aim allows.
                let early = risky && !trial && at + self.e.target_latency as Micros / 4 < m.due;
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
    pub(super) fn ranked(&self, d: &Dest, now: Micros) -> Vec<(f64, EndpointId)> {
        let e = &self.e;
        let cost = |id: &EndpointId| {
            let t = &self.endpoints[id];
            let usual = if t.pace > 0.0 { t.pace } else { d.scope.usual.max(e.target_latency / 16.0) };
            let warm = t.idle.back().is_some_and(|at| now - at < e.s.idle_timeout);
            let halves = 2.0 + 2.0 * t.out as f64 + f64::from(!warm) + f64::from(t.zone != e.s.zone) * 2.0;
            (usual / 2.0 * halves + if now < t.avoid_until { e.target_latency } else { 0.0 }, *id)
        };
        let mut found: Vec<(f64, EndpointId)> = d.endpoints.iter().map(cost).collect();
        found.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        found
    }

    /// The best send to a destination now, or when to look again.
    pub(super) fn candidate(
        &self,
        dest: DestId,
        now: Micros,
    ) -> Result<(f64, EndpointId, MessageId), Micros> {
        let d = &self.dests[&dest];
        let mut again = Micros::MAX;
        // A call takes one slot and earns all that it carries: else those who gather would starve.
        let waiting: usize = d.lanes.values().map(BTreeSet::len).sum();
        let travelling = waiting.min(d.kind.max_batch.max(1)) as f64;
        for (_, id) in self.ranked(d, now) {
            let t = &self.endpoints[&id];
            let scope = if d.kind.independent_endpoints { &t.scope } else { &d.scope };
            let idle = t.idle.back().is_some_and(|at| now - at < self.e.s.idle_timeout);
            let ready = scope.ready_at(now, &self.e).max(if idle { now } else { t.closed_until });
            if ready > now {
                again = again.min(ready);
            } else if let Some((value, message)) = self.pick(d, scope, t, now) {
                let slot_time = scope.usual.max(scope.pace).max(self.e.target_latency / 32.0);
                return Ok((value * travelling / slot_time, id, message));
            } else {
                again = again.min(now + self.e.target_latency as Micros / 16);
            }
        }
        Err(again)
    }

    /// One call: the message and, where the kind allows it, others that wait for the same destination.
    pub(super) fn send(
        &mut self,
        now: Micros,
        dest: DestId,
        endpoint: EndpointId,
        first: MessageId,
        out: &mut Vec<Action>,
    ) {
        let (e, call) = (self.e.clone(), self.next_call);
        self.next_call += 1;
        let kind = self.dests[&dest].kind;
        let usual = self.scope(dest, endpoint).usual.max(e.target_latency / 16.0);
        let (mut next, mut travelling) = (Some(first), 0);
        while let Some(id) = next.filter(|_| travelling < kind.max_batch.max(1)) {
            self.unqueue(id);
            let begin_by = self.sendable_until(&self.messages[&id]);
            let m = self.messages.get_mut(&id).expect("picked from a lane");
            m.place = Place::Out;
            let key = m.m.key.clone();
            if let Some(t) = key.as_ref().and_then(|k| self.turns.get_mut(k)) {
                t.out += 1;
            }
            let a = Attempt { call, endpoint, dest, class: m.m.class, sent: now, cancelled: false, key };
            self.attempts.insert((id, m.attempts), a);
            m.attempts += 1;
            travelling += 1;
            // Long for what must not run twice; from the usual pace for the rest.
            let left = (m.m.expires_at - now).max(1);
            let repeatable = e.s.classes[m.m.class].effect != Effect::Unsafe;
            let short = (TIMEOUT_TIMES * usual).max(2.0 * e.target_latency) as Micros;
            let timeout = if repeatable { short.min(left) } else { left };
            out.push(Action::Send { id, endpoint, timeout, begin_by });
            let (d, t) = (&self.dests[&dest], &self.endpoints[&endpoint]);
            let scope = if kind.independent_endpoints { &t.scope } else { &d.scope };
            next = self.pick(d, scope, t, now).map(|(_, id)| id);
        }
        self.calls.insert(call, travelling);
        *self.counters.entry(dest).or_default() += 1;
        let t = self.endpoints.get_mut(&endpoint).expect("endpoints are known");
        t.out += 1;
        t.idle.pop_back();
        self.scope(dest, endpoint).sent(call, now, travelling >= kind.max_batch, &e);
    }
}
