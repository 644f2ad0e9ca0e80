//! Which destinations a fleet holds to be down, who calls them meanwhile, and how all come back together.
//!
//! - **Down** is what two origins found of their own, and this member's own calls do not gainsay.
//! - **One tries first.** Of those whose findings are fresh the one with the lowest hash calls once a turn; the others hold
//!   their calls and go by its word. Where nobody's word is fresh, or one has held for long, it tries of its own by chance: one
//!   in as many as there are, and twice as likely turn by turn, so that a few try at a time and nobody waits for ever.
//! - **Back** since a moment that all count from: what all may send grows from there along one ramp.
//!
//! Findings are evidence with an age, not commands: own calls outrank them, and whoever says that one is back that is not is
//! not believed alone the next time.

use crate::Micros;
use crate::findings::{CallOutcome, Finding, OutageReport, Own};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Origins that must have found it of their own.
const ORIGINS_LEAST: usize = 2;
/// Destinations about which anything is kept; further ones are not heard of.
const DESTS_MOST: usize = 10_000;
/// Origins whose findings about one destination are kept: those with the lowest hashes, so that all keep the same ones, and agree
/// on who tries.
const ORIGINS_MOST: usize = 16;
/// A finding counts towards an outage for so many turns,
const FOUND_TURNS: u64 = 10;
/// and its origin is the one that tries for so many.
const FRESH_TURNS: u64 = 3;
/// One that holds its calls for the word of others tries itself with a chance that doubles after each so many turns.
const PATIENCE_TURNS: u64 = 4;
/// A word that one is back which is not costs its origin belief for so many turns, twice as many each time.
const DISTRUST_TURNS: u64 = 32;
/// Findings older than this are not believed (microseconds).
const AGE_MOST: Micros = 600_000_000;
/// To how many members a fresh word goes: in so many rounds, times the logarithm (base 2) of the fleet's size.
const ROUNDS: f64 = 1.5;

/// What an installation's settings say of a return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// How long a call and its word take: one tries so often (microseconds).
    pub probe_interval: Micros,
    /// It is warm after so long (microseconds).
    pub warm_up: Micros,
    /// What part of its capacity it has at first.
    pub initial_fraction: f64,
}

impl SlowStart {
    /// Which part of its capacity one has that has been back for so long.
    pub fn fraction(&self, back: Micros) -> f64 {
        let part = back as f64 / self.warm_up.max(1) as f64;
        (self.initial_fraction + (1.0 - self.initial_fraction) * part).clamp(0.0, 1.0)
    }
}

/// How a destination stands here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DestState {
    /// Nothing is held against it.
    #[default]
    Up,
    /// Down since then.
    Down(Micros),
    /// Back since then, and not warm yet.
    #[serde(rename = "back")]
    Recovering(Micros),
}

/// What becomes of a call that wants to begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It may, and all together may send this part of what they may otherwise.
    Fraction(f64),
    /// It may, as the one that tries: nothing else is counted.
    Probe,
    /// It is to ask again after so long (microseconds).
    Defer(Micros),
}

#[derive(Clone, Copy, Debug)]
struct Word {
    order: (u64, u64),
    /// On this member's clock: the moment that the finding speaks of, and when it was heard.
    finding: Found,
    heard: Micros,
    /// Rounds in which it was passed on.
    told: u32,
    /// It said that one was back which was not: so often, and it is not believed alone until then.
    wrong: u32,
    distrust: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Found {
    Nothing,
    Down(Micros),
    Back(Micros),
}

#[derive(Clone, Debug, Default)]
struct Dest {
    own: Own,
    words: BTreeMap<u64, Word>,
    stand: DestState,
    /// Whose word brought it back.
    by: Option<u64>,
    /// Its own trials: the last one, and since when calls are held for the word of others.
    tried: Option<Micros>,
    holding: Option<Micros>,
}

/// What is known of one destination, for those who ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outage {
    /// Which.
    pub dest: u64,
    /// How it stands here.
    #[serde(rename = "stand")]
    pub state: DestState,
    /// For how long it has stood so (microseconds).
    pub since: Micros,
    /// What part of its capacity all together may use now.
    #[serde(rename = "part")]
    pub capacity_fraction: f64,
    /// Who found it down, and how long ago the last of its calls began (microseconds).
    #[serde(rename = "found")]
    pub reporters: Vec<(u64, Micros)>,
    /// Who tries; none where nobody's word is fresh.
    #[serde(rename = "tries")]
    pub prober: Option<u64>,
}

