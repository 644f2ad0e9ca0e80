//! Phases of a scope: how an outage is detected, how it is probed, and how load returns after it.

use super::Scope;
use super::evidence::{FAILING_SCORE, FailureEvidence};
use crate::api::{Micros, Outcome};
use crate::balancer::params::{Params, SECOND_US, UNEVEN_LOAD_FACTOR};
use crate::numeric::{DecayingCounter, random_unit};

/// Number of failed calls, decayed with time, from which an outage is assumed, if they outnumber the
/// successes or nothing was delivered lately. Fewer suffice where a sender sends few calls.
const OUTAGE_FAILURES: f64 = 2.5;
/// Number of consecutive refusals without an announced wait that are taken for an outage rather than a rate
/// limit. Fewer suffice where many senders observe only a few refusals each.
const OUTAGE_REFUSALS: u32 = 4;
/// Factor by which each delivery at the usual latency raises the rate during warm-up. The rate starts,
/// according to the settings, where the destination cannot be overloaded.
const WARM_UP_GROWTH_FACTOR: f64 = 1.4;
/// Factor (0 to 1) by which a refusal reduces the rate during warm-up.
const WARM_UP_BACK_OFF_FACTOR: f64 = 0.5;
/// Multiple of the usual latency below which a delivery shows spare capacity.
const SPARE_CAPACITY_LATENCY_FACTOR: f64 = 2.0;

/// Phase of a scope with respect to outages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::balancer) enum Phase {
    /// Normal operation.
    #[default]
    Up,
    /// Assumed to be down: only probes are sent, and none before this time.
    Outage(Micros),
    /// Available again since this time, with reduced capacity.
    WarmUp(Micros),
}

/// What made a scope change its phase.
#[derive(Clone, Copy, Debug)]
pub(in crate::balancer) enum PhaseCause {
    /// Calls failed.
    Failures,
    /// Calls were refused, or a long wait was announced.
    Refusals,
    /// Calls in flight were overdue.
    OverdueCalls,
    /// Calls failed again during warm-up.
    Relapse,
    /// A call was delivered.
    Delivery,
}

impl Scope {
    /// Schedules the next probe of an outage. Probes stay within the load that the destination could bear if
    /// it had recovered just now.
    pub(super) fn schedule_probe(&mut self, now: Micros, params: &Params) {
        let rate = params.settings.overload_factor
            * params.settings.initial_capacity_share
            * self.rate_before_outage;
        let max_gap = params.warm_up / 4.0 / params.sender_share;
        let gap = (SECOND_US / rate.max(params.min_rate / 4.0)).clamp(params.target_latency / 16.0, max_gap);
        // Many senders observe the same outage, or receive the same announced end of it, so the first probe
        // of each falls at a random point of its gap.
        let offset = if matches!(self.phase, Phase::Outage(_)) { 0.5 } else { 0.0 };
        let share = if params.sender_share < 0.5 { offset + random_unit(&mut self.seed) } else { 1.0 };
        self.phase = Phase::Outage(now.max(self.wait_until) + (gap * share) as Micros);
    }

    /// Enters the outage phase, unless the scope is in it already.
    pub(in crate::balancer) fn enter_outage(&mut self, now: Micros, cause: PhaseCause, params: &Params) {
        if self.phase == Phase::Up {
            self.rate_before_outage = self
                .own_rate(now, params)
                .max(self.own_share(params) / UNEVEN_LOAD_FACTOR)
                .max(params.min_rate);
        }
        if !matches!(self.phase, Phase::Outage(_)) {
            let previous = self.phase;
            self.schedule_probe(now, params);
            self.log_phase(now, previous, cause, params);
        }
    }

    /// Logs that the phase has changed, by what, and with which counts.
    fn log_phase(&self, now: Micros, previous: Phase, cause: PhaseCause, params: &Params) {
        tracing::debug!(
            dest = self.id.dest,
            endpoint = self.id.endpoint,
            from = ?previous,
            to = ?self.phase,
            now,
            ?cause,
            failures = self.failures.value(now, params.health_window),
            successes = self.successes.value(now, params.health_window),
            failing_score = self.evidence.score(),
            refusals = self.refusals,
            since_delivery = now - self.last_success,
            own_rate = self.own_rate(now, params),
            rate_before_outage = self.rate_before_outage,
            own_limit = self.own_limit,
            "phase"
        );
    }

    /// Returns the calls per second allowed during a warm-up that began at `since`.
    pub(super) fn warm_up_rate(&self, now: Micros, since: Micros, params: &Params) -> f64 {
        // Failures that let some calls through are not over with the first delivery.
        let (progress, boost) = if self.evidence.is_failing_intermittently() {
            (0.0, self.warm_up_boost.min(1.0))
        } else {
            (((now - since) as f64 / params.warm_up).min(1.0), self.warm_up_boost)
        };
        let capacity_share = params.settings.initial_capacity_share
            + (1.0 - params.settings.initial_capacity_share) * progress;
        (params.settings.overload_factor * capacity_share * self.rate_before_outage * boost)
            .max(params.min_rate / 4.0)
    }

