//! A harness that drives one sender step by step for the tests of the module.
#![allow(dead_code, missing_docs)]

use yarrowhill_policy::Balancer;
use yarrowhill_policy::api::*;

pub const MS: Micros = 1_000;
pub const SEC: Micros = 1_000_000;

pub fn class(effect: Effect) -> Class {
    Class {
        effect,
        target_latency: 3 * SEC,
        deadline: 16 * SEC,
        value: 1.0,
        deadline_value_share: 0.3,
        ordered: false,
    }
}

/// Classes: 0 safe, 1 keyed (life 5 s), 2 unsafe, 3 safe and ordered. Kinds of destinations: 0 plain,
/// 1 independent endpoints, 2 batches.
pub fn settings() -> Settings {
    let ordered = Class { ordered: true, ..class(Effect::Safe) };
    Settings {
        classes: vec![
            class(Effect::Safe),
            class(Effect::Keyed { life: 5 * SEC, per_zone: false }),
            class(Effect::Unsafe),
            ordered,
        ],
        kinds: vec![
            DestKind { independent_endpoints: false, max_batch: 1 },
            DestKind { independent_endpoints: true, max_batch: 1 },
            DestKind { independent_endpoints: false, max_batch: 20 },
        ],
        slots: 8,
        max_held_messages: 200,
        max_attempts: 6,
        may_send_retry_after: true,
        max_retry_after: 3 * SEC,
        senders: 2,
        idle_timeout: 5 * SEC,
        min_turn_interval: 5 * MS,
        overload_factor: 2.0,
        overload_duration: 3 * SEC,
        initial_capacity_share: 0.2,
        warm_up_duration: 12 * SEC,
        ordered_key_gap: SEC,
        ..Settings::default()
    }
}

pub fn entry(endpoint: EndpointId, dest: DestId, kind: usize) -> EndpointEntry {
    EndpointEntry { endpoint, dest, zone: 0, kind, listing: Listing::Serving, weight: 1.0 }
}

pub struct Harness {
    pub sender: Balancer,
    pub now: Micros,
}

impl Harness {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        let mut harness = Harness { sender: Balancer::new(settings, 7), now: 100 * SEC };
        harness.turn(vec![Event::FullList(entries)]);
        harness
    }

    /// Submits events at the current time, ends the turn and returns the actions other than wake-ups.
    pub fn turn(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events.into_iter().chain([Event::TurnEnd]) {
            self.sender.on_event(self.now, event, &mut actions);
        }
        actions.retain(|a| !matches!(a, Action::Wake { .. }));
        actions
    }

    /// Advances the time in steps of 5 ms, with a wake-up at each, and returns all actions with their times.
    pub fn advance(&mut self, duration: Micros) -> Vec<(Micros, Action)> {
        let end = self.now + duration;
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            let now = self.now;
            all.extend(self.turn(vec![Event::Wake]).into_iter().map(|a| (now, a)));
        }
        all
    }

    pub fn submit(&mut self, id: MessageId, class: usize, dest: DestId) -> Vec<Action> {
        let expires_at = self.now + 16 * SEC;
        self.turn(vec![Event::Submit(SubmittedMessage {
            id,
            class,
            tenant: None,
            key: None,
            expires_at,
            dest,
            history: MessageHistory::default(),
        })])
    }

    pub fn submit_ordered(&mut self, id: MessageId, key: &str, dest: DestId) -> Vec<Action> {
        let (key, expires_at) = (Some(key.to_owned()), self.now + 16 * SEC);
        self.turn(vec![Event::Submit(SubmittedMessage {
            id,
            class: 3,
            tenant: None,
            key,
            expires_at,
            dest,
            history: MessageHistory::default(),
        })])
    }

    pub fn end_attempt(
        &mut self,
        id: MessageId,
        attempt: usize,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Delivered;
        self.turn(vec![Event::AttemptEnded(EndedAttempt {
            id,
            attempt,
            outcome,
            elapsed,
            finished,
            report: None,
            wait: None,
        })])
    }
}

pub fn sends(actions: &[Action]) -> Vec<(MessageId, EndpointId)> {
    let send = |a: &Action| match a {
        Action::Send { id, endpoint, .. } => Some((*id, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn timed_sends(actions: &[(Micros, Action)]) -> Vec<(Micros, MessageId, EndpointId)> {
    let send = |(at, a): &(Micros, Action)| match a {
        Action::Send { id, endpoint, .. } => Some((*at, *id, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}