/// What one member knows of outages.
#[derive(Clone, Debug)]
pub struct OutageDetector {
    me: u64,
    boot: u64,
    count: u64,
    ramp: SlowStart,
    members: usize,
    dests: BTreeMap<u64, Dest>,
    news_until: Micros,
    refused: u64,
}

impl OutageDetector {
    /// A member that starts, with the boot number that it speaks under.
    pub fn new(me: u64, boot: u64, ramp: SlowStart) -> Self {
        OutageDetector {
            me,
            boot,
            count: 0,
            ramp,
            members: 1,
            dests: BTreeMap::new(),
            news_until: 0,
            refused: 0,
        }
    }

    /// It speaks under another boot number from now on, and so many are there.
    pub fn set_membership(&mut self, boot: u64, members: usize) {
        self.boot = self.boot.max(boot);
        self.members = members.max(1);
    }

    /// What settings say of a return, once they are known.
    pub fn set_slow_start(&mut self, ramp: SlowStart) {
        self.ramp = ramp;
    }

    /// A call of this member has ended; `began` is when its first byte left, or when a connection was tried.
    pub fn record_call_end(&mut self, now: Micros, dest: u64, began: Micros, how: CallOutcome) {
        let known = self.dests.contains_key(&dest);
        // What is served where nothing is known is the usual case, and leaves a moment behind.
        if !known && self.dests.len() >= DESTS_MOST {
            return;
        }
        let (ramp, me) = (self.ramp, self.me);
        let kept = self.dests.entry(dest).or_default();
        kept.own.ended(began, how);
        let finding = match (how, kept.stand) {
            (CallOutcome::Failed, _) => kept.own.down(ramp.probe_interval / 2).map(Found::Down),
            // Its own trial, or a call that was out when the others found it down.
            (CallOutcome::Served, DestState::Down(_)) => {
                (kept.stand, kept.by) = (DestState::Recovering(now), Some(me));
                Some(Found::Back(now))
            }
            _ => None,
        };
        if let Some(finding) = finding {
            self.count += 1;
            let order = (self.boot, self.count);
            let word = Word { order, finding, heard: now, told: 0, wrong: 0, distrust: 0 };
            kept.words.insert(me, word);
            self.news_until = self.news_until.max(now + ramp.probe_interval * FOUND_TURNS);
        }
        self.judge(now, dest);
    }

    /// A destination shut its door until then: it comes back cold, and one tries first.
    pub fn record_shutdown(&mut self, now: Micros, dest: u64, until: Micros) {
        if self.dests.len() >= DESTS_MOST && !self.dests.contains_key(&dest) {
            return;
        }
        let kept = self.dests.entry(dest).or_default();
        // Who was served by it since goes by that.
        if !matches!(kept.stand, DestState::Down(_)) && kept.own.served().is_none_or(|served| served < now) {
            (kept.stand, kept.by) = (DestState::Down(now), None);
            // Nobody's word is fresh when the door opens: patience counts from there.
            kept.holding = Some(until);
        }
    }

