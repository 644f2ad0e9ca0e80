//! Plays a scene: real senders at one destination, under simulated time. The same seed gives the same run.

use std::collections::{BTreeMap, BTreeSet};
use yarrowhill_policy::Balancer;
use yarrowhill_policy::api::*;

use crate::destination::{
    Destination, INITIAL_CAPACITY_SHARE, OVERLOAD_DURATION, OVERLOAD_FACTOR, OutageMode, WARM_UP,
};
use crate::{MS, SEC};

/// Duration of one step of the simulation.
const STEP: Micros = 10 * MS;
/// Minimum duration of a run.
const DURATION: Micros = 30 * SEC;
/// Minimum time that a run continues after an outage.
const TIME_AFTER_OUTAGE: Micros = 15 * SEC;
/// Limit of the destination (calls per second) where a scene sets no other.
const LIMIT: f64 = 60.0;

/// A scene to be played by senders that know nothing yet. Times count from the start.
#[derive(Clone, Copy)]
pub struct Scene {
    /// Number of senders.
    pub senders: usize,
    /// Calls per second that the destination accepts from all senders together.
    pub limit: f64,
    /// Demand, as a multiple of the limit.
    pub load: f64,
    /// Share of the demand that is submitted to one sender; the rest is spread evenly over all.
    pub first_sender_share: f64,
    /// Time at which the limit falls to half.
    pub limit_halves_at: Option<Micros>,
    /// Start and end of the outage.
    pub outage: Option<(Micros, Micros)>,
    /// How the destination behaves during the outage.
    pub outage_mode: OutageMode,
    /// Limit according to the endpoint list, as a multiple of the actual one. Responses report the limit only
    /// where this is 1; `None` means that no limit is announced at all.
    pub listed_limit_factor: Option<f64>,
    /// See [`Destination::never_refuses`].
    pub never_refuses: bool,
    /// True if the settings of each sender say that it is the only one.
    pub each_assumes_alone: bool,
    /// Maximum number of connections, as a multiple of the number of senders.
    pub connections_per_sender: Option<f64>,
    /// Length of the run, unless an outage makes it longer.
    pub duration: Micros,
    /// Outcome of a call whose connection is refused because there are too many.
    pub connection_refusal: Outcome,
    /// Time at which seven in ten senders restart with the messages that they held.
    pub restart_at: Option<Micros>,
    /// True if restarted senders keep what they knew; otherwise they know the endpoint list alone.
    pub keeps_state: bool,
}

impl Scene {
    pub fn new(senders: usize, load: f64) -> Self {
        Scene {
            senders,
            limit: LIMIT,
            load,
            first_sender_share: 0.0,
            limit_halves_at: None,
            outage: None,
            outage_mode: OutageMode::default(),
            listed_limit_factor: Some(1.0),
            never_refuses: false,
            each_assumes_alone: false,
            connections_per_sender: None,
            duration: DURATION,
            connection_refusal: Outcome::ConnectFailed,
            restart_at: None,
            keeps_state: false,
        }
    }
}

/// Results of a run.
#[derive(Debug)]
pub struct RunResult {
    /// Deliveries per second.
    pub delivered: f64,
    /// Share of the calls that were refused.
    pub refused: f64,
    /// Share of the messages of the first sender, which has the highest load, that were delivered.
    pub first_sender_delivered: f64,
    /// Share of the messages of the other senders that were delivered.
    pub others_delivered: f64,
    /// Refused connections per second.
    pub connects_refused: f64,
    /// First value of [`Destination::peak_load`].
    pub peak_load: f64,
    /// Second value of [`Destination::peak_load`].
    pub informed_share: f64,
    /// See [`Destination::excess_calls`].
    pub excess_calls: (f64, f64),
    /// See [`Destination::calls_beyond_its_fall`].
    pub calls_beyond_its_fall: (f64, f64),
}

fn settings(scene: &Scene) -> Settings {
    let senders = scene.senders;
    let class = |effect| Class {
        effect,
        target_latency: 3 * SEC,
        deadline: 12 * SEC,
        value: 1.0,
        deadline_value_share: 0.5,
        ordered: false,
    };
    Settings {
        classes: vec![class(Effect::Keyed { life: 6 * SEC, per_zone: false })],
        kinds: vec![DestKind { independent_endpoints: false, max_batch: 1 }],
        decay: Decay::Exponential,
        senders: if scene.each_assumes_alone { 1 } else { senders },
        // As on the platform: twice the slots that an even share of the load keeps busy, and some seconds of
        // held messages.
        slots: (60 / senders).max(4),
        max_held_messages: (800 / senders).max(50),
        max_attempts: 6,
        may_cancel: true,
        may_send_retry_after: true,
        max_retry_after: 3 * SEC,
        weights: if scene.listed_limit_factor.is_some() { Weights::Rough } else { Weights::Off },
        idle_timeout: 5 * SEC,
        connect_timeout: SEC,
        min_turn_interval: MS,
        overload_factor: OVERLOAD_FACTOR,
        overload_duration: OVERLOAD_DURATION,
        initial_capacity_share: INITIAL_CAPACITY_SHARE,
        warm_up_duration: WARM_UP,
        ..Settings::default()
    }
}

