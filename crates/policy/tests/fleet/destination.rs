//! A simulated destination that all senders share. It has a limit that refused calls count against, few
//! connections, outages, and reduced capacity after an outage; the load on it is judged as the operators do.

use std::collections::BTreeMap;
use yarrowhill_policy::api::*;

use crate::play::random_unit;
use crate::{MS, SEC};

/// Share of its capacity that the destination has right after an outage.
pub const INITIAL_CAPACITY_SHARE: f64 = 0.17;
/// Time after an outage until the destination has its full capacity again.
pub const WARM_UP: Micros = 13 * SEC;
/// The destination is overloaded by more than this multiple of its present capacity.
pub const OVERLOAD_FACTOR: f64 = 2.0;
/// Time for which the load must exceed [`OVERLOAD_FACTOR`] to overload the destination.
pub const OVERLOAD_DURATION: Micros = 3 * SEC;
/// Ratio of the capacity of the destination to its limit.
const CAPACITY_PER_LIMIT: f64 = 1.3;

/// How the destination behaves during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum OutageMode {
    /// Connections are refused.
    #[default]
    RefusesConnections,
    /// Calls get no response.
    Hangs,
    /// Calls are answered with an error.
    ReturnsErrors,
    /// Calls are refused.
    RefusesCalls,
    /// This share (0 to 1) of the calls is answered with an error at once; the others are delivered.
    FailsShare(f64),
}

/// A simulated destination with a token bucket for its limit.
pub struct Destination {
    /// Limit in calls per second.
    pub rate: f64,
    /// Size of the token bucket.
    bucket_size: f64,
    /// Tokens in the bucket; negative for a debt.
    tokens: f64,
    /// Time of the last refill.
    refilled_at: Micros,
    /// Remaining share of the allowance that responses report, and when it was refreshed.
    reported_remaining: (f64, Micros),
    /// Start and end of the outage.
    pub outage: Option<(Micros, Micros)>,
    /// How the destination behaves during the outage.
    pub outage_mode: OutageMode,
    /// True if it never refuses a call, so that nothing shows its reduced capacity after an outage.
    pub never_refuses: bool,
    /// When each idle or busy connection was last used, by sender.
    connections: BTreeMap<usize, Micros>,
    /// Maximum number of connections.
    pub max_connections: usize,
    idle_timeout: Micros,
    /// Calls received during warm-up, and whether their sender had observed the outage.
    warm_up_calls: Vec<(Micros, bool)>,
    /// Outcome of a call whose connection is refused because there are too many.
    pub connection_refusal: Outcome,
    /// Number of refused connections.
    pub connects_refused: usize,
    /// State of the pseudo-random number generator.
    pub seed: u64,
}

impl Destination {
    pub fn new(rate: f64, now: Micros, idle_timeout: Micros) -> Self {
        Destination {
            rate,
            bucket_size: rate * 0.6,
            tokens: rate * 0.6,
            refilled_at: now,
            reported_remaining: (1.0, now),
            outage: None,
            outage_mode: OutageMode::default(),
            never_refuses: false,
            connections: BTreeMap::new(),
            max_connections: usize::MAX,
            connection_refusal: Outcome::ConnectFailed,
            idle_timeout,
            warm_up_calls: Vec::new(),
            connects_refused: 0,
            seed: 1,
        }
    }

    fn is_down(&self, now: Micros) -> bool {
        self.outage.is_some_and(|(from, until)| (from..until).contains(&now))
    }

    /// Returns the present capacity in calls per second.
    fn capacity(&self, now: Micros) -> f64 {
        let full = self.rate * CAPACITY_PER_LIMIT;
        let Some((_, until)) = self.outage.filter(|(_, until)| now >= *until) else { return full };
        full * (INITIAL_CAPACITY_SHARE
            + (1.0 - INITIAL_CAPACITY_SHARE) * ((now - until) as f64 / WARM_UP as f64).min(1.0))
    }

