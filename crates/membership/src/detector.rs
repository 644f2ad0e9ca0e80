//! Probes, suspicion and local health: SWIM with what Lifeguard adds. Knows no packets: it says whom to ask.

use crate::id::{MemberId, Micros};
use rand::seq::{IteratorRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Others that are asked to try where one's own probe was not answered; so many further ones where they had no answer
/// either.
pub const INDIRECT_PROBES: usize = 3;
/// Local health goes from 0 to this: all own times are up to so many times as long and one. Lifeguard goes to 8; here a
/// process sees by its own clock that it was slow, and in a small island, where most helpers are gone as well, a
/// longer period would only put off what is true.
const HEALTH_MOST: u32 = 3;
/// Independent suspicions by which a suspicion's time falls to its least.
const CONFIRM: usize = 3;
/// The least time of a suspicion, in probe periods times the logarithm of the fleet's size,
const SUSPECT_LEAST: f64 = 3.0;
/// and the longest as a multiple of that.
const SUSPECT_MOST: f64 = 4.0;
/// Probes for others that are under way, at most.
const FORWARDS_MOST: usize = 256;

/// How well this process itself is doing: one that is slow doubts itself before it doubts others.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Something went well.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Something went ill that may be one's own fault.
    pub fn degrade(&mut self, by: u32) {
        self.0 = (self.0 + by).min(HEALTH_MOST);
    }

    /// Own times are to be so many times as long.
    pub fn multiplier(self) -> u64 {
        u64::from(self.0) + 1
    }
}

/// A suspicion under way.
#[derive(Clone, Debug)]
pub struct Suspicion {
    start: Micros,
    least: Micros,
    most: Micros,
    by: BTreeSet<MemberId>,
}

impl Suspicion {
    /// Begins, in a fleet of `members`, by a word of `by`.
    pub fn new(now: Micros, period: Micros, members: usize, by: MemberId) -> Self {
        let log = (members.max(2) as f64).log10().max(1.0);
        let least = (SUSPECT_LEAST * log * period as f64) as Micros;
        let most = if members <= 2 { least } else { (least as f64 * SUSPECT_MOST) as Micros };
        Suspicion { start: now, least, most, by: BTreeSet::from([by]) }
    }

    /// Somebody else suspects it too. True if that was not known.
    pub fn confirm(&mut self, by: MemberId) -> bool {
        self.by.len() <= CONFIRM && self.by.insert(by)
    }

    /// When it ends with the member dead, unless that refutes it.
    pub fn deadline(&self) -> Micros {
        let confirmed = (self.by.len() - 1).min(CONFIRM) as f64;
        let part = (confirmed + 1.0).ln() / (CONFIRM as f64 + 1.0).ln();
        self.start + self.most - ((self.most - self.least) as f64 * part) as Micros
    }

    /// This process was stopped for so long: nobody could have refuted anything to it.
    pub fn extend(&mut self, by: Micros) {
        self.start += by;
    }
}

/// The probe that is out.
#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    target: MemberId,
    /// Others are asked then,
    helped_at: Micros,
    /// and it is given up then.
    ends: Micros,
    helpers: Vec<MemberId>,
    nacks: usize,
    acked: bool,
}

/// A probe made for somebody else.
#[derive(Clone, Copy, Debug)]
struct Forward {
    origin: MemberId,
    origin_seq: u64,
    target: MemberId,
    nack_at: Micros,
    ends: Micros,
    nacked: bool,
}

/// What is to be said, and found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask whether it is there.
    Ping(MemberId, u64),
    /// Ask one to ask another.
    PingReq(MemberId, u64, MemberId),
    /// Tell who asked that the other, named last, is there.
    Ack(MemberId, u64, MemberId),
    /// Tell who asked that the other has not answered yet.
    Nack(MemberId, u64),
    /// It did not answer in time.
    Suspect(MemberId),
}

/// Asks one member after another.
#[derive(Clone, Debug)]
pub struct Detector {
    period: Micros,
    ring: Vec<MemberId>,
    probe: Option<Probe>,
    next_probe: Micros,
    seq: u64,
    forwards: BTreeMap<u64, Forward>,
    /// Of members that answered through a helper: which. Two halves of a fleet that one member joins know each other
    /// through it alone, and helpers drawn by chance would miss it again and again.
    ways: BTreeMap<MemberId, MemberId>,
    /// The last probe that was given up: helpers may still bring an answer to it.
    given_up: Option<(u64, MemberId)>,
    /// Its own health.
    pub health: LocalHealth,
}

impl Detector {
    /// One that begins at `first`.
    pub fn new(period: Micros, first: Micros) -> Self {
        Detector {
            period,
            ring: Vec::new(),
            probe: None,
            next_probe: first,
            seq: 0,
            forwards: BTreeMap::new(),
            ways: BTreeMap::new(),
            given_up: None,
            health: LocalHealth::default(),
        }
    }

    /// When there is something to do.
    pub fn next_wake(&self) -> Micros {
        let probe = self.probe.as_ref().filter(|p| !p.acked);
        let probe = probe.map_or(Micros::MAX, |p| if p.helpers.is_empty() { p.helped_at } else { p.ends });
        let forwards = self.forwards.values().map(|f| if f.nacked { f.ends } else { f.nack_at });
        forwards.min().unwrap_or(Micros::MAX).min(probe).min(self.next_probe)
    }