pub fn random_unit(seed: &mut u64) -> f64 {
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    (*seed >> 11) as f64 / (1u64 << 53) as f64
}

/// A message held by a sender.
struct HeldMessage {
    expires_at: Micros,
    attempts: usize,
    /// When the first attempt that may have run was sent.
    first_possible_run: Option<Micros>,
    /// True if an attempt is in flight.
    in_flight: bool,
}

/// One sender and its host.
struct Sender {
    balancer: Balancer,
    wake: Micros,
    /// True if the sender has observed the outage.
    observed_outage: bool,
    held: BTreeMap<MessageId, HeldMessage>,
    /// Number of messages submitted to the sender.
    submitted: usize,
    /// Number of messages that it delivered.
    delivered: usize,
}

impl Sender {
    fn started(scene: &Scene, now: Micros, seed: u64) -> Balancer {
        let entry = EndpointEntry {
            endpoint: 1,
            dest: 1,
            zone: 0,
            kind: 0,
            listing: Listing::Serving,
            weight: scene.limit * scene.listed_limit_factor.unwrap_or(0.0),
        };
        let mut balancer = Balancer::new(settings(scene), seed);
        balancer.on_event(now, Event::FullList(vec![entry]), &mut Vec::new());
        balancer
    }

    /// Simulates a crash and a restart of the process: the held messages are submitted again with their
    /// history, and attempts in flight may have run.
    fn restart(&mut self, scene: &Scene, now: Micros, seed: u64) -> Vec<Event> {
        self.balancer = Self::started(scene, now, seed);
        let resumed = self.held.iter_mut().map(|(id, message)| {
            message.first_possible_run = message.first_possible_run.or(message.in_flight.then_some(now));
            message.in_flight = false;
            let history = MessageHistory {
                attempts: message.attempts,
                first_possible_run: message.first_possible_run.map(|at| (at, 0)),
                was_accepted: true,
            };
            Event::Submit(submit(*id, message.expires_at, history))
        });
        resumed.collect()
    }
}

fn submit(id: MessageId, expires_at: Micros, history: MessageHistory) -> SubmittedMessage {
    SubmittedMessage { id, class: 0, tenant: None, key: None, expires_at, dest: 1, history }
}

