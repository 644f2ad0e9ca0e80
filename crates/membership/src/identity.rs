//! The law of identity: under which incarnation a process speaks, and what it does on hearing of its own name.
//!
//! 1. A boot number is on disk before a packet under it leaves.
//! 2. A process that hears a word about its name which is not older than its own and was not said of its own life
//!    goes above it: one boot more, on disk first. So an emptied folder and an old copy of one end above all that
//!    anybody remembers, whatever they began with, and no dead incarnation speaks again.
//! 3. A word said of its own life is refuted by a round more, unless it leaves.
//! 4. A life that goes above it *again* after it went above that life has heard it: it lives, under the same name.
//!    Memory alone never does that. From then on this process is doubled, and silent; the other, which outbid it, goes
//!    on. That ends when the other is said to be dead or gone, or nothing of it has been heard for a while.

use crate::id::{Incarnation, InstanceId, Micros};
use crate::record::{Health, Record};
use std::collections::BTreeMap;

/// Lives of others under one's own name that are kept in mind.
const RIVALS_MOST: usize = 8;
/// So often another life must have gone above this one before it is taken for a living one: once may be old news that
/// took long.
const OVERTAKES: u32 = 2;

/// What follows from a word about oneself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelfUpdate {
    /// Nothing.
    Unchanged,
    /// The own incarnation is a new one now; others are to hear it.
    Refuted,
    /// A new boot number is to be written to disk; until [`Identity::boot_persisted`] nothing is said.
    Persist(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Rival {
    /// The boot under which we went above it.
    topped: u64,
    overtakes: u32,
    last: Micros,
}

/// Who this process is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    inc: Incarnation,
    life: InstanceId,
    /// A boot that is not on disk yet.
    pending: Option<u64>,
    leaving: bool,
    rivals: BTreeMap<InstanceId, Rival>,
}

impl Identity {
    /// A process under a boot that stands in its folder.
    pub fn new(boot: u64, life: InstanceId) -> Self {
        let inc = Incarnation { boot, refutations: 0 };
        Identity { inc, life, pending: None, leaving: false, rivals: BTreeMap::new() }
    }

    /// The incarnation that it speaks under.
    pub fn incarnation(&self) -> Incarnation {
        self.inc
    }

    /// Its life.
    pub fn instance(&self) -> InstanceId {
        self.life
    }

    /// What it says of itself.
    pub fn record(&self) -> Record {
        let health = if self.leaving { Health::Left } else { Health::Alive };
        Record { incarnation: self.inc, health, instance: self.life }
    }

    /// It may not speak: its boot is not on disk.
    pub fn is_muted(&self) -> bool {
        self.pending.is_some()
    }

    /// It goes.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether it goes.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether another process lives under its name, by what was heard in the last `span`.
    pub fn has_duplicate(&self, now: Micros, span: Micros) -> bool {
        let lives = |r: &Rival| r.overtakes >= OVERTAKES && now < r.last.saturating_add(span);
        self.rivals.values().any(lives)
    }

    /// A word about its own name has come.
    pub fn observe(&mut self, now: Micros, word: &Record) -> SelfUpdate {
        // What it is about to speak under counts already.
        let own = self.pending.map_or(self.inc, |boot| Incarnation { boot, refutations: 0 });
        if word.incarnation < own || !word.incarnation.is_plausible() {
            return SelfUpdate::Unchanged;
        }
        if word.instance == self.life && word.incarnation.boot == own.boot {
            let wrong = !matches!(word.health, Health::Unknown | Health::Alive) && !self.leaving;
            if !wrong && word.incarnation == own {
                return SelfUpdate::Unchanged;
            }
            self.inc.refutations = word.incarnation.refutations + 1;
            return SelfUpdate::Refuted;
        }
        if word.instance != self.life {
            if matches!(word.health, Health::Dead | Health::Left) {
                self.rivals.remove(&word.instance);
            } else if !self.rival(now, word) {
                return SelfUpdate::Unchanged;
            }
        }
        let boot = word.incarnation.boot + 1;
        self.pending = Some(boot);
        SelfUpdate::Persist(boot)
    }

