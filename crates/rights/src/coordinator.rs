//! The coordinator of a limit: collects what members lend and grants it to those that need more. Any member
//! may be the coordinator at any time, several may act at once, and each may vanish at any instant: safety
//! depends on none of this, since a coordinator grants only what was lent to itself.

use crate::durations::{LeaseDurations, Micros};
use crate::holder::{Grant, Request};
use crate::water_fill::water_fill;
use std::collections::BTreeMap;

/// A grant stays unchanged if its planned amount differs from the last one by less than one part in this
/// many, so that rights do not move back and forth with small variations of demand.
const HYSTERESIS: u64 = 20;

/// What the coordinator knows of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Member {
    /// Loans: time of expiry by this clock, and amount.
    lent: Vec<(Micros, u64)>,
    /// Grants that may still be in use: time of expiry by this clock, and amount.
    granted: Vec<(Micros, u64)>,
    /// Amount of the latest request, and when it was received.
    extra: u64,
    received_at: Micros,
}

/// The coordinator of one limit. Members are identified by numbers that the host assigns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    members: BTreeMap<u64, Member>,
    /// Time before which nothing is granted: members may still use grants that an earlier run made from the
    /// same loans.
    grants_from: Micros,
}

impl Coordinator {
    /// Returns a coordinator that starts at `now`.
    pub fn new(now: Micros, durations: LeaseDurations) -> Self {
        Coordinator { members: BTreeMap::new(), grants_from: now.saturating_add(durations.grant_max) }
    }

    /// Returns the time from which a loan counts if a member makes it in answer to a question sent at `now`.
    pub fn ask_time(&self, now: Micros) -> Micros {
        now
    }

    /// Returns the sum of loans that last at least as long as a grant made at `now`.
    pub fn pool(&self, now: Micros, durations: LeaseDurations) -> u64 {
        let until = now.saturating_add(durations.grant_max);
        self.members.values().map(|member| max_amount(&member.lent, until)).sum()
    }

    /// Returns the sum of grants that may be in use at `now`.
    pub fn outstanding(&self, now: Micros) -> u64 {
        self.members.values().map(|member| max_amount(&member.granted, now)).sum()
    }

    /// Handles a member's request and returns the grant.
    pub fn handle_request(
        &mut self,
        now: Micros,
        from: u64,
        request: &Request,
        durations: LeaseDurations,
    ) -> Grant {
        for member in self.members.values_mut() {
            member.lent.retain(|(until, _)| now < *until);
            member.granted.retain(|(until, _)| now < *until);
            // The request of a member that has been silent for the duration of a grant has expired.
            if now >= member.received_at.saturating_add(durations.grant) {
                member.extra = 0;
            }
        }
        self.members.retain(|_, m| m.extra > 0 || !m.lent.is_empty() || !m.granted.is_empty());
        let member = self.members.entry(from).or_default();
        (member.extra, member.received_at) = (request.extra, now);
        // A loan counts from the question, so a late answer is valid for the rest of its lease only. A
        // question from the future was never asked.
        if let Some(offer) = request.offer.filter(|o| o.asked_at <= now) {
            let until = offer.asked_at.saturating_add(durations.loan);
            // Drops loans that neither last longer nor are larger than the new one.
            member.lent.retain(|(old, amount)| *amount > offer.amount || *old > until);
            member.lent.push((until, offer.amount));
        }
        let amount = self.amount(now, from, durations);
        if amount > 0
            && let Some(member) = self.members.get_mut(&from)
        {
            let until = now.saturating_add(durations.grant_max);
            member.granted.retain(|(_, old)| *old > amount);
            member.granted.push((until, amount));
        }
        Grant { requested_at: request.sent_at, amount, asked_at: self.ask_time(now) }
    }

    /// Returns the amount to grant to a member: its fair share of the pool, limited by what the grants of
    /// others leave.
    fn amount(&self, now: Micros, from: u64, durations: LeaseDurations) -> u64 {
        if now < self.grants_from {
            return 0;
        }
        let pool = self.pool(now, durations);
        let requests: Vec<u64> = self.members.values().map(|member| member.extra).collect();
        let shares = water_fill(pool, &requests);
        let share =
            self.members.keys().zip(shares).find(|(id, _)| **id == from).map_or(0, |(_, share)| share);
        let to_others: u64 = self
            .members
            .iter()
            .filter(|(id, _)| **id != from)
            .map(|(_, m)| max_amount(&m.granted, now))
            .sum();
        let last = self.members.get(&from).and_then(|m| m.granted.last()).map_or(0, |(_, amount)| *amount);
        // Keeps the last grant where the new share hardly differs, as far as the pool still covers it.
        let share = if share.abs_diff(last) < last / HYSTERESIS { last } else { share };
        share.min(pool.saturating_sub(to_others))
    }

    /// Returns the same state on a clock that reads `offset` less, at `now` of that clock, without expired
    /// entries. State-space searches use it to recognize equal states.
    pub fn rebased(&self, now: Micros, offset: Micros) -> Self {
        let mut same = self.clone();
        same.grants_from = same.grants_from.saturating_sub(offset).max(now);
        for member in same.members.values_mut() {
            for leases in [&mut member.lent, &mut member.granted] {
                leases.iter_mut().for_each(|(until, _)| *until = until.saturating_sub(offset));
                leases.retain(|(until, _)| now < *until);
                leases.sort_unstable();
            }
            member.received_at = member.received_at.saturating_sub(offset);
        }
        same
    }

    /// Returns the state without requests, which do not bear on safety: state-space searches draw them anew
    /// in each step.
    pub fn without_requests(&self) -> Self {
        let mut same = self.clone();
        same.members.values_mut().for_each(|m| (m.extra, m.received_at) = (0, 0));
        same.members.retain(|_, m| !m.lent.is_empty() || !m.granted.is_empty());
        same
    }
}

/// Returns the largest amount of the leases that last beyond `until`.
fn max_amount(leases: &[(Micros, u64)], until: Micros) -> u64 {
    leases.iter().filter(|(end, _)| until < *end).map(|(_, amount)| *amount).max().unwrap_or(0)
}
