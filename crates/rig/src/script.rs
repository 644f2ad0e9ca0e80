//! Scripts: the destinations, faults and client behaviour that a seed determines.

use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;
use yarrowhill_checker::{Effect, RuleParams};
use yarrowhill_faults::Point;
use yarrowhill_standins::{Class, ConfigParams, EndpointLine, Faults, Resources, Rng, configuration};

/// Message classes: one with an idempotency key, and one that must not be repeated.
const CLASSES: [Class; 2] = [
    Class { name: "auth-notice", idempotency: "token", deadline_ms: 2500 },
    Class { name: "settle-order", idempotency: "side_effect", deadline_ms: 2000 },
];
/// Time for which destinations remember an idempotency key.
const KEY_TTL_MS: f64 = 1200.0;
/// Time that a recovered destination takes to reach its full capacity.
const WARM_UP_MS: f64 = 2000.0;
/// Period over which calls to a recovered destination are counted against its capacity.
const OVERLOAD_FOR_MS: f64 = 600.0;
/// Multiple of its capacity at which a recovered destination is overloaded.
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// Share of its capacity that a destination has right after an outage.
const START_CAPACITY: f64 = 0.17;
/// Share of the answers that are written twice, in scripts about that.
const COPIED_SHARE: f64 = 0.3;
/// Longest delay of these second answers (ms).
const COPIED_WITHIN_MS: f64 = 400.0;
/// Duration for which clients submit messages (ms).
const TRAFFIC_MS: f64 = 3000.0;

/// A destination of a script.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Dest {
    /// Number of the destination.
    pub number: u64,
    /// Whether it takes messages in batches.
    pub batches: bool,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Typical duration of a call (ms).
    #[serde(rename = "pace")]
    pub call_ms: f64,
    /// Limit on calls per second.
    #[serde(rename = "limit")]
    pub calls_per_sec: f64,
    /// Faults that its endpoints inject.
    pub faults: Faults,
}

/// A fault that a script injects at a given time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Act {
    /// Kills the process by SIGKILL and restarts it after this pause (ms).
    Kill(f64),
    /// Ends the process by SIGTERM, and by SIGKILL if it runs 3.7 s later, and restarts it.
    Terminate,
    /// Switches the process to another discovery by SIGHUP; the old one sends nothing more.
    Reload,
    /// A destination refuses or ignores all calls for some time, and recovers cold.
    Down {
        /// Index of the destination.
        dest: usize,
        /// Whether it refuses calls; otherwise it does not answer them.
        shut: bool,
        /// Duration of the outage (ms).
        #[serde(rename = "span")]
        duration_ms: f64,
    },
    /// An endpoint drains, and is then replaced by a new one at the same address.
    Replace {
        /// Index of its destination.
        dest: usize,
        /// Index of the endpoint at the destination.
        endpoint: usize,
        /// Duration of the drain (ms).
        #[serde(rename = "drains")]
        drain_ms: f64,
    },
    /// Discovery sends no updates for this time (ms).
    Stale(f64),
    /// Every nth request that carries notices is cut off.
    DropNotices(u64),
}

/// Everything that a seed draws.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Script {
    /// Seed that the script was drawn from.
    pub seed: u64,
    /// Messages per second.
    pub rate: f64,
    /// Destinations that messages are sent to.
    pub dests: Vec<Dest>,
    /// Faults with their times from the start of the run (ms), in order.
    pub acts: Vec<(f64, Act)>,
    /// Shares of clients that time out early, that abort midway through the request, and that send
    /// duplicates.
    #[serde(rename = "clients")]
    pub client_faults: [f64; 3],
    /// Fault point at which the process exits, and the number of times that it must be reached (1 for the
    /// first).
    #[serde(rename = "die")]
    pub exit_at: Option<(String, u64)>,
    /// Maximum size of a file that the program writes (bytes).
    #[serde(rename = "file_most")]
    pub max_file_bytes: Option<u64>,
    /// Position, as a part of its length, at which the journal is corrupted while the process is down.
    pub damage: Option<f64>,
    /// Number of shards of the forwarder.
    pub shards: usize,
}

