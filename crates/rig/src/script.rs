//! What a seed stands for.

use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;
use yarrowhill_checker::{Effect, RuleParams};
use yarrowhill_faults::Point;
use yarrowhill_standins::{Class, ConfigParams, EndpointLine, Faults, Resources, Rng, configuration};

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
    #[serde(rename = "pace")]
    pub call_ms: f64,
    /// Calls a second.
    #[serde(rename = "limit")]
    pub calls_per_sec: f64,
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
        #[serde(rename = "span")]
        duration_ms: f64,
    },
    /// An endpoint drains; so long after (ms) it is gone and a new one stands at its address.
    Replace {
        /// Its destination, by its place.
        dest: usize,
        /// Which of its endpoints.
        endpoint: usize,
        /// How long it drains (ms).
        #[serde(rename = "drains")]
        drain_ms: f64,
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
    #[serde(rename = "clients")]
    pub client_faults: [f64; 3],
    /// The point at which the process ends by itself, and at which passing.
    #[serde(rename = "die")]
    pub exit_at: Option<(String, u64)>,
    /// No file of the program's may grow longer (bytes).
    #[serde(rename = "file_most")]
    pub max_file_bytes: Option<u64>,
    /// The journal is damaged at this part of its length while the process is down.
    pub damage: Option<f64>,
    /// The forwarder's shards.
    pub shards: usize,
}

impl Script {
    /// Draws it.
    pub fn draw(seed: u64) -> Self {
        let mut rng = Rng::seed_from_u64(seed ^ 0x5eed);
        let dests: Vec<Dest> = (0..3 + rng.random_range(0..3u64))
            .map(|n| {
                let batches = n == 0 || rng.random_bool(0.4);
                let some = |rng: &mut Rng, share: f64, most: f64| {
                    if rng.random_bool(share) { rng.random_range(0.01..most) } else { 0.0 }
                };
                Dest {
                    number: 10 + n,
                    batches,
                    endpoints: 1 + rng.random_range(0..3usize),
                    call_ms: rng.random_range(10.0..120.0),
                    calls_per_sec: rng.random_range(12.0..60.0),
                    faults: Faults {
                        error: some(&mut rng, 0.3, 0.1),
                        malformed: some(&mut rng, 0.4, 0.2),
                        silent: some(&mut rng, 0.4, 0.08),
                        late: some(&mut rng, 0.4, 0.15),
                        reset: some(&mut rng, 0.3, 0.1),
                        duplicate: some(&mut rng, 0.3, 0.2),
                        duplicate_within_ms: some(&mut rng, 0.5, 300.0),
                        mixed: some(&mut rng, 0.5, 0.4),
                        just_in_time: some(&mut rng, 0.2, 0.1),
                    },
                }
            })
            .collect();
        let mut acts: Vec<(f64, Act)> = Vec::new();
        let mut damage = None;
        let mut exit_at = None;
        match rng.random_range(0..10u32) {
            0..3 => {
                acts.push((rng.random_range(500.0..2500.0), Act::Kill(rng.random_range(100.0..600.0))));
                if rng.random_bool(0.4) {
                    acts.push((rng.random_range(2600.0..4000.0), Act::Kill(100.0)));
                }
                damage = rng.random_bool(0.15).then(|| rng.random::<f64>());
            }
            3 => acts.push((rng.random_range(500.0..2000.0), Act::Terminate)),
            4..7 => {
                let point = Point::ALL[rng.random_range(0..Point::ALL.len())];
                let nth = if point == Point::BeforeRename { 1 } else { 20 + rng.random_range(0..120u64) };
                exit_at = Some((point.name().to_owned(), nth));
            }
            _ => {}
        }
        if rng.random_bool(0.5) {
            let dest = rng.random_range(0..dests.len());
            let (shut, duration_ms) = (rng.random_bool(0.6), rng.random_range(500.0..1200.0));
            acts.push((rng.random_range(300.0..1200.0), Act::Down { dest, shut, duration_ms }));
        }
        for _ in 0..rng.random_range(0..3u32) {
            let dest = rng.random_range(0..dests.len());
            let endpoint = rng.random_range(0..dests[dest].endpoints);
            let drain_ms = rng.random_range(100.0..2500.0);
            acts.push((rng.random_range(300.0..2000.0), Act::Replace { dest, endpoint, drain_ms }));
        }
        if rng.random_bool(0.25) {
            acts.push((rng.random_range(300.0..2500.0), Act::Reload));
        } else if rng.random_bool(0.25) {
            acts.push((rng.random_range(300.0..2000.0), Act::Stale(rng.random_range(200.0..1500.0))));
        }
        if rng.random_bool(0.4) {
            acts.push((0.0, Act::DropNotices(2 + rng.random_range(0..3))));
        }
        acts.sort_by(|a, b| a.0.total_cmp(&b.0));
        let full = exit_at.is_none() && rng.random_bool(0.15);
        Script {
            seed,
            rate: rng.random_range(30.0..90.0),
            dests,
            acts,
            client_faults: [
                rng.random_range(0.0..0.05),
                rng.random_range(0.0..0.03),
                rng.random_range(0.0..0.08),
            ],
            exit_at,
            max_file_bytes: full.then(|| 512 * (20 + rng.random_range(0..60u64))),
            damage,
            shards: 1,
        }
    }

