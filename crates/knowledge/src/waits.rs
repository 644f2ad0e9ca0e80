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
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: Micros = 1_000_000;

    #[test]
    fn spreads_a_wait_to_other_and_new_members_until_it_ends() {
        let mut table = WaitTable::new(1, 1, 1);
        let (mut second, mut late) = (WaitTable::new(2, 1, 2), WaitTable::new(3, 1, 3));
        table.record_wait(0, 10, 30 * S);
        assert_eq!(table.wait(S, 10), None, "own waits take effect without this table");
        assert!(table.has_updates(S));
        table.updates_to_send(S, 9, 3).iter().for_each(|report| second.receive(S, report));
        assert_eq!(second.wait(S, 10), Some(29 * S));
        // The second member passes it on ten seconds later.
        second.snapshot(11 * S, 9).iter().for_each(|report| late.receive(11 * S, report));
        assert_eq!(late.wait(11 * S, 10), Some(19 * S));
        assert_eq!(late.wait(30 * S, 10), None);
        // It is sent in a bounded number of rounds.
        (0..9).for_each(|_| drop(table.updates_to_send(2 * S, 9, 3)));
        assert!(!table.has_updates(2 * S));
    }

    #[test]
    fn ends_waits_reported_before_a_served_call() {
        let mut table = WaitTable::new(1, 1, 1);
        let report = WaitReport { dest: 10, origin: 2, version: (1, 1), remaining: 20 * S };
        table.receive(5 * S, &report);
        table.record_success(6 * S, 10, 4 * S);
        assert!(table.wait(6 * S, 10).is_some(), "the served call began before the report");
        table.record_success(7 * S, 10, 6 * S);
        assert_eq!(table.wait(7 * S, 10), None);
        table.receive(8 * S, &report);
        assert_eq!(table.wait(8 * S, 10), None, "the same version is ignored");
    }

    /// A faulty origin that reports the longest wait repeatedly delays calls for a minute, then a
    /// quarter of the time.
    #[test]
    fn bounds_the_effect_of_a_faulty_origin() {
        let mut table = WaitTable::new(1, 1, 1);
        table.receive(0, &WaitReport { dest: 10, origin: 2, version: (1, 0), remaining: 3600 * S });
        assert_eq!((table.wait(0, 10), table.rejected()), (None, 1));
        let mut held = 0;
        for second in 0..600 {
            table.receive(
                second * S,
                &WaitReport { dest: 10, origin: 2, version: (1, second + 1), remaining: 60 * S },
            );
            held += u64::from(table.wait(second * S + S / 2, 10).is_some());
        }
        assert!((60..=60 + 600 / 4 + 1).contains(&held), "{held} of 600");
        // Another origin has its own credit.
        table.receive(601 * S, &WaitReport { dest: 10, origin: 3, version: (1, 1), remaining: 10 * S });
        assert_eq!(table.wait(601 * S, 10), Some(10 * S));
    }

    #[test]
    fn bounds_state_kept_for_reports() {
        let mut table = WaitTable::new(1, 1, 1);
        for n in 0..20_000 {
            table.receive(0, &WaitReport { dest: n, origin: 2, version: (1, 1), remaining: 60 * S });
            table.receive(0, &WaitReport { dest: 5, origin: n + 3, version: (1, 1), remaining: 60 * S });
        }
        assert_eq!((table.dests.len(), table.dests[&5].len()), (MAX_DESTS, MAX_ORIGINS));
        table.updates_to_send(200 * S, 9, 300);
        table.updates_to_send(600 * S, 9, 300);
        assert_eq!(table.dests.len(), 0);
    }

    proptest! {
        /// Reports received at the same time result in the same state in any order and however often they are
        /// repeated.
        #[test]
        fn merges_reports_in_any_order(
            reports in proptest::collection::vec((0..3u64, 2..5u64, 0..4u64, 0..60u64), 0..12),
            seed in any::<u64>(),
        ) {
            // An origin issues one report under one version.
            let report = |(dest, origin, count, _): &(u64, u64, u64, u64)| {
                let remaining = (dest * 7 + origin * 11 + count * 13) % 60 * S;
                WaitReport { dest: *dest, origin: *origin, version: (1, *count + 1), remaining }
            };
            let reports: Vec<WaitReport> = reports.iter().map(report).collect();
            let mut shuffled = [reports.clone(), reports.clone()].concat();
            rand::seq::SliceRandom::shuffle(&mut shuffled[..], &mut ChaCha8Rng::seed_from_u64(seed));
            let merge = |reports: &[WaitReport]| {
                let mut table = WaitTable::new(1, 1, 1);
                reports.iter().for_each(|report| table.receive(S, report));
                table
            };
            let (a, b) = (merge(&reports), merge(&shuffled));
            let versions = |k: &WaitTable| -> Vec<(u64, u64, (u64, u64))> {
                let of = |(dest, origins): (&u64, &BTreeMap<u64, Entry>)| {
                    origins.iter().map(|(origin, entry)| (*dest, *origin, entry.version)).collect::<Vec<_>>()
                };
                k.dests.iter().flat_map(of).collect()
            };
            prop_assert_eq!(versions(&a), versions(&b));
            for dest in 0..3 {
                prop_assert_eq!(a.wait(S, dest), b.wait(S, dest));
            }
        }
    }
}
