//! How a member comes to hold a duty: it looks who does, asks a majority for a ballot, and writes.

use crate::ballot::{Ballot, Electorate, Lease, Life, Micros};
use crate::register::{Accepted, Post, Reason};
use crate::term::{Decided, Term, Write};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a voter tells of a duty to one that only looks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seen {
    /// What it has promised.
    pub promised: Ballot,
    /// Whose lease runs for how long (microseconds).
    pub leased: Option<(Life, Micros)>,
    /// What it has accepted, without its progress.
    pub head: Option<Head>,
}

/// What stands of a duty, without its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// The ballot and the word of it.
    pub at: (Ballot, u64),
    /// Who holds it.
    pub holder: Option<Life>,
    /// Why the last term ended.
    pub reason: Reason,
    /// To whom it is pinned.
    pub pinned: Option<u64>,
    /// Steps of progress.
    pub step: u64,
}

impl Head {
    /// Of what was accepted.
    pub fn of(accepted: &Accepted) -> Self {
        let Post { holder, reason, pinned, step, .. } = accepted.post;
        Head { at: accepted.order(), holder, reason, pinned, step }
    }
}

/// What a member believes of a duty that it does not hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Belief {
    /// What stands, as a majority told.
    pub head: Option<Head>,
    /// Until when its holder's lease runs, by this member's clock.
    pub until: Micros,
    /// When it was told.
    pub told: Micros,
}

/// What goes to all voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Who holds it?
    Look,
    /// May this ballot write?
    Prepare(Ballot),
    /// This holds from now on.
    Accept(Write),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Rest,
    Looking { asked: Micros, seen: BTreeMap<u64, Seen> },
    Preparing { ballot: Ballot, asked: Micros, promised: BTreeMap<u64, Option<Accepted>> },
    Term(Box<Term>),
}

/// What a member does about one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seeker {
    me: Life,
    phase: Phase,
    /// When it looks again.
    next: Micros,
    /// The highest number that it has heard of.
    highest: u64,
    belief: Belief,
    /// To whom it is pinned, as was last told.
    pinned: Option<u64>,
    /// Looks that came to nothing in a row.
    failed: u32,
}

/// What a member is to know when it acts.
#[derive(Clone, Copy, Debug)]
pub struct Setting<'a> {
    /// How long a term lasts.
    pub lease: Lease,
    /// Whose answers count.
    pub voters: &'a Electorate,
    /// Its place among those that should try, the first being 0; none if others should.
    pub rank: Option<usize>,
    /// A span by chance, up to an eighth of a lease: those of one rank do not try at once.
    pub chance: Micros,
}

/// Those of no rank look so seldom (leases).
const LOOK_LEASES: u64 = 10;

impl Seeker {
    /// A member that starts, and looks soon.
    pub fn new(now: Micros, me: Life) -> Self {
        Seeker {
            me,
            phase: Phase::Rest,
            next: now,
            highest: 0,
            belief: Belief::default(),
            pinned: None,
            failed: 0,
        }
    }

    /// Its term, if it has one.
    pub fn term(&self) -> Option<&Term> {
        if let Phase::Term(term) = &self.phase { Some(term) } else { None }
    }

    /// The same, to write.
    pub fn term_mut(&mut self) -> Option<&mut Term> {
        if let Phase::Term(term) = &mut self.phase { Some(term) } else { None }
    }

    /// What it believes where it holds nothing.
    pub fn belief(&self) -> Belief {
        self.belief
    }

    /// When [`Seeker::tick`] is to be called.
    pub fn next_wake(&self, lease: Lease) -> Micros {
        match &self.phase {
            Phase::Rest => self.next,
            Phase::Looking { asked, .. } | Phase::Preparing { asked, .. } => asked.saturating_add(lease.hold),
            Phase::Term(term) => term.next_wake(),
        }
    }

    /// To whom it is pinned, as far as is known.
    pub fn pinned(&self) -> Option<u64> {
        self.pinned
    }

    /// Its holder gave it up: whoever should take it looks at once.
    pub fn freed(&mut self, now: Micros, pinned: Option<u64>) {
        self.pinned = pinned;
        (self.belief.until, self.failed) = (now, 0);
        self.hurry(now);
    }

    /// It is to look at once.
    pub fn hurry(&mut self, now: Micros) {
        self.next = self.next.min(now);
    }

    fn rest(&mut self, next: Micros) {
        (self.phase, self.next) = (Phase::Rest, next);
    }

    /// A pause after a try that came to nothing: longer each time, up to four leases.
    fn pause(&mut self, now: Micros, setting: &Setting<'_>) {
        self.failed = (self.failed + 1).min(4);
        let span = ((setting.lease.hold / 4) << self.failed).min(setting.lease.hold * 4);
        self.rest(now + span / 2 + setting.chance * u64::from(self.failed));
    }

    /// Time has passed. What goes to all voters, and whether a term ended by it.
    pub fn tick(&mut self, now: Micros, setting: &Setting<'_>) -> (Option<Ask>, Option<u64>) {
        match &mut self.phase {
            Phase::Term(term) if term.is_over(now) => {
                let token = term.decided().map(|_| term.token());
                self.pause(now, setting);
                (None, token)
            }
            Phase::Term(term) => (term.tick(now, setting.lease).map(Ask::Accept), None),
            Phase::Looking { asked, .. } | Phase::Preparing { asked, .. } => {
                if now >= asked.saturating_add(setting.lease.hold) {
                    self.pause(now, setting);
                }
                (None, None)
            }
            Phase::Rest if now >= self.next => {
                self.phase = Phase::Looking { asked: now, seen: BTreeMap::new() };
                (Some(Ask::Look), None)
            }
            Phase::Rest => (None, None),
        }
    }