    /// The same with another number of shards.
    pub fn with_shards(self, shards: usize) -> Self {
        let rename = Point::BeforeRename.name();
        // Each segment of a new layout is written once before the program is ready for the first time.
        let exit_at = self.exit_at.map(|(point, nth)| {
            let made = if point == rename && shards > 1 { shards as u64 } else { 0 };
            (point, nth + made)
        });
        Script { shards, exit_at, ..self }
    }

    /// When clients stop (ms).
    pub fn traffic_ms(&self) -> f64 {
        TRAFFIC
    }

    /// How long until all must have ended (ms), from the end of the traffic.
    pub fn settle_ms(&self) -> f64 {
        let longest = CLASSES.iter().map(|c| c.deadline_ms).max().unwrap_or(0) as f64;
        // A planned end may take 3.7 s, and what is open is overdue only a while after the next start.
        let planned = self.acts.iter().any(|(_, act)| *act == Act::Terminate);
        longest + 600.0 + if planned { 2000.0 } else { 0.0 }
    }

    /// A message's class by name and how long it may be delivered, drawn.
    pub fn draw_class(rng: &mut Rng) -> (&'static str, u64) {
        let class = CLASSES[usize::from(rng.random_bool(0.5))];
        // Some have been about for a while.
        let half = class.deadline_ms / 2;
        let left = if rng.random_bool(0.15) { half + rng.random_range(0..half) } else { class.deadline_ms };
        (class.name, left)
    }

    /// The configuration file.
    pub fn config(&self, listen: SocketAddr, discovery: SocketAddr, lines: &[EndpointLine]) -> Value {
        let figures = ConfigParams {
            classes: CLASSES.to_vec(),
            key_ttl_ms: KEY_LIFE,
            goal_time_ms: 500.0,
            slots: 24,
            fail_back: [FALL_MULTIPLE, FALL_FOR, START_CAPACITY, WARM],
            seed: self.seed,
            resources: Resources::default(),
        };
        let mut config = configuration(&figures, listen, discovery, lines);
        config["shards"] = self.shards.into();
        config
    }

    /// The figures by which it is judged.
    pub fn rule_params(&self, lateness_ms: f64) -> RuleParams {
        let effect = |kind: &str| if kind == "token" { Effect::Keyed(KEY_LIFE) } else { Effect::Unsafe };
        RuleParams {
            classes: CLASSES.iter().map(|c| (c.name.to_owned(), effect(c.idempotency))).collect(),
            overload_multiple: FALL_MULTIPLE,
            overload_for_ms: FALL_FOR,
            start_capacity: START_CAPACITY,
            warm_up_ms: WARM,
            // Half of what the platform allows: the module sends nothing from the moment that it hears.
            drain_grace_ms: 1000.0,
            clock_slack_ms: 60.0 + lateness_ms,
            ..RuleParams::default()
        }
    }
}
