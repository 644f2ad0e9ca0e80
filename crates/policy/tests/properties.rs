//! Checks the six rules of delivery over random legal events, with a model that knows the rules but not the
//! policy.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use yarrowhill_policy::Balancer;
use yarrowhill_policy::api::*;

/// One step: the time that passes (milliseconds), the kind of event, and two numbers that select its subject
/// and its variant.
type Step = (u16, u8, u8, u8);

#[derive(Default)]
struct ModelMessage {
    class: usize,
    dest: DestId,
    key: Option<String>,
    expires_at: Micros,
    sent: Vec<(EndpointId, Micros)>,
    in_flight: BTreeSet<usize>,
    first_possible_run: Option<Micros>,
    blocked_until: Micros,
    finished: bool,
}

struct RuleChecker {
    settings: Settings,
    sender: Balancer,
    now: Micros,
    messages: BTreeMap<MessageId, ModelMessage>,
    serving: BTreeSet<EndpointId>,
    waits: BTreeMap<u64, Micros>,
    calls_in_flight: usize,
}

/// Returns the destination of an endpoint: destination 1 (plain) has endpoints 10 and 11, destination 2
/// (independent endpoints) has 20 and 21.
fn dest_of(endpoint: EndpointId) -> DestId {
    endpoint / 10
}

/// Returns the scope of a wait: the destination, or the endpoint where endpoints are independent.
fn scope_of(endpoint: EndpointId) -> u64 {
    if dest_of(endpoint) == 2 { endpoint } else { dest_of(endpoint) }
}

