//! Who gathers what members lend and grants it to those that need more. Any member may be one at any time, several at
//! once too, and it may vanish at any moment: it only ever grants what was promised to itself.

use crate::durations::{LeaseDurations, Micros};
use crate::holder::{Grant, Request};
use crate::water_fill::water_fill;
use std::collections::BTreeMap;

/// A grant that differs from the last one by less than this part (one in so many) is left as it was: it would move
/// rights to and fro for nothing.
const HYSTERESIS: u64 = 20;

/// What is known of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    /// Promises, with when they run out by this clock.
    lent: Vec<(Micros, u64)>,
    /// Grants that may still be used, with when they can be no more.
    granted: Vec<(Micros, u64)>,
    /// What it wants, and when it said so.
    more: u64,
    heard: Micros,
}

/// A keeper of one limit. Members are named by numbers, as the host has them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    members: BTreeMap<u64, Known>,
    /// It grants nothing before: members may still use what an earlier life of it granted out of the same promises.
    starts: Micros,
}

impl Coordinator {
    /// A keeper that starts.
    pub fn new(now: Micros, spans: LeaseDurations) -> Self {
        Coordinator { members: BTreeMap::new(), starts: now.saturating_add(spans.grant_max) }
    }

    /// The moment that a member's answer is counted from: to be sent to it.
    pub fn ask_time(&self, now: Micros) -> Micros {
        now
    }

    /// What is promised for at least as long as a grant that is made now.
    pub fn pool(&self, now: Micros, spans: LeaseDurations) -> u64 {
        let lasts = now.saturating_add(spans.grant_max);
        self.members.values().map(|known| most(&known.lent, lasts)).sum()
    }

    /// What may be in use of its grants.
    pub fn outstanding(&self, now: Micros) -> u64 {
        self.members.values().map(|known| most(&known.granted, now)).sum()
    }

    /// A member speaks; what it is granted.
    pub fn handle_request(&mut self, now: Micros, from: u64, want: &Request, spans: LeaseDurations) -> Grant {
        for known in self.members.values_mut() {
            known.lent.retain(|(until, _)| now < *until);
            known.granted.retain(|(until, _)| now < *until);
            // One that is silent wants nothing any more.
            if now >= known.heard.saturating_add(spans.grant) {
                known.more = 0;
            }
        }
        self.members.retain(|_, k| k.more > 0 || !k.lent.is_empty() || !k.granted.is_empty());
        let known = self.members.entry(from).or_default();
        (known.more, known.heard) = (want.extra, now);
        // One that comes late is worth what is left of it; one from the future was never asked for.
        if let Some(offer) = want.offer.filter(|o| o.asked_at <= now) {
            let until = offer.asked_at.saturating_add(spans.loan);
            // What lasts no longer and is no more adds nothing.
            known.lent.retain(|(old, amount)| *amount > offer.amount || *old > until);
            known.lent.push((until, offer.amount));
        }
        let amount = self.amount(now, from, spans);
        if amount > 0
            && let Some(known) = self.members.get_mut(&from)
        {
            let until = now.saturating_add(spans.grant_max);
            known.granted.retain(|(_, old)| *old > amount);
            known.granted.push((until, amount));
        }
        Grant { requested_at: want.sent_at, amount, asked_at: self.ask_time(now) }
    }

    /// What a member is to have: its part by the plan, as far as what others may still use leaves room.
    fn amount(&self, now: Micros, from: u64, spans: LeaseDurations) -> u64 {
        if now < self.starts {
            return 0;
        }
        let pool = self.pool(now, spans);
        let wants: Vec<u64> = self.members.values().map(|known| known.more).collect();
        let parts = water_fill(pool, &wants);
        let part = self.members.keys().zip(parts).find(|(id, _)| **id == from).map_or(0, |(_, part)| part);
        let others: u64 =
            self.members.iter().filter(|(id, _)| **id != from).map(|(_, k)| most(&k.granted, now)).sum();
        let last = self.members.get(&from).and_then(|k| k.granted.last()).map_or(0, |(_, amount)| *amount);
        // What it has is left as it is where the plan would hardly change it, as far as that is still there.
        let part = if part.abs_diff(last) < last / HYSTERESIS { last } else { part };
        part.min(pool.saturating_sub(others))
    }

    /// As `Holder::rebased`.
    pub fn rebased(&self, now: Micros, back: Micros) -> Self {
        let mut same = self.clone();
        same.starts = same.starts.saturating_sub(back).max(now);
        for known in same.members.values_mut() {
            for list in [&mut known.lent, &mut known.granted] {
                list.iter_mut().for_each(|(until, _)| *until = until.saturating_sub(back));
                list.retain(|(until, _)| now < *until);
                list.sort_unstable();
            }
            known.heard = known.heard.saturating_sub(back);
        }
        same
    }

    /// Forgets what says nothing of safety: for searches, in which wants come anew each time.
    pub fn without_requests(&self) -> Self {
        let mut same = self.clone();
        same.members.values_mut().for_each(|k| (k.more, k.heard) = (0, 0));
        same.members.retain(|_, k| !k.lent.is_empty() || !k.granted.is_empty());
        same
    }
}

/// The most of a list that lasts until a moment or longer.
fn most(list: &[(Micros, u64)], lasts: Micros) -> u64 {
    list.iter().filter(|(until, _)| lasts < *until).map(|(_, amount)| *amount).max().unwrap_or(0)
}
