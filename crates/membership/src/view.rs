//! From what is heard to a stable view: one step a change, not a flicker.
//!
//! **Law.** What is there (alive or suspected) differs from the view: once that has been the same for `settle` and
//! nobody is suspected, or at the latest `settle_most` after the difference began, it becomes the view. A suspicion is
//! a change that is under way, so it is waited for, as Rapid waits between its two watermarks; the bound keeps one
//! that flaps from holding the others up. A member that has gone three times within [`FLAP_SPAN`] must be there
//! for longer with each time before it counts again, at most [`HOLD_MOST`] settling times.

use crate::id::{MemberId, Micros, ViewId};
use crate::roster::RosterRef;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::Xxh3;

/// Goings are remembered for so many settling times.
const FLAP_SPAN: u64 = 120;
/// So many goings are ordinary.
const FLAPS: u32 = 2;
/// The longest that one that flaps is kept out (settling times).
const HOLD_MOST: u64 = 32;

/// Who is there, by boot.
pub type PresentBoots = BTreeMap<MemberId, u64>;

/// A stable view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    /// Of its roster and members.
    pub id: ViewId,
    /// Members with their boots, itself among them.
    pub members: PresentBoots,
}

impl View {
    /// The view of these members under a roster.
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

#[derive(Clone, Copy, Debug)]
struct Goings {
    count: u32,
    last: Micros,
    /// There again since then.
    back: Micros,
}

/// Settles what is heard into views.
#[derive(Clone, Debug)]
pub struct ViewStabilizer {
    settle: Micros,
    settle_most: Micros,
    view: View,
    candidate: Option<PresentBoots>,
    since: Micros,
    differs_since: Micros,
    raw: PresentBoots,
    goings: BTreeMap<MemberId, Goings>,
}

impl ViewStabilizer {
    /// One that starts with itself alone as its view.
    pub fn new(now: Micros, settle: Micros, settle_most: Micros, view: View) -> Self {
        let raw = view.members.clone();
        ViewStabilizer {
            settle,
            settle_most,
            view,
            candidate: None,
            since: now,
            differs_since: now,
            raw,
            goings: BTreeMap::new(),
        }
    }

    /// The stable view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Another roster: the same members under another id, at once.
    pub fn set_roster(&mut self, roster: RosterRef) {
        self.view = View::new(roster, std::mem::take(&mut self.view.members));
    }

    /// Looks at who is there now, and how many of them are suspected. True if the view is another one.
    pub fn observe(&mut self, now: Micros, raw: PresentBoots, suspects: usize, roster: RosterRef) -> bool {
        let span = self.settle.saturating_mul(FLAP_SPAN);
        self.goings.retain(|_, goings| now < goings.last.saturating_add(span));
        for id in self.raw.keys().filter(|id| !raw.contains_key(id)) {
            let goings = self.goings.entry(*id).or_insert(Goings { count: 0, last: now, back: now });
            (goings.count, goings.last) = (goings.count + 1, now);
        }
        for id in raw.keys().filter(|id| !self.raw.contains_key(id)) {
            self.goings.entry(*id).and_modify(|goings| goings.back = now);
        }
        let counted: PresentBoots =
            raw.iter().filter(|(id, _)| !self.is_held(now, **id)).map(|(id, boot)| (*id, *boot)).collect();
        self.raw = raw;
        if counted == self.view.members {
            self.candidate = None;
            return false;
        }
        if self.candidate.is_none() {
            self.differs_since = now;
        }
        if self.candidate.as_ref() != Some(&counted) {
            self.candidate = Some(counted);
            self.since = now;
        }
        let calm = suspects == 0 && now >= self.since.saturating_add(self.settle);
        if !calm && now < self.differs_since.saturating_add(self.settle_most) {
            return false;
        }
        let members = self.candidate.take().unwrap_or_default();
        self.view = View::new(roster, members);
        true
    }

    /// Whether time alone changes nothing: a look at the same members would find the same view.
    pub fn is_idle(&self) -> bool {
        self.candidate.is_none() && self.goings.values().all(|goings| goings.count <= FLAPS)
    }

    /// It flaps, and is not in the view.
    fn is_held(&self, now: Micros, id: MemberId) -> bool {
        let Some(goings) = self.goings.get(&id).filter(|g| g.count > FLAPS) else { return false };
        let times = (1u64 << (goings.count - FLAPS).min(32)).min(HOLD_MOST);
        now < goings.back.saturating_add(self.settle.saturating_mul(times))
    }

    /// When it is to look again, if nothing is heard meanwhile and so many are suspected.
    pub fn next_wake(&self, suspects: usize) -> Option<Micros> {
        self.candidate.as_ref().map(|_| {
            let calm = if suspects == 0 { self.since.saturating_add(self.settle) } else { Micros::MAX };
            calm.min(self.differs_since.saturating_add(self.settle_most))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn present(ids: &[u64]) -> PresentBoots {
        ids.iter().map(|id| (MemberId(*id), 1)).collect()
    }

    fn settler() -> ViewStabilizer {
        ViewStabilizer::new(0, 10, 60, View::new(RosterRef::default(), present(&[1])))
    }

    #[test]
    fn ten_that_come_one_by_one_are_one_step() {
        let mut s = settler();
        let mut steps = 0;
        for n in 1..=10u64 {
            let ids: Vec<u64> = (1..=n).collect();
            steps += usize::from(s.observe(n * 5, present(&ids), 0, RosterRef::default()));
        }
        let ids: Vec<u64> = (1..=10).collect();
        for now in 51..100 {
            steps += usize::from(s.observe(now, present(&ids), 0, RosterRef::default()));
        }
        assert_eq!((steps, s.view().members.len()), (1, 10));
    }

    #[test]
    fn one_that_flaps_neither_flickers_nor_holds_the_others_up() {
        let mut s = settler();
        let (mut steps, mut second) = (0, None);
        for now in 0..600u64 {
            // 2 comes to stay at 5; 3 comes and goes every 7.
            let ids: &[u64] = if now < 5 {
                &[1]
            } else if (now / 7) % 2 == 0 {
                &[1, 2]
            } else {
                &[1, 2, 3]
            };
            if s.observe(now, present(ids), 0, RosterRef::default()) {
                steps += 1;
                second = second.or(Some(now));
            }
        }
        assert!(second.is_some_and(|at| at <= 66), "{second:?}");
        assert!(steps <= 3, "{steps} steps in 85 flaps");
    }

    #[test]
    fn a_suspicion_is_waited_for_within_bounds() {
        let mut s = settler();
        let at = (0..200u64).find(|now| s.observe(*now, present(&[1, 2]), 1, RosterRef::default()));
        assert_eq!(at, Some(60));
    }
}
