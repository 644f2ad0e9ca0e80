//! What is known of a destination, or of one route where routes are apart: its pace, its health, its limit
//! and how it comes back from an outage.

use super::params::{Env, SECOND, UNEVEN};
use crate::api::{DestKind, LimitReport, Micros, Outcome};
use crate::numeric::{Fading, chance};
use std::collections::BTreeMap;

/// Outcomes imagined good (calls): few samples do not condemn.
const PRIOR_GOOD: f64 = 3.0;
/// Share of failures from which a destination falters.
pub(super) const FALTER_SHARE: f64 = 0.2;
/// Weighed failures (calls) from which, where they are most of all outcomes, an outage is assumed.
const OUTAGE_FAILS: f64 = 2.5;
/// A destination falters once calls take this multiple of its usual pace;
const SLOW_TIMES: f64 = 3.0;
/// calls out for this multiple of it, and for half an aim, are overdue;
const OVERDUE_TIMES: f64 = 4.0;
/// So many refusals in a row without a told wait are a shut door, not a limit; fewer where many see few each.
const SHUT_REFUSALS: u32 = 4;
/// Gain of one delivery in the usual pace (tens of calls) and in the present one (a few).
const USUAL_GAIN: f64 = 0.05;
pub(super) const PACE_GAIN: f64 = 0.3;
/// A refusal cuts the pace to this part of what was sent; it recovers by this part a second.
const BACK_OFF: f64 = 0.7;
const RECOVER: f64 = 0.08;
/// and where no limit is told by this part with each delivery at least.
const RECOVER_CALL: f64 = 0.02;
/// The longer ago the last refusal, the faster: N times this span (seconds), N times the part, up to so many.
const QUIET_S: f64 = 2.0;
const QUIET_MOST: f64 = 4.0;
/// While it warms up, each delivery at its usual pace lets the rate grow by this factor, and a refusal cuts
/// it to this part; by the settings' own figures the rate starts where nobody can be pushed over.
const GROW: f64 = 1.4;
const SHRINK: f64 = 0.5;
/// A delivery within this multiple of the usual time shows that there is room for more.
const ROOM_TIMES: f64 = 2.0;
/// What overran a limit was sent within about this time (microseconds).
const RECENT: f64 = 2.0 * SECOND;
/// Sends let through unspaced, as a span of the limit (seconds).
const BURST_S: f64 = 0.3;
/// What is told to be left of an allowance (all is 1) fades in this time (us) to where the pace holds.
const LEFT_SPAN: f64 = 2.0 * SECOND;
const LEFT_EVEN: f64 = 0.5;
/// Part of the pace with nothing left, and with all of it.
const LEFT_NONE: f64 = 0.4;
const LEFT_ALL: f64 = 1.3;
/// With less than this left the pace does not grow, but falls by this part a second, to half of an even one.
const LEFT_LITTLE: f64 = 0.25;
const GIVE_WAY: f64 = 0.6;
/// A told limit within this multiple of the listed one, up or down, is believed.
const REPORT_TIMES: f64 = 10.0;

#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum State {
    #[default]
    Open,
    /// Held to be down: trials only, none before this time.
    Outage(Micros),
    /// Back since then, and cold.
    Warming(Micros),
}

/// What is known of a destination, or of one route where routes are apart.
#[derive(Default)]
pub(super) struct Scope {
    pub(super) state: State,
    pub(super) seed: u64,
    pub(super) born: Micros,
    /// Time that deliveries usually take, and take now; 0 while unknown.
    pub(super) usual: f64,
    pub(super) pace: f64,
    pub(super) good: Fading,
    pub(super) bad: Fading,
    /// Of the bad ones, those that may have run.
    pub(super) spent: Fading,
    pub(super) last_good: Micros,
    pub(super) out: BTreeMap<u64, Micros>,
    pub(super) refusals: u32,
    pub(super) last_refusal: Micros,
    pub(super) wait_until: Micros,
    /// Where the last spaced send stands, and the space after it by the pace that held then.
    pub(super) slot: (Micros, Micros),
    /// Calls a second: allowed to this sender now, told for all senders.
    pub(super) limit: Option<f64>,
    pub(super) ceiling: Option<f64>,
    /// What was last told to be left of the limit's allowance, and when.
    pub(super) left: Option<(f64, Micros)>,
    /// What the list told of it; 0 where it told nothing.
    pub(super) listed: f64,
    pub(super) adjusted_at: Micros,
    pub(super) full: bool,
    pub(super) long: Fading,
    pub(super) handed_in: Fading,
    pub(super) short: Fading,
    /// Calls a second of this sender before the outage.
    pub(super) base: f64,
    /// What the destination has shown since to take beyond what the settings alone allow, as a factor.
    pub(super) boost: f64,
}

