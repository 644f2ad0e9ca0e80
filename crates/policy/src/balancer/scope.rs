//! What is known of a scope: its latency, its health, its rate limit, and its phase with respect to outages.
//!
//! A scope is a destination, or a single endpoint where the endpoints of a destination are independent.

mod evidence;
mod phase;
mod rate;

pub(super) use phase::{Phase, PhaseCause};

use super::params::{Params, SECOND_US};
use crate::api::{DestId, EndpointId, Micros};
use crate::numeric::{DecayingCounter, random_unit};
use evidence::FailureEvidence;
use rate::RECENT_WINDOW_US;
use std::collections::BTreeMap;

/// Number of successful calls assumed before any is observed, so that few samples do not mark a scope as
/// degraded.
const PRIOR_SUCCESSES: f64 = 3.0;
/// Share of failed calls (0 to 1) above which a scope is degraded.
pub(super) const DEGRADED_FAILURE_SHARE: f64 = 0.2;
/// Multiple of the usual latency above which the recent latency marks a scope as degraded.
const SLOW_LATENCY_FACTOR: f64 = 3.0;
/// Multiple of the usual latency from which a call in flight is overdue, but not before half a target
/// latency.
const OVERDUE_LATENCY_FACTOR: f64 = 4.0;
/// Weight of one delivery (0 to 1) in the moving average of the usual latency, which covers tens of calls.
const USUAL_LATENCY_GAIN: f64 = 0.05;
/// Weight of one delivery (0 to 1) in the moving average of the recent latency, which covers a few calls.
pub(super) const RECENT_LATENCY_GAIN: f64 = 0.3;

/// Timeout of calls as a multiple of the usual latency; it is at least two target latencies.
const TIMEOUT_LATENCY_FACTOR: f64 = 10.0;
/// Maximum number of times that the timeout of calls doubles.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

/// What a scope is: a destination, or one of its endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ScopeId {
    /// The destination.
    pub(super) dest: DestId,
    /// The endpoint, where the scope is that of a single one.
    pub(super) endpoint: Option<EndpointId>,
}

/// What is known of a destination, or of a single endpoint where endpoints are independent.
#[derive(Default)]
pub(super) struct Scope {
    /// What the scope is, for the log.
    id: ScopeId,
    /// Phase with respect to outages.
    pub(super) phase: Phase,
    /// State of the pseudo-random number generator.
    pub(super) seed: u64,
    /// Time at which the scope was created.
    pub(super) created_at: Micros,
    /// Slow moving average of the latency of deliveries (microseconds); 0 while unknown.
    pub(super) usual_latency: f64,
    /// Fast moving average of the latency of deliveries (microseconds); 0 while unknown.
    pub(super) recent_latency: f64,
    /// Deliveries, decayed in the health window.
    pub(super) successes: DecayingCounter,
    /// Failed calls, decayed in the health window.
    pub(super) failures: DecayingCounter,
    /// Failed calls that may have run, decayed in the health window.
    pub(super) ambiguous_failures: DecayingCounter,
    /// Evidence that most calls fail.
    evidence: FailureEvidence,
    /// Time of the last delivery.
    pub(super) last_success: Micros,
    /// Number of times that the timeout of calls has doubled since the last response.
    timeout_doublings: u32,
    /// Time at which the timeout of calls last doubled.
    timeout_doubled_at: Micros,
    /// Calls in flight and when each was sent.
    pub(super) calls_in_flight: BTreeMap<u64, Micros>,
    /// Number of consecutive waves of refusals.
    pub(super) refusals: u32,
    /// Time of the last refusal that counted.
    pub(super) last_refusal: Micros,
    /// Time until which nothing is sent.
    pub(super) wait_until: Micros,
    /// Scheduled time of the last paced send, and the spacing after it at the rate that held then.
    pub(super) last_paced_send: (Micros, Micros),
    /// Calls per second allowed to this sender.
    pub(super) own_limit: Option<f64>,
    /// Calls per second that the destination reported as the limit of all senders together.
    pub(super) reported_limit: Option<f64>,
    /// Last reported remaining share of the limit's allowance, and when it was reported.
    pub(super) reported_remaining: Option<(f64, Micros)>,
    /// Calls per second according to the endpoint list; 0 if it gives none.
    pub(super) listed_limit: f64,
    /// Time at which `own_limit` was last adjusted.
    pub(super) adjusted_at: Micros,
    /// True if the last call carried as many messages as the destination allows.
    pub(super) last_call_was_full: bool,
    /// Calls sent, decayed in the warm-up time.
    pub(super) calls_sent: DecayingCounter,
    /// Messages submitted, decayed in the warm-up time.
    pub(super) messages_submitted: DecayingCounter,
    /// Calls sent, decayed in [`RECENT_WINDOW_US`].
    pub(super) recent_calls_sent: DecayingCounter,
    /// Calls per second of this sender before the outage.
    pub(super) rate_before_outage: f64,
    /// Factor by which the rate during warm-up exceeds what the settings alone allow, because the destination
    /// has shown spare capacity.
    pub(super) warm_up_boost: f64,
}

