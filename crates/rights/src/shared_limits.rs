//! All limits of one member: its rights, its exchanges with coordinators, and whether a call may begin.
//!
//! Rights are fractions of a limit, in units of one in [`PARTS`]. They are converted to calls only when a
//! call is about to begin, with the limit in force then. So a limit that is lowered binds each member as soon
//! as it learns of it, also for rights already lent and granted, and all members together send at most the
//! largest limit that any of them still uses.
//!
//! A member derives the coordinator of a limit from its own view by rendezvous hashing; no agreement is
//! needed.

use crate::coordinator::Coordinator;
use crate::durations::{LeaseDurations, Micros};
use crate::holder::{Grant, Holder, Request};
use crate::rate_meter::RateMeter;
use crate::token_bucket::TokenBucket;
use crate::{CALL, PARTS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of payloads in an envelope; this many of the largest encoded size fit in a packet.
pub const MAX_PAYLOADS: usize = 18;
/// Half-life of the demand meter in rounds: two grants. With one grant, a member with one call per second
/// seems to need more and less in turn, and 300 of them together use 0.87 of a limit instead of all of it
/// (`attack rights`).
const DEMAND_HALF_LIFE_ROUNDS: u64 = 8;
/// Maximum number of coordinators whose latest question for a loan is kept.
const MAX_PENDING_QUESTIONS: usize = 4;

/// A message about one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A member's request to the coordinator of the limit with this number.
    Request(u64, Request),
    /// The coordinator's answer for the limit with this number.
    Grant(u64, Grant),
}

/// What one member sends to another in a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Identifier of the sending process, drawn at each start.
    pub instance: u64,
    /// Identifier of the receiving process, or none if the sender has not received it yet. Messages echo
    /// times that only the process that sent them first can interpret, so a later process must not apply
    /// them.
    pub to_instance: Option<u64>,
    /// Messages about limits, at most [`MAX_PAYLOADS`].
    pub payloads: Vec<Payload>,
}

/// Settings of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Rate of calls for all members together, in units of [`CALL`].
    pub calls: u64,
    /// Whether rights move to members that need them; otherwise each member always has its equal part.
    pub lend: bool,
}

/// Counts of rejected messages, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusals {
    /// Messages about limits that are not configured here.
    pub unknown: u64,
    /// Loans and grants addressed to an earlier process of this member.
    pub stale: u64,
    /// Loans larger than the floor of a member.
    #[serde(rename = "absurd")]
    pub excessive: u64,
}

/// State of one limit at this member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LimitStatus {
    /// Number of the limit.
    pub limit: u64,
    /// Rate for all members together (calls per second).
    pub calls: f64,
    /// Fraction of its right that the member may use: below 1 while a destination warms up after an outage.
    #[serde(rename = "part", default = "full_fraction")]
    pub warm_up_fraction: f64,
    /// Right of this member now (calls per second).
    pub right: f64,
    /// Equal part of this member (calls per second).
    pub floor: f64,
    /// Part of the floor that is lent (calls per second).
    pub lent: f64,
    /// Part of the right that is borrowed (calls per second).
    pub borrowed: f64,
    /// Rate that this member would send without the limit (calls per second).
    pub demand: f64,
    /// Time until the floor is usable (milliseconds): until then an earlier process may have lent it.
    #[serde(rename = "starts_ms")]
    pub floor_usable_in_ms: u64,
    /// Number of calls begun since the start.
    pub begun: u64,
    /// Number of calls delayed by the limit since the start.
    #[serde(rename = "held")]
    pub delayed: u64,
    /// Coordinator of the limit in this member's view.
    #[serde(rename = "keeper")]
    pub coordinator: Option<u64>,
    /// If this member acts as the coordinator: what it grants, and what is lent to it (calls per second).
    #[serde(rename = "keeps")]
    pub coordinated: Option<[f64; 2]>,
}

fn full_fraction() -> f64 {
    1.0
}

/// Returns the number of the limit on attempts beyond the first to a destination, which applies beside the
/// limit on all of its calls.
pub fn retry_limit_id(dest: u64) -> u64 {
    dest | 1 << 63
}

