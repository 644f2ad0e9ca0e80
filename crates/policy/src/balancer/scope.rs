//! The state of a scope: its latency, its health, its rate limit, and how load returns to it after an outage.
//!
//! A scope is a destination, or a single endpoint where the endpoints of a destination are independent.

use super::params::{Params, SECOND_US, UNEVEN_LOAD_FACTOR};
use crate::api::{DestKind, LimitReport, Micros, Outcome};
use crate::numeric::{DecayingCounter, random_unit};
use std::collections::BTreeMap;

/// Number of successful calls assumed before any is observed, so that few samples do not mark a scope as
/// degraded.
const PRIOR_SUCCESSES: f64 = 3.0;
/// Share of failed calls (0 to 1) above which a scope is degraded.
pub(super) const DEGRADED_FAILURE_SHARE: f64 = 0.2;
/// Number of failed calls, decayed with time, from which an outage is assumed, if they outnumber the
/// successes or nothing was delivered lately. Fewer suffice where a sender sends few calls.
const OUTAGE_FAILURES: f64 = 2.5;
/// Multiple of the usual latency above which the recent latency marks a scope as degraded.
const SLOW_LATENCY_FACTOR: f64 = 3.0;
/// Multiple of the usual latency from which a call in flight is overdue, but not before half a target
/// latency.
const OVERDUE_LATENCY_FACTOR: f64 = 4.0;
/// Number of consecutive refusals without an announced wait that are taken for an outage rather than a rate
/// limit. Fewer suffice where many senders observe only a few refusals each.
const OUTAGE_REFUSALS: u32 = 4;
/// Weight of one delivery (0 to 1) in the moving average of the usual latency, which covers tens of calls.
const USUAL_LATENCY_GAIN: f64 = 0.05;
/// Weight of one delivery (0 to 1) in the moving average of the recent latency, which covers a few calls.
pub(super) const RECENT_LATENCY_GAIN: f64 = 0.3;
/// Factor (0 to 1) by which a refusal reduces the limit, starting from the rate that was sent.
const BACK_OFF_FACTOR: f64 = 0.7;
/// Share of itself by which the limit recovers per second.
const RECOVERY_PER_SEC: f64 = 0.08;
/// Minimum share of itself by which the limit recovers with each delivery, where no limit is announced.
const RECOVERY_PER_DELIVERY: f64 = 0.02;
/// Time without a refusal, in seconds, per step of faster recovery: N times this time gives N times the
/// recovery.
const QUIET_SECS: f64 = 2.0;
/// Maximum factor by which a time without refusals speeds up the recovery.
const MAX_QUIET_FACTOR: f64 = 4.0;
/// Factor by which each delivery at the usual latency raises the rate during warm-up. The rate starts,
/// according to the settings, where the destination cannot be overloaded.
const WARM_UP_GROWTH_FACTOR: f64 = 1.4;
/// Factor (0 to 1) by which a refusal reduces the rate during warm-up.
const WARM_UP_BACK_OFF_FACTOR: f64 = 0.5;
/// Multiple of the usual latency below which a delivery shows spare capacity.
const SPARE_CAPACITY_LATENCY_FACTOR: f64 = 2.0;
/// Time, in microseconds, within which the calls that exceeded a limit were sent.
const RECENT_WINDOW_US: f64 = 2.0 * SECOND_US;
/// Length, in seconds at the limit's rate, of a burst that may be sent without spacing.
const BURST_SECS: f64 = 0.3;
/// Time constant, in microseconds, in which a reported remaining allowance decays to [`NEUTRAL_REMAINING`].
const REMAINING_DECAY_US: f64 = 2.0 * SECOND_US;
/// Remaining share of the allowance (0 to 1) at which the rate is neither raised nor lowered.
const NEUTRAL_REMAINING: f64 = 0.5;
/// Factor applied to the rate when nothing of the allowance remains.
const EMPTY_RATE_FACTOR: f64 = 0.4;
/// Factor applied to the rate when all of the allowance remains.
const FULL_RATE_FACTOR: f64 = 1.3;
/// Remaining share of the allowance (0 to 1) below which the limit is reduced instead of growing.
const LOW_REMAINING: f64 = 0.25;
/// Share of itself per second by which the limit falls while little of the allowance remains, down to half of
/// an even share.
const LOW_REMAINING_CUT_PER_SEC: f64 = 0.6;
/// Maximum factor, up or down, by which a reported limit may differ from the listed one and still be
/// accepted. Without a listed limit, the square of this factor applies to 10 calls per second.
const MAX_LIMIT_DEVIATION_FACTOR: f64 = 10.0;