impl Scope {
    /// Returns a scope in normal operation of which nothing is known.
    pub(super) fn new(id: ScopeId, now: Micros, seed: &mut u64) -> Self {
        random_unit(seed);
        Scope {
            id,
            seed: *seed,
            created_at: now,
            last_success: now,
            wait_until: now,
            last_paced_send: (Micros::MIN / 2, 0),
            adjusted_at: now,
            ..Scope::default()
        }
    }

    /// Returns the timeout of calls. Without a response it doubles each time that it runs out: a destination
    /// that always takes longer would never be heard otherwise.
    pub(super) fn call_timeout(&self, params: &Params) -> Micros {
        let usual_latency = self.usual_latency.max(params.target_latency / 16.0);
        let timeout = (TIMEOUT_LATENCY_FACTOR * usual_latency).max(2.0 * params.target_latency);
        (timeout as Micros) << self.timeout_doublings
    }

    /// Records that a call was not answered in time. Calls that were sent before the timeout last doubled
    /// count as one.
    pub(super) fn record_timeout(&mut self, now: Micros, sent_at: Micros) {
        if self.timeout_doublings == 0 || sent_at >= self.timeout_doubled_at {
            self.timeout_doublings = (self.timeout_doublings + 1).min(MAX_TIMEOUT_DOUBLINGS);
            self.timeout_doubled_at = now;
        }
    }

    /// Records that a call was answered.
    pub(super) fn record_response(&mut self) {
        self.timeout_doublings = 0;
    }

    /// Returns the age from which a call in flight is overdue.
    pub(super) fn overdue_after(&self, params: &Params) -> Micros {
        (OVERDUE_LATENCY_FACTOR * self.usual_latency).max(params.target_latency / 2.0) as Micros
    }

    /// Returns the number of overdue calls in flight.
    pub(super) fn overdue_calls(&self, now: Micros, params: &Params) -> usize {
        let limit = self.overdue_after(params);
        self.calls_in_flight
            .values()
            .take_while(|sent_at| now - **sent_at > limit && **sent_at >= self.last_success - limit)
            .count()
    }

    /// Returns true if the scope is not in normal operation, slow, failing, or has overdue calls.
    pub(super) fn is_degraded(&self, now: Micros, params: &Params) -> bool {
        let failures = self.failures.value(now, params.health_window);
        let failure_share =
            failures / (failures + self.successes.value(now, params.health_window) + PRIOR_SUCCESSES);
        let is_slow = self.recent_latency > SLOW_LATENCY_FACTOR * self.usual_latency;
        self.phase != Phase::Up
            || is_slow
            || failure_share > DEGRADED_FAILURE_SHARE
            || self.overdue_calls(now, params) > 0
    }

    /// Returns the share of calls that may run without being delivered: an unsafe message in such a call is
    /// lost.
    pub(super) fn loss_share(&self, now: Micros, params: &Params) -> f64 {
        let ambiguous = self.ambiguous_failures.value(now, params.health_window);
        ambiguous / (ambiguous + self.successes.value(now, params.health_window) + PRIOR_SUCCESSES)
    }

    /// Records that a call was sent; `is_full` if it carries as many messages as the destination allows.
    pub(super) fn record_send(&mut self, call: u64, now: Micros, is_full: bool, params: &Params) {
        self.last_call_was_full = is_full;
        if let Some((rate, _)) = self.allowed_rate(now, params) {
            self.last_paced_send = (now.max(self.next_send_due(rate)), (SECOND_US / rate) as Micros);
        }
        self.calls_in_flight.insert(call, now);
        self.calls_sent.add(now, params.warm_up);
        self.recent_calls_sent.add(now, RECENT_WINDOW_US);
        if let Phase::Outage(_) = self.phase {
            self.schedule_probe(now, params);
        }
    }

    /// Records a delivery that took `latency` microseconds.
    pub(super) fn record_delivery(&mut self, now: Micros, latency: f64, params: &Params) {
        self.successes.add(now, params.health_window);
        self.evidence.record_delivery(now - latency as Micros);
        self.last_success = now;
        self.refusals = 0;
        let average = |old: f64, gain: f64| if old == 0.0 { latency } else { old + gain * (latency - old) };
        self.usual_latency = average(self.usual_latency, USUAL_LATENCY_GAIN);
        self.recent_latency = average(self.recent_latency, RECENT_LATENCY_GAIN);
        self.raise_limit(now, params);
        self.advance_phase(now, latency, params);
    }

    /// Records a refused call. Calls refused in one wave, that is, sent before the first refusal was
    /// received, count as one refusal.
    pub(super) fn record_refusal(
        &mut self,
        now: Micros,
        sent_at: Micros,
        wait: Option<Micros>,
        params: &Params,
    ) {
        if self.refusals == 0 || sent_at >= self.last_refusal {
            self.refusals += 1;
            self.last_refusal = now;
            match self.phase {
                Phase::Up => self.back_off(now, params),
                Phase::WarmUp(_) => {
                    self.reduce_warm_up_boost();
                    self.back_off(now, params);
                }
                // The destination is full of calls it has held since the outage began, or refuses all calls:
                // neither says anything about its limit.
                Phase::Outage(_) => {}
            }
        }
        self.wait_until = self.wait_until.max(now + wait.unwrap_or(0));
        if !matches!(self.phase, Phase::Outage(_)) {
            self.pause_after_refusal(now, params);
        }
        self.detect_refusing(now, wait, params);
    }
}
