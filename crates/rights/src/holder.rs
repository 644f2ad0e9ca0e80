//! A member's side of one limit: what it may use, what it has promised, what it was granted.

use crate::durations::{LeaseDurations, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Of what it needs a member keeps so many eighths: it tells its demand four times a grant, and what it lends is gone for
/// about four grants.
const KEEP_EIGHTHS: u64 = 9;
/// Keepers that it speaks with at a time; further ones get no promise.
const KEEPERS_MOST: usize = 4;

/// What a member lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Offer {
    /// As the keeper asked, by its clock.
    pub asked_at: Micros,
    /// How much, in place of what it lent before; the keeper may count on the more of both while both last.
    pub amount: u64,
}

/// What a member says to a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// When, by its clock; comes back with the answer.
    pub sent_at: Micros,
    /// What it wants beyond its floor.
    pub extra: u64,
    /// What it lends.
    pub offer: Option<Offer>,
}

/// What a keeper answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// As the member said.
    pub requested_at: Micros,
    /// How much it may use beyond its floor, in place of what it was granted before.
    pub amount: u64,
    /// When the keeper asks what the member lends, by the keeper's clock.
    pub asked_at: Micros,
}

/// A member's side of one limit. Keepers are named by numbers, as the host has them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    spans: LeaseDurations,
    floor: u64,
    /// Its floor is not its own before: it may have promised it in an earlier life.
    starts: Micros,
    /// Promises by keeper, with when they run out.
    lent: BTreeMap<u64, Vec<(Micros, u64)>>,
    /// Grants by keeper: when it was asked for, and how much.
    grants: BTreeMap<u64, (Micros, u64)>,
}

impl Holder {
    /// A member that starts, with its even part of the limit.
    pub fn new(now: Micros, spans: LeaseDurations, floor: u64) -> Self {
        let starts = now.saturating_add(spans.loan_max);
        Holder { spans, floor, starts, lent: BTreeMap::new(), grants: BTreeMap::new() }
    }

    /// Its even part of the limit.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Another limit, or another number of members.
    pub fn set_floor(&mut self, floor: u64) {
        self.floor = floor;
    }

    /// What it has promised and not got back at a moment.
    pub fn lent(&self, now: Micros) -> u64 {
        self.lent.values().map(|promises| most(promises, now)).sum()
    }

    /// What it was granted and still has at a moment.
    pub fn borrowed(&self, now: Micros) -> u64 {
        let holds = |(at, _): &&(Micros, u64)| now < at.saturating_add(self.spans.grant);
        self.grants.values().filter(holds).map(|(_, amount)| *amount).sum()
    }

    /// What it may use at a moment (see [`crate::CALL`]). To be asked at the last step before a call begins, with the
    /// clock read then.
    pub fn right(&self, now: Micros) -> u64 {
        let own = if now < self.starts { 0 } else { self.floor.saturating_sub(self.lent(now)) };
        own + self.borrowed(now)
    }

    /// What it says to a keeper, where it needs `demand`. `asks` is the keeper's last question what it lends: with an
    /// answer to it the promise begins, whether or not it comes.
    pub fn request(&mut self, now: Micros, keeper: u64, demand: u64, asks: Option<Micros>) -> Request {
        let keep = demand.saturating_mul(KEEP_EIGHTHS) / 8;
        let more = keep.saturating_sub(self.floor);
        let offer = asks.and_then(|asked| self.promise(now, keeper, keep, asked));
        Request { sent_at: now, extra: more, offer }
    }

    fn promise(&mut self, now: Micros, keeper: u64, keep: u64, asked: Micros) -> Option<Offer> {
        for promises in self.lent.values_mut() {
            promises.retain(|(until, _)| now < *until);
        }
        self.lent.retain(|_, promises| !promises.is_empty());
        if now < self.starts || (self.lent.len() >= KEEPERS_MOST && !self.lent.contains_key(&keeper)) {
            return None;
        }
        // What others were promised is not there to be promised again.
        let others: u64 = self.lent.iter().filter(|(k, _)| **k != keeper).map(|(_, p)| most(p, now)).sum();
        let amount = self.floor.saturating_sub(keep).min(self.floor.saturating_sub(others));
        if amount == 0 {
            return None;
        }
        let until = now.saturating_add(self.spans.loan_max);
        let promises = self.lent.entry(keeper).or_default();
        // A longer promise of as much or more outweighs the shorter ones.
        promises.retain(|(_, old)| *old > amount);
        promises.push((until, amount));
        Some(Offer { asked_at: asked, amount })
    }

    /// A keeper's answer. Of two the one that was asked for later counts.
    pub fn apply_grant(&mut self, now: Micros, keeper: u64, grant: &Grant) {
        let spans = self.spans;
        self.grants.retain(|_, (at, _)| now < at.saturating_add(spans.grant));
        // What was never asked for is nobody's grant: by the future's clock it would never run out.
        if grant.requested_at > now
            || (self.grants.len() >= KEEPERS_MOST && !self.grants.contains_key(&keeper))
        {
            return;
        }
        let known = self.grants.entry(keeper).or_insert((grant.requested_at, grant.amount));
        if known.0 <= grant.requested_at {
            *known = (grant.requested_at, grant.amount);
        }
    }

    /// The same by a clock that reads `back` less, at `now` of that, with what has run out forgotten: for searches.
    pub fn rebased(&self, now: Micros, back: Micros) -> Self {
        let mut same = self.clone();
        same.starts = same.starts.saturating_sub(back).max(now);
        for promises in same.lent.values_mut() {
            promises.iter_mut().for_each(|(until, _)| *until = until.saturating_sub(back));
            promises.retain(|(until, _)| now < *until);
            promises.sort_unstable();
        }
        same.lent.retain(|_, promises| !promises.is_empty());
        same.grants.values_mut().for_each(|(at, _)| *at = at.saturating_sub(back));
        same.grants.retain(|_, (at, amount)| now < at.saturating_add(self.spans.grant) && *amount > 0);
        same
    }
}

/// The most that a keeper may count on at a moment.
fn most(promises: &[(Micros, u64)], now: Micros) -> u64 {
    promises.iter().filter(|(until, _)| now < *until).map(|(_, amount)| *amount).max().unwrap_or(0)
}