    /// The number of the last probe.
    pub fn last_seq(&self) -> u64 {
        self.seq
    }

    /// A number for a probe.
    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Looks at its times. `others` are the members that may be asked.
    pub fn tick(&mut self, now: Micros, others: &[MemberId], rng: &mut ChaCha8Rng, out: &mut Vec<Action>) {
        for forward in self.forwards.values_mut().filter(|f| !f.nacked && now >= f.nack_at) {
            forward.nacked = true;
            out.push(Action::Nack(forward.origin, forward.origin_seq));
        }
        self.forwards.retain(|_, forward| now < forward.ends);
        self.help(now, others, rng, out);
        if let Some(probe) = self.probe.take_if(|p| !p.acked && now >= p.ends) {
            // Helpers that said nothing at all: the fault may lie here.
            if probe.nacks == 0 {
                self.health.degrade(1);
            }
            // First the word of it: whoever reaches the member takes it along, and brings the answer back.
            out.push(Action::Suspect(probe.target));
            let asked = probe.helpers.iter().chain([&probe.target]);
            let asked: Vec<MemberId> = asked.copied().collect();
            let further = others.iter().copied().filter(|id| !asked.contains(id));
            let further: Vec<MemberId> = further.sample(rng, INDIRECT_PROBES);
            out.extend(further.into_iter().map(|helper| Action::PingReq(helper, probe.seq, probe.target)));
            self.given_up = Some((probe.seq, probe.target));
        }
        if now >= self.next_probe && self.probe.as_ref().is_none_or(|p| p.acked) {
            let span = self.period * self.health.multiplier();
            self.next_probe = now + span;
            self.probe = self.next_target(others, rng).map(|target| {
                let seq = self.next_seq();
                out.push(Action::Ping(target, seq));
                let (helped_at, ends) = (now + span * 2 / 5, now + span);
                Probe { seq, target, helped_at, ends, helpers: Vec::new(), nacks: 0, acked: false }
            });
        }
    }

    fn help(&mut self, now: Micros, others: &[MemberId], rng: &mut ChaCha8Rng, out: &mut Vec<Action>) {
        let Some(probe) = self.probe.as_mut() else { return };
        if probe.acked || !probe.helpers.is_empty() || now < probe.helped_at || now >= probe.ends {
            return;
        }
        let way = self.ways.get(&probe.target).filter(|helper| others.contains(helper)).copied();
        let by_chance = others.iter().copied().filter(|id| *id != probe.target && Some(*id) != way);
        let by_chance: Vec<MemberId> = by_chance.sample(rng, INDIRECT_PROBES - usize::from(way.is_some()));
        probe.helpers = way.into_iter().chain(by_chance).collect();
        let ask = |helper: &MemberId| Action::PingReq(*helper, probe.seq, probe.target);
        out.extend(probe.helpers.iter().map(ask));
        // Once more by itself: the first may have been lost alone.
        out.push(Action::Ping(probe.target, probe.seq));
        if probe.helpers.is_empty() {
            probe.helped_at = probe.ends;
        }
    }

    /// Each member once in a round, in an order that is drawn anew for each: the time to the first probe of a dead
    /// one is bounded by a round.
    fn next_target(&mut self, others: &[MemberId], rng: &mut ChaCha8Rng) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(id) = self.ring.pop() {
                if others.contains(&id) {
                    return Some(id);
                }
            }
            self.ring = others.to_vec();
            self.ring.shuffle(rng);
            self.ways.retain(|target, _| others.contains(target));
        }
        None
    }

    /// Somebody asks whether another is there.
    pub fn handle_ping_req(
        &mut self,
        now: Micros,
        origin: MemberId,
        origin_seq: u64,
        target: MemberId,
    ) -> Option<Action> {
        if self.forwards.len() >= FORWARDS_MOST {
            return None;
        }
        let seq = self.next_seq();
        // The other waits for three fifths of its period; a word in time must be under way before that.
        let (nack_at, ends) = (now + self.period * 2 / 5, now + self.period * 2);
        self.forwards.insert(seq, Forward { origin, origin_seq, target, nack_at, ends, nacked: false });
        Some(Action::Ping(target, seq))
    }

    /// An answer to a probe has come, from the member itself or from a helper; whom that answers in turn.
    pub fn handle_ack(&mut self, seq: u64, from: MemberId) -> Option<Action> {
        if let Some(forward) = self.forwards.remove(&seq) {
            return Some(Action::Ack(forward.origin, forward.origin_seq, forward.target));
        }
        let out = self.probe.as_ref().map(|p| (p.seq, p.target));
        if let Some((_, target)) = out.into_iter().chain(self.given_up).find(|(number, _)| *number == seq) {
            if from == target {
                self.ways.remove(&target);
            } else {
                self.ways.insert(target, from);
            }
        }
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq && !p.acked) {
            probe.acked = true;
            self.health.improve();
        }
        None
    }

    /// A helper is there and has heard nothing.
    pub fn handle_nack(&mut self, seq: u64) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
            probe.nacks += 1;
        }
    }

    /// Whatever is out was not answered because this process did not listen.
    pub fn resume(&mut self, now: Micros) {
        self.probe = None;
        self.forwards.clear();
        self.next_probe = now;
        self.health.degrade(1);
    }
}

#[cfg(test)]
mod tests;
