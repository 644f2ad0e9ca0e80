//! A destination that all members call goes down and comes back cold, in virtual time: which calls are made
//! during the outage, and how the load returns.

use crate::schedule::Violation;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::rc::Rc;
use yarrowhill_fleet::{
    MAX_PART_REPORTS, MAX_REPORTS, SnapshotPart, encode_outages, encode_rights, encode_snapshot_part,
};
use yarrowhill_kernel::{Clock, Fleet, Link, Links, Member, Micros, ProcessFault};
use yarrowhill_knowledge::{Admission, CallOutcome, InitialSync, OutageDetector, OutageReport, SlowStart};
use yarrowhill_rights::{CALL, Envelope, LeaseDurations, Limit, SharedLimits};

/// Probe period from which all other timings are derived (microseconds).
const PERIOD: Micros = 1_000_000;
/// Drift bound of clock rates.
const DRIFT: f64 = 0.01;
/// Destination id.
const DEST: u64 = 7;
/// Calls per second that the destination takes when it is warm.
const LIMIT: u64 = 600;
/// Slow start after an outage: a probe every two periods, then from 0.17 of the capacity to all of it in
/// thirteen periods.
const SLOW_START: SlowStart =
    SlowStart { probe_interval: 2 * PERIOD, warm_up: 13 * PERIOD, initial_fraction: 0.17 };
/// The destination fails again when it gets more than this multiple of its capacity over this time
/// (microseconds).
const OVERLOAD: (f64, Micros) = (2.0, 3 * PERIOD);
/// Duration of a call that is served (microseconds).
const SERVICE_TIME: Micros = 60_000;
/// Timeout of a call that is not served (microseconds).
const CALL_TIMEOUT: Micros = PERIOD;
/// Maximum number of concurrent calls of a member.
const MAX_CALLS_IN_FLIGHT: usize = 12;
/// Time after which a waiting message is abandoned (microseconds).
const MAX_WAIT: Micros = 6 * PERIOD;
/// Step of the simulation (microseconds).
const STEP: Micros = PERIOD / 50;
/// Interval between gossip rounds (microseconds).
const GOSSIP_INTERVAL: Micros = PERIOD / 4;

/// How members detect an outage and recover from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryMode {
    /// Members share reports: one of them probes, and all follow one slow start.
    Coordinated,
    /// Each member relies on its own calls: it detects the outage, probes and follows a slow start alone.
    Independent,
}

/// Simulated destination.
#[derive(Debug, Default)]
struct Destination {
    now: Micros,
    /// Start and end of the outage (virtual time).
    down: Option<(Micros, Micros)>,
    /// Virtual times at which calls reached it.
    calls: Vec<Micros>,
}

impl Destination {
    fn is_down(&self) -> bool {
        self.down.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }
}

#[derive(Clone, Debug)]
enum Message {
    /// Shared limits.
    Rights(Envelope),
    /// Gossip about outages.
    Outages(Vec<OutageReport>),
    /// Asks for the known outages after a start.
    SnapshotRequest,
    /// Part of the reply to a request for the known outages.
    Snapshot(SnapshotPart),
}

/// Outage detector of a member that does not share reports: three failures in a row start an outage, then
/// probes follow with a growing back-off.
#[derive(Clone, Debug, Default)]
struct LocalDetector {
    failures: u32,
    next_probe: Micros,
    backoff: Micros,
    recovered_at: Option<Micros>,
}

struct Caller {
    mode: RecoveryMode,
    sharing: SharedLimits,
    outages: OutageDetector,
    local_detector: LocalDetector,
    view: Vec<u64>,
    local_id: u64,
    rng: ChaCha8Rng,
    destination: Rc<RefCell<Destination>>,
    rate: f64,
    next_message: Micros,
    /// Times at which the waiting messages are abandoned.
    waiting: VecDeque<Micros>,
    /// Calls in flight: end, start, whether they are served.
    in_flight: Vec<(Micros, Micros, bool)>,
    retry_at: Micros,
    next_gossip: Micros,
    /// State transfer after a start: no messages are accepted before it is complete or has timed out.
    initial_sync: InitialSync,
    served: u64,
    abandoned: u64,
    started: u64,
    probes: u64,
    outgoing: Vec<(usize, Message)>,
}