impl Scope {
    pub(super) fn new(now: Micros, seed: &mut u64) -> Self {
        chance(seed);
        Scope {
            seed: *seed,
            born: now,
            last_good: now,
            wait_until: now,
            slot: (Micros::MIN / 2, 0),
            adjusted_at: now,
            ..Scope::default()
        }
    }

    /// Calls a second of this sender, over the span of warming or since it started.
    pub(super) fn own_rate(&self, now: Micros, e: &Env) -> f64 {
        let age = ((now - self.born) as f64).max(e.target_latency);
        self.long.get(now, e.warm) * SECOND / (e.warm * (1.0 - (-age / e.warm).exp()))
    }

    /// What this sender may count on of a limit told for all (calls a second); 0 where none is told.
    pub(super) fn own_part(&self, e: &Env) -> f64 {
        self.ceiling.unwrap_or(0.0) * e.part
    }

    /// A told limit far from the listed one was spoilt on its way: it would starve or flood the destination.
    pub(super) fn believes(&self, limit: f64) -> bool {
        let listed = if self.listed > 0.0 { self.listed } else { 10.0 };
        let times = if self.listed > 0.0 { REPORT_TIMES } else { REPORT_TIMES * REPORT_TIMES };
        (listed / times..=listed * times).contains(&limit)
    }

    fn is_told(&self) -> bool {
        self.ceiling.is_some() || self.listed > 0.0
    }

    /// Age from which a call is overdue.
    pub(super) fn patience(&self, e: &Env) -> Micros {
        (OVERDUE_TIMES * self.usual).max(e.target_latency / 2.0) as Micros
    }

    pub(super) fn overdue(&self, now: Micros, e: &Env) -> usize {
        let late = self.patience(e);
        self.out.values().take_while(|sent| now - **sent > late && **sent >= self.last_good - late).count()
    }

    pub(super) fn falters(&self, now: Micros, e: &Env) -> bool {
        let bad = self.bad.get(now, e.health);
        let share = bad / (bad + self.good.get(now, e.health) + PRIOR_GOOD);
        let slow = self.pace > SLOW_TIMES * self.usual;
        self.state != State::Open || slow || share > FALTER_SHARE || self.overdue(now, e) > 0
    }

    /// A limit and what is left of it, as an answer told it.
    pub(super) fn told(&mut self, report: LimitReport, at: Micros, kind: DestKind, e: &Env) {
        if let Some(limit) = report.limit.filter(|l| self.believes(*l)) {
            // A limit that was lowered or raised is so for all who share it, at once.
            let moved = |c: f64| self.limit.map(|l| l * (limit / c).powf(e.others));
            self.limit = self.ceiling.map_or(Some(limit * e.first_of(kind)), moved);
            self.ceiling = Some(limit);
        }
        let Some(left) = report.remaining else { return };
        self.left = Some((left, at));
        if left < LEFT_LITTLE {
            let dt = ((at - self.adjusted_at) as f64 / SECOND).clamp(0.0, 1.0);
            let even = self.own_part(e) / UNEVEN / 2.0;
            let less = |l: f64| (l * (1.0 - GIVE_WAY * dt * e.others.powi(3))).max(even.min(l));
            self.limit = self.limit.map(less);
            self.adjusted_at = self.adjusted_at.max(at);
        }
    }

    fn left(&self, now: Micros) -> f64 {
        let fades = |(left, told)| (left - LEFT_EVEN) * (-((now - told) as f64) / LEFT_SPAN).exp();
        LEFT_EVEN + self.left.map_or(0.0, fades)
    }

    /// Calls a second allowed now, and the span of them (seconds) that may go unspaced.
    pub(super) fn rate(&self, now: Micros, e: &Env) -> Option<(f64, f64)> {
        // All who share a limit are told what is left of it before any is refused: the pace follows that.
        let off = (self.left(now) / LEFT_EVEN - 1.0) * e.others;
        let eased = 1.0 + off * if off < 0.0 { 1.0 - LEFT_NONE } else { LEFT_ALL - 1.0 };
        let limit = self.limit.map(|l| (l * eased).max(e.least / 4.0));
        let State::Warming(since) = self.state else { return limit.map(|l| (l, BURST_S)) };
        let part = ((now - since) as f64 / e.warm).min(1.0);
        let warm = e.s.initial_capacity_share + (1.0 - e.s.initial_capacity_share) * part;
        let rate = (e.s.overload_factor * warm * self.base * self.boost).max(e.least / 4.0);
        Some((limit.map_or(rate, |l| l.min(rate)), 0.0))
    }

