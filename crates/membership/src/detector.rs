//! Probes, suspicion and local health: SWIM with the Lifeguard extensions. The detector handles no
//! packets itself; it returns the actions to carry out.

use crate::id::{MemberId, Micros};
use rand::seq::{IteratorRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Number of helpers that are asked for an indirect probe when the direct one is not answered. As many
/// further helpers are asked when the indirect probes are not answered either.
pub const INDIRECT_PROBES: usize = 3;
/// Maximum of the local health score (0 is healthy); own time-outs are multiplied by the score plus one.
/// Lifeguard limits it to 8; here a process detects by its own clock that it was slow, and in a small
/// partition, where most helpers are gone as well, a longer period would only delay a correct detection.
const MAX_LOCAL_HEALTH: u32 = 3;
/// Number of independent confirmations that shorten a suspicion to its minimum time.
const MAX_CONFIRMATIONS: usize = 3;
/// Minimum time of a suspicion, as a multiple of the probe period times the decimal logarithm of the fleet's
/// size.
const MIN_SUSPICION_FACTOR: f64 = 3.0;
/// Maximum time of a suspicion, as a multiple of its minimum time.
const MAX_SUSPICION_FACTOR: f64 = 4.0;
/// Maximum number of pending probes on behalf of other members.
const MAX_FORWARDS: usize = 256;

/// Score of this process's own responsiveness. A slow process extends its time-outs before it suspects
/// others.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth(u32);

impl LocalHealth {
    /// Lowers the score after a success.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Raises the score after a failure that this process may have caused itself.
    pub fn degrade(&mut self, by: u32) {
        self.0 = (self.0 + by).min(MAX_LOCAL_HEALTH);
    }

    /// Returns the factor for own time-outs.
    pub fn multiplier(self) -> u64 {
        u64::from(self.0) + 1
    }
}

/// A pending suspicion against a member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    start: Micros,
    /// Duration with all confirmations.
    min: Micros,
    /// Duration without a confirmation.
    max: Micros,
    /// Members that reported the suspicion.
    sources: BTreeSet<MemberId>,
}

impl Suspicion {
    /// Starts a suspicion that `source` reported, in a fleet of `members`.
    pub fn new(now: Micros, period: Micros, members: usize, source: MemberId) -> Self {
        let log = (members.max(2) as f64).log10().max(1.0);
        let min = (MIN_SUSPICION_FACTOR * log * period as f64) as Micros;
        let max = if members <= 2 { min } else { (min as f64 * MAX_SUSPICION_FACTOR) as Micros };
        Suspicion { start: now, min, max, sources: BTreeSet::from([source]) }
    }

    /// Adds a member that suspects it independently. Returns whether the suspicion's time changes.
    pub fn confirm(&mut self, source: MemberId) -> bool {
        self.sources.len() <= MAX_CONFIRMATIONS && self.sources.insert(source)
    }

    /// Returns the time at which the member counts as dead unless it refutes the suspicion.
    pub fn deadline(&self) -> Micros {
        let confirmed = (self.sources.len() - 1).min(MAX_CONFIRMATIONS) as f64;
        let fraction = (confirmed + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        self.start + self.max - ((self.max - self.min) as f64 * fraction) as Micros
    }

    /// Extends the suspicion by the time for which this process was stopped and could receive no refutation.
    pub fn extend(&mut self, by: Micros) {
        self.start += by;
    }
}

/// The pending probe.
#[derive(Clone, Debug)]
struct Probe {
    seq: u64,
    target: MemberId,
    /// Time at which helpers are asked.
    indirect_at: Micros,
    /// Time at which the probe fails.
    deadline: Micros,
    helpers: Vec<MemberId>,
    nacks: usize,
    acked: bool,
}

/// A probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
struct Forward {
    origin: MemberId,
    origin_seq: u64,
    target: MemberId,
    nack_at: Micros,
    deadline: Micros,
    nacked: bool,
}

/// An action that the detector requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ping a member with a sequence number.
    Ping(MemberId, u64),
    /// Ask a helper (first) to ping a target (last), under the sequence number of the local probe.
    PingReq(MemberId, u64, MemberId),
    /// Acknowledge the probe of a member (first) after the target (last) has answered.
    Ack(MemberId, u64, MemberId),
    /// Report to a member that the target of its probe has not answered yet.
    Nack(MemberId, u64),
    /// Suspect a member that did not answer in time.
    Suspect(MemberId),
}

