//! Waits that destinations told.

use crate::Micros;
use crate::credit::Credit;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest wait that is believed (microseconds), as of destinations themselves.
pub const MAX_WAIT: Micros = 60_000_000;
/// Destinations about which anything is kept; further ones are not heard of.
const DESTS_MOST: usize = 10_000;
/// Origins whose words about one destination are kept.
const ORIGINS_MOST: usize = 16;
/// To how many members a fresh word goes in a round,
const FAN: usize = 3;
/// and in how many rounds, times the logarithm (base 2) of the fleet's size.
const ROUNDS: f64 = 1.5;

/// One origin's word about one destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReport {
    /// The destination.
    pub dest: u64,
    /// Who was told the wait.
    pub origin: u64,
    /// The origin's boot, and its count of words under that.
    pub version: (u64, u64),
    /// How long is left (microseconds).
    pub remaining: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    order: (u64, u64),
    until: Micros,
    heard: Micros,
    credit: Credit,
    /// Rounds in which it was passed on.
    told: u32,
}

/// What is known of one destination, for those who ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownWait {
    /// Which.
    pub dest: u64,
    /// Who was told.
    pub origin: u64,
    /// How long it holds here (microseconds).
    #[serde(rename = "left")]
    pub remaining: Micros,
    /// How long ago it was heard of (microseconds).
    pub age: Micros,
}

/// What one member knows.
#[derive(Clone, Debug)]
pub struct WaitTable {
    me: u64,
    boot: u64,
    count: u64,
    rng: ChaCha8Rng,
    dests: BTreeMap<u64, BTreeMap<u64, Entry>>,
    /// There may be something to pass on until then: asked at each turn of the host's loop, so not looked for.
    news_until: Micros,
    /// Words that were not believed: too long, of too many origins, about too many destinations, in one's own name.
    refused: u64,
}

impl WaitTable {
    /// A member that starts, with the boot number that it speaks under and a seed.
    pub fn new(me: u64, boot: u64, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        WaitTable { me, boot, count: 0, rng, dests: BTreeMap::new(), news_until: 0, refused: 0 }
    }

    /// It speaks under another boot number from now on.
    pub fn set_boot(&mut self, boot: u64) {
        self.boot = self.boot.max(boot);
    }

    /// A destination told this member to wait.
    pub fn record_wait(&mut self, now: Micros, dest: u64, span: Micros) {
        self.count += 1;
        let order = (self.boot, self.count);
        let until = now.saturating_add(span.min(MAX_WAIT));
        if self.dests.len() >= DESTS_MOST && !self.dests.contains_key(&dest) {
            return;
        }
        let own = Entry { order, until, heard: now, credit: Credit::new(now), told: 0 };
        let entry = self.dests.entry(dest).or_default().entry(self.me).or_insert(own);
        // Of two waits that were told the later end holds.
        *entry = Entry { until: own.until.max(entry.until), ..own };
        self.news_until = self.news_until.max(entry.until);
    }

    /// A call that began at a moment was served: what was heard before then does not hold here any more.
    pub fn record_success(&mut self, now: Micros, dest: u64, began: Micros) {
        let me = self.me;
        if let Some(origins) = self.dests.get_mut(&dest) {
            let over = |(origin, e): (&u64, &mut Entry)| {
                if *origin != me && e.heard < began {
                    e.until = e.until.min(now);
                }
            };
            origins.iter_mut().for_each(over);
        }
    }

    /// A word has come.
    pub fn receive(&mut self, now: Micros, word: &WaitReport) {
        let WaitReport { dest, origin, version: order, remaining: left } = *word;
        let known = self.dests.get(&dest);
        let full = known.map_or(self.dests.len() >= DESTS_MOST, |origins| {
            origins.len() >= ORIGINS_MOST && !origins.contains_key(&origin)
        });
        if origin == self.me || left > MAX_WAIT || full {
            self.refused += 1;
            return;
        }
        let fresh = || Entry { order: (0, 0), until: 0, heard: now, credit: Credit::new(now), told: 0 };
        let entry = self.dests.entry(dest).or_default().entry(origin).or_insert_with(fresh);
        if order <= entry.order {
            return;
        }
        let until = entry.credit.spend(now, entry.until, now.saturating_add(left));
        *entry = Entry { order, until, heard: now, credit: entry.credit, told: 0 };
        self.news_until = self.news_until.max(until);
    }