impl Caller {
    #[allow(clippy::too_many_arguments)]
    fn new(
        local_id: usize,
        now: Micros,
        members: usize,
        mode: RecoveryMode,
        rate: f64,
        instance: u64,
        is_restart: bool,
        destination: Rc<RefCell<Destination>>,
    ) -> Self {
        let mut sharing =
            SharedLimits::new(now, local_id as u64, instance, members, LeaseDurations::new(PERIOD, DRIFT));
        sharing.set_limits(
            now,
            members,
            &BTreeMap::from([(DEST, Limit { calls: LIMIT * CALL, lend: true })]),
        );
        let mut outages = OutageDetector::new(local_id as u64, instance, SLOW_START);
        outages.set_membership(instance, members);
        Caller {
            mode,
            sharing,
            outages,
            local_detector: LocalDetector::default(),
            view: (0..members as u64).collect(),
            local_id: local_id as u64,
            rng: ChaCha8Rng::seed_from_u64(instance << 20 | local_id as u64),
            destination,
            rate,
            next_message: now + (local_id as u64 * 7919) % PERIOD,
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            retry_at: 0,
            next_gossip: now,
            initial_sync: InitialSync::new(if is_restart { now + 10 * PERIOD } else { 0 }),
            served: 0,
            abandoned: 0,
            started: 0,
            probes: 0,
            outgoing: Vec::new(),
        }
    }

    fn admit(&mut self, now: Micros) -> Admission {
        match self.mode {
            RecoveryMode::Coordinated => self.outages.admit(now, DEST),
            RecoveryMode::Independent => match (&mut self.local_detector, now) {
                (LocalDetector { failures: 3.., next_probe, .. }, now) if now < *next_probe => {
                    Admission::Defer(*next_probe - now)
                }
                (LocalDetector { failures: 3.., next_probe, backoff, .. }, now) => {
                    *backoff = (*backoff * 2).clamp(PERIOD, 4 * PERIOD);
                    *next_probe = now + *backoff;
                    Admission::Probe
                }
                (LocalDetector { recovered_at: Some(at), .. }, now) => {
                    Admission::Fraction(SLOW_START.fraction(now - *at))
                }
                _ => Admission::Fraction(1.0),
            },
        }
    }

    fn record_end(&mut self, now: Micros, started: Micros, outcome: CallOutcome) {
        self.outages.record_call_end(now, DEST, started, outcome);
        match outcome {
            CallOutcome::Served if self.local_detector.failures >= 3 => {
                self.local_detector = LocalDetector { recovered_at: Some(now), ..LocalDetector::default() };
            }
            CallOutcome::Served => self.local_detector.failures = 0,
            _ => self.local_detector.failures += 1,
        }
    }

    fn process(&mut self, now: Micros) {
        let done: Vec<_> = self.in_flight.extract_if(.., |call| call.0 <= now).collect();
        for (ended_at, started, served) in done {
            self.served += u64::from(served);
            self.abandoned += u64::from(!served);
            self.record_end(
                ended_at.max(started),
                started,
                if served { CallOutcome::Served } else { CallOutcome::Failed },
            );
        }
        self.next_message = self.next_message.max(now.saturating_sub(PERIOD));
        while self.rate > 0.0 && now >= self.next_message {
            self.next_message += (1e6 / self.rate) as Micros + 1;
            if !self.initial_sync.is_pending(now) {
                self.waiting.push_back(now + MAX_WAIT);
                // Each message counts once as demand, also while it waits behind others.
                self.sharing.record_demand(now, &[DEST]);
            }
        }
        while self.waiting.pop_front_if(|until| *until <= now).is_some() {
            self.abandoned += 1;
        }
        if now < self.retry_at {
            return;
        }
        while !self.waiting.is_empty() && self.in_flight.len() < MAX_CALLS_IN_FLIGHT {
            let admission = self.admit(now);
            let fraction = match admission {
                Admission::Fraction(fraction) => fraction,
                Admission::Probe => 1.0,
                Admission::Defer(wait) => {
                    self.retry_at = now + wait.clamp(1000, GOSSIP_INTERVAL);
                    return;
                }
            };
            if let Err(wait) = self.sharing.try_begin(now, &[DEST], fraction, true) {
                if admission == Admission::Probe {
                    self.outages.cancel_probe(DEST);
                }
                self.retry_at = now + wait.clamp(1000, GOSSIP_INTERVAL);
                return;
            }
            self.waiting.pop_front();
            self.started += 1;
            self.probes += u64::from(admission == Admission::Probe);
            let mut destination = self.destination.borrow_mut();
            let at = destination.now;
            destination.calls.push(at);
            let served = !destination.is_down();
            self.in_flight.push((now + if served { SERVICE_TIME } else { CALL_TIMEOUT }, now, served));
        }
    }