/// The failure detector: probes the members in turn.
#[derive(Clone, Debug)]
pub struct Detector {
    period: Micros,
    /// Members that are still to be probed in this round.
    round: Vec<MemberId>,
    probe: Option<Probe>,
    next_probe: Micros,
    seq: u64,
    /// Probes on behalf of other members, by local sequence number.
    forwards: BTreeMap<u64, Forward>,
    /// For each member that answered through a helper, that helper. If a single member connects two halves of
    /// a fleet, helpers drawn at random would miss it repeatedly.
    proven_helpers: BTreeMap<MemberId, MemberId>,
    /// Sequence number and target of the last failed probe: an answer may still come through a helper.
    last_failed: Option<(u64, MemberId)>,
    /// Health of this process.
    pub health: LocalHealth,
}

impl Detector {
    /// Creates a detector that sends its first probe at `first`.
    pub fn new(period: Micros, first: Micros) -> Self {
        Detector {
            period,
            round: Vec::new(),
            probe: None,
            next_probe: first,
            seq: 0,
            forwards: BTreeMap::new(),
            proven_helpers: BTreeMap::new(),
            last_failed: None,
            health: LocalHealth::default(),
        }
    }

    /// Returns the time at which [`Detector::tick`] must be called.
    pub fn next_wake(&self) -> Micros {
        let probe = self.probe.as_ref().filter(|p| !p.acked);
        let probe =
            probe.map_or(Micros::MAX, |p| if p.helpers.is_empty() { p.indirect_at } else { p.deadline });
        let forwards = self.forwards.values().map(|f| if f.nacked { f.deadline } else { f.nack_at });
        forwards.min().unwrap_or(Micros::MAX).min(probe).min(self.next_probe)
    }

    /// Returns the sequence number of the last probe.
    pub fn last_seq(&self) -> u64 {
        self.seq
    }

    /// Returns a new sequence number.
    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Handles all timers that are due. `others` are the members that may be probed or asked for help.
    pub fn tick(&mut self, now: Micros, others: &[MemberId], rng: &mut ChaCha8Rng, out: &mut Vec<Action>) {
        for forward in self.forwards.values_mut().filter(|f| !f.nacked && now >= f.nack_at) {
            forward.nacked = true;
            out.push(Action::Nack(forward.origin, forward.origin_seq));
        }
        self.forwards.retain(|_, forward| now < forward.deadline);
        self.probe_indirectly(now, others, rng, out);
        if let Some(probe) = self.probe.take_if(|p| !p.acked && now >= p.deadline) {
            // Not even a nack came from the helpers: the fault may be on this side.
            if probe.nacks == 0 {
                self.health.degrade(1);
            }
            // The suspicion comes first, so that further helpers carry it to the member and its refutation
            // back.
            out.push(Action::Suspect(probe.target));
            let tried = probe.helpers.iter().chain([&probe.target]);
            let tried: Vec<MemberId> = tried.copied().collect();
            let further = others.iter().copied().filter(|id| !tried.contains(id));
            let further: Vec<MemberId> = further.sample(rng, INDIRECT_PROBES);
            out.extend(further.into_iter().map(|helper| Action::PingReq(helper, probe.seq, probe.target)));
            self.last_failed = Some((probe.seq, probe.target));
        }
        if now >= self.next_probe && self.probe.as_ref().is_none_or(|p| p.acked) {
            let interval = self.period * self.health.multiplier();
            self.next_probe = now + interval;
            self.probe = self.next_target(others, rng).map(|target| {
                let seq = self.next_seq();
                out.push(Action::Ping(target, seq));
                let (indirect_at, deadline) = (now + interval * 2 / 5, now + interval);
                Probe { seq, target, indirect_at, deadline, helpers: Vec::new(), nacks: 0, acked: false }
            });
        }
    }