/// This member's side of one limit.
#[derive(Clone, Debug)]
struct Share {
    limit: Limit,
    holder: Holder,
    bucket: TokenBucket,
    meter: RateMeter,
    /// Latest question for a loan by coordinator, on the coordinator's clock.
    questions: BTreeMap<u64, Micros>,
    coordinator: Option<u64>,
    /// Fraction of its right that the member may use: below 1 while a destination warms up after an outage.
    warm_up_fraction: f64,
    /// Time from which loans and grants of this limit are recorded; earlier ones are unknown.
    since: Micros,
    begun: u64,
    delayed: u64,
}

impl Share {
    fn calls_of(&self, parts: u64) -> u64 {
        u64::try_from(u128::from(parts) * u128::from(self.limit.calls) / u128::from(PARTS))
            .unwrap_or(u64::MAX)
    }

    /// Returns the demand, in parts of the limit.
    fn demand(&self, now: Micros) -> u64 {
        let fraction = self.meter.rate(now) * CALL as f64 / (self.limit.calls.max(1) as f64);
        (fraction.min(1.0) * PARTS as f64) as u64
    }

    fn right(&self, now: Micros) -> u64 {
        let right = self.calls_of(self.holder.right(now));
        if self.warm_up_fraction < 1.0 { (right as f64 * self.warm_up_fraction) as u64 } else { right }
    }
}

/// All limits of one member.
#[derive(Clone, Debug)]
pub struct SharedLimits {
    local_id: u64,
    instance: u64,
    durations: LeaseDurations,
    members: u64,
    shares: BTreeMap<u64, Share>,
    coordinators: BTreeMap<u64, Coordinator>,
    /// Process identifiers of other members, as last received.
    instances: BTreeMap<u64, u64>,
    next_round: Micros,
    /// Whether a call was delayed since the last round, so that the next one is brought forward.
    has_new_delays: bool,
    started: Micros,
    /// Whether limits have been set before.
    has_limits: bool,
    refusals: Refusals,
}

impl SharedLimits {
    /// Returns the state of a member that starts at `now`. `instance` identifies the process and is drawn at
    /// each start; `members` is the number of members that share each limit.
    pub fn new(now: Micros, local_id: u64, instance: u64, members: usize, durations: LeaseDurations) -> Self {
        SharedLimits {
            local_id,
            instance,
            durations,
            members: members.max(1) as u64,
            shares: BTreeMap::new(),
            coordinators: BTreeMap::new(),
            instances: BTreeMap::new(),
            // Spreads the rounds of members that start at the same time.
            next_round: now + local_id % durations.round_interval().max(1),
            has_new_delays: false,
            started: now,
            has_limits: false,
            refusals: Refusals::default(),
        }
    }

    fn floor(&self) -> u64 {
        PARTS / self.members
    }

    /// Sets the limits by number, and the number of members that share them. The state of a limit that is
    /// removed is dropped, and calls are no longer subject to it.
    pub fn set_limits(&mut self, now: Micros, members: usize, limits: &BTreeMap<u64, Limit>) {
        self.members = members.max(1) as u64;
        self.shares.retain(|limit, _| limits.contains_key(limit));
        self.coordinators.retain(|limit, _| limits.contains_key(limit));
        let (durations, floor) = (self.durations, self.floor());
        // What an earlier process lent does not depend on when the first document was read, so those limits
        // count from the start. A limit added later may have been removed before, with its loans forgotten,
        // and counts from now.
        let since = if self.has_limits { now } else { self.started };
        self.has_limits = true;
        for (limit, settings) in limits {
            let new_share = || Share {
                limit: *settings,
                holder: Holder::new(since, durations, floor),
                since,
                bucket: TokenBucket::new(now),
                meter: RateMeter::new(now, durations.round_interval() * DEMAND_HALF_LIFE_ROUNDS),
                questions: BTreeMap::new(),
                coordinator: None,
                warm_up_fraction: 1.0,
                begun: 0,
                delayed: 0,
            };
            let share = self.shares.entry(*limit).or_insert_with(new_share);
            share.limit = *settings;
            share.holder.set_floor(floor);
        }
    }