    /// How long a call to a destination has to wait by what the *others* say; what was told to this member itself binds its
    /// decisions without that.
    pub fn wait(&self, now: Micros, dest: u64) -> Option<Micros> {
        let others = self.dests.get(&dest)?.iter().filter(|(origin, _)| **origin != self.me);
        others.map(|(_, entry)| entry.until.saturating_sub(now)).max().filter(|left| *left > 0)
    }

    /// Words to pass on in a round, those that were passed on the least first, and at most so many; `members` are there.
    pub fn updates_to_send(&mut self, now: Micros, most: usize, members: usize) -> Vec<WaitReport> {
        self.forget(now);
        let rounds = (ROUNDS * (members as f64 + 1.0).log2()).ceil() as u32;
        let mut fresh: Vec<(u32, u64, u64)> = Vec::new();
        for (dest, origins) in &self.dests {
            let still = |e: &Entry| e.told < rounds && e.until > now;
            fresh
                .extend(origins.iter().filter(|(_, e)| still(e)).map(|(origin, e)| (e.told, *dest, *origin)));
        }
        if fresh.is_empty() {
            self.news_until = 0;
        }
        fresh.sort_unstable();
        fresh.truncate(most);
        let mut words = Vec::new();
        for (_, dest, origin) in fresh {
            if let Some(entry) = self.dests.get_mut(&dest).and_then(|origins| origins.get_mut(&origin)) {
                entry.told += 1;
                words.push(WaitReport { dest, origin, version: entry.order, remaining: entry.until - now });
            }
        }
        words
    }

    /// Whether there may be anything to pass on; [`WaitTable::words`] tells.
    pub fn has_updates(&self, now: Micros) -> bool {
        now < self.news_until
    }

    /// To whom a round's words go, of those that are there.
    pub fn sample_peers(&mut self, there: &[u64]) -> Vec<u64> {
        there.sample(&mut self.rng, FAN).copied().collect()
    }

    /// Everything that still holds, for one that has just come: at most so many words, the longest first.
    pub fn snapshot(&self, now: Micros, most: usize) -> Vec<WaitReport> {
        let mut words: Vec<WaitReport> = Vec::new();
        for (dest, origins) in &self.dests {
            words.extend(origins.iter().filter(|(_, e)| e.until > now).map(|(origin, e)| WaitReport {
                dest: *dest,
                origin: *origin,
                version: e.order,
                remaining: e.until - now,
            }));
        }
        words.sort_unstable_by_key(|word| std::cmp::Reverse(word.remaining));
        words.truncate(most);
        words
    }

    /// What holds, for those who ask.
    pub fn status(&self, now: Micros) -> Vec<KnownWait> {
        let one = |dest: u64, origin: u64, e: &Entry| KnownWait {
            dest,
            origin,
            remaining: e.until.saturating_sub(now),
            age: now.saturating_sub(e.heard),
        };
        let holds = self.dests.iter().flat_map(|(dest, origins)| {
            origins.iter().filter(|(_, e)| e.until > now).map(move |(origin, e)| one(*dest, *origin, e))
        });
        holds.collect()
    }

    /// Words that were not believed.
    pub fn rejected(&self) -> u64 {
        self.refused
    }

