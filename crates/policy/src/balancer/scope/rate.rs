//! The rate at which a scope may be called: its limit, as announced and as refusals and deliveries reveal it,
//! and the pacing of calls.

use super::{Phase, Scope};
use crate::api::{DestKind, LimitReport, Micros};
use crate::balancer::params::{Params, SECOND_US, UNEVEN_LOAD_FACTOR};
use crate::numeric::random_unit;

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
/// Time, in microseconds, within which the calls that exceeded a limit were sent.
pub(super) const RECENT_WINDOW_US: f64 = 2.0 * SECOND_US;
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

impl Scope {
    /// Returns the calls per second of this sender, averaged over the warm-up time or since the scope was
    /// created.
    pub(in crate::balancer) fn own_rate(&self, now: Micros, params: &Params) -> f64 {
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
    pub(super) fn has_known_limit(&self) -> bool {
        self.reported_limit.is_some() || self.listed_limit > 0.0
    }

    /// Applies a limit and its remaining allowance as reported in a response.
    pub(in crate::balancer) fn apply_report(
        &mut self,
        report: LimitReport,
        at: Micros,
        kind: DestKind,
        params: &Params,
    ) {
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
        let rate = self.warm_up_rate(now, since, params);
        Some((limit.map_or(rate, |own| own.min(rate)), 0.0))
    }

    /// Returns when the next paced send is due. Where a limit is reported, the spacing after the last send
    /// follows a rate that has changed since.
    pub(super) fn next_send_due(&self, rate: f64) -> Micros {
        let follows_rate = self.phase == Phase::Up && self.reported_limit.is_some();
        self.last_paced_send.0
            + if follows_rate { (SECOND_US / rate) as Micros } else { self.last_paced_send.1 }
    }

    /// Returns the earliest time at which a call may be sent.
    pub(in crate::balancer) fn ready_at(&self, now: Micros, params: &Params) -> Micros {
        match (self.phase, self.allowed_rate(now, params)) {
            (Phase::Outage(next_probe), _) => self.wait_until.max(next_probe),
            (_, Some((rate, burst_secs))) => {
                self.wait_until.max(self.next_send_due(rate) - (burst_secs * SECOND_US) as Micros)
            }
            _ => self.wait_until,
        }
    }

    /// Raises the limit after a delivery.
    pub(super) fn raise_limit(&mut self, now: Micros, params: &Params) {
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
    }

    /// Reduces the limit after a refusal. A limit is announced for all senders together, so the reduction
    /// starts from what this sender sends, or from its share if that is more.
    pub(super) fn back_off(&mut self, now: Micros, params: &Params) {
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

    /// Defers the next call after refused ones.
    pub(super) fn pause_after_refusal(&mut self, now: Micros, params: &Params) {
        // Refused calls may count against the limit, so each wave doubles the wait, and a random factor
        // keeps senders from returning together. Probes of an outage have a spacing of their own.
        let spacing = SECOND_US / self.own_limit.unwrap_or(params.min_rate).max(params.min_rate / 4.0);
        let max_wait = params.target_latency * (1.0 / params.sender_share).min(4.0);
        let own_wait = (spacing * f64::from(1u32 << self.refusals.min(4)) / 2.0).min(max_wait);
        let share = if params.sender_share < 0.5 { 0.5 + random_unit(&mut self.seed) } else { 1.0 };
        self.wait_until = self.wait_until.max(now + (own_wait * share) as Micros);
    }
}