    /// A voter told what stands.
    pub fn seen(&mut self, now: Micros, setting: &Setting<'_>, by: u64, told: Seen) -> Option<Ask> {
        self.highest = self.highest.max(told.promised.number);
        let Phase::Looking { asked, seen } = &mut self.phase else { return None };
        if !setting.voters.has(by) || now >= asked.saturating_add(setting.lease.hold) {
            return None;
        }
        seen.insert(by, told);
        if !setting.voters.has_majority(seen) {
            return None;
        }
        let head = seen.values().filter_map(|s| s.head).max_by_key(|head| head.at);
        let left = seen.values().filter_map(|s| s.leased).map(|(_, left)| left).max().unwrap_or(0);
        self.belief = Belief { head, until: now + left, told: now };
        self.pinned = head.and_then(|head| head.pinned);
        let Lease { hold, .. } = setting.lease;
        let Some(rank) = setting.rank else {
            self.failed = 0;
            self.rest(now + hold * LOOK_LEASES + setting.chance);
            return None;
        };
        // Each rank leaves the ones before it a quarter of a lease.
        let stagger = hold / 4 * rank as u64 + if rank > 0 { setting.chance } else { 0 };
        if left > 0 {
            self.failed = 0;
            self.rest(now + left + stagger);
            return None;
        }
        if stagger > 0 && self.failed == 0 {
            // Free, as it seems: the others first, and then another look.
            self.failed = 1;
            self.rest(now + stagger);
            return None;
        }
        Some(self.prepare(now))
    }

    /// Asks for a ballot, whatever stands: voters say whether it may.
    pub fn prepare(&mut self, now: Micros) -> Ask {
        let ballot = Ballot { number: self.highest + 1, by: self.me };
        self.highest = ballot.number;
        self.phase = Phase::Preparing { ballot, asked: now, promised: BTreeMap::new() };
        Ask::Prepare(ballot)
    }

    /// The highest number that it has heard of.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// A voter has promised.
    pub fn promised(
        &mut self,
        now: Micros,
        setting: &Setting<'_>,
        by: u64,
        of: Ballot,
        accepted: Option<Accepted>,
    ) -> Option<Ask> {
        let Phase::Preparing { ballot, asked, promised } = &mut self.phase else { return None };
        // What was asked for long ago may have been forgotten by now.
        let late = now >= asked.saturating_add(setting.lease.hold);
        if *ballot != of || late || !setting.voters.has(by) {
            return None;
        }
        promised.insert(by, accepted);
        if !setting.voters.has_majority(promised) {
            return None;
        }
        let last = promised.values().flatten().max_by_key(|a| a.order());
        let before = last.map(|a| a.post.clone()).unwrap_or_default();
        let (term, first) = Term::begin(now, setting.lease, of, before);
        self.phase = Phase::Term(Box::new(term));
        Some(Ask::Accept(first))
    }

    /// A voter has accepted a word.
    pub fn accepted(
        &mut self,
        now: Micros,
        setting: &Setting<'_>,
        by: u64,
        of: Ballot,
        seq: u64,
    ) -> Vec<Decided> {
        let Phase::Term(term) = &mut self.phase else { return Vec::new() };
        if term.ballot() != of {
            return Vec::new();
        }
        let told = term.accepted(now, setting.lease, setting.voters, by, seq);
        self.pinned = term.decided().and_then(|post| post.pinned);
        if told.contains(&Decided::Taken) {
            self.failed = 0;
        }
        if told.iter().any(|d| matches!(d, Decided::Given(_))) {
            // The others first.
            self.rest(now + setting.lease.hold * 2);
        }
        told
    }

    /// A voter does not do what it was asked for.
    pub fn refused(
        &mut self,
        now: Micros,
        setting: &Setting<'_>,
        of: Ballot,
        promised: Ballot,
        leased: Option<(Life, Micros)>,
    ) {
        self.highest = self.highest.max(promised.number);
        // A term that holds goes on as long as a majority accepts; one voter may be ahead for nothing.
        if let Phase::Preparing { ballot, .. } = &self.phase
            && *ballot == of
        {
            let left = leased.map_or(0, |(_, left)| left);
            self.pause(now, setting);
            self.next = self.next.max(now + left);
        }
    }

    /// The same on a clock that is set back; for searches.
    #[must_use]
    pub fn rebased(&self, to: Micros, by: Micros, lease: Lease) -> Self {
        let back = |at: Micros| at.saturating_sub(by).max(to.saturating_sub(2 * lease.hold));
        let mut next = self.clone();
        match &mut next.phase {
            Phase::Rest => {}
            Phase::Looking { asked, .. } | Phase::Preparing { asked, .. } => *asked = back(*asked),
            Phase::Term(term) => **term = term.rebased(to, by, lease),
        }
        // When it looks, and what it believes, decides when it tries, and nothing that must hold.
        (next.next, next.belief, next.failed) = (to, Belief::default(), 0);
        next
    }
}
