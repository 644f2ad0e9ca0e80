//! What a seed stands for.

use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;
use yarrowhill_checker::{Effect, Terms};
use yarrowhill_faults::{Bug, Point};
use yarrowhill_standins::{Class, Faults, Figures, Line, Rng, configuration};

const CLASSES: [Class; 2] = [
    Class { name: "auth-notice", idempotency: "token", deadline_ms: 2500 },
    Class { name: "settle-order", idempotency: "side_effect", deadline_ms: 2000 },
];
const KEY_LIFE: f64 = 1200.0;
const WARM: f64 = 2000.0;
const FALL_FOR: f64 = 600.0;
const FALL_MULTIPLE: f64 = 2.0;
const START_CAPACITY: f64 = 0.17;
/// How long clients go on handing in messages (ms).
const TRAFFIC: f64 = 3000.0;

/// A destination.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Dest {
    /// Its number.
    pub number: u64,
    /// Whether messages travel to it in batches.
    pub batches: bool,
    /// Endpoints.
    pub endpoints: usize,
    /// Usual time of a call (ms).
    pub pace: f64,
    /// Calls a second.
    pub limit: f64,
    /// What goes wrong there.
    pub faults: Faults,
}

/// Something that happens at a time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Act {
    /// SIGKILL, and a new start after so long (ms).
    Kill(f64),
    /// SIGTERM, SIGKILL 3.7 s later at the latest, and a new start.
    Terminate,
    /// SIGHUP to another discovery; the old one falls silent.
    Reload,
    /// A destination shuts (or falls silent) for so long (ms), and comes back cold.
    Down {
        /// Which, by its place.
        dest: usize,
        /// Shut, or silent.
        shut: bool,
        /// For how long (ms).
        span: f64,
    },
    /// An endpoint drains; so long after (ms) it is gone and a new one stands at its address.
    Replace {
        /// Its destination, by its place.
        dest: usize,
        /// Which of its endpoints.
        endpoint: usize,
        /// How long it drains (ms).
        drains: f64,
    },
    /// Discovery tells nothing for so long (ms).
    Stale(f64),
    /// Every nth request with notices breaks off.
    DropNotices(u64),
}

/// Everything that a seed draws.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Script {
    /// The seed.
    pub seed: u64,
    /// Messages a second.
    pub rate: f64,
    /// Destinations.
    pub dests: Vec<Dest>,
    /// What happens when (ms).
    pub acts: Vec<(f64, Act)>,
    /// Share of clients that leave early, that stop halfway, and that send their request twice.
    pub clients: [f64; 3],
    /// The point at which the process ends by itself, and at which passing.
    pub die: Option<(String, u64)>,
    /// No file of the program's may grow longer (bytes).
    pub file_most: Option<u64>,
    /// The journal is damaged at this part of its length while the process is down.
    pub damage: Option<f64>,
}

