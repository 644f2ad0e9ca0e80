//! The six rules over random legal events: a small referee that knows the rules and no policy.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use yarrowhill_policy::Balancer;
use yarrowhill_policy::api::*;

/// One step: how much time passes, what happens, and two numbers that choose of what and how.
type Step = (u16, u8, u8, u8);

#[derive(Default)]
struct Msg {
    class: usize,
    dest: DestId,
    key: Option<String>,
    expires_at: Micros,
    sent: Vec<(EndpointId, Micros)>,
    out: BTreeSet<usize>,
    first_possible_run: Option<Micros>,
    rest_until: Micros,
    over: bool,
}

struct Referee {
    s: Settings,
    sender: Balancer,
    now: Micros,
    messages: BTreeMap<MessageId, Msg>,
    serving: BTreeSet<EndpointId>,
    waits: BTreeMap<u64, Micros>,
    calls: usize,
}

/// Destinations 1 (plain), 2 (routes apart) with endpoints 10, 11 and 20, 21.
fn dest_of(endpoint: EndpointId) -> DestId {
    endpoint / 10
}

/// Where a wait binds: the destination, or the route.
fn scope_of(endpoint: EndpointId) -> u64 {
    if dest_of(endpoint) == 2 { endpoint } else { dest_of(endpoint) }
}

impl Referee {
    fn turn(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        let told = self.waits.clone();
        self.sender.on_event(self.now, event, &mut actions);
        self.sender.on_event(self.now, Event::TurnEnd, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, endpoint, .. } => self.send(id, endpoint, &told)?,
                Action::Refuse { id, .. } => {
                    let m = self.messages.get_mut(&id).unwrap();
                    prop_assert!(!m.over, "second answer");
                    let safe = self.s.classes[m.class].effect == Effect::Safe;
                    prop_assert!(
                        safe || (m.first_possible_run.is_none() && m.out.is_empty()),
                        "refused what may have run"
                    );
                    m.over = true;
                }
                Action::Fail { id } => {
                    let m = self.messages.get_mut(&id).unwrap();
                    prop_assert!(!m.over, "second answer");
                    m.over = true;
                }
                _ => {}
            }
        }
        for m in self.messages.values() {
            prop_assert!(m.over || self.now <= m.expires_at + 20 * MS, "no answer in time");
        }
        Ok(())
    }

    fn send(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        told: &BTreeMap<u64, Micros>,
    ) -> Result<(), TestCaseError> {
        let mut earlier = self.messages.range(..id);
        let m = &self.messages[&id];
        if m.key.is_some() {
            let open = |e: &Msg| !e.over || !e.out.is_empty() || self.now < e.rest_until;
            prop_assert!(!earlier.any(|(_, e)| e.key == m.key && open(e)), "out of its turn");
        }
        prop_assert!(!m.over, "sent after its end");
        prop_assert_eq!(dest_of(endpoint), m.dest);
        prop_assert!(self.serving.contains(&endpoint), "sent to a draining endpoint");
        prop_assert!(m.out.is_empty() && m.sent.len() < self.s.max_attempts);
        prop_assert!(self.now >= told.get(&scope_of(endpoint)).copied().unwrap_or(0), "wait not heeded");
        match self.s.classes[m.class].effect {
            Effect::Unsafe => prop_assert!(m.first_possible_run.is_none(), "unsafe, and it may have run"),
            Effect::Keyed { life, .. } => {
                prop_assert!(
                    m.first_possible_run.is_none_or(|first| self.now <= first + life),
                    "key forgotten"
                )
            }
            Effect::Safe => {}
        }
        self.calls += 1;
        prop_assert!(self.calls <= self.s.slots, "more calls than slots");
        let now = self.now;
        let m = self.messages.get_mut(&id).unwrap();
        m.out.insert(m.sent.len());
        m.sent.push((endpoint, now));
        Ok(())
    }

    fn step(&mut self, (gap, what, which, how): Step) -> Result<(), TestCaseError> {
        // Alarms ring at every tick in between, as they would.
        let end = self.now + Micros::from(gap) * MS;
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            self.turn(Event::Wake)?;
        }
        match what % 8 {
            0..3 => {
                let id = self.messages.len() as MessageId;
                let (class, dest) = (usize::from(which) % 4, u64::from(how) % 2 + 1);
                let key = (class == 3).then(|| format!("k{}", how % 3));
                let expires_at = self.now + 16 * SEC;
                self.messages.insert(id, Msg { class, dest, key: key.clone(), expires_at, ..Msg::default() });
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
                let open: Vec<_> =
                    self.messages.iter().flat_map(|(id, m)| m.out.iter().map(|a| (*id, *a))).collect();
                if open.is_empty() {
                    return Ok(());
                }
                let (id, attempt) = open[usize::from(which) % open.len()];
                self.end(id, attempt, how)
            }
            _ => {
                let endpoint = [10, 11, 20, 21][usize::from(which) % 4];
                let listing = [Listing::Serving, Listing::Draining, Listing::Deleted][usize::from(how) % 3];
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

    fn end(&mut self, id: MessageId, attempt: usize, how: u8) -> Result<(), TestCaseError> {
        let outcome = match how % 8 {
            0 | 1 => Outcome::Delivered,
            2 => Outcome::Error,
            3 => Outcome::Full { wait: None },
            4 => Outcome::Full { wait: Some(Micros::from(how) * 10 * MS) },
            5 => Outcome::TimedOut,
            6 => Outcome::ConnectFailed,
            _ => Outcome::Reset,
        };
        let now = self.now;
        let m = self.messages.get_mut(&id).unwrap();
        m.out.remove(&attempt);
        self.calls -= 1;
        let (endpoint, sent) = m.sent[attempt];
        m.over |= outcome == Outcome::Delivered;
        if !outcome.never_ran() {
            m.first_possible_run = m.first_possible_run.or(Some(sent));
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset) {
            m.rest_until = now + self.s.ordered_key_gap;
        }
        if let Outcome::Full { wait: Some(wait) } = outcome {
            let until = self.waits.entry(scope_of(endpoint)).or_insert(0);
            *until = (*until).max(now + wait);
        }
        let finished = m.over;
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
fn the_rules_hold_over_random_events() {
    let config = Config { cases: 64, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec((0u16..400, any::<u8>(), any::<u8>(), any::<u8>()), 1..150);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let s = Settings { slots: 4, ..settings() };
            let serving = BTreeSet::from([10, 11, 20, 21]);
            let mut referee = Referee {
                sender: Balancer::new(s.clone(), 5),
                s,
                now: 50 * SEC,
                messages: BTreeMap::new(),
                serving,
                waits: BTreeMap::new(),
                calls: 0,
            };
            let list = vec![entry(10, 1, 0), entry(11, 1, 0), entry(20, 2, 1), entry(21, 2, 1)];
            referee.turn(Event::FullList(list))?;
            for step in steps {
                referee.step(step)?;
            }
            // All is answered by the end.
            referee.step((20_000, 7, 0, 0))?;
            prop_assert!(referee.messages.values().all(|m| m.over), "a message was lost");
            Ok(())
        })
        .unwrap();
}