    /// Begins a call under all of its limits, of whose rights it may use `fraction` (a fraction of 1). Call
    /// this at the last step before the first byte of the call, with the clock read then. `again`: the call
    /// was delayed before.
    ///
    /// # Errors
    ///
    /// Returns the time after which to try again (microseconds) if a limit delays the call; nothing is then
    /// taken from any of them.
    pub fn try_begin(
        &mut self,
        now: Micros,
        limits: &[u64],
        fraction: f64,
        again: bool,
    ) -> Result<(), Micros> {
        let round = self.durations.round_interval();
        let mut wait = None;
        for limit in limits {
            let Some(share) = self.shares.get_mut(limit) else { continue };
            if !again {
                share.meter.record(now);
            }
            share.warm_up_fraction = fraction.clamp(0.0, 1.0);
            let right = share.right(now);
            share.bucket.refill(now, right);
            if !share.bucket.has_token() {
                // Rights move within a round, so the call tries again by then, however long its present right
                // would take.
                let at = share.bucket.next_token_at().unwrap_or(Micros::MAX);
                let delay = at.saturating_sub(now).clamp(1, round);
                wait = Some(wait.map_or(delay, |wait: Micros| wait.max(delay)));
                share.delayed += u64::from(!again);
                self.has_new_delays |= !again;
            }
        }
        if let Some(wait) = wait {
            return Err(wait);
        }
        for limit in limits {
            if let Some(share) = self.shares.get_mut(limit) {
                share.begun += u64::from(share.bucket.take());
            }
        }
        Ok(())
    }

    /// Records the demand of a call that is delayed for another reason: without it, the right would be lent
    /// away by the time the call may begin.
    pub fn record_demand(&mut self, now: Micros, limits: &[u64]) {
        for limit in limits {
            self.shares.get_mut(limit).into_iter().for_each(|share| share.meter.record(now));
        }
    }

    /// Returns when [`SharedLimits::tick`] is due.
    pub fn next_wake(&self) -> Micros {
        if self.shares.is_empty() {
            return Micros::MAX;
        }
        // Delayed calls are reported at once, but at most eight times per round interval.
        if self.has_new_delays {
            self.next_round.saturating_sub(self.durations.round_interval() * 7 / 8)
        } else {
            self.next_round
        }
    }

    /// Runs a round if one is due, and returns the requests to the coordinators in `view`.
    pub fn tick(&mut self, now: Micros, view: &[u64]) -> Vec<(u64, Envelope)> {
        if now < self.next_wake() {
            return Vec::new();
        }
        (self.next_round, self.has_new_delays) = (now + self.durations.round_interval(), false);
        let mut remote: BTreeMap<u64, Vec<Payload>> = BTreeMap::new();
        let mut local = Vec::new();
        for (limit, share) in &mut self.shares {
            share.coordinator = coordinator_of(*limit, view).filter(|_| share.limit.lend);
            let Some(coordinator) = share.coordinator else { continue };
            let demand = share.demand(now);
            let asked_at = share.questions.remove(&coordinator);
            let request = share.holder.request(now, coordinator, demand, asked_at);
            let payloads = if coordinator == self.local_id {
                &mut local
            } else {
                remote.entry(coordinator).or_default()
            };
            payloads.push(Payload::Request(*limit, request));
        }
        for payload in local {
            // The local coordinator handles this member's requests like those of others.
            let Payload::Request(limit, request) = payload else { continue };
            let grant = self.handle_request(now, self.local_id, limit, request);
            self.apply_grant(now, self.local_id, limit, grant);
        }
        let mut envelopes = Vec::new();
        for (to, payloads) in remote {
            let to_instance = self.instances.get(&to).copied();
            for payloads in payloads.chunks(MAX_PAYLOADS) {
                envelopes.push((
                    to,
                    Envelope { instance: self.instance, to_instance, payloads: payloads.to_vec() },
                ));
            }
        }
        envelopes
    }

