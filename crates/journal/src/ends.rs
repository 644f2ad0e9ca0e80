//! The ends of messages that are over, for as long as they bind: a message that is handed in again finds its answer
//! here, and must never be taken for a new one.
//!
//! A table made for the job. An end takes [`SLOT`] bytes, in memory as on disk: a keyed 128-bit hash of the id
//! (ids come from outside, and none can be chosen to meet another), how the message ended, and until when that
//! binds. Ends leave by time alone, in no order that a queue would give, so a hand goes round the table: each end
//! that comes in moves it on by [`HAND`] slots, and what has passed is taken out where it stands. No pass over all,
//! no second structure for the times. What is past and not yet met by the hand is at most an eighth of the table, so
//! that with its load of three quarters, and doubling, the table has at most 3.2 slots for each end that binds.

use crate::record::End;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// Bytes of one end.
pub(crate) const SLOT: usize = 24;
/// Slots that the hand moves on with each end that comes in.
const HAND: usize = 8;
/// The smallest table.
const LEAST: usize = 64;

/// The key of the hashes, drawn anew where nothing on disk names one.
pub(crate) type Key = [u64; 2];

/// The keyed hash of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Name(u64, u64);

/// A place of the table; `until` in milliseconds with the kind of end in its two lowest bits, 0 where it is free.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    name: (u64, u64),
    until: u64,
}

impl Slot {
    fn end(&self) -> Option<(End, u64)> {
        let end = match self.until & 3 {
            1 => End::Delivered,
            2 => End::Failed,
            3 => End::Refused,
            _ => return None,
        };
        Some((end, self.until >> 2))
    }

    fn past(&self, now: u64) -> bool {
        self.end().is_some_and(|(_, until)| until <= now)
    }
}

/// Ends by the hash of their message's id.
#[derive(Debug)]
pub(crate) struct Ends {
    key: Key,
    /// A power of two of them, open addressing with linear probing.
    slots: Vec<Slot>,
    len: usize,
    hand: usize,
}

impl Ends {
    pub(crate) fn new(key: Key) -> Self {
        Ends { key, slots: vec![Slot::default(); LEAST], len: 0, hand: 0 }
    }

    pub(crate) fn key(&self) -> Key {
        self.key
    }