    /// Another life under the name. False once it is known to live: to go above it for ever would be a quarrel.
    fn rival(&mut self, now: Micros, word: &Record) -> bool {
        let topped = word.incarnation.boot + 1;
        if let Some(rival) = self.rivals.get_mut(&word.instance) {
            rival.last = now;
            if word.incarnation.boot > rival.topped {
                rival.overtakes += 1;
            }
            rival.topped = rival.topped.max(topped);
            return rival.overtakes < OVERTAKES;
        }
        if self.rivals.len() >= RIVALS_MOST {
            let oldest = self.rivals.iter().min_by_key(|(_, r)| r.last).map(|(life, _)| *life);
            oldest.and_then(|life| self.rivals.remove(&life));
        }
        self.rivals.insert(word.instance, Rival { topped, overtakes: 0, last: now });
        true
    }

    /// Forgets others under the name that have been silent for `span`; the next word of them counts anew.
    pub fn expire_rivals(&mut self, now: Micros, span: Micros) {
        self.rivals.retain(|_, rival| now < rival.last.saturating_add(span));
    }

    /// The folder holds this boot: it may speak under it.
    pub fn boot_persisted(&mut self, boot: u64) {
        if self.pending.is_some_and(|pending| pending <= boot) {
            self.pending = None;
            self.inc = Incarnation { boot, refutations: 0 };
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn word(boot: u64, round: u64, health: Health, life: u64) -> Record {
        Record { incarnation: Incarnation { boot, refutations: round }, health, instance: InstanceId(life) }
    }

    #[test]
    fn an_emptied_folder_ends_above_all_that_is_remembered() {
        let mut me = Identity::new(1, InstanceId(9));
        assert_eq!(me.observe(0, &word(7, 3, Health::Dead, 5)), SelfUpdate::Persist(8));
        assert!(me.is_muted(), "nothing is said before the boot is on disk");
        me.boot_persisted(8);
        assert_eq!(me.incarnation(), Incarnation { boot: 8, refutations: 0 });
        assert_eq!(me.observe(0, &word(7, 3, Health::Dead, 5)), SelfUpdate::Unchanged);
    }

    #[test]
    fn a_process_under_the_same_name_is_told_from_old_memory() {
        let (mut a, mut b) = (Identity::new(3, InstanceId(1)), Identity::new(3, InstanceId(2)));
        let bid = |me: &mut Identity, other: &Identity| {
            if let SelfUpdate::Persist(boot) = me.observe(10, &other.record()) {
                me.boot_persisted(boot);
            }
        };
        let mut rounds = 0;
        while !a.has_duplicate(10, 100) && !b.has_duplicate(10, 100) {
            rounds += 1;
            assert!(rounds < 10, "never found out");
            bid(&mut a, &b);
            bid(&mut b, &a);
        }
        // One of them is silent, and stays so while it hears the other.
        assert!(a.has_duplicate(10, 100) && !b.has_duplicate(10, 100));
        assert_eq!(a.observe(90, &b.record()), SelfUpdate::Unchanged);
        assert!(a.has_duplicate(150, 100) && !a.has_duplicate(200, 100), "it ends when the other is silent");
        // Or is said to be dead: then the name is free.
        let dead = Record { health: Health::Dead, ..b.record() };
        assert!(matches!(a.observe(100, &dead), SelfUpdate::Persist(_)));
        assert!(!a.has_duplicate(101, 100));
        // The same old words, however often and in whatever order, are no second process.
        let mut c = Identity::new(1, InstanceId(3));
        for n in [4, 6, 5, 4, 6, 6] {
            if let SelfUpdate::Persist(boot) = c.observe(10, &word(n, 0, Health::Alive, 8)) {
                c.boot_persisted(boot);
            }
        }
        assert!(!c.has_duplicate(10, 100));
    }

    #[test]
    fn a_word_that_no_sound_process_says_takes_nobody_along() {
        let mut me = Identity::new(1, InstanceId(9));
        assert_eq!(me.observe(0, &word(u64::MAX, 0, Health::Dead, 5)), SelfUpdate::Unchanged);
        assert_eq!(me.incarnation().boot, 1);
    }
}
