//! Turns the set of present members into a stable view, so that views change in few steps and do not follow
//! short failures.
//!
//! **Rule.** When the set of present members (alive or suspected) differs from the view, it becomes the view
//! once it has been unchanged for `settle` and no member is suspected, or at the latest `max_settle` after
//! the difference began. A suspicion is a pending change, so it is waited for, as Rapid waits between its two
//! watermarks; the bound keeps a flapping member from delaying the others. A member that has failed three
//! times within [`FLAP_WINDOW`] counts as present again only after it has been present without a break for a
//! time that doubles with each further failure, up to [`MAX_DAMPING`] settling times.

use crate::id::{MemberId, Micros, ViewId};
use crate::roster::RosterRef;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::Xxh3;

/// Time (settling times) for which failures of a member are counted.
const FLAP_WINDOW: u64 = 120;
/// Number of failures within that time that have no consequence.
const MAX_UNDAMPED_FLAPS: u32 = 2;
/// Longest time (settling times) for which a flapping member is kept out of the view.
const MAX_DAMPING: u64 = 32;

/// Present members with their boot numbers.
pub type PresentBoots = BTreeMap<MemberId, u64>;

/// A stable view of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    /// Identifies the roster and the members of the view.
    pub id: ViewId,
    /// Members with their boot numbers, the local one included.
    pub members: PresentBoots,
}

impl View {
    /// Creates the view of members under a roster.
    pub fn new(roster: RosterRef, members: PresentBoots) -> Self {
        let mut hash = Xxh3::new();
        hash.update(&roster.hash.to_le_bytes());
        for (id, boot) in &members {
            hash.update(&id.0.to_le_bytes());
            hash.update(&boot.to_le_bytes());
        }
        View { id: ViewId(hash.digest()), members }
    }
}

/// Recent failures of a member.
#[derive(Clone, Copy, Debug)]
struct FlapHistory {
    count: u32,
    last: Micros,
    /// Time since which it is present again.
    returned_at: Micros,
}

/// Computes stable views from the observed members.
#[derive(Clone, Debug)]
pub struct ViewStabilizer {
    settle: Micros,
    max_settle: Micros,
    view: View,
    /// Set of members that differs from the view and is about to replace it.
    candidate: Option<PresentBoots>,
    candidate_since: Micros,
    /// Time at which the observed members began to differ from the view.
    differs_since: Micros,
    present: PresentBoots,
    flaps: BTreeMap<MemberId, FlapHistory>,
}

impl ViewStabilizer {
    /// Creates a stabilizer with an initial view.
    pub fn new(now: Micros, settle: Micros, max_settle: Micros, view: View) -> Self {
        let present = view.members.clone();
        ViewStabilizer {
            settle,
            max_settle,
            view,
            candidate: None,
            candidate_since: now,
            differs_since: now,
            present,
            flaps: BTreeMap::new(),
        }
    }

    /// Returns the stable view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Puts another roster into force: the view keeps its members and gets a new id at once.
    pub fn set_roster(&mut self, roster: RosterRef) {
        self.view = View::new(roster, std::mem::take(&mut self.view.members));
    }

    /// Observes the present members and the number of suspected ones. Returns whether the view has changed.
    pub fn observe(
        &mut self,
        now: Micros,
        present: PresentBoots,
        suspects: usize,
        roster: RosterRef,
    ) -> bool {
        let window = self.settle.saturating_mul(FLAP_WINDOW);
        self.flaps.retain(|_, flaps| now < flaps.last.saturating_add(window));
        for id in self.present.keys().filter(|id| !present.contains_key(id)) {
            let flaps =
                self.flaps.entry(*id).or_insert(FlapHistory { count: 0, last: now, returned_at: now });
            (flaps.count, flaps.last) = (flaps.count + 1, now);
        }
        for id in present.keys().filter(|id| !self.present.contains_key(id)) {
            self.flaps.entry(*id).and_modify(|flaps| flaps.returned_at = now);
        }
        let undamped: PresentBoots = present
            .iter()
            .filter(|(id, _)| !self.is_damped(now, **id))
            .map(|(id, boot)| (*id, *boot))
            .collect();
        self.present = present;
        if undamped == self.view.members {
            self.candidate = None;
            return false;
        }
        if self.candidate.is_none() {
            self.differs_since = now;
        }
        if self.candidate.as_ref() != Some(&undamped) {
            self.candidate = Some(undamped);
            self.candidate_since = now;
        }
        let is_stable = suspects == 0 && now >= self.candidate_since.saturating_add(self.settle);
        if !is_stable && now < self.differs_since.saturating_add(self.max_settle) {
            return false;
        }
        let members = self.candidate.take().unwrap_or_default();
        self.view = View::new(roster, members);
        true
    }

    /// Returns whether another observation of the same members could not change the view.
    pub fn is_idle(&self) -> bool {
        self.candidate.is_none() && self.flaps.values().all(|flaps| flaps.count <= MAX_UNDAMPED_FLAPS)
    }

    /// Returns whether a member is kept out of the view because it flaps.
    fn is_damped(&self, now: Micros, id: MemberId) -> bool {
        let Some(flaps) = self.flaps.get(&id).filter(|flaps| flaps.count > MAX_UNDAMPED_FLAPS) else {
            return false;
        };
        let damping = (1u64 << (flaps.count - MAX_UNDAMPED_FLAPS).min(32)).min(MAX_DAMPING);
        now < flaps.returned_at.saturating_add(self.settle.saturating_mul(damping))
    }

    /// Returns the time of the next observation if no update arrives and `suspects` members are suspected.
    pub fn next_wake(&self, suspects: usize) -> Option<Micros> {
        self.candidate.as_ref().map(|_| {
            let stable_at =
                if suspects == 0 { self.candidate_since.saturating_add(self.settle) } else { Micros::MAX };
            stable_at.min(self.differs_since.saturating_add(self.max_settle))
        })
    }
}

#[cfg(test)]
mod tests;