    /// A word of another member has come.
    pub fn receive(&mut self, now: Micros, word: &OutageReport) {
        let OutageReport { dest, origin, version: order, finding } = *word;
        let full = !self.dests.contains_key(&dest) && self.dests.len() >= DESTS_MOST;
        if origin == self.me || finding.age() > AGE_MOST || full {
            self.refused += 1;
            return;
        }
        let me = self.me;
        let kept = self.dests.entry(dest).or_default();
        if kept.words.len() >= ORIGINS_MOST && !kept.words.contains_key(&origin) {
            let rank = |id: u64| hash([dest, id, 0]);
            let last = kept.words.keys().copied().filter(|id| *id != me).max_by_key(|id| rank(*id));
            let Some(last) = last.filter(|last| rank(*last) > rank(origin)) else { return };
            kept.words.remove(&last);
        }
        let fresh =
            Word { order: (0, 0), finding: Found::Nothing, heard: now, told: 0, wrong: 0, distrust: 0 };
        let entry = kept.words.entry(origin).or_insert(fresh);
        if order <= entry.order {
            return;
        }
        let at = now.saturating_sub(finding.age());
        let finding = match finding {
            Finding::Down(_) => Found::Down(at),
            Finding::Recovered(_) => Found::Back(at),
        };
        (entry.order, entry.finding, entry.heard, entry.told) = (order, finding, now, 0);
        self.news_until = self.news_until.max(now + self.ramp.probe_interval * FOUND_TURNS);
        self.judge(now, dest);
    }

    /// What follows from all findings.
    fn judge(&mut self, now: Micros, dest: u64) {
        let (ramp, me) = (self.ramp, self.me);
        let Some(kept) = self.dests.get_mut(&dest) else { return };
        let served = kept.own.served().unwrap_or(0);
        match kept.stand {
            DestState::Down(since) => {
                // One that found it back after it was down, and who has not been wrong lately; else two of them.
                let back = |(origin, w): (&u64, &Word)| match w.finding {
                    Found::Back(at) if at >= since => Some((*origin, at, w.distrust <= now)),
                    _ => None,
                };
                let told: Vec<(u64, Micros, bool)> = kept.words.iter().filter_map(back).collect();
                let trusted = told.iter().find(|(_, _, trusted)| *trusted);
                if let Some((by, at, _)) = trusted.or(told.first().filter(|_| told.len() >= ORIGINS_LEAST)) {
                    (kept.stand, kept.by) = (DestState::Recovering(*at), Some(*by));
                    kept.holding = None;
                }
            }
            DestState::Up | DestState::Recovering(_) => {
                let since = if let DestState::Recovering(at) = kept.stand { at } else { 0 };
                if matches!(kept.stand, DestState::Recovering(_)) && now >= since + ramp.warm_up {
                    (kept.stand, kept.by) = (DestState::Up, None);
                }
                let after = since.max(served);
                let counts = |w: &Word| {
                    matches!(w.finding, Found::Down(at) if at > after)
                        && now <= w.heard.saturating_add(ramp.probe_interval * FOUND_TURNS)
                };
                if kept.words.values().filter(|w| counts(w)).count() >= ORIGINS_LEAST {
                    // Whoever said that it was back was wrong, and costs more the next time.
                    let wrong = kept.by.filter(|by| *by != me && now < since + ramp.warm_up);
                    if let Some(word) = wrong.and_then(|by| kept.words.get_mut(&by)) {
                        word.wrong = (word.wrong + 1).min(8);
                        word.distrust = now + ramp.probe_interval * DISTRUST_TURNS * (1 << (word.wrong - 1));
                    }
                    (kept.stand, kept.by) = (DestState::Down(now), None);
                    (kept.tried, kept.holding) = (None, Some(now));
                }
            }
        }
    }

    /// Who tries a destination that is down: of those whose findings are fresh the one with the lowest hash.
    fn trier(&self, now: Micros, dest: u64, kept: &Dest) -> Option<u64> {
        let fresh = |w: &Word| {
            matches!(w.finding, Found::Down(_)) && now <= w.heard + self.ramp.probe_interval * FRESH_TURNS
        };
        let fresh = kept.words.iter().filter(|(_, w)| fresh(w)).map(|(origin, _)| *origin);
        fresh.min_by_key(|origin| hash([dest, *origin, 0]))
    }

