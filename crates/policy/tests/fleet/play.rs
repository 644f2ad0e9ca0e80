//! Plays a scene: real senders at one destination, under passed-in time. The same seed gives the same play.

use std::collections::{BTreeMap, BTreeSet};
use yarrowhill_policy::Balancer;
use yarrowhill_policy::api::*;

use crate::destination::{Destination, Down, FALL_FOR, FALL_MULTIPLE, START, WARM};
use crate::{MS, SEC};

const STEP: Micros = 10 * MS;
const SPAN: Micros = 30 * SEC;
/// It goes on so long after an outage.
const AFTER: Micros = 15 * SEC;
const LIMIT: f64 = 60.0;

/// What is played, from rest. Times count from the start.
#[derive(Clone, Copy)]
pub struct Scene {
    pub senders: usize,
    /// Calls a second that it takes from all senders together.
    pub limit: f64,
    /// Demand, as a multiple of the limit.
    pub load: f64,
    /// Part of it that comes to one sender; the rest is even.
    pub one_has: f64,
    /// The limit falls to half then.
    pub falls: Option<Micros>,
    /// The destination is down from then, up again then.
    pub outage: Option<(Micros, Micros)>,
    pub down: Down,
    /// What the list says of the limit, as a multiple of it; nothing, and nothing in answers either.
    pub listed: Option<f64>,
    /// See [`Destination::mute`].
    pub mute: bool,
    /// Each sender is told that there is no other.
    pub each_alone: bool,
    /// Most connections, as a multiple of the senders.
    pub connections: Option<f64>,
    /// Seven in ten senders start again then, with what they held.
    pub restart: Option<Micros>,
    /// And with what they knew; else with the list alone.
    pub keeps: bool,
}

impl Scene {
    pub fn new(senders: usize, load: f64) -> Self {
        Scene {
            senders,
            limit: LIMIT,
            load,
            one_has: 0.0,
            falls: None,
            outage: None,
            down: Down::default(),
            listed: Some(1.0),
            mute: false,
            each_alone: false,
            connections: None,
            restart: None,
            keeps: false,
        }
    }
}

/// What came of a play, in calls a second, and as shares.
#[derive(Debug)]
pub struct Played {
    pub delivered: f64,
    /// Of the calls.
    pub refused: f64,
    /// Delivered of what came to the sender with the most, and of what came to the others.
    pub one: f64,
    pub others: f64,
    /// Connections that were turned away, a second.
    pub turned_away: f64,
    /// See [`Destination::push`].
    pub push: f64,
    pub culpable: f64,
    /// See [`Destination::excess`].
    pub excess: (f64, f64),
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
        senders: if scene.each_alone { 1 } else { senders },
        // As the platform gives them: twice what the even part keeps busy, and some seconds of it held.
        slots: (60 / senders).max(4),
        max_held_messages: (800 / senders).max(50),
        max_attempts: 6,
        may_cancel: true,
        may_send_retry_after: true,
        max_retry_after: 3 * SEC,
        weights: if scene.listed.is_some() { Weights::Rough } else { Weights::Off },
        idle_timeout: 5 * SEC,
        connect_timeout: SEC,
        min_turn_interval: MS,
        overload_factor: FALL_MULTIPLE,
        overload_duration: FALL_FOR,
        initial_capacity_share: START,
        warm_up_duration: WARM,
        ..Settings::default()
    }
}

fn chance(seed: &mut u64) -> f64 {
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    (*seed >> 11) as f64 / (1u64 << 53) as f64
}

/// One sender and its host.
struct Sender {
    balancer: Balancer,
    wake: Micros,
    saw: bool,
    /// What it holds: when it is given up, attempts made, the first that may have run, whether one is out.
    held: BTreeMap<MessageId, (Micros, usize, Option<Micros>, bool)>,
    came: usize,
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
            weight: scene.limit * scene.listed.unwrap_or(0.0),
        };
        let mut balancer = Balancer::new(settings(scene), seed);
        balancer.on_event(now, Event::FullList(vec![entry]), &mut Vec::new());
        balancer
    }

    /// Its process is killed and starts again: what it held is handed back, calls that were out may have run.
    fn restart(&mut self, scene: &Scene, now: Micros, seed: u64) -> Vec<Event> {
        self.balancer = Self::started(scene, now, seed);
        let resumed = self.held.iter_mut().map(|(id, (expires_at, attempts, first_possible_run, out))| {
            *first_possible_run = first_possible_run.or(out.then_some(now));
            *out = false;
            let history = MessageHistory {
                attempts: *attempts,
                first_possible_run: first_possible_run.map(|at| (at, 0)),
                was_accepted: true,
            };
            Event::Submit(submit(*id, *expires_at, history))
        });
        resumed.collect()
    }
}

fn submit(id: MessageId, expires_at: Micros, history: MessageHistory) -> SubmittedMessage {
    SubmittedMessage { id, class: 0, tenant: None, key: None, expires_at, dest: 1, history }
}