    /// When the next spaced send falls due. Where a limit is told, a pace that moved counts for the last too.
    fn due(&self, rate: f64) -> Micros {
        let follows = self.state == State::Open && self.ceiling.is_some();
        self.slot.0 + if follows { (SECOND / rate) as Micros } else { self.slot.1 }
    }

    /// The earliest time at which a call may go.
    pub(super) fn ready_at(&self, now: Micros, e: &Env) -> Micros {
        match (self.state, self.rate(now, e)) {
            (State::Outage(next_try), _) => self.wait_until.max(next_try),
            (_, Some((rate, burst))) => self.wait_until.max(self.due(rate) - (burst * SECOND) as Micros),
            _ => self.wait_until,
        }
    }

    pub(super) fn sent(&mut self, call: u64, now: Micros, full: bool, e: &Env) {
        self.full = full;
        if let Some((rate, _)) = self.rate(now, e) {
            self.slot = (now.max(self.due(rate)), (SECOND / rate) as Micros);
        }
        self.out.insert(call, now);
        self.long.add(now, e.warm);
        self.short.add(now, RECENT);
        if let State::Outage(_) = self.state {
            self.plan_trial(now, e);
        }
    }

    /// Trials stay within what the destination could bear had it come back just now.
    pub(super) fn plan_trial(&mut self, now: Micros, e: &Env) {
        let rate = e.s.overload_factor * e.s.initial_capacity_share * self.base;
        let most = e.warm / 4.0 / e.part;
        let gap = (SECOND / rate.max(e.least / 4.0)).clamp(e.target_latency / 16.0, most);
        // Many know of one outage, or were told one end of it: the first trial falls by chance in its gap.
        let later = if matches!(self.state, State::Outage(_)) { 0.5 } else { 0.0 };
        let part = if e.part < 0.5 { later + chance(&mut self.seed) } else { 1.0 };
        self.state = State::Outage(now.max(self.wait_until) + (gap * part) as Micros);
    }

    pub(super) fn enter_outage(&mut self, now: Micros, e: &Env) {
        if self.state == State::Open {
            self.base = self.own_rate(now, e).max(self.own_part(e) / UNEVEN).max(e.least);
        }
        if !matches!(self.state, State::Outage(_)) {
            self.plan_trial(now, e);
        }
    }

    pub(super) fn delivered(&mut self, now: Micros, took: f64, e: &Env) {
        self.good.add(now, e.health);
        self.last_good = now;
        self.refusals = 0;
        let gain = |old: f64, g: f64| if old == 0.0 { took } else { old + g * (took - old) };
        self.usual = gain(self.usual, USUAL_GAIN);
        self.pace = gain(self.pace, PACE_GAIN);
        // Where calls gather messages, pace is of no use until they go full or rarely.
        if let Some(l) = self.limit.filter(|l| self.full || SECOND / l > e.target_latency / 4.0) {
            let dt = ((now - self.adjusted_at) as f64 / SECOND).clamp(0.0, e.warm / SECOND);
            // Where nothing bounds it from above, each delivery shows room: at many calls a second by time
            // alone a few refusals would hold for a long while.
            let part = if self.is_told() || self.state != State::Open {
                dt * RECOVER
            } else {
                let quiet = ((now - self.last_refusal) as f64 / SECOND / QUIET_S).clamp(1.0, QUIET_MOST);
                (dt * RECOVER).max(RECOVER_CALL) * quiet
            };
            let part = if self.left(now) > LEFT_LITTLE * e.others { part } else { 0.0 };
            let grown = l + part * (l + e.least).max(self.own_part(e));
            // Senders are uneven: while there is room, one goes towards what is asked of it, in about an aim.
            let room = (self.left(now) / LEFT_EVEN - 1.0).max(0.0) * e.others.powi(3);
            let more = (self.handed_in.get(now, e.warm) * SECOND / e.warm - l).max(0.0);
            let grown = grown + more * room * (dt * SECOND / e.target_latency).min(1.0);
            self.limit = Some(self.ceiling.map_or(grown, |c| grown.min(c)));
            self.adjusted_at = now;
        }
        match self.state {
            State::Outage(_) => {
                (self.state, self.boost) = (State::Warming(now), 1.0);
                (self.bad, self.spent) = (Fading::default(), Fading::default());
                // The next call falls by chance in the gap behind the trial: returns at once are no clump.
                let part = if self.is_told() { chance(&mut self.seed) } else { 1.0 };
                let gap = self.rate(now, e).map_or(SECOND, |(rate, _)| SECOND / rate);
                self.slot = (now - (gap * part) as Micros, gap as Micros);
            }
            State::Warming(since) if (now - since) as f64 > e.warm => self.state = State::Open,
            State::Warming(_) if took < ROOM_TIMES * self.usual => {
                // All of the budget where it is told; else no more than warmth makes of what it took before.
                let most = if self.is_told() { 1.0 } else { 1.0 / e.s.initial_capacity_share };
                self.boost = (self.boost * GROW).min(most);
            }
            _ => {}
        }
    }