    fn send_updates(&mut self, now: Micros) {
        let envelopes = self.sharing.tick(now, &self.view);
        self.outgoing
            .extend(envelopes.into_iter().map(|(to, envelope)| (to as usize, Message::Rights(envelope))));
        if now < self.next_gossip || self.mode == RecoveryMode::Independent {
            return;
        }
        self.next_gossip = now + GOSSIP_INTERVAL;
        let others: Vec<u64> = self.view.iter().copied().filter(|id| *id != self.local_id).collect();
        let reports = self.outages.updates_to_send(now, MAX_REPORTS, self.view.len());
        for to in others.sample(&mut self.rng, 3) {
            if self.initial_sync.is_pending(now) {
                self.outgoing.push((*to as usize, Message::SnapshotRequest));
            }
            if !reports.is_empty() {
                self.outgoing.push((*to as usize, Message::Outages(reports.clone())));
            }
        }
    }
}

impl Member for Caller {
    type Packet = Message;

    fn tick(&mut self, now: Micros) {
        self.process(now);
        self.send_updates(now);
    }

    fn handle(&mut self, now: Micros, from: usize, packet: Message) {
        match packet {
            Message::Rights(envelope) => {
                let answer = self.sharing.handle(now, from as u64, &envelope);
                self.outgoing.extend(answer.map(|answer| (from, Message::Rights(answer))));
            }
            Message::Outages(reports) => reports.iter().for_each(|report| self.outages.receive(now, report)),
            Message::SnapshotRequest => {
                let parts = SnapshotPart::split(&[], &self.outages.snapshot(now, 8 * MAX_PART_REPORTS));
                self.outgoing.extend(parts.into_iter().map(|part| (from, Message::Snapshot(part))));
            }
            Message::Snapshot(snapshot) => {
                snapshot.outages.iter().for_each(|report| self.outages.receive(now, report));
                self.initial_sync.record_part(from as u64, snapshot.part, snapshot.parts);
            }
        }
        self.process(now);
    }

    fn take_outgoing(&mut self) -> Vec<(usize, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    fn next_wake(&self) -> Micros {
        let message = if self.rate > 0.0 { self.next_message } else { Micros::MAX };
        let ends = self.in_flight.iter().map(|call| call.0).min().unwrap_or(Micros::MAX);
        // With all call slots taken, the next event is the end of a call.
        let idle = self.waiting.is_empty() || self.in_flight.len() >= MAX_CALLS_IN_FLIGHT;
        let retry = if idle { Micros::MAX } else { self.retry_at };
        let gossip = if self.mode == RecoveryMode::Coordinated { self.next_gossip } else { Micros::MAX };
        self.sharing.next_wake().min(message).min(ends).min(retry).min(gossip)
    }
}

fn size(message: &Message) -> usize {
    match message {
        Message::Rights(envelope) => encode_rights(envelope).map_or(usize::MAX, |b| b.len()),
        Message::Outages(reports) => encode_outages(reports).map_or(usize::MAX, |b| b.len()),
        Message::Snapshot(snapshot) => encode_snapshot_part(snapshot).map_or(usize::MAX, |b| b.len()),
        Message::SnapshotRequest => 5,
    }
}

struct Simulation {
    fleet: Fleet<Caller>,
    destination: Rc<RefCell<Destination>>,
}

impl Simulation {
    fn new(members: usize, mode: RecoveryMode, seed: u64, rate: impl Fn(usize) -> f64) -> Self {
        let destination = Rc::new(RefCell::new(Destination::default()));
        let mut fleet = Fleet::new(seed, Links::default(), size);
        for n in 0..members {
            let clock = 1.0 + DRIFT * (2.0 * n as f64 / (members.max(2) - 1) as f64 - 1.0);
            fleet.add_slot(Clock { offset: n as u64 * 1_000_003 + 10_000_000, rate: clock });
            let now = fleet.local_time(n);
            let instance = seed * 1000 + n as u64 + 1;
            fleet.start(n, Caller::new(n, now, members, mode, rate(n), instance, false, destination.clone()));
        }
        Simulation { fleet, destination }
    }