impl Script {
    /// Draws it.
    pub fn draw(seed: u64) -> Self {
        let mut rng = Rng::new(seed ^ 0x5eed);
        let dests: Vec<Dest> = (0..3 + rng.below(3))
            .map(|n| {
                let batches = n == 0 || rng.chance(0.4);
                let some = |rng: &mut Rng, share: f64, most: f64| {
                    if rng.chance(share) { rng.between(0.01, most) } else { 0.0 }
                };
                Dest {
                    number: 10 + n,
                    batches,
                    endpoints: 1 + rng.below(3) as usize,
                    pace: rng.between(10.0, 120.0),
                    limit: rng.between(12.0, 60.0),
                    faults: Faults {
                        error: some(&mut rng, 0.3, 0.1),
                        spoilt: some(&mut rng, 0.4, 0.2),
                        silent: some(&mut rng, 0.4, 0.08),
                        late: some(&mut rng, 0.4, 0.15),
                        reset: some(&mut rng, 0.3, 0.1),
                        copy: some(&mut rng, 0.3, 0.2),
                        mixed: some(&mut rng, 0.5, 0.4),
                        last_moment: some(&mut rng, 0.2, 0.1),
                    },
                }
            })
            .collect();
        let mut acts = Vec::new();
        let mut damage = None;
        let mut die = None;
        match rng.below(10) {
            0..3 => {
                acts.push((rng.between(500.0, 2500.0), Act::Kill(rng.between(100.0, 600.0))));
                if rng.chance(0.4) {
                    acts.push((rng.between(2600.0, 4000.0), Act::Kill(100.0)));
                }
                damage = rng.chance(0.15).then(|| rng.part());
            }
            3 => acts.push((rng.between(500.0, 2000.0), Act::Terminate)),
            4..7 => {
                let point = Point::ALL[rng.below(Point::ALL.len() as u64) as usize];
                let nth = if point == Point::BeforeRename { 1 } else { 20 + rng.below(120) };
                die = Some((point.name().to_owned(), nth));
            }
            _ => {}
        }
        if rng.chance(0.5) {
            let dest = rng.below(dests.len() as u64) as usize;
            let (shut, span) = (rng.chance(0.6), rng.between(500.0, 1200.0));
            acts.push((rng.between(300.0, 1200.0), Act::Down { dest, shut, span }));
        }
        for _ in 0..rng.below(3) {
            let dest = rng.below(dests.len() as u64) as usize;
            let endpoint = rng.below(dests[dest].endpoints as u64) as usize;
            let drains = rng.between(100.0, 2500.0);
            acts.push((rng.between(300.0, 2000.0), Act::Replace { dest, endpoint, drains }));
        }
        if rng.chance(0.25) {
            acts.push((rng.between(300.0, 2500.0), Act::Reload));
        } else if rng.chance(0.25) {
            acts.push((rng.between(300.0, 2000.0), Act::Stale(rng.between(200.0, 1500.0))));
        }
        if rng.chance(0.4) {
            acts.push((0.0, Act::DropNotices(2 + rng.below(3))));
        }
        acts.sort_by(|a, b| a.0.total_cmp(&b.0));
        let full = die.is_none() && rng.chance(0.15);
        Script {
            seed,
            rate: rng.between(30.0, 90.0),
            dests,
            acts,
            clients: [rng.between(0.0, 0.05), rng.between(0.0, 0.03), rng.between(0.0, 0.08)],
            die,
            file_most: full.then(|| 512 * (20 + rng.below(60))),
            damage,
        }
    }