    /// Advances the phase after a delivery that took `latency` microseconds.
    pub(super) fn advance_phase(&mut self, now: Micros, latency: f64, params: &Params) {
        let previous = self.phase;
        match self.phase {
            Phase::Up => {}
            Phase::Outage(_) => {
                self.begin_warm_up(now, params);
                self.log_phase(now, previous, PhaseCause::Delivery, params);
            }
            Phase::WarmUp(since) if (now - since) as f64 > params.warm_up => {
                self.phase = Phase::Up;
                self.evidence = FailureEvidence::default();
                self.log_phase(now, previous, PhaseCause::Delivery, params);
            }
            // The first delivery after a relapse: the warm-up counts from here.
            Phase::WarmUp(_) if self.evidence.is_failing() && self.evidence.is_first_delivery() => {
                self.phase = Phase::WarmUp(now);
            }
            Phase::WarmUp(_) if latency < SPARE_CAPACITY_LATENCY_FACTOR * self.usual_latency => {
                // Where a limit is known, the boost at most restores the full budget that the settings allow.
                // Where none is known, it may also make up for the reduced initial capacity, but for no more
                // than that.
                let max_boost =
                    if self.has_known_limit() { 1.0 } else { 1.0 / params.settings.initial_capacity_share };
                self.warm_up_boost = (self.warm_up_boost * WARM_UP_GROWTH_FACTOR).min(max_boost);
            }
            Phase::WarmUp(_) => {}
        }
    }

    /// Begins the warm-up after a delivery in an outage.
    fn begin_warm_up(&mut self, now: Micros, params: &Params) {
        (self.phase, self.warm_up_boost) = (Phase::WarmUp(now), 1.0);
        (self.failures, self.ambiguous_failures) = (DecayingCounter::default(), DecayingCounter::default());
        // The next call falls at a random point of the gap after the probe, so that senders whose probes
        // succeed at once do not send together.
        let share = if self.has_known_limit() { random_unit(&mut self.seed) } else { 1.0 };
        let gap = self.allowed_rate(now, params).map_or(SECOND_US, |(rate, _)| SECOND_US / rate);
        self.last_paced_send = (now - (gap * share) as Micros, gap as Micros);
    }

    /// Records a failed call, and enters the outage phase if failures prevail.
    pub(in crate::balancer) fn record_failure(
        &mut self,
        now: Micros,
        sent_at: Micros,
        outcome: Outcome,
        params: &Params,
    ) {
        self.failures.add(now, params.health_window);
        if !outcome.never_ran() {
            self.ambiguous_failures.add(now, params.health_window);
        }
        let low_traffic_failures = (self.own_rate(now, params) * params.health_window / SECOND_US / 2.0)
            .max(OUTAGE_FAILURES * params.sender_share);
        self.record_failure_evidence(now, sent_at, low_traffic_failures, params);
        let failures = self.failures.value(now, params.health_window);
        let delivered_lately = now - self.last_success < params.target_latency as Micros / 2;
        let prevail = failures >= OUTAGE_FAILURES.min(low_traffic_failures)
            && (!delivered_lately || failures > self.successes.value(now, params.health_window));
        if prevail || (self.phase == Phase::Up && self.evidence.is_failing()) {
            self.enter_outage(now, PhaseCause::Failures, params);
        }
    }

    /// Records a failure as evidence that most calls fail, and begins the warm-up anew if they still do. A
    /// call that was sent before the warm-up began says nothing about the time since.
    fn record_failure_evidence(
        &mut self,
        now: Micros,
        sent_at: Micros,
        low_traffic_failures: f64,
        params: &Params,
    ) {
        let previous = self.phase;
        if matches!(previous, Phase::WarmUp(since) if sent_at < since) {
            return;
        }
        self.evidence.record_failure(now, sent_at, FAILING_SCORE.min(low_traffic_failures));
        if matches!(previous, Phase::WarmUp(_)) && self.evidence.is_failing() {
            (self.phase, self.warm_up_boost) = (Phase::WarmUp(now), 1.0);
            self.log_phase(now, previous, PhaseCause::Relapse, params);
        }
    }

    /// Enters the outage phase if a refusal, and those before it, show that all calls are refused.
    pub(super) fn detect_refusing(&mut self, now: Micros, wait: Option<Micros>, params: &Params) {
        // A short wait comes from a limit that other senders use up, a long one from an outage.
        let share =
            if self.has_known_limit() { 1.0 } else { (UNEVEN_LOAD_FACTOR * params.sender_share).min(1.0) };
        let refuses_all = f64::from(self.refusals) >= f64::from(OUTAGE_REFUSALS) * share;
        if wait.map_or(refuses_all, |wait| wait as f64 > params.warm_up / 4.0) {
            self.enter_outage(now, PhaseCause::Refusals, params);
        }
    }

    /// Reduces the rate during warm-up after a refusal.
    pub(super) fn reduce_warm_up_boost(&mut self) {
        self.warm_up_boost = (self.warm_up_boost * WARM_UP_BACK_OFF_FACTOR).max(WARM_UP_BACK_OFF_FACTOR);
    }
}