    fn run_until(&mut self, end: Micros) {
        while self.fleet.now() < end {
            let next = (self.fleet.now() + STEP).min(end);
            // Calls made within a step reach the destination at the end of the step.
            self.destination.borrow_mut().now = next;
            self.fleet.run_until(next);
        }
    }

    fn sum(&self, of: impl Fn(&Caller) -> u64) -> u64 {
        (0..self.fleet.len()).filter_map(|n| self.fleet.member(n)).map(of).sum()
    }
}

/// Measured effect of an outage.
#[derive(Clone, Debug)]
pub struct ReturnStats {
    /// Calls that reached the destination during the outage, from its fifth second on.
    pub calls_while_down: usize,
    /// Highest load after the return, as a fraction of the load at which the destination fails again.
    pub peak_load: f64,
    /// Time from the return until nine tenths of the demand is served again (seconds).
    pub full_use_secs: Option<f64>,
    /// Fraction of the messages that were abandoned.
    pub abandoned: f64,
    /// Bytes sent by each member per second.
    pub bytes: f64,
}

impl fmt::Display for ReturnStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ReturnStats { calls_while_down, peak_load, full_use_secs, abandoned, bytes } = self;
        let full_use = full_use_secs.map_or("never".to_owned(), |s| format!("after {s:.1} s"));
        write!(
            f,
            "{calls_while_down} calls during the outage, peak {peak_load:.2} of the overload limit, \
             full use {full_use}, {abandoned:.3} abandoned, {bytes:.0} bytes per second"
        )
    }
}

/// Returns the highest load over any window after the return, as a fraction of the load at which the
/// destination fails.
fn peak_load(calls: &[Micros], back: Micros) -> f64 {
    let (multiple, duration) = OVERLOAD;
    let capacity = |since: f64| {
        let cold = since.min(SLOW_START.warm_up as f64);
        SLOW_START.initial_fraction * cold
            + (1.0 - SLOW_START.initial_fraction) * cold * cold / (2.0 * SLOW_START.warm_up as f64)
            + (since - cold)
    };
    let after: Vec<Micros> = calls.iter().copied().filter(|at| *at >= back).collect();
    let mut peak = 0.0f64;
    for (n, at) in after.iter().enumerate() {
        let within = after[n..].iter().take_while(|other| **other < at + duration).count() as f64;
        let since = (at - back) as f64;
        let bearable = (capacity(since + duration as f64) - capacity(since)) / 1e6 * LIMIT as f64;
        peak = peak.max(within / (multiple * bearable));
    }
    peak
}

/// Measures an outage of twenty seconds, with members whose demand is nine tenths of the limit.
pub fn measure_return(members: usize, mode: RecoveryMode, seed: u64) -> ReturnStats {
    let rate = 0.9 * LIMIT as f64 / members as f64;
    let mut sim = Simulation::new(members, mode, seed, |_| rate);
    let (down, back) = (20 * PERIOD, 40 * PERIOD);
    sim.destination.borrow_mut().down = Some((down, back));
    sim.run_until(back);
    let mut full_use_secs = None;
    while sim.fleet.now() < back + 60 * PERIOD {
        let before = sim.sum(|c| c.served);
        sim.run_until(sim.fleet.now() + PERIOD);
        let served = (sim.sum(|c| c.served) - before) as f64;
        if full_use_secs.is_none() && served >= 0.9 * rate * members as f64 {
            full_use_secs = Some((sim.fleet.now() - back) as f64 / 1e6);
        }
    }
    let destination = sim.destination.borrow();
    let calls_while_down =
        destination.calls.iter().filter(|at| (down + 5 * PERIOD..back).contains(*at)).count();
    let (abandoned, served) = (sim.sum(|c| c.abandoned), sim.sum(|c| c.served));
    let bytes = sim.fleet.bytes.iter().sum::<u64>() as f64 / members as f64 / 100.0;
    ReturnStats {
        calls_while_down,
        peak_load: peak_load(&destination.calls, back),
        full_use_secs,
        abandoned: abandoned as f64 / (abandoned + served).max(1) as f64,
        bytes,
    }
}

