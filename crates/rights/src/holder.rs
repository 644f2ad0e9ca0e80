//! A member's side of one limit: what it may use, what it has lent, what it was granted.

use crate::durations::{LeaseDurations, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Eighths of its demand that a member keeps for itself. The margin is needed because it reports its demand
/// only four times per grant, and what it lends is unavailable for about four grants.
const KEEP_EIGHTHS: u64 = 9;
/// Maximum number of coordinators that a member lends to, or holds grants of, at a time; further ones are
/// ignored.
const MAX_COORDINATORS: usize = 4;

/// A loan to a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Offer {
    /// Time at which the coordinator asked for the loan, by its own clock.
    pub asked_at: Micros,
    /// Amount lent, in place of the previous loan; while both last, the coordinator may count on the larger
    /// one.
    pub amount: u64,
}

/// A member's request to a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Time of the request by the member's clock; returned with the answer.
    pub sent_at: Micros,
    /// Amount requested beyond the floor.
    pub extra: u64,
    /// Amount lent, if any.
    pub offer: Option<Offer>,
}

/// A coordinator's answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Time of the request, copied from it.
    pub requested_at: Micros,
    /// Amount that the member may use beyond its floor, in place of the previous grant.
    pub amount: u64,
    /// Time at which the coordinator asks for the next loan, by the coordinator's clock.
    pub asked_at: Micros,
}

/// A member's side of one limit. Coordinators are identified by numbers that the host assigns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    durations: LeaseDurations,
    floor: u64,
    /// Time before which the floor is not usable: an earlier run of this member may have lent it.
    usable_from: Micros,
    /// Loans by coordinator: time of expiry and amount.
    lent: BTreeMap<u64, Vec<(Micros, u64)>>,
    /// Grants by coordinator: time of the request and amount.
    grants: BTreeMap<u64, (Micros, u64)>,
}

impl Holder {
    /// Returns the state of a member that starts at `now`, with its equal part of the limit.
    pub fn new(now: Micros, durations: LeaseDurations, floor: u64) -> Self {
        let usable_from = now.saturating_add(durations.loan_max);
        Holder { durations, floor, usable_from, lent: BTreeMap::new(), grants: BTreeMap::new() }
    }

    /// Returns the member's equal part of the limit.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Sets the floor after a change of the limit or of the number of members.
    pub fn set_floor(&mut self, floor: u64) {
        self.floor = floor;
    }

    /// Returns the amount that is lent at `now`.
    pub fn lent(&self, now: Micros) -> u64 {
        self.lent.values().map(|loans| max_amount(loans, now)).sum()
    }

    /// Returns the amount of all grants that are valid at `now`.
    pub fn borrowed(&self, now: Micros) -> u64 {
        let is_valid =
            |(requested_at, _): &&(Micros, u64)| now < requested_at.saturating_add(self.durations.grant);
        self.grants.values().filter(is_valid).map(|(_, amount)| *amount).sum()
    }

    /// Returns what the member may use at `now` (see [`crate::CALL`]). Query this at the last step before a
    /// call begins, with the clock read then.
    pub fn right(&self, now: Micros) -> u64 {
        let own = if now < self.usable_from { 0 } else { self.floor.saturating_sub(self.lent(now)) };
        own + self.borrowed(now)
    }

    /// Returns the request to a coordinator for a demand of `demand`. `asked_at` is the time of the
    /// coordinator's latest question for a loan; answering it starts the loan, whether or not the answer
    /// arrives.
    pub fn request(
        &mut self,
        now: Micros,
        coordinator: u64,
        demand: u64,
        asked_at: Option<Micros>,
    ) -> Request {
        let keep = demand.saturating_mul(KEEP_EIGHTHS) / 8;
        let extra = keep.saturating_sub(self.floor);
        let offer = asked_at.and_then(|asked_at| self.lend(now, coordinator, keep, asked_at));
        Request { sent_at: now, extra, offer }
    }

    fn lend(&mut self, now: Micros, coordinator: u64, keep: u64, asked_at: Micros) -> Option<Offer> {
        for loans in self.lent.values_mut() {
            loans.retain(|(until, _)| now < *until);
        }
        self.lent.retain(|_, loans| !loans.is_empty());
        if now < self.usable_from
            || (self.lent.len() >= MAX_COORDINATORS && !self.lent.contains_key(&coordinator))
        {
            return None;
        }
        // What is lent to other coordinators can't be lent again.
        let to_others: u64 =
            self.lent.iter().filter(|(id, _)| **id != coordinator).map(|(_, l)| max_amount(l, now)).sum();
        let amount = self.floor.saturating_sub(keep).min(self.floor.saturating_sub(to_others));
        if amount == 0 {
            return None;
        }
        let until = now.saturating_add(self.durations.loan_max);
        let loans = self.lent.entry(coordinator).or_default();
        // The new loan lasts longest, so it supersedes all that are not larger.
        loans.retain(|(_, old)| *old > amount);
        loans.push((until, amount));
        Some(Offer { asked_at, amount })
    }

    /// Applies a coordinator's answer. Of two answers the one to the later request counts.
    pub fn apply_grant(&mut self, now: Micros, coordinator: u64, grant: &Grant) {
        let durations = self.durations;
        self.grants.retain(|_, (requested_at, _)| now < requested_at.saturating_add(durations.grant));
        // A grant for a request in the future answers no request of this member, and would expire too late or
        // never.
        if grant.requested_at > now
            || (self.grants.len() >= MAX_COORDINATORS && !self.grants.contains_key(&coordinator))
        {
            return;
        }
        let known = self.grants.entry(coordinator).or_insert((grant.requested_at, grant.amount));
        if known.0 <= grant.requested_at {
            *known = (grant.requested_at, grant.amount);
        }
    }

    /// Returns the same state on a clock that reads `offset` less, at `now` of that clock, without expired
    /// entries. State-space searches use it to recognize equal states.
    pub fn rebased(&self, now: Micros, offset: Micros) -> Self {
        let mut same = self.clone();
        same.usable_from = same.usable_from.saturating_sub(offset).max(now);
        for loans in same.lent.values_mut() {
            loans.iter_mut().for_each(|(until, _)| *until = until.saturating_sub(offset));
            loans.retain(|(until, _)| now < *until);
            loans.sort_unstable();
        }
        same.lent.retain(|_, loans| !loans.is_empty());
        same.grants.values_mut().for_each(|(requested_at, _)| {
            *requested_at = requested_at.saturating_sub(offset);
        });
        same.grants.retain(|_, (requested_at, amount)| {
            now < requested_at.saturating_add(self.durations.grant) && *amount > 0
        });
        same
    }
}

/// Returns the largest loan that lasts beyond `now`: the most that a coordinator may count on.
fn max_amount(loans: &[(Micros, u64)], now: Micros) -> u64 {
    loans.iter().filter(|(until, _)| now < *until).map(|(_, amount)| *amount).max().unwrap_or(0)
}