    /// Handles a call from a sender, which may have observed the outage. Returns the outcome and the report
    /// in the response.
    pub fn call(&mut self, now: Micros, sender: usize, observed: bool) -> (Outcome, Option<LimitReport>) {
        if self.is_down(now) {
            let outcome = match self.outage_mode {
                OutageMode::RefusesConnections => Outcome::ConnectFailed,
                OutageMode::Hangs => Outcome::TimedOut,
                OutageMode::ReturnsErrors => Outcome::Error,
                OutageMode::RefusesCalls => Outcome::Full { wait: None },
                OutageMode::FailsShare(share) if random_unit(&mut self.seed) < share => Outcome::Error,
                OutageMode::FailsShare(_) => return self.serve(now),
            };
            self.connections.clear();
            return (outcome, None);
        }
        let idle_timeout = self.idle_timeout;
        self.connections.retain(|_, used| now - *used < idle_timeout);
        if !self.connections.contains_key(&sender) && self.connections.len() >= self.max_connections {
            self.connects_refused += 1;
            return (self.connection_refusal, None);
        }
        self.connections.insert(sender, now);
        let is_warming_up = self.outage.is_some_and(|(_, until)| (until..until + WARM_UP).contains(&now));
        if is_warming_up {
            self.warm_up_calls.push((now, observed));
        }
        self.serve(now)
    }

    /// Serves a call, or refuses it above the limit.
    fn serve(&mut self, now: Micros) -> (Outcome, Option<LimitReport>) {
        let refill_rate = self.rate.min(self.capacity(now));
        self.tokens =
            (self.tokens + refill_rate * (now - self.refilled_at) as f64 / SEC as f64).min(self.bucket_size);
        self.refilled_at = now;
        if now - self.reported_remaining.1 > 300 * MS {
            self.reported_remaining = ((self.tokens / self.bucket_size).clamp(0.0, 1.0), now);
        }
        let accepted = self.tokens >= 1.0 || self.never_refuses;
        // The debt is limited to the size of the bucket.
        self.tokens = (self.tokens - 1.0).max(-self.bucket_size);
        let outcome = if accepted { Outcome::Delivered } else { Outcome::Full { wait: None } };
        (outcome, Some(LimitReport { limit: Some(self.rate), remaining: Some(self.reported_remaining.0) }))
    }

    pub fn close(&mut self, sender: usize) {
        self.connections.remove(&sender);
    }

    /// Returns the peak load of any overload period during warm-up, as a multiple of what overloads the
    /// destination. Also returns, over the periods that do overload it, the highest share of calls from
    /// senders that had observed the outage.
    pub fn peak_load(&self) -> (f64, f64) {
        let (mut peak, mut informed) = (0.0f64, 0.0f64);
        for (i, (from, _)) in self.warm_up_calls.iter().enumerate() {
            let period: Vec<_> =
                self.warm_up_calls[i..].iter().take_while(|(at, _)| at - from < OVERLOAD_DURATION).collect();
            let bearable =
                OVERLOAD_FACTOR * self.capacity(from + OVERLOAD_DURATION / 2) * OVERLOAD_DURATION as f64
                    / SEC as f64;
            let load = period.len() as f64 / bearable;
            peak = peak.max(load);
            if load > 1.0 {
                let observed = period.iter().filter(|(_, observed)| *observed).count();
                informed = informed.max(observed as f64 / period.len() as f64);
            }
        }
        (peak, informed)
    }

    /// Returns the maximum number of calls in any overload period during warm-up beyond the budget and a
    /// margin for chance: first over the periods in which more than two thirds of the calls came from senders
    /// that had observed the outage, then over all. For a budget of N calls the margin is 2 sqrt(N) + 2.
    pub fn excess_calls(&self) -> (f64, f64) {
        self.calls_beyond(|budget| 2.0 * budget.sqrt() + 2.0)
    }

    /// The same with the margin at which the destination falls: 3 sqrt(N) + 3 for a budget below 30 calls.
    pub fn calls_beyond_its_fall(&self) -> (f64, f64) {
        let factor = |budget: f64| if budget < 30.0 { 3.0 } else { 2.0 };
        self.calls_beyond(|budget| factor(budget) * budget.sqrt() + factor(budget))
    }

    fn calls_beyond(&self, margin: impl Fn(f64) -> f64) -> (f64, f64) {
        let (mut informed, mut peak) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        for (i, (from, _)) in self.warm_up_calls.iter().enumerate() {
            let budget =
                OVERLOAD_FACTOR * self.capacity(from + OVERLOAD_DURATION / 2) * OVERLOAD_DURATION as f64
                    / SEC as f64;
            let (mut calls, mut observed) = (0.0, 0.0);
            for (_, has_observed) in
                self.warm_up_calls[i..].iter().take_while(|(at, _)| at - from < OVERLOAD_DURATION)
            {
                calls += 1.0;
                observed += f64::from(u8::from(*has_observed));
            }
            let over = calls - (budget + margin(budget));
            peak = peak.max(over);
            if observed > calls * 2.0 / 3.0 {
                informed = informed.max(over);
            }
        }
        (informed, peak)
    }
}
