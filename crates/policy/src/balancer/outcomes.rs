//! Outcomes of attempts: retries, release of the call's slot, and what an outcome says about health.

use super::params::Params;
use super::scope::{Phase, RECENT_LATENCY_GAIN};
use super::state::{Attempt, Balancer, Endpoint, Placement};
use crate::api::{Action, DestId, Effect, EndedAttempt, EndpointId, Micros, Outcome};
use crate::numeric::random_unit;

/// Delay of the first retry after an attempt that may have run, as a fraction (one N-th) of the target
/// latency. It doubles with each further attempt, up to one target latency.
const RETRY_DELAY_DIVISOR: i64 = 16;
/// Time for which an endpoint is avoided after a failed call, as a fraction (one N-th) of `warmAfter`. It
/// doubles with each consecutive failure.
const AVOIDANCE_DIVISOR: i64 = 4;
/// Maximum number of times that the avoidance doubles, up to all of `warmAfter`.
const MAX_AVOIDANCE_DOUBLINGS: u32 = 2;
/// Pause before a new connection after a refused one, as a fraction (one N-th) of the target latency. It
/// doubles with each consecutive wave of refused connections.
const CONNECT_PAUSE_DIVISOR: f64 = 16.0;
/// Maximum number of times that this pause doubles.
const MAX_CONNECT_PAUSE_DOUBLINGS: u32 = 6;
/// Multiple of the warm-up time for which connections count as scarce after a destination refused one because
/// it had too many. Each sender that does not know it holds up others, so this is not forgotten soon.
const FULL_TABLE_WARM_UPS: Micros = 10;

impl Endpoint {
    /// Prefers the other endpoints of the destination for a time that grows with each consecutive failure.
    fn avoid(&mut self, now: Micros, params: &Params) {
        self.avoid_until = now
            + ((params.settings.warm_up_duration / AVOIDANCE_DIVISOR)
                << self.consecutive_failures.min(MAX_AVOIDANCE_DOUBLINGS));
        self.consecutive_failures += 1;
    }

    /// Opens no new connection for a time that doubles with each wave of refused connections, at most until
    /// `until`. Connections of one wave, that is, opened before the pause began, count once.
    fn pause_connecting(
        &mut self,
        now: Micros,
        opened_at: Micros,
        until: Micros,
        params: &Params,
        seed: &mut u64,
    ) {
        if self.connect_refusals > 0 && opened_at < self.no_connect_until {
            return;
        }
        self.connect_refusals = (self.connect_refusals + 1).min(MAX_CONNECT_PAUSE_DOUBLINGS);
        let pause = params.target_latency / CONNECT_PAUSE_DIVISOR
            * f64::from(1 << self.connect_refusals)
            * (0.5 + random_unit(seed));
        self.no_connect_until = (now + pause as Micros).min(until);
    }
}