pub fn play(scene: Scene, seed: u64) -> Played {
    let start = 100 * SEC;
    let mut dest = Destination::new(scene.limit, start, 5 * SEC);
    dest.outage = scene.outage.map(|(from, until)| (start + from, start + until));
    (dest.down, dest.mute) = (scene.down, scene.mute);
    dest.most_connections =
        scene.connections.map_or(usize::MAX, |part| ((scene.senders as f64 * part) as usize).max(1));
    let new = |i| Sender {
        balancer: Sender::started(&scene, start, seed + i as u64),
        wake: Micros::MIN,
        saw: false,
        held: BTreeMap::new(),
        came: 0,
        delivered: 0,
    };
    let mut fleet: Vec<Sender> = (0..scene.senders).map(new).collect();
    let mut luck = seed | 1;
    let mut ends: BTreeMap<Micros, Vec<(usize, EndedAttempt)>> = BTreeMap::new();
    let (mut next, mut calls, mut refused) = (0, 0usize, 0usize);
    let mut now = start;
    let end = start + scene.outage.map_or(SPAN, |(_, until)| SPAN.max(until + AFTER));
    while now < end {
        if scene.falls.is_some_and(|at| now >= start + at) {
            dest.rate = scene.limit / 2.0;
        }
        let mut events: BTreeMap<usize, Vec<Event>> = BTreeMap::new();
        if scene.restart.is_some_and(|at| now - start == at) {
            let dead: BTreeSet<usize> = (0..scene.senders).filter(|i| i % 10 < 7).collect();
            // What was out of the dead ends nowhere.
            let gone = |i: &usize| !scene.keeps && dead.contains(i);
            ends.values_mut().for_each(|ends| ends.retain(|(i, _)| !gone(i)));
            for i in dead.iter().filter(|i| gone(i)) {
                let again = fleet[*i].restart(&scene, now, seed + 1000 + *i as u64);
                events.entry(*i).or_default().extend(again);
            }
        }
        let later = ends.split_off(&(now + 1));
        for (i, end) in std::mem::replace(&mut ends, later).into_values().flatten() {
            if let Some(held) = fleet[i].held.get_mut(&end.id) {
                held.3 = false;
            }
            events.entry(i).or_default().push(Event::AttemptEnded(end));
        }
        for _ in 0..4 {
            if chance(&mut luck) < scene.load * scene.limit * STEP as f64 / SEC as f64 / 4.0 {
                let even = (chance(&mut luck) * scene.senders as f64) as usize;
                let at = if chance(&mut luck) < scene.one_has { 0 } else { even };
                let expires_at = now + 12 * SEC;
                fleet[at].came += 1;
                fleet[at].held.insert(next, (expires_at, 0, None, false));
                let new = Event::Submit(submit(next, expires_at, MessageHistory::default()));
                events.entry(at).or_default().push(new);
                next += 1;
            }
        }
        for (i, sender) in fleet.iter_mut().enumerate() {
            let news = events.remove(&i).unwrap_or_default();
            if news.is_empty() && now < sender.wake {
                continue;
            }
            sender.wake = Micros::MAX;
            let mut actions = Vec::new();
            for event in news.into_iter().chain([Event::Wake, Event::TurnEnd]) {
                sender.balancer.on_event(now, event, &mut actions);
            }
            for action in actions {
                match action {
                    Action::Wake { at } => sender.wake = sender.wake.min(at),
                    Action::CloseIdle { .. } => dest.close(i),
                    Action::Refuse { id, .. } | Action::Fail { id } => drop(sender.held.remove(&id)),
                    Action::Send { id, timeout, .. } => {
                        let (outcome, report) = dest.call(now, i, sender.saw);
                        let report = report.filter(|_| scene.listed == Some(1.0));
                        calls += 1;
                        refused += usize::from(matches!(outcome, Outcome::Full { .. }));
                        sender.saw |=
                            outcome != Outcome::Delivered && scene.outage.is_some_and(|o| now - start > o.0);
                        let finished = outcome == Outcome::Delivered;
                        let attempt = sender.held.get(&id).map_or(0, |held| held.1);
                        if finished {
                            sender.delivered += 1;
                            sender.held.remove(&id);
                        } else if let Some(held) = sender.held.get_mut(&id) {
                            (held.1, held.3) = (attempt + 1, true);
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
        let came: usize = senders.iter().map(|s| s.came).sum();
        senders.iter().map(|s| s.delivered).sum::<usize>() as f64 / came.max(1) as f64
    };
    let (push, culpable) = dest.push();
    let s = (end - start) as f64 / SEC as f64;
    let delivered = fleet.iter().map(|s| s.delivered).sum::<usize>() as f64 / s;
    Played {
        delivered,
        refused: refused as f64 / calls.max(1) as f64,
        one: share(&fleet[..1]),
        others: share(&fleet[1..]),
        turned_away: dest.connects_refused as f64 / s,
        push,
        culpable,
        excess: dest.excess(),
    }
}