impl RuleChecker {
    fn turn(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        let waits_before = self.waits.clone();
        self.sender.on_event(self.now, event, &mut actions);
        self.sender.on_event(self.now, Event::TurnEnd, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint, .. } => self.send(id, endpoint, &waits_before)?,
                Action::Refuse { id, .. } => {
                    let message = self.messages.get_mut(&id).unwrap();
                    prop_assert!(!message.finished, "second final answer");
                    let safe = self.settings.classes[message.class].effect == Effect::Safe;
                    prop_assert!(
                        safe || (message.first_possible_run.is_none() && message.in_flight.is_empty()),
                        "refused a message that may have run"
                    );
                    message.finished = true;
                }
                Action::Fail { id } => {
                    let message = self.messages.get_mut(&id).unwrap();
                    prop_assert!(!message.finished, "second final answer");
                    message.finished = true;
                }
                _ => {}
            }
        }
        for message in self.messages.values() {
            prop_assert!(
                message.finished || self.now <= message.expires_at + 20 * MS,
                "no final answer in time"
            );
        }
        Ok(())
    }

    fn send(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        waits_before: &BTreeMap<u64, Micros>,
    ) -> Result<(), TestCaseError> {
        let mut earlier = self.messages.range(..id);
        let message = &self.messages[&id];
        if message.key.is_some() {
            let may_still_run = |other: &ModelMessage| {
                !other.finished || !other.in_flight.is_empty() || self.now < other.blocked_until
            };
            prop_assert!(
                !earlier.any(|(_, other)| other.key == message.key && may_still_run(other)),
                "sent out of the order of its key"
            );
        }
        prop_assert!(!message.finished, "sent after its final answer");
        prop_assert_eq!(dest_of(endpoint), message.dest);
        prop_assert!(self.serving.contains(&endpoint), "sent to an endpoint that is not serving");
        prop_assert!(message.in_flight.is_empty() && message.sent.len() < self.settings.max_attempts);
        prop_assert!(
            self.now >= waits_before.get(&scope_of(endpoint)).copied().unwrap_or(0),
            "sent within an announced wait"
        );
        match self.settings.classes[message.class].effect {
            Effect::Unsafe => {
                prop_assert!(message.first_possible_run.is_none(), "sent an unsafe message that may have run")
            }
            Effect::Keyed { life, .. } => {
                prop_assert!(
                    message.first_possible_run.is_none_or(|first| self.now <= first + life),
                    "sent after the key's life"
                )
            }
            Effect::Safe => {}
        }
        self.calls_in_flight += 1;
        prop_assert!(self.calls_in_flight <= self.settings.slots, "more calls in flight than slots");
        let now = self.now;
        let message = self.messages.get_mut(&id).unwrap();
        message.in_flight.insert(message.sent.len());
        message.sent.push((endpoint, now));
        Ok(())
    }

    fn step(&mut self, (gap, kind_of_event, subject, variant): Step) -> Result<(), TestCaseError> {
        // Wake-ups arrive at every tick in between, as in a host.
        let end = self.now + Micros::from(gap) * MS;
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            self.turn(Event::Wake)?;
        }
        match kind_of_event % 8 {
            0..3 => {
                let id = self.messages.len() as MessageId;
                let (class, dest) = (usize::from(subject) % 4, u64::from(variant) % 2 + 1);
                let key = (class == 3).then(|| format!("k{}", variant % 3));
                let expires_at = self.now + 16 * SEC;
                self.messages.insert(
                    id,
                    ModelMessage { class, dest, key: key.clone(), expires_at, ..ModelMessage::default() },
                );
                self.turn(Event::Submit(SubmittedMessage {
                    id,
                    class,
                    tenant: None,
                    key,
                    expires_at,
                    dest,
                    history: MessageHistory::default(),
                }))
            }
            3..7 => {
                let in_flight_attempts: Vec<_> = self
                    .messages
                    .iter()
                    .flat_map(|(id, message)| message.in_flight.iter().map(|a| (*id, *a)))
                    .collect();
                if in_flight_attempts.is_empty() {
                    return Ok(());
                }
                let (id, attempt) = in_flight_attempts[usize::from(subject) % in_flight_attempts.len()];
                self.end(id, attempt, variant)
            }
            _ => {
                let endpoint = [10, 11, 20, 21][usize::from(subject) % 4];
                let listing =
                    [Listing::Serving, Listing::Draining, Listing::Deleted][usize::from(variant) % 3];
                match listing {
                    Listing::Serving => self.serving.insert(endpoint),
                    _ => self.serving.remove(&endpoint),
                };
                let kind = usize::from(dest_of(endpoint) == 2);
                self.turn(Event::ListChanges(vec![EndpointEntry {
                    listing,
                    ..entry(endpoint, dest_of(endpoint), kind)
                }]))
            }
        }
    }

    fn end(&mut self, id: MessageId, attempt: usize, variant: u8) -> Result<(), TestCaseError> {
        let outcome = match variant % 8 {
            0 | 1 => Outcome::Delivered,
            2 => Outcome::Error,
            3 => Outcome::Full { wait: None },
            4 => Outcome::Full { wait: Some(Micros::from(variant) * 10 * MS) },
            5 => Outcome::TimedOut,
            6 => Outcome::ConnectFailed,
            _ => Outcome::Reset,
        };
        let now = self.now;
        let message = self.messages.get_mut(&id).unwrap();
        message.in_flight.remove(&attempt);
        self.calls_in_flight -= 1;
        let (endpoint, sent) = message.sent[attempt];
        message.finished |= outcome == Outcome::Delivered;
        if !outcome.never_ran() {
            message.first_possible_run = message.first_possible_run.or(Some(sent));
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset) {
            message.blocked_until = now + self.settings.ordered_key_gap;
        }
        if let Outcome::Full { wait: Some(wait) } = outcome {
            let until = self.waits.entry(scope_of(endpoint)).or_insert(0);
            *until = (*until).max(now + wait);
        }
        let finished = message.finished;
        self.turn(Event::AttemptEnded(EndedAttempt {
            id,
            attempt,
            outcome,
            elapsed: now - sent,
            finished,
            report: None,
            wait: None,
        }))
    }
}

#[test]
fn rules_of_delivery_hold_over_random_events() {
    let config = Config { cases: 64, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec((0u16..400, any::<u8>(), any::<u8>(), any::<u8>()), 1..150);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let settings = Settings { slots: 4, ..settings() };
            let serving = BTreeSet::from([10, 11, 20, 21]);
            let mut checker = RuleChecker {
                sender: Balancer::new(settings.clone(), 5),
                settings,
                now: 50 * SEC,
                messages: BTreeMap::new(),
                serving,
                waits: BTreeMap::new(),
                calls_in_flight: 0,
            };
            let list = vec![entry(10, 1, 0), entry(11, 1, 0), entry(20, 2, 1), entry(21, 2, 1)];
            checker.turn(Event::FullList(list))?;
            for step in steps {
                checker.step(step)?;
            }
            // Every message is answered by the end.
            checker.step((20_000, 7, 0, 0))?;
            prop_assert!(checker.messages.values().all(|message| message.finished), "a message was lost");
            Ok(())
        })
        .unwrap();
}