impl Balancer {
    /// Handles the end of an attempt. Unknown attempts are ignored.
    pub(super) fn attempt_ended(&mut self, now: Micros, end: EndedAttempt, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(&(end.id, end.attempt)) else { return };
        if self.params.settings.classes[attempt.class].effect == Effect::Unsafe
            && let Some(dest) = self.dests.get_mut(&attempt.dest)
        {
            dest.unsafe_in_flight -= 1;
        }
        // A wait announced for one message applies to every message of the scope.
        let full_wait = if let Outcome::Full { wait } = end.outcome { wait } else { None };
        if let Some(wait) = full_wait.or(end.wait) {
            self.extend_wait(now, attempt.dest, attempt.endpoint, wait);
        }
        self.call_ended(now, &attempt, &end);
        if let Some(queue) = attempt.key.as_ref().and_then(|key| self.key_queues.get_mut(key)) {
            queue.in_flight = queue.in_flight.saturating_sub(1);
            if matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                queue.blocked_until = queue.blocked_until.max(now + self.params.settings.ordered_key_gap);
            }
        }
        if end.finished || end.outcome == Outcome::Delivered {
            self.remove_message(now, end.id);
        } else if self.messages.contains_key(&end.id) {
            self.retry(now, &attempt, &end, actions);
        }
        if let Some(key) = &attempt.key {
            self.release_next_of_key(now, key);
        }
    }

    /// Extends the wait of a scope to at least this time from now.
    pub(super) fn extend_wait(&mut self, now: Micros, dest: DestId, endpoint: EndpointId, wait: Micros) {
        let scope = self.scope(dest, endpoint);
        scope.wait_until = scope.wait_until.max(now + wait);
    }

    /// Plans a further attempt, if the class and the number of attempts allow one; otherwise answers the
    /// message.
    pub(super) fn retry(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        end: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let (params, id, zone) = (self.params.clone(), end.id, self.endpoints[&attempt.endpoint].zone);
        let message = self.messages.get_mut(&id).expect("checked by the caller");
        if !end.outcome.never_ran() && message.first_possible_run.is_none() {
            message.first_possible_run = Some((attempt.sent_at, zone));
        }
        message.placement = Placement::Pending;
        self.set_alarm(id);
        let message = &self.messages[&id];
        if now >= message.alarm || self.is_exhausted(message) {
            return self.refuse_or_fail(now, id, actions);
        }
        let step = (params.target_latency as Micros / RETRY_DELAY_DIVISOR) << (message.attempts - 1).min(4);
        let delay = if end.outcome.never_ran() { 0 } else { step };
        if delay > 0 { self.defer(id, now + delay) } else { self.enqueue(now, id) }
    }

    /// Updates the state of a call whose attempt ended. With its last attempt the call ends: its slot and
    /// connection are released, and its outcome is recorded.
    pub(super) fn call_ended(&mut self, now: Micros, attempt: &Attempt, end: &EndedAttempt) {
        let in_flight = self.calls.get_mut(&attempt.call).expect("an attempt belongs to a call");
        *in_flight -= 1;
        if *in_flight > 0 {
            return;
        }
        self.calls.remove(&attempt.call);
        let scope = self.scope(attempt.dest, attempt.endpoint);
        scope.calls_in_flight.remove(&attempt.call);
        let calls = self.calls_by_dest.entry(attempt.dest).or_default();
        *calls = calls.saturating_sub(1);
        if *calls == 0 {
            self.calls_by_dest.remove(&attempt.dest);
        }
        let (params, latency) = (self.params.clone(), end.elapsed as f64);
        let others_serve =
            end.outcome.never_ran() && self.other_endpoints_serve(attempt.dest, attempt.endpoint);
        let connect_refused =
            end.outcome == Outcome::ConnectFailed && end.elapsed < params.settings.connect_timeout / 2;
        self.update_scarcity(now, connect_refused, end.outcome);
        let endpoint = self.endpoints.get_mut(&attempt.endpoint).expect("only known endpoints are sent to");
        endpoint.calls_in_flight = endpoint.calls_in_flight.saturating_sub(1);
        let has_responded = matches!(end.outcome, Outcome::Delivered | Outcome::Error | Outcome::Full { .. });
        if has_responded {
            endpoint.last_response = Some(now);
        }
        if has_responded || endpoint.calls_in_flight == 0 {
            endpoint.unanswered_since = None;
        }
        if has_responded {
            endpoint.idle_connections.push_back(now);
            endpoint.idle_connections.retain(|at| now - at < params.settings.idle_timeout);
            self.used_endpoints.insert(attempt.endpoint);
        }
        match end.outcome {
            Outcome::Delivered => {
                endpoint.recent_latency = if endpoint.recent_latency > 0.0 {
                    endpoint.recent_latency + RECENT_LATENCY_GAIN * (latency - endpoint.recent_latency)
                } else {
                    latency
                };
                endpoint.avoid_until = now;
                (endpoint.connect_refusals, endpoint.consecutive_failures, endpoint.last_delivery) =
                    (0, 0, Some(now));
            }
            // An endpoint that refuses calls after failures is full of calls that it never responded to; the
            // other endpoints of its destination continue to serve.
            Outcome::Full { wait: None } if endpoint.consecutive_failures > 0 => {
                endpoint.avoid(now, &params);
                if others_serve {
                    return;
                }
            }
            Outcome::Full { .. } | Outcome::NotSent | Outcome::Malformed => {}
            // The destination is up, and says nothing about the limit of its calls.
            Outcome::TooManyConnections => {
                let until = now + params.target_latency as Micros;
                return endpoint.pause_connecting(now, now - end.elapsed, until, &params, &mut self.seed);
            }
            // A connection that is refused at once by an endpoint that has just delivered, or while other
            // endpoints may serve, shows a full connection table and no outage. It counts once per wave.
            _ if connect_refused
                && (others_serve
                    || endpoint
                        .last_delivery
                        .is_some_and(|at| now - at < params.target_latency as Micros / 2)) =>
            {
                // The pause ends within the time in which the endpoint counts as having just delivered, so
                // that an outage is not missed.
                let just_delivered_until =
                    endpoint.last_delivery.unwrap_or(now) + params.target_latency as Micros / 2;
                let until = if others_serve { Micros::MAX } else { just_delivered_until };
                endpoint.pause_connecting(now, now - end.elapsed, until, &params, &mut self.seed);
                return;
            }
            _ => endpoint.avoid(now, &params),
        }
        self.record_outcome(now, attempt.dest, attempt.endpoint, end);
    }

    /// Starts or extends the period in which connections are scarce, if one was refused.
    fn update_scarcity(&mut self, now: Micros, connect_refused: bool, outcome: Outcome) {
        let is_table_full = outcome == Outcome::TooManyConnections;
        if is_table_full && now >= self.connections_scarce_until {
            // The sender that holds a connection is not refused there: all are checked, wherever it was.
            self.used_endpoints.extend(self.endpoints.keys());
        }
        let warm_ups = if is_table_full { FULL_TABLE_WARM_UPS } else { Micros::from(connect_refused) };
        let until = now + warm_ups * self.params.warm_up as Micros;
        self.connections_scarce_until = self.connections_scarce_until.max(until);
    }

    /// Returns true if another endpoint of the destination may serve.
    fn other_endpoints_serve(&self, dest: DestId, endpoint: EndpointId) -> bool {
        let dest = &self.dests[&dest];
        let is_healthy =
            |endpoint: &Endpoint| endpoint.consecutive_failures == 0 && endpoint.connect_refusals == 0;
        let mut others = dest.endpoints.iter().filter(|id| **id != endpoint);
        dest.scope.phase == Phase::Up && others.any(|id| is_healthy(&self.endpoints[id]))
    }

    /// Records the report and the outcome of a call in its scope.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        dest: DestId,
        endpoint: EndpointId,
        end: &EndedAttempt,
    ) {
        let (params, kind) = (self.params.clone(), self.dests[&dest].kind);
        let scope = self.scope(dest, endpoint);
        end.report.into_iter().for_each(|report| scope.apply_report(report, now, kind, &params));
        match end.outcome {
            Outcome::TimedOut => scope.record_timeout(now, now - end.elapsed),
            Outcome::Delivered | Outcome::Error | Outcome::Full { .. } => scope.record_response(),
            _ => {}
        }
        match end.outcome {
            Outcome::Delivered => scope.record_delivery(now, end.elapsed as f64, &params),
            Outcome::Full { wait } => scope.record_refusal(now, now - end.elapsed, wait, &params),
            // A response that was corrupted on its way says nothing about the destination's health.
            Outcome::NotSent | Outcome::Malformed => {}
            outcome => scope.record_failure(now, now - end.elapsed, outcome, &params),
        }
    }
}
