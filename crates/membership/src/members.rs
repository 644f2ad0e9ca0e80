//! The known state of each member, and the updates that are still to be gossiped.

use crate::detector::Suspicion;
use crate::id::{MemberId, Micros};
use crate::packet::Update;
use crate::record::{Health, Record};
use crate::roster::{Roster, RosterRef};
use crate::view::PresentBoots;
use std::collections::{BTreeMap, BTreeSet};

/// Time (microseconds) for which the record of a member that was removed from the roster is kept, so that old
/// updates do not count if it is added again.
const REMOVED_RETENTION: Micros = 600_000_000;
/// An update is transmitted at most this many times the binary logarithm of the fleet's size.
const TRANSMIT_FACTOR: f64 = 2.0;

/// The known state of a member.
#[derive(Clone, Debug, Default)]
pub struct MemberEntry {
    /// Record in force.
    pub record: Record,
    /// Local time of the last change of its health or boot.
    pub since: Micros,
    /// Time at which the last packet from the member itself arrived.
    pub last_received: Option<Micros>,
    /// Member that originated the record in force.
    pub source: Option<MemberId>,
    /// Roster that the member uses, by its last packet.
    pub roster: Option<RosterRef>,
    suspicion: Option<Suspicion>,
}

/// Result of applying an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update does not change the record.
    Unchanged,
    /// The update is the record in force now.
    Applied {
        /// Previous health of the member.
        before: Health,
    },
    /// The update is about a member outside of the roster, or is implausible.
    Rejected,
}

/// All members of the roster except the local one.
#[derive(Clone, Debug)]
pub struct Members {
    entries: BTreeMap<MemberId, MemberEntry>,
    /// Last records of members that were removed from the roster, and until when they are kept.
    removed: BTreeMap<MemberId, (Record, Micros)>,
    suspects: BTreeSet<MemberId>,
    /// Present members in ascending order, as input for probes.
    present: Vec<MemberId>,
    /// Number of changes of any member's health or boot, and of the roster.
    changes: u64,
    /// Updates to gossip, with the number of transmissions of each.
    gossip: BTreeMap<MemberId, (Update, u32)>,
    period: Micros,
}

impl Members {
    /// Creates the members of a roster with unknown health.
    pub fn new(roster: &Roster, local_id: MemberId, period: Micros) -> Self {
        let entries = roster
            .members()
            .map(|(id, _)| id)
            .filter(|id| *id != local_id)
            .map(|id| (id, MemberEntry::default()));
        Members {
            entries: entries.collect(),
            removed: BTreeMap::new(),
            suspects: BTreeSet::new(),
            present: Vec::new(),
            changes: 0,
            gossip: BTreeMap::new(),
            period,
        }
    }

    /// Returns what is known about a member of the roster.
    pub fn get(&self, id: MemberId) -> Option<&MemberEntry> {
        self.entries.get(&id)
    }

    /// Returns all members.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &MemberEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// Returns the present members, alive or suspected.
    pub fn present(&self) -> &[MemberId] {
        &self.present
    }

    /// Returns the number of suspected members.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns a counter that grows with every change of [`Members::present_boots`].
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns the present members with their boot numbers.
    pub fn present_boots(&self) -> PresentBoots {
        self.present
            .iter()
            .filter_map(|id| Some((*id, self.entries.get(id)?.record.incarnation.boot)))
            .collect()
    }

    /// Returns the members that are unknown or dead.
    pub fn missing(&self) -> impl Iterator<Item = MemberId> {
        let is_missing = |e: &MemberEntry| matches!(e.record.health, Health::Unknown | Health::Dead);
        self.entries.iter().filter(move |(_, e)| is_missing(e)).map(|(id, _)| *id)
    }