    /// Whether a call to a destination may begin now. To be asked at the last step before its first byte.
    pub fn admit(&mut self, now: Micros, dest: u64) -> Admission {
        let (ramp, me) = (self.ramp, self.me);
        let stand = self.dests.get(&dest).map_or(DestState::Up, |kept| kept.stand);
        match stand {
            DestState::Up => return Admission::Fraction(1.0),
            DestState::Recovering(at) if now >= at + ramp.warm_up => {
                self.judge(now, dest);
                return Admission::Fraction(1.0);
            }
            DestState::Recovering(at) => return Admission::Fraction(ramp.fraction(now.saturating_sub(at))),
            DestState::Down(_) => {}
        }
        let Some(kept) = self.dests.get(&dest) else { return Admission::Fraction(1.0) };
        let trier = self.trier(now, dest, kept);
        let next = kept.tried.map_or(0, |at| at + ramp.probe_interval);
        let mine = match trier {
            Some(who) if who == me => true,
            _ => {
                // Its chance of this turn: of its own clock, so that not all draw at once.
                let since = kept.holding.unwrap_or(now);
                let turns = now.saturating_sub(since) / ramp.probe_interval.max(1);
                // With nobody's word the chance doubles each turn; with one, after some turns.
                let steps = if trier.is_none() { turns } else { turns / PATIENCE_TURNS };
                let chance = 2f64.powi(steps.min(32) as i32) / self.members as f64;
                let patient = trier.is_some() && steps == 0;
                let drawn = hash([dest, me, now / ramp.probe_interval.max(1)]) as f64 / u64::MAX as f64;
                now >= since && !patient && drawn < chance
            }
        };
        let Some(kept) = self.dests.get_mut(&dest) else { return Admission::Fraction(1.0) };
        if mine && now >= next {
            kept.tried = Some(now);
            kept.holding = Some(now);
            return Admission::Probe;
        }
        kept.holding.get_or_insert(now);
        Admission::Defer((ramp.probe_interval / 2).max(1))
    }

    /// A call that was let through as a trial has not begun after all.
    pub fn cancel_probe(&mut self, dest: u64) {
        self.dests.get_mut(&dest).into_iter().for_each(|kept| kept.tried = None);
    }

    /// Words to pass on in a round, those that were passed on the least first, and at most so many.
    pub fn updates_to_send(&mut self, now: Micros, most: usize, members: usize) -> Vec<OutageReport> {
        self.forget(now);
        let rounds = (ROUNDS * (members as f64 + 1.0).log2()).ceil() as u32;
        let mut fresh: Vec<(u32, u64, u64)> = Vec::new();
        for (dest, kept) in &self.dests {
            let still = |w: &Word| w.told < rounds && w.finding != Found::Nothing && w.order != (0, 0);
            let words = kept.words.iter().filter(|(_, w)| still(w));
            fresh.extend(words.map(|(origin, w)| (w.told, *dest, *origin)));
        }
        if fresh.is_empty() {
            self.news_until = 0;
        }
        fresh.sort_unstable();
        fresh.truncate(most);
        let mut words = Vec::new();
        for (_, dest, origin) in fresh {
            if let Some(word) = self.dests.get_mut(&dest).and_then(|kept| kept.words.get_mut(&origin)) {
                word.told += 1;
                words.extend(judgement(now, dest, origin, word));
            }
        }
        words
    }

    /// Whether there may be anything to pass on; [`OutageDetector::words`] tells.
    pub fn has_updates(&self, now: Micros) -> bool {
        now < self.news_until
    }

    /// Every finding of a destination that is not simply up, for one that has just come: at most so many.
    pub fn snapshot(&self, now: Micros, most: usize) -> Vec<OutageReport> {
        let troubled = self.dests.iter().filter(|(_, kept)| kept.stand != DestState::Up);
        let words = troubled.flat_map(|(dest, kept)| {
            kept.words.iter().filter_map(move |(origin, word)| judgement(now, *dest, *origin, word))
        });
        words.take(most).collect()
    }