/// Phase of a scope with respect to outages.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Phase {
    /// Normal operation.
    #[default]
    Up,
    /// Assumed to be down: only probes are sent, and none before this time.
    Outage(Micros),
    /// Available again since this time, with reduced capacity.
    WarmUp(Micros),
}

/// What is known of a destination, or of a single endpoint where endpoints are independent.
#[derive(Default)]
pub(super) struct Scope {
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
    /// Time of the last delivery.
    pub(super) last_success: Micros,
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
    pub(super) fn new(now: Micros, seed: &mut u64) -> Self {
        random_unit(seed);
        Scope {
            seed: *seed,
            created_at: now,
            last_success: now,
            wait_until: now,
            last_paced_send: (Micros::MIN / 2, 0),
            adjusted_at: now,
            ..Scope::default()
        }
    }

    /// Returns the calls per second of this sender, averaged over the warm-up time or since the scope was
    /// created.
    pub(super) fn own_rate(&self, now: Micros, params: &Params) -> f64 {
        let age = ((now - self.created_at) as f64).max(params.target_latency);
        self.calls_sent.value(now, params.warm_up) * SECOND_US
            / (params.warm_up * (1.0 - (-age / params.warm_up).exp()))
    }

    /// Returns the calls per second that this sender may use of the reported limit; 0 if none is reported.
    pub(super) fn own_share(&self, params: &Params) -> f64 {
        self.reported_limit.unwrap_or(0.0) * params.sender_share
    }

    /// Returns true if a reported limit is close enough to the listed one. A limit far off was corrupted
    /// on its way, and would starve or overload the destination.
    pub(super) fn is_plausible_limit(&self, limit: f64) -> bool {
        let listed = if self.listed_limit > 0.0 { self.listed_limit } else { 10.0 };
        let factor = if self.listed_limit > 0.0 {
            MAX_LIMIT_DEVIATION_FACTOR
        } else {
            MAX_LIMIT_DEVIATION_FACTOR * MAX_LIMIT_DEVIATION_FACTOR
        };
        (listed / factor..=listed * factor).contains(&limit)
    }

