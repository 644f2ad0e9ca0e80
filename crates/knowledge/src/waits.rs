//! Waits that destinations returned to members.

use crate::Micros;
use crate::credit::Credit;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest wait that is accepted (microseconds), as from destinations themselves.
pub const MAX_WAIT: Micros = 60_000_000;
/// Maximum number of destinations with state; reports about further ones are rejected.
const MAX_DESTS: usize = 10_000;
/// Maximum number of origins whose reports about one destination are kept.
const MAX_ORIGINS: usize = 16;
/// Number of members to which a report is sent in a round.
const FANOUT: usize = 3;
/// Number of rounds in which a report is sent, per doubling of the fleet's size (times its base-2 logarithm).
const ROUNDS_PER_LOG2: f64 = 1.5;

/// One origin's report about one destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReport {
    /// The destination.
    pub dest: u64,
    /// The member to which the destination returned the wait.
    pub origin: u64,
    /// The origin's boot number, and the sequence number of the report under that.
    pub version: (u64, u64),
    /// Time that remains when the report is sent (microseconds).
    pub remaining: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    version: (u64, u64),
    until: Micros,
    received_at: Micros,
    credit: Credit,
    /// Number of rounds in which the report was sent.
    rounds_sent: u32,
}

/// A wait that is in force for one destination, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownWait {
    /// The destination.
    pub dest: u64,
    /// The member to which the destination returned the wait.
    pub origin: u64,
    /// Time for which it remains in force here (microseconds).
    #[serde(rename = "left")]
    pub remaining: Micros,
    /// Time since it was received (microseconds).
    pub age: Micros,
}

/// Waits that one member knows of, by destination and origin.
#[derive(Clone, Debug)]
pub struct WaitTable {
    local_id: u64,
    boot: u64,
    sequence: u64,
    rng: ChaCha8Rng,
    dests: BTreeMap<u64, BTreeMap<u64, Entry>>,
    /// Time until which there may be reports to send. The host asks at each turn of its loop, so this is kept
    /// rather than searched for.
    updates_until: Micros,
    /// Number of rejected reports: too long, from too many origins, about too many destinations, or under
    /// this member's own name.
    rejected: u64,
}

impl WaitTable {
    /// Returns an empty table of a member that starts, with the boot number for its own reports and a seed.
    pub fn new(local_id: u64, boot: u64, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        WaitTable { local_id, boot, sequence: 0, rng, dests: BTreeMap::new(), updates_until: 0, rejected: 0 }
    }

    /// Raises the boot number for this member's own reports.
    pub fn set_boot(&mut self, boot: u64) {
        self.boot = self.boot.max(boot);
    }

    /// Records that a destination asked this member to wait.
    pub fn record_wait(&mut self, now: Micros, dest: u64, duration: Micros) {
        self.sequence += 1;
        let version = (self.boot, self.sequence);
        let until = now.saturating_add(duration.min(MAX_WAIT));
        if self.dests.len() >= MAX_DESTS && !self.dests.contains_key(&dest) {
            return;
        }
        let own = Entry { version, until, received_at: now, credit: Credit::new(now), rounds_sent: 0 };
        let entry = self.dests.entry(dest).or_default().entry(self.local_id).or_insert(own);
        // Of two waits that the destination returned the one that ends later holds.
        *entry = Entry { until: own.until.max(entry.until), ..own };
        self.updates_until = self.updates_until.max(entry.until);
    }

    /// Records a served call that began at `began`: it ends the waits that were received before then.
    pub fn record_success(&mut self, now: Micros, dest: u64, began: Micros) {
        let local_id = self.local_id;
        if let Some(origins) = self.dests.get_mut(&dest) {
            let end_older = |(origin, entry): (&u64, &mut Entry)| {
                if *origin != local_id && entry.received_at < began {
                    entry.until = entry.until.min(now);
                }
            };
            origins.iter_mut().for_each(end_older);
        }
    }

    /// Merges a report from another member.
    pub fn receive(&mut self, now: Micros, report: &WaitReport) {
        let WaitReport { dest, origin, version, remaining } = *report;
        let known = self.dests.get(&dest);
        let is_full = known.map_or(self.dests.len() >= MAX_DESTS, |origins| {
            origins.len() >= MAX_ORIGINS && !origins.contains_key(&origin)
        });
        if origin == self.local_id || remaining > MAX_WAIT || is_full {
            self.rejected += 1;
            return;
        }
        let new_entry = || Entry {
            version: (0, 0),
            until: 0,
            received_at: now,
            credit: Credit::new(now),
            rounds_sent: 0,
        };
        let entry = self.dests.entry(dest).or_default().entry(origin).or_insert_with(new_entry);
        if version <= entry.version {
            return;
        }
        let until = entry.credit.spend(now, entry.until, now.saturating_add(remaining));
        *entry = Entry { version, until, received_at: now, credit: entry.credit, rounds_sent: 0 };
        self.updates_until = self.updates_until.max(until);
    }