    /// How destinations stand that are not simply up.
    pub fn status(&self, now: Micros) -> Vec<Outage> {
        let one = |(dest, kept): (&u64, &Dest)| {
            let found = |(origin, w): (&u64, &Word)| match w.finding {
                Found::Down(at) => Some((*origin, now.saturating_sub(at))),
                _ => None,
            };
            let (since, part) = match kept.stand {
                DestState::Up => return None,
                DestState::Down(at) => (at, 0.0),
                DestState::Recovering(at) => (at, self.ramp.fraction(now.saturating_sub(at))),
            };
            Some(Outage {
                dest: *dest,
                state: kept.stand,
                since: now.saturating_sub(since),
                capacity_fraction: part,
                reporters: kept.words.iter().filter_map(found).collect(),
                prober: self.trier(now, *dest, kept).filter(|_| part == 0.0),
            })
        };
        self.dests.iter().filter_map(one).collect()
    }

    /// Words that were not believed.
    pub fn rejected(&self) -> u64 {
        self.refused
    }

    /// What says nothing any more. An outage that nobody speaks of ends by the trials of those who have calls for it.
    fn forget(&mut self, now: Micros) {
        let ramp = self.ramp;
        for kept in self.dests.values_mut() {
            if let DestState::Recovering(at) = kept.stand
                && now >= at + ramp.warm_up
            {
                (kept.stand, kept.by) = (DestState::Up, None);
            }
            let old = |w: &Word| {
                now > w.heard.saturating_add(ramp.probe_interval * FOUND_TURNS) && now > w.distrust
            };
            if kept.stand == DestState::Up {
                kept.words.retain(|_, w| !old(w));
            }
        }
        // Of one that is up, and about which nothing was heard, its last call outranks findings for as long as those are believed.
        self.dests.retain(|_, kept| {
            let served = kept.own.served().is_some_and(|at| now < at.saturating_add(AGE_MOST));
            kept.stand != DestState::Up || !kept.words.is_empty() || kept.own.fails() || served
        });
    }
}

/// A word as it is told at a moment.
fn judgement(now: Micros, dest: u64, origin: u64, word: &Word) -> Option<OutageReport> {
    let finding = match word.finding {
        Found::Nothing => return None,
        Found::Down(at) => Finding::Down(0).aged(now.saturating_sub(at)),
        Found::Back(at) => Finding::Recovered(0).aged(now.saturating_sub(at)),
    };
    Some(OutageReport { dest, origin, version: word.order, finding })
}