/// Runs the schedule of a seed: a destination goes down and comes back while links lose up to half of all
/// packets, and members die, start and stall. Checks that a member that starts during the outage calls the
/// destination only to probe it, that the number of calls during the outage is bounded, and that the
/// destination is not overloaded after its return.
///
/// # Errors
///
/// Returns the first property that does not hold.
pub fn run_return_schedule(seed: u64) -> Result<(), Violation> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc01d);
    let members = [3, 5, 9, 30][rng.random_range(0..4)];
    let rate = 0.9 * LIMIT as f64 / members as f64;
    let mut sim = Simulation::new(members, RecoveryMode::Coordinated, seed, |_| rate);
    let loss = rng.random_range(0.0..0.5);
    sim.fleet.links = Links::uniform(Link {
        loss,
        duplication: 0.05,
        delay: 300,
        jitter: rng.random_range(200..PERIOD / 4),
        cut: false,
    });
    let down = 10 * PERIOD + rng.random_range(0..5 * PERIOD);
    let back = down + rng.random_range(12..25) * PERIOD;
    sim.destination.borrow_mut().down = Some((down, back));
    // One member is killed before the outage and restarts when all others have detected it.
    let restarted = rng.random_range(0..members);
    let starts_at = down + 6 * PERIOD + rng.random_range(0..(back - down).saturating_sub(8 * PERIOD).max(1));
    sim.run_until(down - 2 * PERIOD);
    sim.fleet.inject(&ProcessFault::Kill(restarted));
    if members > 3 && rng.random_bool(0.5) {
        let stalled = (restarted + 1) % members;
        sim.fleet.inject(&ProcessFault::Stall(stalled, rng.random_range(PERIOD..8 * PERIOD)));
    }
    sim.run_until(starts_at);
    let now = sim.fleet.local_time(restarted);
    let instance = seed * 1000 + 900;
    let caller = Caller::new(
        restarted,
        now,
        members,
        RecoveryMode::Coordinated,
        rate,
        instance,
        true,
        sim.destination.clone(),
    );
    sim.fleet.start(restarted, caller);
    while sim.fleet.now() < back {
        sim.run_until((sim.fleet.now() + PERIOD / 4).min(back));
        let Some(caller) = sim.fleet.member(restarted) else { break };
        if caller.started > caller.probes {
            let description = format!(
                "member {restarted} started {:.1} s into the outage and makes calls",
                (starts_at - down) as f64 / 1e6
            );
            return Err(Violation { at: sim.fleet.now(), description });
        }
    }
    let detected = down + 6 * PERIOD;
    let calls_while_down =
        sim.destination.borrow().calls.iter().filter(|at| (detected..back).contains(*at)).count();
    // Two or three in each probe interval where reports are lost, and a few by each member that has not
    // received any yet.
    let allowed = 3 * members + 3 * ((back - detected) / SLOW_START.probe_interval) as usize;
    if calls_while_down > allowed {
        let description = format!("{calls_while_down} calls during the outage, more than {allowed}");
        return Err(Violation { at: sim.fleet.now(), description });
    }
    sim.run_until(back + 20 * PERIOD);
    let peak = peak_load(&sim.destination.borrow().calls, back);
    if peak >= 1.0 {
        return Err(Violation {
            at: sim.fleet.now(),
            description: format!("the load reaches {peak:.2} of the overload limit"),
        });
    }
    Ok(())
}