    /// Notes that a packet from a member has arrived, and the roster that it uses.
    pub fn packet_received(&mut self, now: Micros, id: MemberId, roster: RosterRef) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.last_received = Some(now);
            entry.roster = Some(roster);
        }
    }

    /// Applies an update about another member.
    pub fn apply(&mut self, now: Micros, update: Update) -> UpdateOutcome {
        let Update { about, record, by } = update;
        if !record.incarnation.is_plausible() || record.health == Health::Unknown {
            return UpdateOutcome::Rejected;
        }
        if self
            .removed
            .get(&about)
            .is_some_and(|(last, until)| now < *until && record.incarnation <= last.incarnation)
        {
            return UpdateOutcome::Unchanged;
        }
        let Some(entry) = self.entries.get_mut(&about) else { return UpdateOutcome::Rejected };
        let before = entry.record.health;
        if record == entry.record {
            // An independent confirmation of a suspicion is gossiped too, since it shortens the suspicion
            // everywhere.
            if entry.suspicion.as_mut().is_some_and(|s| s.confirm(by)) {
                self.gossip.insert(about, (update, 0));
            }
            return UpdateOutcome::Unchanged;
        }
        if entry.record.merge(record) == entry.record {
            return UpdateOutcome::Unchanged;
        }
        if before != record.health || entry.record.incarnation.boot != record.incarnation.boot {
            entry.since = now;
            self.changes += 1;
        }
        entry.record = record;
        entry.source = Some(by);
        let members = self.present.len() + 1;
        entry.suspicion =
            (record.health == Health::Suspect).then(|| Suspicion::new(now, self.period, members, by));
        if entry.suspicion.is_some() {
            self.suspects.insert(about);
        } else {
            self.suspects.remove(&about);
        }
        if before.is_present() != record.health.is_present() {
            match self.present.binary_search(&about) {
                Ok(at) => drop(self.present.remove(at)),
                Err(at) => self.present.insert(at, about),
            }
        }
        self.gossip.insert(about, (update, 0));
        UpdateOutcome::Applied { before }
    }

    /// Returns, for each suspicion that has expired, the update that declares the member dead.
    pub fn expired_suspicions(&self, now: Micros, local_id: MemberId) -> Vec<Update> {
        let is_expired = |id: &&MemberId| {
            self.entries.get(*id).and_then(|e| e.suspicion.as_ref()).is_some_and(|s| now >= s.deadline())
        };
        let dead = |id: &MemberId| {
            let record = Record { health: Health::Dead, ..self.entries.get(id)?.record };
            Some(Update { about: *id, record, by: local_id })
        };
        self.suspects.iter().filter(is_expired).filter_map(dead).collect()
    }

    /// Returns the time at which the next suspicion expires.
    pub fn next_suspicion_deadline(&self) -> Option<Micros> {
        let deadline = |id| self.entries.get(id).and_then(|e| e.suspicion.as_ref()).map(Suspicion::deadline);
        self.suspects.iter().filter_map(deadline).min()
    }

    /// Extends all suspicions by the time for which this process was stopped.
    pub fn extend_suspicions(&mut self, by: Micros) {
        let suspicions = self.entries.values_mut().filter_map(|e| e.suspicion.as_mut());
        suspicions.for_each(|s| s.extend(by));
    }

    /// Queues an update about the local member for gossip.
    pub fn announce(&mut self, update: Update) {
        self.gossip.insert(update.about, (update, 0));
    }

    /// Returns at most `max` updates for a packet to a member: first a record about itself that it may have
    /// to refute, then those with the fewest transmissions.
    pub fn updates_for(&mut self, to: MemberId, max: usize) -> Vec<Update> {
        let about_receiver =
            self.entries.get(&to).filter(|e| !matches!(e.record.health, Health::Unknown | Health::Alive));
        // A member that was removed from the roster and added again must receive its old record, so that it
        // outbids it.
        let is_unknown = |e: &&MemberEntry| e.record.health == Health::Unknown;
        let old_record = || self.entries.get(&to).filter(is_unknown).and_then(|_| self.removed.get(&to));
        let about_receiver = about_receiver
            .map(|e| (e.record, e.source))
            .or_else(|| old_record().map(|(last, _)| (*last, None)));
        let about_receiver =
            about_receiver.map(|(record, by)| Update { about: to, record, by: by.unwrap_or(to) });
        let mut updates: Vec<Update> = about_receiver.into_iter().collect();
        if self.gossip.is_empty() {
            return updates;
        }
        let max_transmissions = (TRANSMIT_FACTOR * (self.present.len() as f64 + 2.0).log2()).ceil() as u32;
        let mut order: Vec<(u32, MemberId)> = self
            .gossip
            .iter()
            .filter(|(id, _)| **id != to)
            .map(|(id, (_, transmissions))| (*transmissions, *id))
            .collect();
        let remaining = max.saturating_sub(updates.len());
        if order.len() > remaining && remaining > 0 {
            order.select_nth_unstable(remaining - 1);
        }
        for (_, id) in order.into_iter().take(remaining) {
            if let Some((update, transmissions)) = self.gossip.get_mut(&id) {
                updates.push(*update);
                *transmissions += 1;
                if *transmissions >= max_transmissions {
                    self.gossip.remove(&id);
                }
            }
        }
        updates
    }

    /// Returns the update with the record in force of a member, unless it is unknown.
    pub fn update_about(&self, id: MemberId) -> Option<Update> {
        let entry = self.entries.get(&id).filter(|e| e.record.health != Health::Unknown)?;
        Some(Update { about: id, record: entry.record, by: entry.source.unwrap_or(id) })
    }

    /// Returns an update about each member that is not unknown.
    pub fn all_updates(&self) -> Vec<Update> {
        self.entries.keys().filter_map(|id| self.update_about(*id)).collect()
    }

    /// Puts another roster into force. The records of removed members are kept for a while, so that old
    /// updates about them do not count if they are added again.
    pub fn set_roster(&mut self, now: Micros, roster: &Roster, local_id: MemberId) {
        self.removed.retain(|_, (_, until)| now < *until);
        let gone: Vec<MemberId> = self.entries.keys().copied().filter(|id| !roster.contains(*id)).collect();
        self.changes += 1;
        for id in gone {
            if let Some(entry) = self.entries.remove(&id)
                && entry.record.health != Health::Unknown
                && self.removed.len() < crate::roster::MAX_MEMBERS
            {
                self.removed.insert(id, (entry.record, now.saturating_add(REMOVED_RETENTION)));
            }
            self.suspects.remove(&id);
            self.gossip.remove(&id);
            self.present.retain(|present| *present != id);
        }
        for (id, _) in roster.members().filter(|(id, _)| *id != local_id) {
            self.entries.entry(id).or_default();
        }
    }
}

#[cfg(test)]
mod tests;