    /// Asks helpers for indirect probes when the direct one is not answered.
    fn probe_indirectly(
        &mut self,
        now: Micros,
        others: &[MemberId],
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Action>,
    ) {
        let Some(probe) = self.probe.as_mut() else { return };
        if probe.acked || !probe.helpers.is_empty() || now < probe.indirect_at || now >= probe.deadline {
            return;
        }
        let proven = self.proven_helpers.get(&probe.target).filter(|helper| others.contains(helper)).copied();
        let random = others.iter().copied().filter(|id| *id != probe.target && Some(*id) != proven);
        let random: Vec<MemberId> = random.sample(rng, INDIRECT_PROBES - usize::from(proven.is_some()));
        probe.helpers = proven.into_iter().chain(random).collect();
        let request = |helper: &MemberId| Action::PingReq(*helper, probe.seq, probe.target);
        out.extend(probe.helpers.iter().map(request));
        // A second direct ping, in case only the first one was lost.
        out.push(Action::Ping(probe.target, probe.seq));
        if probe.helpers.is_empty() {
            probe.indirect_at = probe.deadline;
        }
    }

    /// Returns the next member to probe. Each member comes once per round, in an order that is shuffled for
    /// each round, so that the time to the first probe of a dead member is bounded by two rounds.
    fn next_target(&mut self, others: &[MemberId], rng: &mut ChaCha8Rng) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(id) = self.round.pop() {
                if others.contains(&id) {
                    return Some(id);
                }
            }
            self.round = others.to_vec();
            self.round.shuffle(rng);
            self.proven_helpers.retain(|target, _| others.contains(target));
        }
        None
    }

    /// Handles a request to probe a target on behalf of `origin`.
    pub fn handle_ping_req(
        &mut self,
        now: Micros,
        origin: MemberId,
        origin_seq: u64,
        target: MemberId,
    ) -> Option<Action> {
        if self.forwards.len() >= MAX_FORWARDS {
            return None;
        }
        let seq = self.next_seq();
        // The origin waits for three fifths of its period, so a nack must be sent before that.
        let (nack_at, deadline) = (now + self.period * 2 / 5, now + self.period * 2);
        self.forwards.insert(seq, Forward { origin, origin_seq, target, nack_at, deadline, nacked: false });
        Some(Action::Ping(target, seq))
    }

    /// Handles an ack from the target itself or from a helper. Returns the ack to pass on if the probe was on
    /// behalf of another member.
    pub fn handle_ack(&mut self, seq: u64, from: MemberId) -> Option<Action> {
        if let Some(forward) = self.forwards.remove(&seq) {
            return Some(Action::Ack(forward.origin, forward.origin_seq, forward.target));
        }
        let pending = self.probe.as_ref().map(|p| (p.seq, p.target));
        if let Some((_, target)) = pending.into_iter().chain(self.last_failed).find(|(s, _)| *s == seq) {
            if from == target {
                self.proven_helpers.remove(&target);
            } else {
                self.proven_helpers.insert(target, from);
            }
        }
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq && !p.acked) {
            probe.acked = true;
            self.health.improve();
        }
        None
    }

    /// Handles a nack: a helper answers, but has no ack from the target yet.
    pub fn handle_nack(&mut self, seq: u64) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
            probe.nacks += 1;
        }
    }

    /// Discards all pending probes after this process was stopped, since it could receive no answers.
    pub fn resume(&mut self, now: Micros) {
        self.probe = None;
        self.forwards.clear();
        self.next_probe = now;
        self.health.degrade(1);
    }
}

#[cfg(test)]
mod tests;