    /// The script made for a bug: a calm world in which that alone goes wrong which the bug gets wrong, placed where
    /// it must show. The seed varies traffic and timing.
    pub fn directed(bug: Bug, seed: u64) -> Self {
        let dest = |number, batches, limit, faults| Dest {
            number,
            batches,
            endpoints: 2,
            pace: 30.0,
            limit,
            faults,
        };
        let calm = |faults: Faults| vec![dest(10, true, 60.0, faults.clone()), dest(11, false, 60.0, faults)];
        let none = Faults::default();
        let down = |at, shut, span| (at, Act::Down { dest: 0, shut, span });
        let (dests, acts) = match bug {
            Bug::BelieveLate => (calm(Faults { last_moment: 0.2, late: 0.1, ..none }), vec![]),
            Bug::BelieveCopy => (calm(Faults { copy: 0.2, spoilt: 0.2, reset: 0.1, ..none }), vec![]),
            Bug::SendBeforeJournal => {
                (calm(none), vec![(900.0, Act::Kill(100.0)), (1900.0, Act::Kill(100.0))])
            }
            // Calls that never answer are out when the process ends.
            Bug::ForgetAttempt => (calm(Faults { silent: 0.3, ..none }), vec![(1500.0, Act::Kill(100.0))]),
            // A shut door tells how long it stays shut.
            Bug::IgnoreWait => {
                let other = (1700.0, Act::Down { dest: 1, shut: true, span: 1200.0 });
                (calm(none), vec![down(400.0, true, 1200.0), other])
            }
            Bug::ResetNeverRan => (calm(Faults { reset: 0.3, ..none }), vec![]),
            Bug::SpoiltNeverRan => (calm(Faults { spoilt: 0.3, ..none }), vec![]),
            Bug::NoticeOnce => (calm(Faults { error: 0.3, ..none }), vec![(0.0, Act::DropNotices(2))]),
            Bug::CallDraining => {
                let replace = |at, dest| (at, Act::Replace { dest, endpoint: 0, drains: 2500.0 });
                (calm(none), vec![replace(300.0, 0), replace(300.0, 1)])
            }
            Bug::TakeTwice | Bug::LoseRecord => (calm(none), vec![(1500.0, Act::Kill(100.0))]),
            // No notice is acknowledged before the process ends.
            Bug::ForgetOwed => {
                let acts = vec![(0.0, Act::DropNotices(1)), (2500.0, Act::Kill(400.0))];
                (calm(Faults { error: 0.3, ..none }), acts)
            }
            Bug::DeferredDelivered => (calm(Faults { mixed: 0.5, ..none }), vec![]),
            Bug::HandBack => (calm(Faults { error: 0.3, reset: 0.1, ..none }), vec![]),
            Bug::HideFailures => {
                let faults = none;
                let dests = vec![dest(10, false, 40.0, faults.clone()), dest(11, false, 40.0, faults)];
                (dests, vec![down(600.0, true, 1000.0)])
            }
        };
        let clients = if bug == Bug::TakeTwice { [0.0, 0.0, 0.5] } else { [0.0; 3] };
        Script { seed, rate: 80.0, dests, acts, clients, die: None, file_most: None, damage: None }
    }

    /// When clients stop (ms).
    pub fn traffic(&self) -> f64 {
        TRAFFIC
    }

    /// How long until all must have ended (ms), from the end of the traffic.
    pub fn rest(&self) -> f64 {
        let longest = CLASSES.iter().map(|c| c.deadline_ms).max().unwrap_or(0) as f64;
        // A planned end may take 3.7 s, and what is open is overdue only a while after the next start.
        let planned = self.acts.iter().any(|(_, act)| *act == Act::Terminate);
        longest + 600.0 + if planned { 2000.0 } else { 0.0 }
    }

    /// A message's class by name and how long it may be delivered, drawn.
    pub fn class(rng: &mut Rng) -> (&'static str, u64) {
        let class = CLASSES[usize::from(rng.chance(0.5))];
        // Some have been about for a while.
        let half = class.deadline_ms / 2;
        let left = if rng.chance(0.15) { half + rng.below(half) } else { class.deadline_ms };
        (class.name, left)
    }

    /// The configuration file.
    pub fn config(&self, listen: SocketAddr, discovery: SocketAddr, lines: &[Line]) -> Value {
        let figures = Figures {
            classes: CLASSES.to_vec(),
            key_life_ms: KEY_LIFE,
            aim_ms: 500.0,
            slots: 24,
            fail_back: [FALL_MULTIPLE, FALL_FOR, START_CAPACITY, WARM],
            seed: self.seed,
        };
        configuration(&figures, listen, discovery, lines)
    }

    /// The figures by which it is judged.
    pub fn terms(&self, lateness: f64) -> Terms {
        let effect = |kind: &str| if kind == "token" { Effect::Keyed(KEY_LIFE) } else { Effect::Unsafe };
        Terms {
            classes: CLASSES.iter().map(|c| (c.name.to_owned(), effect(c.idempotency))).collect(),
            fall_multiple: FALL_MULTIPLE,
            fall_for: FALL_FOR,
            start_capacity: START_CAPACITY,
            warm_after: WARM,
            // Half of what the platform allows: the module sends nothing from the moment that it hears.
            drain_grace: 1000.0,
            slack: 60.0 + lateness,
            ..Terms::default()
        }
    }
}