    /// Share of what is sent there that may run and is not delivered: what must not run twice is lost then.
    pub(super) fn loss_share(&self, now: Micros, e: &Env) -> f64 {
        let spent = self.spent.get(now, e.health);
        spent / (spent + self.good.get(now, e.health) + PRIOR_GOOD)
    }

    pub(super) fn failed(&mut self, now: Micros, outcome: Outcome, e: &Env) {
        self.bad.add(now, e.health);
        if !outcome.never_ran() {
            self.spent.add(now, e.health);
        }
        let bad = self.bad.get(now, e.health);
        let few = (self.own_rate(now, e) * e.health / SECOND / 2.0).max(OUTAGE_FAILS * e.part);
        let lately = now - self.last_good < e.target_latency as Micros / 2;
        if bad >= OUTAGE_FAILS.min(few) && (!lately || bad > self.good.get(now, e.health)) {
            self.enter_outage(now, e);
        }
    }

    /// A limit is told for all senders: what counts is what this one sends, or its even part.
    fn back_off(&mut self, now: Micros, e: &Env) {
        // Where none is told, or the mean is low for its coming back, what was just sent is the best guess.
        let told = self.state == State::Open && self.is_told();
        let guess = if told { 0.0 } else { self.short.get(now, RECENT) * SECOND / RECENT };
        let sent = self.own_rate(now, e).max(self.own_part(e)).max(guess);
        self.limit = Some((self.limit.map_or(sent, |l| l.min(sent)) * BACK_OFF).max(e.least / 4.0));
        self.adjusted_at = now;
    }

    /// Calls refused in one wave, sent before the first of them was heard of, count as one refusal.
    pub(super) fn refused(&mut self, now: Micros, sent: Micros, wait: Option<Micros>, e: &Env) {
        if self.refusals == 0 || sent >= self.last_refusal {
            self.refusals += 1;
            self.last_refusal = now;
            match self.state {
                State::Open => self.back_off(now, e),
                State::Warming(_) => {
                    self.boost = (self.boost * SHRINK).max(SHRINK);
                    self.back_off(now, e);
                }
                // What it holds since the outage began fills it, or its door is shut: that tells of no limit.
                State::Outage(_) => {}
            }
        }
        self.wait_until = self.wait_until.max(now + wait.unwrap_or(0));
        if !matches!(self.state, State::Outage(_)) {
            // Refused calls may use up the limit: each wave doubles the wait, and none come back together.
            // Trials of an outage are spaced as it is.
            let spaced = SECOND / self.limit.unwrap_or(e.least).max(e.least / 4.0);
            let most = e.target_latency * (1.0 / e.part).min(4.0);
            let own = (spaced * f64::from(1u32 << self.refusals.min(4)) / 2.0).min(most);
            let part = if e.part < 0.5 { 0.5 + chance(&mut self.seed) } else { 1.0 };
            self.wait_until = self.wait_until.max(now + (own * part) as Micros);
        }
        // A short wait comes from a limit that others use up, a long one from a shut door.
        let many = if self.is_told() { 1.0 } else { (UNEVEN * e.part).min(1.0) };
        let shut = f64::from(self.refusals) >= f64::from(SHUT_REFUSALS) * many;
        if wait.map_or(shut, |w| w as f64 > e.warm / 4.0) {
            self.enter_outage(now, e);
        }
    }
}
