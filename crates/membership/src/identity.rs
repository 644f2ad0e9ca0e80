//! Rules of identity: the incarnation under which a process sends, and how it reacts to records about its own
//! name.
//!
//! 1. A boot number is on disk before a packet under it is sent.
//! 2. A process that receives a record about its name which is not older than its own incarnation and does
//!    not concern its own instance takes a higher boot number, which is written to disk first. So a process
//!    with an emptied or outdated state folder ends above every incarnation that any member remembers, and no
//!    dead incarnation is used again.
//! 3. A suspicion or death of its own instance is refuted by a higher refutation count, unless the process is
//!    leaving.
//! 4. If another process outbids this one *again* after this one has outbid it, the other one must have
//!    received the higher incarnation: it is alive under the same name. Old records alone never have this
//!    effect. This process then has a duplicate and stays silent, while the other, which outbid it,
//!    continues. The state ends when the other process is reported dead or left, or when nothing has been
//!    received from it for a time-out.

use crate::id::{Incarnation, InstanceId, Micros};
use crate::record::{Health, Record};
use std::collections::BTreeMap;

/// Maximum number of other processes under the local name that are tracked.
const MAX_RIVALS: usize = 8;
/// Number of times that another process must outbid this one before it is taken to be alive: a single time
/// may be due to a delayed old record.
const DUPLICATE_OVERTAKES: u32 = 2;

/// Effect of a record about the local name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelfUpdate {
    /// The record has no effect.
    Unchanged,
    /// The local incarnation has increased and must be announced.
    Refuted,
    /// A new boot number must be written to disk; no packet is sent until [`Identity::boot_persisted`] is
    /// called.
    Persist(u64),
}

/// Another process under the local name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Rival {
    /// Boot number with which this process outbid it.
    outbid_boot: u64,
    /// Number of times that it outbid this process after that.
    overtakes: u32,
    last_received: Micros,
}

/// Identity of the local process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    incarnation: Incarnation,
    instance: InstanceId,
    /// Boot number that is not on disk yet.
    pending: Option<u64>,
    leaving: bool,
    rivals: BTreeMap<InstanceId, Rival>,
}

impl Identity {
    /// Creates the identity of a process whose boot number is written to its state folder.
    pub fn new(boot: u64, instance: InstanceId) -> Self {
        let incarnation = Incarnation { boot, refutations: 0 };
        Identity { incarnation, instance, pending: None, leaving: false, rivals: BTreeMap::new() }
    }

    /// Returns the incarnation under which this process sends.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the instance id of this process.
    pub fn instance(&self) -> InstanceId {
        self.instance
    }

    /// Returns the record that this process announces about itself.
    pub fn record(&self) -> Record {
        let health = if self.leaving { Health::Left } else { Health::Alive };
        Record { incarnation: self.incarnation, health, instance: self.instance }
    }

    /// Returns whether this process must not send, because its boot number is not on disk yet.
    pub fn is_muted(&self) -> bool {
        self.pending.is_some()
    }

    /// Marks this process as leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether another process is alive under the local name, by records received within the last
    /// `timeout`.
    pub fn has_duplicate(&self, now: Micros, timeout: Micros) -> bool {
        let is_alive =
            |r: &Rival| r.overtakes >= DUPLICATE_OVERTAKES && now < r.last_received.saturating_add(timeout);
        self.rivals.values().any(is_alive)
    }

    /// Handles a record about the local name.
    pub fn observe(&mut self, now: Micros, record: &Record) -> SelfUpdate {
        // A boot number that is still being written counts already.
        let current = self.pending.map_or(self.incarnation, |boot| Incarnation { boot, refutations: 0 });
        if record.incarnation < current || !record.incarnation.is_plausible() {
            return SelfUpdate::Unchanged;
        }
        if record.instance == self.instance && record.incarnation.boot == current.boot {
            let is_contradicted = !matches!(record.health, Health::Unknown | Health::Alive) && !self.leaving;
            if !is_contradicted && record.incarnation == current {
                return SelfUpdate::Unchanged;
            }
            self.incarnation.refutations = record.incarnation.refutations + 1;
            return SelfUpdate::Refuted;
        }
        if record.instance != self.instance {
            if matches!(record.health, Health::Dead | Health::Left) {
                self.rivals.remove(&record.instance);
            } else if !self.observe_rival(now, record) {
                return SelfUpdate::Unchanged;
            }
        }
        let boot = record.incarnation.boot + 1;
        self.pending = Some(boot);
        SelfUpdate::Persist(boot)
    }

    /// Tracks another process under the local name. Returns false once that process is known to be alive,
    /// since otherwise both would outbid each other without end.
    fn observe_rival(&mut self, now: Micros, record: &Record) -> bool {
        let outbid_boot = record.incarnation.boot + 1;
        if let Some(rival) = self.rivals.get_mut(&record.instance) {
            rival.last_received = now;
            if record.incarnation.boot > rival.outbid_boot {
                rival.overtakes += 1;
            }
            rival.outbid_boot = rival.outbid_boot.max(outbid_boot);
            return rival.overtakes < DUPLICATE_OVERTAKES;
        }
        if self.rivals.len() >= MAX_RIVALS {
            let oldest =
                self.rivals.iter().min_by_key(|(_, r)| r.last_received).map(|(instance, _)| *instance);
            oldest.and_then(|instance| self.rivals.remove(&instance));
        }
        self.rivals.insert(record.instance, Rival { outbid_boot, overtakes: 0, last_received: now });
        true
    }

    /// Removes other processes under the local name that have been silent for `timeout`; they are counted
    /// anew with the next record.
    pub fn expire_rivals(&mut self, now: Micros, timeout: Micros) {
        self.rivals.retain(|_, rival| now < rival.last_received.saturating_add(timeout));
    }

    /// Reports that the state folder holds this boot number, so that the process may send under it.
    pub fn boot_persisted(&mut self, boot: u64) {
        if self.pending.is_some_and(|pending| pending <= boot) {
            self.pending = None;
            self.incarnation = Incarnation { boot, refutations: 0 };
        }
    }
}

#[cfg(test)]
mod tests;