impl Script {
    /// Draws the script of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = Rng::seed_from_u64(seed ^ 0x5eed);
        let dests: Vec<Dest> = (0..3 + rng.random_range(0..3u64))
            .map(|n| {
                let batches = n == 0 || rng.random_bool(0.4);
                let maybe = |rng: &mut Rng, probability: f64, max: f64| {
                    if rng.random_bool(probability) { rng.random_range(0.01..max) } else { 0.0 }
                };
                Dest {
                    number: 10 + n,
                    batches,
                    endpoints: 1 + rng.random_range(0..3usize),
                    call_ms: rng.random_range(10.0..120.0),
                    calls_per_sec: rng.random_range(12.0..60.0),
                    faults: Faults {
                        error: maybe(&mut rng, 0.3, 0.1),
                        malformed: maybe(&mut rng, 0.4, 0.2),
                        silent: maybe(&mut rng, 0.4, 0.08),
                        late: maybe(&mut rng, 0.4, 0.15),
                        reset: maybe(&mut rng, 0.3, 0.1),
                        duplicate: maybe(&mut rng, 0.3, 0.2),
                        duplicate_within_ms: maybe(&mut rng, 0.5, 300.0),
                        mixed: maybe(&mut rng, 0.5, 0.4),
                        just_in_time: maybe(&mut rng, 0.2, 0.1),
                        duplicate_any: 0.0,
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
        let limit_file_size = exit_at.is_none() && rng.random_bool(0.15);
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
            max_file_bytes: limit_file_size.then(|| 512 * (20 + rng.random_range(0..60u64))),
            damage,
            shards: 1,
        }
    }

    /// Returns the script with another number of shards.
    pub fn with_shards(self, shards: usize) -> Self {
        let before_rename = Point::BeforeRename.name();
        // Each segment of a new layout is renamed into place once before the program is ready for the first
        // time.
        let exit_at = self.exit_at.map(|(point, nth)| {
            let segments = if point == before_rename && shards > 1 { shards as u64 } else { 0 };
            (point, nth + segments)
        });
        Script { shards, exit_at, ..self }
    }

    /// Returns the script with endpoints that write answers of all kinds twice.
    pub fn with_copied_answers(mut self) -> Self {
        for dest in &mut self.dests {
            dest.faults.duplicate_any = COPIED_SHARE;
            dest.faults.duplicate_within_ms = COPIED_WITHIN_MS;
        }
        self
    }

    /// Returns the time at which clients stop submitting messages (ms).
    pub fn traffic_ms(&self) -> f64 {
        TRAFFIC_MS
    }

    /// Returns the time from the end of the traffic until all messages must have ended (ms).
    pub fn settle_ms(&self) -> f64 {
        let max_deadline = CLASSES.iter().map(|c| c.deadline_ms).max().unwrap_or(0) as f64;
        // A termination may take 3.7 s, and open messages become overdue only some time after the restart.
        let terminates = self.acts.iter().any(|(_, act)| *act == Act::Terminate);
        max_deadline + 600.0 + if terminates { 2000.0 } else { 0.0 }
    }

    /// Draws the class of a message, by name, and the time until its deadline (ms).
    pub fn draw_class(rng: &mut Rng) -> (&'static str, u64) {
        let class = CLASSES[usize::from(rng.random_bool(0.5))];
        // Some messages have used up to half of their time before they are submitted.
        let half = class.deadline_ms / 2;
        let left = if rng.random_bool(0.15) { half + rng.random_range(0..half) } else { class.deadline_ms };
        (class.name, left)
    }

    /// Returns the configuration file of the forwarder.
    pub fn config(&self, listen: SocketAddr, discovery: SocketAddr, lines: &[EndpointLine]) -> Value {
        let params = ConfigParams {
            classes: CLASSES.to_vec(),
            key_ttl_ms: KEY_TTL_MS,
            goal_time_ms: 500.0,
            slots: 24,
            fail_back: [OVERLOAD_MULTIPLE, OVERLOAD_FOR_MS, START_CAPACITY, WARM_UP_MS],
            seed: self.seed,
            resources: Resources::default(),
        };
        let mut config = configuration(&params, listen, discovery, lines);
        config["shards"] = self.shards.into();
        config
    }

    /// Returns the parameters of the rules, for a run with clocks that were up to `lateness_ms` late.
    pub fn rule_params(&self, lateness_ms: f64) -> RuleParams {
        let effect = |kind: &str| if kind == "token" { Effect::Keyed(KEY_TTL_MS) } else { Effect::Unsafe };
        RuleParams {
            classes: CLASSES.iter().map(|c| (c.name.to_owned(), effect(c.idempotency))).collect(),
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_for_ms: OVERLOAD_FOR_MS,
            start_capacity: START_CAPACITY,
            warm_up_ms: WARM_UP_MS,
            // Half of what the platform allows: the module must send nothing once it has received the change.
            drain_grace_ms: 1000.0,
            clock_slack_ms: 60.0 + lateness_ms,
            ..RuleParams::default()
        }
    }
}