    /// Handles an envelope from a member of the roster and returns the answer, if it needs one.
    pub fn handle(&mut self, now: Micros, from: u64, envelope: &Envelope) -> Option<Envelope> {
        // Bounded by the roster: the host passes on envelopes of its members only.
        self.instances.insert(from, envelope.instance);
        let is_current = envelope.to_instance == Some(self.instance);
        let mut payloads = Vec::new();
        for payload in envelope.payloads.iter().take(MAX_PAYLOADS) {
            match *payload {
                Payload::Request(limit, _) | Payload::Grant(limit, _)
                    if !self.shares.contains_key(&limit) =>
                {
                    self.refusals.unknown += 1;
                }
                Payload::Request(limit, mut request) => {
                    if !is_current && request.offer.take().is_some() {
                        self.refusals.stale += 1;
                    }
                    payloads.push(Payload::Grant(limit, self.handle_request(now, from, limit, request)));
                }
                Payload::Grant(limit, grant) if is_current => self.apply_grant(now, from, limit, grant),
                Payload::Grant(..) => self.refusals.stale += 1,
            }
        }
        (!payloads.is_empty()).then_some(Envelope {
            instance: self.instance,
            to_instance: Some(envelope.instance),
            payloads,
        })
    }

    fn handle_request(&mut self, now: Micros, from: u64, limit: u64, mut request: Request) -> Grant {
        let (durations, floor) = (self.durations, self.floor());
        if let Some(offer) = request.offer.as_mut().filter(|offer| offer.amount > floor) {
            // A member cannot lend more than its floor, so a larger offer is reduced to it.
            self.refusals.excessive += 1;
            offer.amount = floor;
        }
        request.extra = request.extra.min(PARTS);
        let since = self.shares.get(&limit).map_or(now, |share| share.since);
        let new_coordinator = || Coordinator::new(since, durations);
        let coordinator = self.coordinators.entry(limit).or_insert_with(new_coordinator);
        coordinator.handle_request(now, from, &request, durations)
    }

    fn apply_grant(&mut self, now: Micros, coordinator: u64, limit: u64, grant: Grant) {
        let Some(share) = self.shares.get_mut(&limit) else { return };
        // A right that expired since the last refill has added nothing, so the bucket refills before and
        // after the change.
        let before = share.right(now);
        share.bucket.refill(now, before);
        share.holder.apply_grant(now, coordinator, &grant);
        let after = share.right(now);
        share.bucket.refill(now, after);
        if share.questions.len() >= MAX_PENDING_QUESTIONS && !share.questions.contains_key(&coordinator) {
            share.questions.pop_first();
        }
        share.questions.insert(coordinator, grant.asked_at);
    }

    /// Returns the state of each limit, for operators.
    pub fn status(&self, now: Micros) -> Vec<LimitStatus> {
        let status_of = |(limit, share): (&u64, &Share)| {
            let calls = |parts: u64| share.calls_of(parts) as f64 / CALL as f64;
            let usable_from = share.since.saturating_add(self.durations.loan_max);
            LimitStatus {
                limit: *limit,
                calls: share.limit.calls as f64 / CALL as f64,
                warm_up_fraction: share.warm_up_fraction,
                right: calls(share.holder.right(now)),
                floor: calls(share.holder.floor()),
                lent: calls(share.holder.lent(now)),
                borrowed: calls(share.holder.borrowed(now)),
                demand: share.meter.rate(now),
                floor_usable_in_ms: usable_from.saturating_sub(now) / 1000,
                begun: share.begun,
                delayed: share.delayed,
                coordinator: share.coordinator,
                coordinated: self
                    .coordinators
                    .get(limit)
                    .map(|c| [calls(c.outstanding(now)), calls(c.pool(now, self.durations))]),
            }
        };
        self.shares.iter().map(status_of).collect()
    }

    /// Returns what this member may send now under a limit, in units of [`CALL`].
    pub fn right(&self, now: Micros, limit: u64) -> Option<u64> {
        self.shares.get(&limit).map(|share| share.right(now))
    }

    /// Returns the counts of rejected messages.
    pub fn refusals(&self) -> Refusals {
        self.refusals
    }
}

/// Returns the coordinator of a limit in a view, by rendezvous hashing: when a member leaves, only the limits
/// that it coordinated move.
fn coordinator_of(limit: u64, view: &[u64]) -> Option<u64> {
    view.iter().copied().max_by_key(|id| xxh3_64(&[limit.to_le_bytes(), id.to_le_bytes()].concat()))
}

#[cfg(test)]
mod tests;