    /// Returns how long a call to a destination has to wait by the reports of the *other* members. Waits that
    /// the destination returned to this member take effect in its decisions without this table.
    pub fn wait(&self, now: Micros, dest: u64) -> Option<Micros> {
        let others = self.dests.get(&dest)?.iter().filter(|(origin, _)| **origin != self.local_id);
        others.map(|(_, entry)| entry.until.saturating_sub(now)).max().filter(|remaining| *remaining > 0)
    }

    /// Returns at most `max` reports to send in a round, those sent in the fewest rounds first; `members` is
    /// the number of live members.
    pub fn updates_to_send(&mut self, now: Micros, max: usize, members: usize) -> Vec<WaitReport> {
        self.expire(now);
        let rounds = (ROUNDS_PER_LOG2 * (members as f64 + 1.0).log2()).ceil() as u32;
        let mut pending: Vec<(u32, u64, u64)> = Vec::new();
        for (dest, origins) in &self.dests {
            let is_pending = |entry: &Entry| entry.rounds_sent < rounds && entry.until > now;
            let entries = origins.iter().filter(|(_, entry)| is_pending(entry));
            pending.extend(entries.map(|(origin, entry)| (entry.rounds_sent, *dest, *origin)));
        }
        if pending.is_empty() {
            self.updates_until = 0;
        }
        pending.sort_unstable();
        pending.truncate(max);
        let mut reports = Vec::new();
        for (_, dest, origin) in pending {
            if let Some(entry) = self.dests.get_mut(&dest).and_then(|origins| origins.get_mut(&origin)) {
                entry.rounds_sent += 1;
                let remaining = entry.until - now;
                reports.push(WaitReport { dest, origin, version: entry.version, remaining });
            }
        }
        reports
    }

    /// Returns whether there may be reports to send; [`WaitTable::updates_to_send`] returns them.
    pub fn has_updates(&self, now: Micros) -> bool {
        now < self.updates_until
    }

    /// Draws the members to which a round's reports are sent, from the live members `live`.
    pub fn sample_peers(&mut self, live: &[u64]) -> Vec<u64> {
        live.sample(&mut self.rng, FANOUT).copied().collect()
    }

    /// Returns at most `max` reports of all waits in force, the longest first, for a member that has just
    /// started.
    pub fn snapshot(&self, now: Micros, max: usize) -> Vec<WaitReport> {
        let mut reports: Vec<WaitReport> = Vec::new();
        for (dest, origins) in &self.dests {
            let in_force = origins.iter().filter(|(_, entry)| entry.until > now);
            reports.extend(in_force.map(|(origin, entry)| WaitReport {
                dest: *dest,
                origin: *origin,
                version: entry.version,
                remaining: entry.until - now,
            }));
        }
        reports.sort_unstable_by_key(|report| std::cmp::Reverse(report.remaining));
        reports.truncate(max);
        reports
    }

    /// Returns the waits in force, for operators.
    pub fn status(&self, now: Micros) -> Vec<KnownWait> {
        let status_of = |dest: u64, origin: u64, entry: &Entry| KnownWait {
            dest,
            origin,
            remaining: entry.until.saturating_sub(now),
            age: now.saturating_sub(entry.received_at),
        };
        let in_force = self.dests.iter().flat_map(|(dest, origins)| {
            let entries = origins.iter().filter(|(_, entry)| entry.until > now);
            entries.map(move |(origin, entry)| status_of(*dest, *origin, entry))
        });
        in_force.collect()
    }

    /// Returns the number of rejected reports.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Drops entries that have expired and whose credit is full again. Their version is forgotten with them:
    /// a copy of the report that was in transit for that long would count once more, for the time that it
    /// carries.
    fn expire(&mut self, now: Micros) {
        for origins in self.dests.values_mut() {
            origins.retain(|_, entry| entry.until > now || entry.credit.available(now) < crate::MAX_CREDIT);
        }
        self.dests.retain(|_, origins| !origins.is_empty());
    }
}

#[cfg(test)]
mod tests;