    /// What has run out and whose credit is whole again says nothing any more. Its order is forgotten with it: a copy of it that
    /// was on its way for so long would count once more, for what it says is left.
    fn forget(&mut self, now: Micros) {
        for origins in self.dests.values_mut() {
            origins.retain(|_, e| e.until > now || e.credit.available(now) < crate::MAX_CREDIT);
        }
        self.dests.retain(|_, origins| !origins.is_empty());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: Micros = 1_000_000;

    #[test]
    fn a_wait_reaches_others_and_newcomers_and_ends() {
        let mut one = WaitTable::new(1, 1, 1);
        let (mut two, mut late) = (WaitTable::new(2, 1, 2), WaitTable::new(3, 1, 3));
        one.record_wait(0, 10, 30 * S);
        assert_eq!(one.wait(S, 10), None, "its own is the module's matter");
        assert!(one.has_updates(S));
        one.updates_to_send(S, 9, 3).iter().for_each(|word| two.receive(S, word));
        assert_eq!(two.wait(S, 10), Some(29 * S));
        // By way of the second, ten seconds later.
        two.snapshot(11 * S, 9).iter().for_each(|word| late.receive(11 * S, word));
        assert_eq!(late.wait(11 * S, 10), Some(19 * S));
        assert_eq!(late.wait(30 * S, 10), None);
        // It is not news for ever.
        (0..9).for_each(|_| drop(one.updates_to_send(2 * S, 9, 3)));
        assert!(!one.has_updates(2 * S));
    }

    #[test]
    fn own_fresh_evidence_outranks_what_was_heard() {
        let mut one = WaitTable::new(1, 1, 1);
        let word = WaitReport { dest: 10, origin: 2, version: (1, 1), remaining: 20 * S };
        one.receive(5 * S, &word);
        one.record_success(6 * S, 10, 4 * S);
        assert!(one.wait(6 * S, 10).is_some(), "that call had begun before");
        one.record_success(7 * S, 10, 6 * S);
        assert_eq!(one.wait(7 * S, 10), None);
        one.receive(8 * S, &word);
        assert_eq!(one.wait(8 * S, 10), None, "the same word again is no news");
    }

    /// Whoever says "an hour" again and again holds a destination for a minute, and then a quarter of the time.
    #[test]
    fn the_harm_of_a_liar_is_bounded() {
        let mut one = WaitTable::new(1, 1, 1);
        one.receive(0, &WaitReport { dest: 10, origin: 2, version: (1, 0), remaining: 3600 * S });
        assert_eq!((one.wait(0, 10), one.rejected()), (None, 1));
        let mut held = 0;
        for second in 0..600 {
            one.receive(
                second * S,
                &WaitReport { dest: 10, origin: 2, version: (1, second + 1), remaining: 60 * S },
            );
            held += u64::from(one.wait(second * S + S / 2, 10).is_some());
        }
        assert!((60..=60 + 600 / 4 + 1).contains(&held), "{held} of 600");
        // Another origin's word is another matter.
        one.receive(601 * S, &WaitReport { dest: 10, origin: 3, version: (1, 1), remaining: 10 * S });
        assert_eq!(one.wait(601 * S, 10), Some(10 * S));
    }

    #[test]
    fn what_others_make_it_hold_is_bounded() {
        let mut one = WaitTable::new(1, 1, 1);
        for n in 0..20_000 {
            one.receive(0, &WaitReport { dest: n, origin: 2, version: (1, 1), remaining: 60 * S });
            one.receive(0, &WaitReport { dest: 5, origin: n + 3, version: (1, 1), remaining: 60 * S });
        }
        assert_eq!((one.dests.len(), one.dests[&5].len()), (DESTS_MOST, ORIGINS_MOST));
        one.updates_to_send(200 * S, 9, 300);
        one.updates_to_send(600 * S, 9, 300);
        assert_eq!(one.dests.len(), 0);
    }

    proptest! {
        /// Words heard at one moment make the same of whoever hears them, in any order and however often.
        #[test]
        fn the_order_of_words_does_not_matter(
            words in proptest::collection::vec((0..3u64, 2..5u64, 0..4u64, 0..60u64), 0..12),
            seed in any::<u64>(),
        ) {
            // One origin says one thing under one number.
            let word = |(dest, origin, count, _): &(u64, u64, u64, u64)| {
                let left = (dest * 7 + origin * 11 + count * 13) % 60 * S;
                WaitReport { dest: *dest, origin: *origin, version: (1, *count + 1), remaining: left }
            };
            let words: Vec<WaitReport> = words.iter().map(word).collect();
            let mut shuffled = [words.clone(), words.clone()].concat();
            rand::seq::SliceRandom::shuffle(&mut shuffled[..], &mut ChaCha8Rng::seed_from_u64(seed));
            let heard = |words: &[WaitReport]| {
                let mut one = WaitTable::new(1, 1, 1);
                words.iter().for_each(|word| one.receive(S, word));
                one
            };
            let (a, b) = (heard(&words), heard(&shuffled));
            let orders = |k: &WaitTable| -> Vec<(u64, u64, (u64, u64))> {
                let of = |(dest, origins): (&u64, &BTreeMap<u64, Entry>)| {
                    origins.iter().map(|(o, e)| (*dest, *o, e.order)).collect::<Vec<_>>()
                };
                k.dests.iter().flat_map(of).collect()
            };
            prop_assert_eq!(orders(&a), orders(&b));
            for dest in 0..3 {
                prop_assert_eq!(a.wait(S, dest), b.wait(S, dest));
            }
        }
    }
}