fn hash(of: [u64; 3]) -> u64 {
    xxh3_64(&of.map(u64::to_le_bytes).concat())
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: Micros = 1_000_000;
    const RAMP: SlowStart = SlowStart { probe_interval: S, warm_up: 10 * S, initial_fraction: 0.2 };
    const DEST: u64 = 7;

    fn member(me: u64, members: usize) -> OutageDetector {
        let mut one = OutageDetector::new(me, 1, RAMP);
        one.set_membership(1, members);
        one
    }

    fn fail(one: &mut OutageDetector, from: Micros) {
        (0..4)
            .for_each(|n| one.record_call_end(from + n * S / 4, DEST, from + n * S / 4, CallOutcome::Failed));
    }

    fn tell(now: Micros, from: &mut OutageDetector, to: &mut [&mut OutageDetector]) {
        for word in from.updates_to_send(now, 24, 5) {
            to.iter_mut().for_each(|one| one.receive(now, &word));
        }
    }

    /// Two find it down; a third that never called holds its calls, one of the two tries, and its word brings all back on one
    /// ramp.
    #[test]
    fn one_tries_first_and_all_come_back_together() {
        let (mut a, mut b, mut c) = (member(1, 3), member(2, 3), member(3, 3));
        fail(&mut a, 100 * S);
        tell(101 * S, &mut a, &mut [&mut b, &mut c]);
        assert_eq!(c.admit(101 * S, DEST), Admission::Fraction(1.0), "one alone says nothing");
        fail(&mut b, 100 * S);
        tell(101 * S, &mut b, &mut [&mut a, &mut c]);
        let now = 101 * S + 1;
        let leaves = [a.admit(now, DEST), b.admit(now, DEST), c.admit(now, DEST)];
        assert_eq!(leaves.iter().filter(|l| **l == Admission::Probe).count(), 1, "{leaves:?}");
        assert!(matches!(leaves[2], Admission::Defer(_)));
        let first = if leaves[0] == Admission::Probe { &mut a } else { &mut b };
        assert!(matches!(first.admit(now, DEST), Admission::Defer(_)), "once a turn");
        first.record_call_end(102 * S, DEST, now, CallOutcome::Served);
        let word = first.updates_to_send(102 * S, 24, 3);
        assert_eq!(first.admit(102 * S, DEST), Admission::Fraction(0.2));
        word.iter().for_each(|w| c.receive(103 * S, w));
        // The way took a second: later than it was, never earlier.
        assert_eq!(c.admit(103 * S, DEST), Admission::Fraction(0.2));
        let Admission::Fraction(half) = c.admit(108 * S, DEST) else { panic!("back") };
        assert!((0.59..0.61).contains(&half), "{half}");
        assert_eq!(c.admit(114 * S, DEST), Admission::Fraction(1.0));
    }

    /// Where nobody's word is fresh whoever has calls tries by chance, few at a time and in bounded time.
    #[test]
    fn where_nobody_speaks_a_few_try_and_soon_one() {
        let mut first = Vec::new();
        for fleet in 0..20u64 {
            let mut all: Vec<OutageDetector> = (0..300).map(|n| member(fleet * 1000 + n, 300)).collect();
            for one in &mut all {
                for origin in [900_001, 900_002] {
                    let finding = Finding::Down(0);
                    one.receive(100 * S, &OutageReport { dest: DEST, origin, version: (1, 1), finding });
                }
            }
            let tried = |turn: u64, all: &mut [OutageDetector]| {
                let at = (100 + turn) * S + S / 2;
                all.iter_mut()
                    .filter_map(|one| (one.admit(at, DEST) == Admission::Probe).then_some(()))
                    .count()
            };
            let (mut turn, mut many) = (0, 0);
            while many == 0 {
                turn += 1;
                many = tried(turn, &mut all);
            }
            first.push((turn, many));
        }
        assert!(first.iter().all(|(turn, _)| *turn <= 9), "{first:?}");
        let mean = first.iter().map(|(_, many)| *many).sum::<usize>() as f64 / 20.0;
        assert!(mean < 24.0, "{mean} at once: {first:?}");
    }

    #[test]
    fn what_says_nothing_any_more_is_not_kept() {
        let mut one = member(1, 5);
        one.record_call_end(100 * S, DEST, 99 * S, CallOutcome::Served);
        one.updates_to_send(200 * S, 24, 5);
        assert_eq!(one.dests.len(), 1, "its call may outrank what is heard later");
        one.updates_to_send(900 * S, 24, 5);
        assert_eq!(one.dests.len(), 0);
    }

    #[test]
    fn own_calls_outrank_what_others_found_and_one_cut_off_alone_harms_nobody() {
        let mut one = member(1, 5);
        one.record_call_end(100 * S, DEST, 99 * S, CallOutcome::Served);
        for origin in [2, 3] {
            let finding = Finding::Down(5 * S);
            one.receive(101 * S, &OutageReport { dest: DEST, origin, version: (1, 1), finding });
        }
        assert_eq!(one.admit(101 * S, DEST), Admission::Fraction(1.0), "served since");
        let mut other = member(4, 5);
        for n in 0..1000 {
            let finding = Finding::Down(0);
            other.receive(
                (100 + n) * S,
                &OutageReport { dest: DEST, origin: 2, version: (1, n + 1), finding },
            );
            assert_eq!(other.admit((100 + n) * S, DEST), Admission::Fraction(1.0));
        }
        // Two that say so hold it back, and it tries for itself all the same.
        let mut tried = 0;
        for n in 0..200 {
            for origin in [2, 3] {
                let finding = Finding::Down(0);
                other.receive(
                    (2000 + n) * S,
                    &OutageReport { dest: DEST, origin, version: (2, n + 1), finding },
                );
            }
            tried += usize::from(other.admit((2000 + n) * S + 1, DEST) == Admission::Probe);
        }
        assert!((5..60).contains(&tried), "{tried}");
        other.record_call_end(2300 * S, DEST, 2299 * S, CallOutcome::Served);
        assert!(matches!(other.admit(2300 * S, DEST), Admission::Fraction(_)));
    }

    /// Whoever says "back" of what is down is believed once, and then for a while not alone.
    #[test]
    fn one_that_says_back_too_soon_is_not_believed_alone_the_next_time() {
        let mut one = member(1, 5);
        let mut believed = 0;
        for n in 0..100u64 {
            let now = (100 + n) * S;
            for origin in [2, 3] {
                let finding = Finding::Down(0);
                one.receive(now, &OutageReport { dest: DEST, origin, version: (1, n + 1), finding });
            }
            let finding = Finding::Recovered(0);
            one.receive(now + 1, &OutageReport { dest: DEST, origin: 4, version: (1, n + 1), finding });
            believed += usize::from(matches!(one.admit(now + 2, DEST), Admission::Fraction(_)));
        }
        assert!((1..=4).contains(&believed), "{believed} of 100");
        let finding = Finding::Recovered(0);
        one.receive(201 * S, &OutageReport { dest: DEST, origin: 5, version: (1, 1), finding });
        assert!(
            matches!(one.admit(201 * S, DEST), Admission::Fraction(_)),
            "another's word is another matter"
        );
    }

    proptest! {
        /// Findings heard at one moment make the same of whoever hears them, in any order and however often.
        #[test]
        fn the_order_of_findings_does_not_matter(
            words in proptest::collection::vec((2..6u64, 1..5u64, any::<bool>()), 0..12),
            seed in any::<u64>(),
        ) {
            use rand::SeedableRng;
            // One origin says one thing under one number.
            let word = |(origin, count, _): &(u64, u64, bool)| {
                let down = (origin * 7 + count * 13) % 3 != 0;
                let finding = if down { Finding::Down(0) } else { Finding::Recovered(0) };
                OutageReport { dest: DEST, origin: *origin, version: (1, *count), finding }
            };
            let words: Vec<OutageReport> = words.iter().map(word).collect();
            let mut shuffled = [words.clone(), words.clone()].concat();
            let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
            rand::seq::SliceRandom::shuffle(&mut shuffled[..], &mut rng);
            let heard = |words: &[OutageReport]| {
                let mut one = member(1, 5);
                words.iter().for_each(|word| one.receive(S, word));
                let kept = one.dests.get(&DEST).map(|d| d.words.clone()).unwrap_or_default();
                kept.iter().map(|(o, w)| (*o, w.order, w.finding)).collect::<Vec<_>>()
            };
            let (a, b) = (heard(&words), heard(&shuffled));
            prop_assert_eq!(a.len(), b.len());
            for (x, y) in a.iter().zip(&b) {
                prop_assert!(x.0 == y.0 && x.1 == y.1 && x.2 == y.2);
            }
        }

        /// Whatever others say, one that has calls tries within a bounded time, and what they make it hold is bounded.
        #[test]
        fn nobody_is_starved_by_what_others_say(
            words in proptest::collection::vec((2..40u64, 0..20_000u64, any::<bool>(), 0..50u64), 0..300),
        ) {
            let mut one = member(1, 30);
            let mut now = 100 * S;
            let mut held = 0;
            for (n, (origin, age, down, pause)) in words.into_iter().enumerate() {
                now += pause * S / 100;
                let finding = if down { Finding::Down(age) } else { Finding::Recovered(age) };
                one.receive(now, &OutageReport { dest: DEST, origin, version: (1, n as u64 + 1), finding });
            }
            while matches!(one.admit(now, DEST), Admission::Defer(_)) {
                now += S / 4;
                held += 1;
                prop_assert!(held < 4 * 40, "held for {} turns", held / 4);
            }
            let kept = one.dests.get(&DEST).map_or(0, |d| d.words.len());
            prop_assert!(kept <= ORIGINS_MOST);
        }
    }
}