pub fn play(scene: Scene, seed: u64) -> RunResult {
    let start = 100 * SEC;
    let mut dest = Destination::new(scene.limit, start, 5 * SEC);
    dest.outage = scene.outage.map(|(from, until)| (start + from, start + until));
    (dest.outage_mode, dest.never_refuses) = (scene.outage_mode, scene.never_refuses);
    dest.max_connections = scene
        .connections_per_sender
        .map_or(usize::MAX, |part| ((scene.senders as f64 * part) as usize).max(1));
    dest.seed = (seed ^ 0x9e37_79b9_7f4a_7c15) | 1;
    dest.connection_refusal = scene.connection_refusal;
    let new = |i| Sender {
        balancer: Sender::started(&scene, start, seed + i as u64),
        wake: Micros::MIN,
        observed_outage: false,
        held: BTreeMap::new(),
        submitted: 0,
        delivered: 0,
    };
    let mut fleet: Vec<Sender> = (0..scene.senders).map(new).collect();
    let mut rng = seed | 1;
    let mut ends: BTreeMap<Micros, Vec<(usize, EndedAttempt)>> = BTreeMap::new();
    let (mut next, mut calls, mut refused) = (0, 0usize, 0usize);
    let mut now = start;
    let end = start
        + scene.outage.map_or(scene.duration, |(_, until)| scene.duration.max(until + TIME_AFTER_OUTAGE));
    while now < end {
        if scene.limit_halves_at.is_some_and(|at| now >= start + at) {
            dest.rate = scene.limit / 2.0;
        }
        let mut events: BTreeMap<usize, Vec<Event>> = BTreeMap::new();
        if scene.restart_at.is_some_and(|at| now - start == at) {
            let crashed: BTreeSet<usize> = (0..scene.senders).filter(|i| i % 10 < 7).collect();
            // The attempts in flight of a crashed sender never end.
            let state_lost = |i: &usize| !scene.keeps_state && crashed.contains(i);
            ends.values_mut().for_each(|ends| ends.retain(|(i, _)| !state_lost(i)));
            for i in crashed.iter().filter(|i| state_lost(i)) {
                let resubmitted = fleet[*i].restart(&scene, now, seed + 1000 + *i as u64);
                events.entry(*i).or_default().extend(resubmitted);
            }
        }
        let later = ends.split_off(&(now + 1));
        for (i, end) in std::mem::replace(&mut ends, later).into_values().flatten() {
            if let Some(held) = fleet[i].held.get_mut(&end.id) {
                held.in_flight = false;
            }
            events.entry(i).or_default().push(Event::AttemptEnded(end));
        }
        for _ in 0..4 {
            if random_unit(&mut rng) < scene.load * scene.limit * STEP as f64 / SEC as f64 / 4.0 {
                let even = (random_unit(&mut rng) * scene.senders as f64) as usize;
                let at = if random_unit(&mut rng) < scene.first_sender_share { 0 } else { even };
                let expires_at = now + 12 * SEC;
                fleet[at].submitted += 1;
                fleet[at].held.insert(
                    next,
                    HeldMessage { expires_at, attempts: 0, first_possible_run: None, in_flight: false },
                );
                let new = Event::Submit(submit(next, expires_at, MessageHistory::default()));
                events.entry(at).or_default().push(new);
                next += 1;
            }
        }
        for (i, sender) in fleet.iter_mut().enumerate() {
            let new_events = events.remove(&i).unwrap_or_default();
            if new_events.is_empty() && now < sender.wake {
                continue;
            }
            sender.wake = Micros::MAX;
            let mut actions = Vec::new();
            for event in new_events.into_iter().chain([Event::Wake, Event::TurnEnd]) {
                sender.balancer.on_event(now, event, &mut actions);
            }
            for action in actions {
                match action {
                    Action::Wake { at } => sender.wake = sender.wake.min(at),
                    Action::CloseIdle { .. } => dest.close(i),
                    Action::Refuse { id, .. } | Action::Fail { id } => drop(sender.held.remove(&id)),
                    Action::Send { id, timeout, .. } => {
                        let (outcome, report) = dest.call(now, i, sender.observed_outage);
                        let report = report.filter(|_| scene.listed_limit_factor == Some(1.0));
                        calls += 1;
                        refused += usize::from(matches!(outcome, Outcome::Full { .. }));
                        sender.observed_outage |=
                            outcome != Outcome::Delivered && scene.outage.is_some_and(|o| now - start > o.0);
                        let finished = outcome == Outcome::Delivered;
                        let attempt = sender.held.get(&id).map_or(0, |held| held.attempts);
                        if finished {
                            sender.delivered += 1;
                            sender.held.remove(&id);
                        } else if let Some(held) = sender.held.get_mut(&id) {
                            (held.attempts, held.in_flight) = (attempt + 1, true);
                        }
                        let elapsed = match outcome {
                            Outcome::ConnectFailed | Outcome::Error => 20 * MS,
                            Outcome::TimedOut => timeout,
                            _ => 250 * MS,
                        };
                        let end =
                            EndedAttempt { id, attempt, outcome, elapsed, finished, report, wait: None };
                        ends.entry(now + elapsed).or_default().push((i, end));
                    }
                    _ => {}
                }
            }
        }
        now += STEP;
    }
    let share = |senders: &[Sender]| {
        let submitted: usize = senders.iter().map(|s| s.submitted).sum();
        senders.iter().map(|s| s.delivered).sum::<usize>() as f64 / submitted.max(1) as f64
    };
    let (peak_load, informed_share) = dest.peak_load();
    let seconds = (end - start) as f64 / SEC as f64;
    let delivered = fleet.iter().map(|s| s.delivered).sum::<usize>() as f64 / seconds;
    RunResult {
        delivered,
        refused: refused as f64 / calls.max(1) as f64,
        first_sender_delivered: share(&fleet[..1]),
        others_delivered: share(&fleet[1..]),
        connects_refused: dest.connects_refused as f64 / seconds,
        peak_load,
        informed_share,
        excess_calls: dest.excess_calls(),
        calls_beyond_its_fall: dest.calls_beyond_its_fall(),
    }
}