    /// Returns true if a limit is reported or listed.
    fn has_known_limit(&self) -> bool {
        self.reported_limit.is_some() || self.listed_limit > 0.0
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

    /// Applies a limit and its remaining allowance as reported in a response.
    pub(super) fn apply_report(&mut self, report: LimitReport, at: Micros, kind: DestKind, params: &Params) {
        if let Some(limit) = report.limit.filter(|limit| self.is_plausible_limit(*limit)) {
            // A limit that was lowered or raised changes at once for all senders that share it.
            let scaled =
                |previous: f64| self.own_limit.map(|own| own * (limit / previous).powf(params.others_share));
            self.own_limit =
                self.reported_limit.map_or(Some(limit * params.initial_limit_share(kind)), scaled);
            self.reported_limit = Some(limit);
        }
        let Some(remaining) = report.remaining else { return };
        self.reported_remaining = Some((remaining, at));
        if remaining < LOW_REMAINING {
            let elapsed_secs = ((at - self.adjusted_at) as f64 / SECOND_US).clamp(0.0, 1.0);
            let half_even_share = self.own_share(params) / UNEVEN_LOAD_FACTOR / 2.0;
            let reduced = |own: f64| {
                (own * (1.0 - LOW_REMAINING_CUT_PER_SEC * elapsed_secs * params.others_share.powi(3)))
                    .max(half_even_share.min(own))
            };
            self.own_limit = self.own_limit.map(reduced);
            self.adjusted_at = self.adjusted_at.max(at);
        }
    }

    /// Returns the estimated remaining share of the limit's allowance.
    fn remaining(&self, now: Micros) -> f64 {
        let decayed = |(remaining, reported_at)| {
            (remaining - NEUTRAL_REMAINING) * (-((now - reported_at) as f64) / REMAINING_DECAY_US).exp()
        };
        NEUTRAL_REMAINING + self.reported_remaining.map_or(0.0, decayed)
    }

    /// Returns the calls per second allowed now, and the length (seconds) of a burst that may be sent without
    /// spacing.
    pub(super) fn allowed_rate(&self, now: Micros, params: &Params) -> Option<(f64, f64)> {
        // All senders that share a limit learn its remaining allowance before any is refused, so the rate
        // follows it.
        let deviation = (self.remaining(now) / NEUTRAL_REMAINING - 1.0) * params.others_share;
        let factor =
            1.0 + deviation * if deviation < 0.0 { 1.0 - EMPTY_RATE_FACTOR } else { FULL_RATE_FACTOR - 1.0 };
        let limit = self.own_limit.map(|own| (own * factor).max(params.min_rate / 4.0));
        let Phase::WarmUp(since) = self.phase else { return limit.map(|own| (own, BURST_SECS)) };
        let progress = ((now - since) as f64 / params.warm_up).min(1.0);
        let capacity_share = params.settings.initial_capacity_share
            + (1.0 - params.settings.initial_capacity_share) * progress;
        let rate =
            (params.settings.overload_factor * capacity_share * self.rate_before_outage * self.warm_up_boost)
                .max(params.min_rate / 4.0);
        Some((limit.map_or(rate, |own| own.min(rate)), 0.0))
    }

    /// Returns when the next paced send is due. Where a limit is reported, the spacing after the last send
    /// follows a rate that has changed since.
    fn next_send_due(&self, rate: f64) -> Micros {
        let follows_rate = self.phase == Phase::Up && self.reported_limit.is_some();
        self.last_paced_send.0
            + if follows_rate { (SECOND_US / rate) as Micros } else { self.last_paced_send.1 }
    }

    /// Returns the earliest time at which a call may be sent.
    pub(super) fn ready_at(&self, now: Micros, params: &Params) -> Micros {
        match (self.phase, self.allowed_rate(now, params)) {
            (Phase::Outage(next_probe), _) => self.wait_until.max(next_probe),
            (_, Some((rate, burst_secs))) => {
                self.wait_until.max(self.next_send_due(rate) - (burst_secs * SECOND_US) as Micros)
            }
            _ => self.wait_until,
        }
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
    pub(super) fn enter_outage(&mut self, now: Micros, params: &Params) {
        if self.phase == Phase::Up {
            self.rate_before_outage = self
                .own_rate(now, params)
                .max(self.own_share(params) / UNEVEN_LOAD_FACTOR)
                .max(params.min_rate);
        }
        if !matches!(self.phase, Phase::Outage(_)) {
            self.schedule_probe(now, params);
        }
    }

    /// Records a delivery that took `latency` microseconds.
    pub(super) fn record_delivery(&mut self, now: Micros, latency: f64, params: &Params) {
        self.successes.add(now, params.health_window);
        self.last_success = now;
        self.refusals = 0;
        let average = |old: f64, gain: f64| if old == 0.0 { latency } else { old + gain * (latency - old) };
        self.usual_latency = average(self.usual_latency, USUAL_LATENCY_GAIN);
        self.recent_latency = average(self.recent_latency, RECENT_LATENCY_GAIN);
        // Where calls carry batches, a higher rate is of no use unless calls are full or rare.
        if let Some(own) = self
            .own_limit
            .filter(|own| self.last_call_was_full || SECOND_US / own > params.target_latency / 4.0)
        {
            let elapsed_secs =
                ((now - self.adjusted_at) as f64 / SECOND_US).clamp(0.0, params.warm_up / SECOND_US);
            // Where no known limit bounds the rate, each delivery shows spare capacity. If the rate recovered
            // with time alone, a few refusals at many calls per second would hold it down for a long time.
            let share = if self.has_known_limit() || self.phase != Phase::Up {
                elapsed_secs * RECOVERY_PER_SEC
            } else {
                let quiet_factor =
                    ((now - self.last_refusal) as f64 / SECOND_US / QUIET_SECS).clamp(1.0, MAX_QUIET_FACTOR);
                (elapsed_secs * RECOVERY_PER_SEC).max(RECOVERY_PER_DELIVERY) * quiet_factor
            };
            let share = if self.remaining(now) > LOW_REMAINING * params.others_share { share } else { 0.0 };
            let grown = own + share * (own + params.min_rate).max(self.own_share(params));
            // Senders are loaded unevenly: while much of the allowance remains, the limit of each approaches
            // its own demand within about one target latency.
            let spare =
                (self.remaining(now) / NEUTRAL_REMAINING - 1.0).max(0.0) * params.others_share.powi(3);
            let unmet = (self.messages_submitted.value(now, params.warm_up) * SECOND_US / params.warm_up
                - own)
                .max(0.0);
            let grown = grown + unmet * spare * (elapsed_secs * SECOND_US / params.target_latency).min(1.0);
            self.own_limit = Some(self.reported_limit.map_or(grown, |reported| grown.min(reported)));
            self.adjusted_at = now;
        }
        match self.phase {
            Phase::Outage(_) => {
                (self.phase, self.warm_up_boost) = (Phase::WarmUp(now), 1.0);
                (self.failures, self.ambiguous_failures) =
                    (DecayingCounter::default(), DecayingCounter::default());
                // The next call falls at a random point of the gap after the probe, so that senders whose
                // probes succeed at once do not send together.
                let share = if self.has_known_limit() { random_unit(&mut self.seed) } else { 1.0 };
                let gap = self.allowed_rate(now, params).map_or(SECOND_US, |(rate, _)| SECOND_US / rate);
                self.last_paced_send = (now - (gap * share) as Micros, gap as Micros);
            }
            Phase::WarmUp(since) if (now - since) as f64 > params.warm_up => self.phase = Phase::Up,
            Phase::WarmUp(_) if latency < SPARE_CAPACITY_LATENCY_FACTOR * self.usual_latency => {
                // Where a limit is known, the boost at most restores the full budget that the settings allow.
                // Where none is known, it may also make up for the reduced initial capacity, but for no more
                // than that.
                let max_boost =
                    if self.has_known_limit() { 1.0 } else { 1.0 / params.settings.initial_capacity_share };
                self.warm_up_boost = (self.warm_up_boost * WARM_UP_GROWTH_FACTOR).min(max_boost);
            }
            _ => {}
        }
    }

    /// Returns the share of calls that may run without being delivered: an unsafe message in such a call is
    /// lost.
    pub(super) fn loss_share(&self, now: Micros, params: &Params) -> f64 {
        let ambiguous = self.ambiguous_failures.value(now, params.health_window);
        ambiguous / (ambiguous + self.successes.value(now, params.health_window) + PRIOR_SUCCESSES)
    }

    /// Records a failed call, and enters the outage phase if failures prevail.
    pub(super) fn record_failure(&mut self, now: Micros, outcome: Outcome, params: &Params) {
        self.failures.add(now, params.health_window);
        if !outcome.never_ran() {
            self.ambiguous_failures.add(now, params.health_window);
        }
        let failures = self.failures.value(now, params.health_window);
        let low_traffic_failures = (self.own_rate(now, params) * params.health_window / SECOND_US / 2.0)
            .max(OUTAGE_FAILURES * params.sender_share);
        let delivered_lately = now - self.last_success < params.target_latency as Micros / 2;
        if failures >= OUTAGE_FAILURES.min(low_traffic_failures)
            && (!delivered_lately || failures > self.successes.value(now, params.health_window))
        {
            self.enter_outage(now, params);
        }
    }

    /// Reduces the limit after a refusal. A limit is announced for all senders together, so the reduction
    /// starts from what this sender sends, or from its share if that is more.
    fn back_off(&mut self, now: Micros, params: &Params) {
        // Where no limit is known, or the average rate is low because the scope is recovering, what was sent
        // most recently is the best estimate.
        let use_average = self.phase == Phase::Up && self.has_known_limit();
        let estimate = if use_average {
            0.0
        } else {
            self.recent_calls_sent.value(now, RECENT_WINDOW_US) * SECOND_US / RECENT_WINDOW_US
        };
        let sent = self.own_rate(now, params).max(self.own_share(params)).max(estimate);
        self.own_limit = Some(
            (self.own_limit.map_or(sent, |own| own.min(sent)) * BACK_OFF_FACTOR).max(params.min_rate / 4.0),
        );
        self.adjusted_at = now;
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
                    self.warm_up_boost =
                        (self.warm_up_boost * WARM_UP_BACK_OFF_FACTOR).max(WARM_UP_BACK_OFF_FACTOR);
                    self.back_off(now, params);
                }
                // The destination is full of calls it has held since the outage began, or refuses all calls:
                // neither says anything about its limit.
                Phase::Outage(_) => {}
            }
        }
        self.wait_until = self.wait_until.max(now + wait.unwrap_or(0));
        if !matches!(self.phase, Phase::Outage(_)) {
            // Refused calls may count against the limit, so each wave doubles the wait, and a random factor
            // keeps senders from returning together. Probes of an outage have a spacing of their own.
            let spacing = SECOND_US / self.own_limit.unwrap_or(params.min_rate).max(params.min_rate / 4.0);
            let max_wait = params.target_latency * (1.0 / params.sender_share).min(4.0);
            let own_wait = (spacing * f64::from(1u32 << self.refusals.min(4)) / 2.0).min(max_wait);
            let share = if params.sender_share < 0.5 { 0.5 + random_unit(&mut self.seed) } else { 1.0 };
            self.wait_until = self.wait_until.max(now + (own_wait * share) as Micros);
        }
        // A short wait comes from a limit that other senders use up, a long one from an outage.
        let share =
            if self.has_known_limit() { 1.0 } else { (UNEVEN_LOAD_FACTOR * params.sender_share).min(1.0) };
        let refuses_all = f64::from(self.refusals) >= f64::from(OUTAGE_REFUSALS) * share;
        if wait.map_or(refuses_all, |wait| wait as f64 > params.warm_up / 4.0) {
            self.enter_outage(now, params);
        }
    }
}
