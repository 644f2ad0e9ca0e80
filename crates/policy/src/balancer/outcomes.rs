//! What came of an attempt: further attempts, the call's slot and count, and what it says of health.

use super::params::Env;
use super::scope::{PACE_GAIN, State};
use super::state::{Attempt, Balancer, Endpoint, Place};
use crate::api::{Action, DestId, EndedAttempt, EndpointId, Micros, Outcome};
use crate::numeric::chance;

/// The first further attempt after one that may have run waits the Nth part of the aim; then doubled.
const RETRY_PART: i64 = 16;
/// An endpoint whose call failed is avoided for the Nth part of `warmAfter`, then doubled up to all of it.
const AVOID_PART: i64 = 4;
const AVOID_DOUBLED: u32 = 2;

impl Endpoint {
    /// Others of its destination go first for a while, longer with each failure in a row.
    fn avoid(&mut self, now: Micros, e: &Env) {
        self.avoid_until = now + ((e.s.warm_up_duration / AVOID_PART) << self.fails.min(AVOID_DOUBLED));
        self.fails += 1;
    }
}

impl Balancer {
    pub(super) fn ended(&mut self, now: Micros, end: EndedAttempt, actions: &mut Vec<Action>) {
        let Some(a) = self.attempts.remove(&(end.id, end.attempt)) else { return };
        // A wait told to one message binds every message there.
        let full = if let Outcome::Full { wait } = end.outcome { wait } else { None };
        if let Some(wait) = full.or(end.wait) {
            let scope = self.scope(a.dest, a.endpoint);
            scope.wait_until = scope.wait_until.max(now + wait);
        }
        self.call_ended(now, &a, &end);
        if let Some(t) = a.key.as_ref().and_then(|key| self.turns.get_mut(key)) {
            t.out = t.out.saturating_sub(1);
            if matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                t.rest_until = t.rest_until.max(now + self.e.s.ordered_key_gap);
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
    pub(super) fn again(&mut self, now: Micros, a: &Attempt, end: &EndedAttempt, actions: &mut Vec<Action>) {
        let (e, id, zone) = (self.e.clone(), end.id, self.endpoints[&a.endpoint].zone);
        let m = self.messages.get_mut(&id).expect("checked by the caller");
        if !end.outcome.never_ran() && m.first_possible_run.is_none() {
            m.first_possible_run = Some((a.sent, zone));
        }
        m.place = Place::Turn;
        self.set_alarm(id);
        let m = &self.messages[&id];
        if now >= m.alarm || self.spent(m) {
            return self.give_back(now, id, actions);
        }
        let step = (e.target_latency as Micros / RETRY_PART) << (m.attempts - 1).min(4);
        let delay = if end.outcome.never_ran() { 0 } else { step };
        if delay > 0 { self.park(id, now + delay) } else { self.enqueue(now, id) }
    }

    /// Books the end of a call: slot, count and connection; then it is judged.
    pub(super) fn call_ended(&mut self, now: Micros, a: &Attempt, end: &EndedAttempt) {
        let left = self.calls.get_mut(&a.call).expect("an attempt belongs to a call");
        *left -= 1;
        if *left > 0 {
            return;
        }
        self.calls.remove(&a.call);
        let scope = self.scope(a.dest, a.endpoint);
        scope.out.remove(&a.call);
        let counter = self.counters.entry(a.dest).or_default();
        *counter = counter.saturating_sub(1);
        if *counter == 0 {
            self.counters.remove(&a.dest);
        }
        let (e, took) = (self.e.clone(), end.elapsed as f64);
        let others = end.outcome.never_ran() && self.others_serve(a.dest, a.endpoint);
        let t = self.endpoints.get_mut(&a.endpoint).expect("only known endpoints are sent to");
        t.out = t.out.saturating_sub(1);
        if matches!(end.outcome, Outcome::Delivered | Outcome::Error | Outcome::Full { .. }) {
            t.idle.push_back(now);
            t.idle.retain(|at| now - at < e.s.idle_timeout);
            self.used.insert(a.endpoint);
        }
        let at_once = end.outcome == Outcome::ConnectFailed && end.elapsed < e.s.connect_timeout / 2;
        self.crowded_until = if at_once { now + e.warm as Micros } else { self.crowded_until };
        match end.outcome {
            Outcome::Delivered => {
                t.pace = if t.pace > 0.0 { t.pace + PACE_GAIN * (took - t.pace) } else { took };
                t.avoid_until = now;
                (t.crowded, t.fails, t.served_at) = (0, 0, Some(now));
            }
            // Full after failures: it holds what it never answered, and its destination's others go on.
            Outcome::Full { wait: None } if t.fails > 0 => {
                t.avoid(now, &e);
                if others {
                    return;
                }
            }
            Outcome::Full { .. } | Outcome::NotSent | Outcome::Malformed => {}
            // Turned away at once by one that has just served, or while others may: a full table once a wave.
            _ if at_once
                && (others || t.served_at.is_some_and(|at| now - at < e.target_latency as Micros / 2)) =>
            {
                if t.crowded == 0 || now - end.elapsed >= t.closed_until {
                    t.crowded = (t.crowded + 1).min(6);
                    let wait =
                        e.target_latency / 16.0 * f64::from(1 << t.crowded) * (0.5 + chance(&mut self.seed));
                    // Not beyond the time in which it counts as just served: an outage must not go by unseen.
                    let seen = t.served_at.unwrap_or(now) + e.target_latency as Micros / 2;
                    t.closed_until = (now + wait as Micros).min(if others { Micros::MAX } else { seen });
                }
                return;
            }
            _ => t.avoid(now, &e),
        }
        self.judge(now, a.dest, a.endpoint, end);
    }

    /// Whether another endpoint of the destination may serve.
    fn others_serve(&self, dest: DestId, endpoint: EndpointId) -> bool {
        let d = &self.dests[&dest];
        let well = |t: &Endpoint| t.fails == 0 && t.crowded == 0;
        let mut others = d.endpoints.iter().filter(|id| **id != endpoint);
        d.scope.state == State::Open && others.any(|id| well(&self.endpoints[id]))
    }

    pub(super) fn judge(&mut self, now: Micros, dest: DestId, endpoint: EndpointId, end: &EndedAttempt) {
        let (e, kind) = (self.e.clone(), self.dests[&dest].kind);
        let scope = self.scope(dest, endpoint);
        end.report.into_iter().for_each(|report| scope.told(report, now, kind, &e));
        match end.outcome {
            Outcome::Delivered => scope.delivered(now, end.elapsed as f64, &e),
            Outcome::Full { wait } => scope.refused(now, now - end.elapsed, wait, &e),
            // Nobody's health shows in an answer that was spoilt on its way.
            Outcome::NotSent | Outcome::Malformed => {}
            outcome => scope.failed(now, outcome, &e),
        }
    }
}
