//! Table of the ends of closed messages, each kept until it expires. A message that is submitted again gets
//! its answer from here and must never be accepted as a new one.
//!
//! The table is a hash table with open addressing. An end takes [`SLOT_BYTES`] bytes, in memory as on disk: a
//! keyed 128-bit hash of the message id (ids come from outside; with a secret key none can be chosen to
//! collide with another), the kind of end, and the expiry time. Ends are removed only by expiry, and do not
//! expire in the order in which they arrive, so a queue is not enough. Instead a cursor cycles through the
//! table: each insertion advances it by [`SWEEP_PER_INSERT`] slots and removes expired ends on the way. This
//! needs neither a pass over the full table nor a second structure for the times. At most one eighth of the
//! table is expired and not yet swept. With a maximum load of three quarters, and doubling, the table has at
//! most 3.2 slots for each unexpired end.

use crate::record::End;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;

/// Bytes of one end.
pub(crate) const SLOT_BYTES: usize = 24;
/// Slots that the sweep cursor advances with each insertion.
const SWEEP_PER_INSERT: usize = 8;
/// Minimum number of slots.
const MIN_SLOTS: usize = 64;

/// Key of the id hashes. Drawn at random unless the journal file contains one.
pub(crate) type HashKey = [u64; 2];

/// Keyed hash of a message id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct IdHash(u64, u64);

/// A slot of the table.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    hash: (u64, u64),
    /// Expiry time in Unix milliseconds, shifted left by two bits, and the kind of end in the two lowest
    /// bits; 0 if the slot is free.
    expiry_and_kind: u64,
}

impl Slot {
    fn end(&self) -> Option<(End, u64)> {
        let end = match self.expiry_and_kind & 3 {
            1 => End::Delivered,
            2 => End::Failed,
            3 => End::Refused,
            _ => return None,
        };
        Some((end, self.expiry_and_kind >> 2))
    }

    fn is_expired(&self, now: u64) -> bool {
        self.end().is_some_and(|(_, until)| until <= now)
    }
}

/// Table of ends by the hash of the message id.
#[derive(Debug)]
pub(crate) struct Ends {
    key: HashKey,
    /// Slots, a power of two in number, with open addressing and linear probing.
    slots: Vec<Slot>,
    len: usize,
    /// Position of the sweep cursor.
    cursor: usize,
}

impl Ends {
    pub(crate) fn new(key: HashKey) -> Self {
        Ends { key, slots: vec![Slot::default(); MIN_SLOTS], len: 0, cursor: 0 }
    }

    pub(crate) fn key(&self) -> HashKey {
        self.key
    }

    /// Returns the number of ends in the table, including expired ones that were not swept yet.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn hash(&self, id: &str) -> IdHash {
        let mut hasher = SipHasher13::new_with_keys(self.key[0], self.key[1]);
        hasher.write(id.as_bytes());
        let hash = hasher.finish128();
        IdHash(hash.h1, hash.h2)
    }

    fn home(&self, hash: (u64, u64)) -> usize {
        hash.0 as usize & (self.slots.len() - 1)
    }

    /// Returns the index of the slot with this hash, or of the free slot where it belongs.
    fn find(&self, hash: (u64, u64)) -> usize {
        let (mask, mut at) = (self.slots.len() - 1, self.home(hash));
        while self.slots[at].expiry_and_kind != 0 && self.slots[at].hash != hash {
            at = (at + 1) & mask;
        }
        at
    }

    pub(crate) fn get(&self, hash: IdHash) -> Option<(End, u64)> {
        self.slots[self.find((hash.0, hash.1))].end()
    }

    /// Remembers an end until its expiry (Unix ms). A later end of the same message replaces the earlier one.
    pub(crate) fn insert(&mut self, hash: IdHash, end: End, until: u64, now: u64) {
        if until <= now {
            return;
        }
        self.sweep(SWEEP_PER_INSERT, now);
        if (self.len + 1) * 4 > self.slots.len() * 3 {
            self.resize(self.slots.len() * 2);
        }
        let kind = match end {
            End::Delivered => 1,
            End::Failed => 2,
            End::Refused => 3,
        };
        // The expiry is limited to 62 bits, so that the shift loses none.
        self.put(Slot { hash: (hash.0, hash.1), expiry_and_kind: until.min(u64::MAX >> 2) << 2 | kind });
    }

    fn put(&mut self, slot: Slot) {
        let at = self.find(slot.hash);
        self.len += usize::from(self.slots[at].expiry_and_kind == 0);
        self.slots[at] = slot;
    }

    /// Advances the cursor by up to `slots` slots and removes expired ends.
    pub(crate) fn sweep(&mut self, slots: usize, now: u64) {
        for _ in 0..slots.min(self.slots.len()) {
            while self.slots[self.cursor].is_expired(now) {
                self.remove(self.cursor);
            }
            self.cursor += 1;
            if self.cursor >= self.slots.len() {
                self.cursor = 0;
                // Releases the memory of a burst whose ends have expired.
                if self.len * 16 < self.slots.len() && self.slots.len() > MIN_SLOTS {
                    self.resize(self.slots.len() / 4);
                }
            }
        }
    }

    /// Frees a slot and shifts back the entries that follow in its probe sequence, so that lookups still find
    /// them.
    fn remove(&mut self, mut free: usize) {
        let mask = self.slots.len() - 1;
        let mut at = free;
        loop {
            at = (at + 1) & mask;
            if self.slots[at].expiry_and_kind == 0 {
                break;
            }
            // The entry may move back unless its home slot lies between the free slot and its present one.
            let home = self.home(self.slots[at].hash);
            if (at.wrapping_sub(home) & mask) >= (at.wrapping_sub(free) & mask) {
                self.slots[free] = self.slots[at];
                free = at;
            }
        }
        self.slots[free] = Slot::default();
        self.len -= 1;
    }

    fn resize(&mut self, slots: usize) {
        let old = std::mem::replace(&mut self.slots, vec![Slot::default(); slots.max(MIN_SLOTS)]);
        (self.len, self.cursor) = (0, 0);
        old.into_iter().filter(|slot| slot.expiry_and_kind != 0).for_each(|slot| self.put(slot));
    }

    /// Returns the unexpired ends as stored on disk, [`SLOT_BYTES`] bytes each.
    pub(crate) fn encode_unexpired(&self, now: u64) -> impl Iterator<Item = [u8; SLOT_BYTES]> + '_ {
        self.slots.iter().filter(move |slot| slot.end().is_some() && !slot.is_expired(now)).map(|slot| {
            let mut bytes = [0; SLOT_BYTES];
            bytes[..8].copy_from_slice(&slot.hash.0.to_le_bytes());
            bytes[8..16].copy_from_slice(&slot.hash.1.to_le_bytes());
            bytes[16..].copy_from_slice(&slot.expiry_and_kind.to_le_bytes());
            bytes
        })
    }

    /// Inserts ends encoded by [`Ends::encode_unexpired`] under the same key.
    pub(crate) fn insert_encoded(&mut self, bytes: &[u8], now: u64) {
        let read_u64 = |bytes: &[u8]| bytes.try_into().map(u64::from_le_bytes).unwrap_or_default();
        for slot in bytes.chunks_exact(SLOT_BYTES) {
            let slot = Slot {
                hash: (read_u64(&slot[..8]), read_u64(&slot[8..16])),
                expiry_and_kind: read_u64(&slot[16..]),
            };
            if let Some((end, until)) = slot.end() {
                self.insert(IdHash(slot.hash.0, slot.hash.1), end, until, now);
            }
        }
    }
}

#[cfg(test)]
mod tests;
