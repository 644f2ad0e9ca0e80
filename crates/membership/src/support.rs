//! Support of the voters for a view, as leases in time. It makes sure that only one view acts at a time.
//!
//! **Invariant.** At no instant do two processes act under two different views. To act under a view, a
//! process needs unexpired support for it from a majority of the voters.
//!
//! **Why it holds.** Two majorities share a voter. A voter that has supported a view supports no other one
//! until `voter_duration` has passed on its own clock since its last grant for it. A holder counts a grant
//! for `holder_duration` on its own clock since it *requested* it, which was before the voter answered. With
//! clock rates right within `drift`, `voter_duration` is longer than the `holder_duration` of any holder; so
//! all holders of the first view have stopped before the voter supports another one. Delay, loss, duplication
//! and reordering of packets only shorten the time that a holder has left. A stop of the holder counts
//! against it, since its clock continues (and it reads the clock right before it acts); a stop of the voter
//! only lengthens its promise. A voter that starts has no record of its promises: it supports nothing for
//! `voter_duration`.
//!
//! **Assumptions.** Clock rates are right within `drift`, on a clock that counts stops (`CLOCK_BOOTTIME`);
//! the wall clock is not used. A single process votes under a name (a duplicate is detected, but not at
//! once). Rosters that are in force at the same time follow each other as [`crate::Roster::follows`]
//! requires. If an assumption does not hold: a clock with a larger error lets two views overlap by the
//! excess; two voters under one name may support two views.

use crate::id::{MemberId, Micros, ViewId};
use std::collections::BTreeMap;

/// Durations of support.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// Time for which a holder counts a grant, since its request.
    pub holder_duration: Micros,
    /// Time for which a voter is bound by a grant, since its answer.
    pub voter_duration: Micros,
}

impl Lease {
    /// Creates a lease for clocks whose rates are right within the fraction `drift`: one clock may be fast by
    /// it while the other is slow.
    pub fn new(holder_duration: Micros, drift: f64) -> Self {
        let voter_duration = (holder_duration as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Micros + 1;
        Lease { holder_duration, voter_duration }
    }
}

/// The voter's side: its promise to a view.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    supports: Option<ViewId>,
    promised_until: Micros,
}

impl Voter {
    /// Creates a voter at a start. It has no record of earlier promises, so it waits until they must have
    /// expired.
    pub fn new(now: Micros, lease: Lease) -> Self {
        Voter { supports: None, promised_until: now.saturating_add(lease.voter_duration) }
    }

    /// Supports a view if no promise to another one is in force, and returns whether it does.
    pub fn try_support(&mut self, now: Micros, view: ViewId, lease: Lease) -> bool {
        if self.supports != Some(view) {
            if now < self.promised_until {
                return false;
            }
            self.supports = Some(view);
        }
        self.promised_until = self.promised_until.max(now.saturating_add(lease.voter_duration));
        true
    }

    /// Returns this voter with all times shifted back by `back`, where `now` is the shifted time. Expired
    /// promises are set to expire at `now`. A state-space search uses this to treat states that differ only
    /// in time as equal.
    pub fn rebased(&self, now: Micros, back: Micros) -> Self {
        let promised_until = self.promised_until.saturating_sub(back).max(now);
        Voter { supports: self.supports, promised_until }
    }

    /// Returns the time from which it may support another view.
    pub fn free_at(&self) -> Micros {
        self.promised_until
    }
}

/// The holder's side: grants for its current view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Support {
    view: ViewId,
    until: BTreeMap<MemberId, Micros>,
}

impl Support {
    /// Sets the view. If it has changed, all grants for the previous one are dropped.
    pub fn set_view(&mut self, view: ViewId) {
        if self.view != view {
            *self = Support { view, until: BTreeMap::new() };
        }
    }

    /// Records a voter's grant for a view, in answer to a request sent at `requested_at`.
    pub fn record_grant(&mut self, voter: MemberId, view: ViewId, requested_at: Micros, lease: Lease) {
        if view == self.view {
            let until = self.until.entry(voter).or_default();
            *until = (*until).max(requested_at.saturating_add(lease.holder_duration));
        }
    }

    /// Returns these grants with all times shifted back, as [`Voter::rebased`]. Expired grants are dropped.
    pub fn rebased(&self, now: Micros, back: Micros) -> Self {
        let until = self.until.iter().map(|(voter, until)| (*voter, until.saturating_sub(back)));
        Support { view: self.view, until: until.filter(|(_, until)| *until > now).collect() }
    }

    /// Returns whether a voter's grant is valid at a time.
    pub fn is_valid(&self, now: Micros, voter: MemberId) -> bool {
        self.until.get(&voter).is_some_and(|until| now < *until)
    }

    /// Returns the time until which a voter's grant is valid; 0 without a grant.
    pub fn until(&self, voter: MemberId) -> Micros {
        self.until.get(&voter).copied().unwrap_or(0)
    }
}
