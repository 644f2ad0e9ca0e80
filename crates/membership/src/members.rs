//! What is known of each member, and which words are still to be passed on.

use crate::detector::Suspicion;
use crate::id::{MemberId, Micros};
use crate::packet::Update;
use crate::record::{Health, Record};
use crate::roster::{Roster, RosterRef};
use crate::view::PresentBoots;
use std::collections::{BTreeMap, BTreeSet};

/// A member that left the roster is remembered for so long (microseconds): old words must not bring it back.
const GRAVE: Micros = 600_000_000;
/// A word is passed on so often times the logarithm (base 2) of the fleet's size.
const TELLINGS: f64 = 2.0;

/// What is known of a member.
#[derive(Clone, Debug, Default)]
pub struct MemberEntry {
    /// The word that counts.
    pub record: Record,
    /// Since when it has stood so here.
    pub since: Micros,
    /// When a packet of its own last came.
    pub last_received: Option<Micros>,
    /// Who told the word that counts.
    pub source: Option<MemberId>,
    /// The roster that it said it goes by.
    pub roster: Option<RosterRef>,
    suspicion: Option<Suspicion>,
}

/// What came of a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// It was not new.
    Unchanged,
    /// It counts now.
    Applied {
        /// How the member stood before.
        before: Health,
    },
    /// It names nobody of the roster, or cannot be true.
    Rejected,
}

/// All members but this one.
#[derive(Clone, Debug)]
pub struct Members {
    entries: BTreeMap<MemberId, MemberEntry>,
    /// The last word of those that left the roster, and until when it counts.
    graves: BTreeMap<MemberId, (Record, Micros)>,
    suspects: BTreeSet<MemberId>,
    /// Those that are there, in a row: probes draw from it.
    there: Vec<MemberId>,
    /// Counts changes of who is there, and under which boot.
    changes: u64,
    /// Words to pass on, and how often each was.
    rumours: BTreeMap<MemberId, (Update, u32)>,
    period: Micros,
}

impl Members {
    /// Nothing is known of anybody.
    pub fn new(roster: &Roster, me: MemberId, period: Micros) -> Self {
        let entries =
            roster.members().map(|(id, _)| id).filter(|id| *id != me).map(|id| (id, MemberEntry::default()));
        Members {
            entries: entries.collect(),
            graves: BTreeMap::new(),
            suspects: BTreeSet::new(),
            there: Vec::new(),
            changes: 0,
            rumours: BTreeMap::new(),
            period,
        }
    }

    /// What is known of a member of the roster.
    pub fn get(&self, id: MemberId) -> Option<&MemberEntry> {
        self.entries.get(&id)
    }

    /// All.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &MemberEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// Those that are held to be there.
    pub fn present(&self) -> &[MemberId] {
        &self.there
    }

    /// How many of them are suspected.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Counts the changes of [`Members::present_boots`].
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Those that are there with their boots.
    pub fn present_boots(&self) -> PresentBoots {
        self.there
            .iter()
            .filter_map(|id| Some((*id, self.entries.get(id)?.record.incarnation.boot)))
            .collect()
    }

    /// Those of whom nothing is known, or that are held to be dead.
    pub fn missing(&self) -> impl Iterator<Item = MemberId> {
        let gone = |e: &MemberEntry| matches!(e.record.health, Health::Unknown | Health::Dead);
        self.entries.iter().filter(move |(_, e)| gone(e)).map(|(id, _)| *id)
    }