    /// Ends that are held, some of which may be past.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn name(&self, id: &str) -> Name {
        let mut hasher = SipHasher13::new_with_keys(self.key[0], self.key[1]);
        hasher.write(id.as_bytes());
        let hash = hasher.finish128();
        Name(hash.h1, hash.h2)
    }

    fn home(&self, name: (u64, u64)) -> usize {
        name.0 as usize & (self.slots.len() - 1)
    }

    /// The slot of that name, or the free one where it belongs.
    fn find(&self, name: (u64, u64)) -> usize {
        let (mask, mut at) = (self.slots.len() - 1, self.home(name));
        while self.slots[at].until != 0 && self.slots[at].name != name {
            at = (at + 1) & mask;
        }
        at
    }

    pub(crate) fn get(&self, name: Name) -> Option<(End, u64)> {
        self.slots[self.find((name.0, name.1))].end()
    }

    /// Remembers an end until then (Unix ms); a later one of the same message takes its place.
    pub(crate) fn insert(&mut self, name: Name, end: End, until: u64, now: u64) {
        if until <= now {
            return;
        }
        self.sweep(HAND, now);
        if (self.len + 1) * 4 > self.slots.len() * 3 {
            self.resize(self.slots.len() * 2);
        }
        let kind = match end {
            End::Delivered => 1,
            End::Failed => 2,
            End::Refused => 3,
        };
        // A time so far off that its highest bits are lost is none.
        self.put(Slot { name: (name.0, name.1), until: until.min(u64::MAX >> 2) << 2 | kind });
    }

    fn put(&mut self, slot: Slot) {
        let at = self.find(slot.name);
        self.len += usize::from(self.slots[at].until == 0);
        self.slots[at] = slot;
    }

    /// Moves the hand on by so many slots and takes out what is past.
    pub(crate) fn sweep(&mut self, slots: usize, now: u64) {
        for _ in 0..slots.min(self.slots.len()) {
            while self.slots[self.hand].past(now) {
                self.take_out(self.hand);
            }
            self.hand += 1;
            if self.hand >= self.slots.len() {
                self.hand = 0;
                // A burst that has passed must not hold its memory for ever.
                if self.len * 16 < self.slots.len() && self.slots.len() > LEAST {
                    self.resize(self.slots.len() / 4);
                }
            }
        }
    }

    /// Frees a slot and closes the row behind it, so that no search ends early.
    fn take_out(&mut self, mut free: usize) {
        let mask = self.slots.len() - 1;
        let mut at = free;
        loop {
            at = (at + 1) & mask;
            if self.slots[at].until == 0 {
                break;
            }
            // It may move up unless its own place lies between the free one and where it stands.
            let home = self.home(self.slots[at].name);
            if (at.wrapping_sub(home) & mask) >= (at.wrapping_sub(free) & mask) {
                self.slots[free] = self.slots[at];
                free = at;
            }
        }
        self.slots[free] = Slot::default();
        self.len -= 1;
    }

    fn resize(&mut self, slots: usize) {
        let old = std::mem::replace(&mut self.slots, vec![Slot::default(); slots.max(LEAST)]);
        (self.len, self.hand) = (0, 0);
        old.into_iter().filter(|slot| slot.until != 0).for_each(|slot| self.put(slot));
    }

    /// The ends that still bind, as they stand on disk: [`SLOT`] bytes each.
    pub(crate) fn binding(&self, now: u64) -> impl Iterator<Item = [u8; SLOT]> + '_ {
        self.slots.iter().filter(move |slot| slot.end().is_some() && !slot.past(now)).map(|slot| {
            let mut bytes = [0; SLOT];
            bytes[..8].copy_from_slice(&slot.name.0.to_le_bytes());
            bytes[8..16].copy_from_slice(&slot.name.1.to_le_bytes());
            bytes[16..].copy_from_slice(&slot.until.to_le_bytes());
            bytes
        })
    }

    /// Takes up what [`Ends::binding`] gave, under the same key.
    pub(crate) fn take_up(&mut self, bytes: &[u8], now: u64) {
        let number = |bytes: &[u8]| bytes.try_into().map(u64::from_le_bytes).unwrap_or_default();
        for slot in bytes.chunks_exact(SLOT) {
            let slot = Slot { name: (number(&slot[..8]), number(&slot[8..16])), until: number(&slot[16..]) };
            if let Some((end, until)) = slot.end() {
                self.insert(Name(slot.name.0, slot.name.1), end, until, now);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::HashMap;

    proptest! {
        /// Against a plain map: whatever comes, an end is found exactly as long as it binds.
        #[test]
        fn an_end_is_found_as_long_as_it_binds(
            steps in proptest::collection::vec((0..400u32, 0..3u8, 0..300u64, 0..20u64), 1..1500)
        ) {
            let (mut ends, mut plain, mut now) = (Ends::new([1, 2]), HashMap::new(), 1000);
            for (n, kind, life, passes) in steps {
                now += passes;
                let (id, end) = (n.to_string(), [End::Delivered, End::Failed, End::Refused][kind as usize]);
                ends.insert(ends.name(&id), end, now + life, now);
                if life > 0 {
                    plain.insert(id, (end, now + life));
                }
            }
            let binding = plain.values().filter(|(_, until)| *until > now).count();
            for (id, (end, until)) in &plain {
                let found = ends.get(ends.name(id));
                let past = found.is_none_or(|(_, until)| until <= now);
                let right = if *until > now { found == Some((*end, *until)) } else { past };
                prop_assert!(right, "{}: {:?}", id, found);
            }
            prop_assert_eq!(ends.binding(now).count(), binding);
            let mut again = Ends::new(ends.key());
            let bytes: Vec<u8> = ends.binding(now).flatten().collect();
            again.take_up(&bytes, now);
            prop_assert_eq!(again.len(), binding);
        }
    }

    /// Bytes an end, against the formula, at a steady rate and after it.
    #[test]
    fn the_table_stays_within_its_formula_and_shrinks_after_a_burst() {
        let (mut ends, rate, life) = (Ends::new([3, 4]), 10, 6000);
        for now in 0..30_000u64 {
            (0..rate)
                .for_each(|n| ends.insert(ends.name(&format!("{now}-{n}")), End::Delivered, now + life, now));
            let binding = (rate * life.min(now + 1)) as usize;
            assert!(
                ends.slots.len() <= LEAST.max(binding * 32 / 10 + LEAST),
                "{} at {now}",
                ends.slots.len()
            );
        }
        for now in 36_000..70_000 {
            ends.insert(ends.name(&format!("{now}")), End::Delivered, now + 10, now);
        }
        assert!(ends.slots.len() <= 4096, "{} slots for 10 ends", ends.slots.len());
    }

    /// Ids whose hashes begin in the same place share a row: taking some out must not hide the others.
    #[test]
    fn a_row_of_one_place_loses_nobody() {
        let mut ends = Ends::new([5, 6]);
        let name = |n| Name(7, n);
        (0..40).for_each(|n| ends.insert(name(n), End::Failed, if n % 3 == 0 { 10 } else { 1000 }, 0));
        ends.sweep(LEAST, 20);
        assert!((0..40).all(|n| ends.get(name(n)).is_some() == (n % 3 != 0)));
    }
}
