//! What makes a view the only one that acts: voters' support for it, under leases in time.
//!
//! **Invariant.** At no instant do two processes act under two different views. To act under a view is to hold the
//! support of a majority of the voters for it, none of it run out.
//!
//! **Why it holds.** Two majorities share a voter. A voter that has supported a view supports no other before
//! `wide` has passed on its own clock since it last did, and a holder counts a support for `lease` on its own clock
//! since it *asked* for it, which was before the voter answered. With rates right within `drift`, `wide` is longer than
//! any holder's `lease`; so the first view's holders have all stopped before the voter supports another. Delay, loss,
//! doubling and reordering of packets only shorten what a holder has left. A stop of the holder counts against it, since
//! its clock goes on (and it looks at the clock at the last step before it acts); a stop of the voter only lengthens its
//! promise. A voter that starts has forgotten what it promised: it supports nothing for `wide`.
//!
//! **Assumptions.** Clock rates within `drift`, on a clock that counts stops (`CLOCK_BOOTTIME`); no wall clock. One
//! process votes under a name (two are found out, but not at once). Rosters in force at a time follow each other as
//! [`crate::Roster::follows`] asks. What breaks with each: a clock that is slower than said lets two views overlap by
//! the excess; two voters under one name may support two views.

use crate::id::{MemberId, Micros, ViewId};
use std::collections::BTreeMap;

/// How long support lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// For a holder, since it asked.
    pub holder_duration: Micros,
    /// For a voter, since it answered.
    pub voter_duration: Micros,
}

impl Lease {
    /// For clocks whose rates are right within `drift` (a part of 1): one may run fast by it, the other slow.
    pub fn new(lease: Micros, drift: f64) -> Self {
        let wide = (lease as f64 * (1.0 + drift) / (1.0 - drift)).ceil() as Micros + 1;
        Lease { holder_duration: lease, voter_duration: wide }
    }
}

/// The voter's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    supports: Option<ViewId>,
    promised_until: Micros,
}

impl Voter {
    /// A voter that starts: whatever it promised before is forgotten, so it waits that out.
    pub fn new(now: Micros, lease: Lease) -> Self {
        Voter { supports: None, promised_until: now.saturating_add(lease.voter_duration) }
    }

    /// Whether it supports a view from now on, and its word for it.
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

    /// The same by a clock that reads `back` less, at `now` of that: what has run out counts as running out now. With
    /// it a search sees that two moments are alike.
    pub fn rebased(&self, now: Micros, back: Micros) -> Self {
        let promised_until = self.promised_until.saturating_sub(back).max(now);
        Voter { supports: self.supports, promised_until }
    }

    /// When it may support another view.
    pub fn free_at(&self) -> Micros {
        self.promised_until
    }
}

/// The holder's side: support for its present view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Support {
    view: ViewId,
    until: BTreeMap<MemberId, Micros>,
}

impl Support {
    /// Another view: support for the one before is of no use to it.
    pub fn set_view(&mut self, view: ViewId) {
        if self.view != view {
            *self = Support { view, until: BTreeMap::new() };
        }
    }

    /// A voter supports a view, in answer to what was asked at `asked`.
    pub fn record_grant(&mut self, by: MemberId, view: ViewId, asked: Micros, lease: Lease) {
        if view == self.view {
            let until = self.until.entry(by).or_default();
            *until = (*until).max(asked.saturating_add(lease.holder_duration));
        }
    }

    /// As [`Voter::rebased`].
    pub fn rebased(&self, now: Micros, back: Micros) -> Self {
        let until = self.until.iter().map(|(by, until)| (*by, until.saturating_sub(back)));
        Support { view: self.view, until: until.filter(|(_, until)| *until > now).collect() }
    }

    /// Whether a voter's support holds at this moment.
    pub fn is_valid(&self, now: Micros, by: MemberId) -> bool {
        self.until.get(&by).is_some_and(|until| now < *until)
    }

    /// When a voter's support ends; 0 without any.
    pub fn until(&self, by: MemberId) -> Micros {
        self.until.get(&by).copied().unwrap_or(0)
    }
}