    /// A packet of a member itself has come.
    pub fn packet_received(&mut self, now: Micros, id: MemberId, roster: RosterRef) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.last_received = Some(now);
            entry.roster = Some(roster);
        }
    }

    /// A word about another member.
    pub fn apply(&mut self, now: Micros, word: Update) -> UpdateOutcome {
        let Update { about, record, by } = word;
        if !record.incarnation.is_plausible() || record.health == Health::Unknown {
            return UpdateOutcome::Rejected;
        }
        if self
            .graves
            .get(&about)
            .is_some_and(|(last, until)| now < *until && record.incarnation <= last.incarnation)
        {
            return UpdateOutcome::Unchanged;
        }
        let Some(entry) = self.entries.get_mut(&about) else { return UpdateOutcome::Rejected };
        let before = entry.record.health;
        if record == entry.record {
            // The same suspicion by somebody else is news too: its time falls with it, here and elsewhere.
            if entry.suspicion.as_mut().is_some_and(|s| s.confirm(by)) {
                self.rumours.insert(about, (word, 0));
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
        let members = self.there.len() + 1;
        entry.suspicion =
            (record.health == Health::Suspect).then(|| Suspicion::new(now, self.period, members, by));
        if entry.suspicion.is_some() {
            self.suspects.insert(about);
        } else {
            self.suspects.remove(&about);
        }
        if before.is_present() != record.health.is_present() {
            match self.there.binary_search(&about) {
                Ok(at) => drop(self.there.remove(at)),
                Err(at) => self.there.insert(at, about),
            }
        }
        self.rumours.insert(about, (word, 0));
        UpdateOutcome::Applied { before }
    }

    /// Suspicions that have run out: words of their deaths, to be learnt.
    pub fn expired_suspicions(&self, now: Micros, me: MemberId) -> Vec<Update> {
        let over = |id: &&MemberId| {
            self.entries.get(*id).and_then(|e| e.suspicion.as_ref()).is_some_and(|s| now >= s.deadline())
        };
        let dead = |id: &MemberId| {
            let record = Record { health: Health::Dead, ..self.entries.get(id)?.record };
            Some(Update { about: *id, record, by: me })
        };
        self.suspects.iter().filter(over).filter_map(dead).collect()
    }

    /// When the next suspicion runs out.
    pub fn next_suspicion_deadline(&self) -> Option<Micros> {
        let ends = |id| self.entries.get(id).and_then(|e| e.suspicion.as_ref()).map(Suspicion::deadline);
        self.suspects.iter().filter_map(ends).min()
    }

    /// This process was stopped for so long.
    pub fn extend_suspicions(&mut self, by: Micros) {
        let suspicions = self.entries.values_mut().filter_map(|e| e.suspicion.as_mut());
        suspicions.for_each(|s| s.extend(by));
    }

    /// A word of oneself that others are to hear.
    pub fn announce(&mut self, word: Update) {
        self.rumours.insert(word.about, (word, 0));
    }

    /// Words for a packet to a member: what is known of itself first, where it may want to refute that; then those
    /// that were passed on the least.
    pub fn updates_for(&mut self, to: MemberId, most: usize) -> Vec<Update> {
        let own =
            self.entries.get(&to).filter(|e| !matches!(e.record.health, Health::Unknown | Health::Alive));
        // One that left the roster and is back in it goes above what is remembered of it once it hears of that.
        let unknown = |e: &&MemberEntry| e.record.health == Health::Unknown;
        let grave = || self.entries.get(&to).filter(unknown).and_then(|_| self.graves.get(&to));
        let own = own.map(|e| (e.record, e.source)).or_else(|| grave().map(|(last, _)| (*last, None)));
        let own = own.map(|(record, by)| Update { about: to, record, by: by.unwrap_or(to) });
        let mut words: Vec<Update> = own.into_iter().collect();
        if self.rumours.is_empty() {
            return words;
        }
        let tellings = (TELLINGS * (self.there.len() as f64 + 2.0).log2()).ceil() as u32;
        let mut order: Vec<(u32, MemberId)> =
            self.rumours.iter().filter(|(id, _)| **id != to).map(|(id, (_, told))| (*told, *id)).collect();
        let left = most.saturating_sub(words.len());
        if order.len() > left && left > 0 {
            order.select_nth_unstable(left - 1);
        }
        for (_, id) in order.into_iter().take(left) {
            if let Some((word, told)) = self.rumours.get_mut(&id) {
                words.push(*word);
                *told += 1;
                if *told >= tellings {
                    self.rumours.remove(&id);
                }
            }
        }
        words
    }

    /// The word that counts of a member, if anything is known of it.
    pub fn update_about(&self, id: MemberId) -> Option<Update> {
        let entry = self.entries.get(&id).filter(|e| e.record.health != Health::Unknown)?;
        Some(Update { about: id, record: entry.record, by: entry.source.unwrap_or(id) })
    }

    /// A word about every member that anything is known of.
    pub fn all_updates(&self) -> Vec<Update> {
        self.entries.keys().filter_map(|id| self.update_about(*id)).collect()
    }

    /// Another roster. Those that leave are remembered for a while, so that old words about them do not count if they
    /// come back.
    pub fn set_roster(&mut self, now: Micros, roster: &Roster, me: MemberId) {
        self.graves.retain(|_, (_, until)| now < *until);
        let gone: Vec<MemberId> = self.entries.keys().copied().filter(|id| !roster.contains(*id)).collect();
        self.changes += 1;
        for id in gone {
            if let Some(entry) = self.entries.remove(&id)
                && entry.record.health != Health::Unknown
                && self.graves.len() < crate::roster::MAX_MEMBERS
            {
                self.graves.insert(id, (entry.record, now.saturating_add(GRAVE)));
            }
            self.suspects.remove(&id);
            self.rumours.remove(&id);
            self.there.retain(|there| *there != id);
        }
        for (id, _) in roster.members().filter(|(id, _)| *id != me) {
            self.entries.entry(id).or_default();
        }
    }
}

#[cfg(test)]
mod tests;
