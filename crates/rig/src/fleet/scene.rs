//! Chaos scenes for a fleet, given as a value, as a KDL document, or by a seed.

use super::relay::LinkQuality;
use kdl::{KdlDocument, KdlNode, KdlValue};
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use yarrowhill_standins::Rng;

/// State of a process's folder at a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum StateFolder {
    /// As the previous process left it.
    Kept,
    /// Without the identity and the duty registers.
    Emptied,
    /// With the identity and the duty registers of the last start but one.
    Old,
}

/// An act of a scene: a fault, or another change. Processes are numbered from 0. The variants have the names
/// of the KDL nodes; durations and intervals are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum FleetAct {
    /// Cuts the direction from the first process to the second.
    Cut(usize, usize),
    /// Cuts both directions between two processes.
    Part(usize, usize),
    /// Partitions the network: processes with different group numbers cannot reach each other.
    Islands(Vec<usize>),
    /// Sets the quality of all links; links that are cut stay cut.
    Weather(LinkQuality),
    /// Sets the quality of the direction from the first process to the second.
    Link(usize, usize, LinkQuality),
    /// Restores all links and resets their quality.
    Heal,
    /// Pauses a process by SIGSTOP and resumes it by SIGCONT after this duration.
    Stall(usize, f64),
    /// Ends a process by SIGKILL.
    Kill(usize),
    /// Ends a process by SIGTERM.
    Terminate(usize),
    /// Restarts a process that has ended.
    Start(usize, StateFolder),
    /// Cuts and restores all links of a process in turn, at this interval and for this duration.
    Flap(usize, f64, f64),
    /// Sends this number of invalid packets to a process, from an address that is not in the roster.
    Flood(usize, usize),
    /// Opens this number of client connections to a process and holds them idle for this duration.
    Crowd(usize, usize, f64),
    /// Makes a process fail to store boot numbers and duty registers (`true`), or lets it store them again.
    Disk(usize, bool),
    /// Runs a duplicate under the name of a process, with its own folder, for this duration.
    Twin(usize, f64),
    /// Starts a joint roster step: all documents name these members beside the previous ones, and all
    /// processes reload.
    Joint(Vec<usize>),
    /// Completes the joint step: all documents name the new members alone, and all processes reload.
    Settle,
    /// Gives a stopped process another address in all documents, and all processes reload.
    Move(usize),
    /// Sets the limit in all documents (calls per second to each destination), and all processes reload.
    Limit(f64),
    /// Closes a destination of one process, the first (0) or second (1), for this duration; refusals return a
    /// wait.
    Shut(usize, usize, f64),
    /// Directs the largest share of the traffic to this process.
    Busy(usize),
    /// Sends an operator request to this process to yield all duties.
    Yield(usize),
    /// Sends an operator request to the first process to pin the first duty to the second process.
    Pin(usize, usize),
    /// The first (0) or second (1) destination of all processes answers nothing for this duration, and
    /// recovers cold.
    Down(usize, f64),
}

/// How processes divide a limit that they share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Sharing {
    /// By rights that they lend and borrow.
    Rights,
    /// By rights that they lend and borrow; but each process detects outages by its own calls alone, and
    /// recovers from them independently.
    Apart,
    /// Each process has a fixed, equal share.
    Even,
    /// The documents name no limit; each process adapts on its own, as a single forwarder does.
    Alone,
}

/// A chaos scene over several processes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetScene {
    /// Name of the scene.
    pub name: String,
    /// Seed of the random draws of network and traffic.
    pub seed: u64,
    /// Number of processes.
    pub size: usize,
    /// Probe period (ms).
    #[serde(rename = "period")]
    pub period_ms: u64,
    /// Acts with their times (ms after all processes are ready), in order.
    pub acts: Vec<(f64, FleetAct)>,
    /// End of the scene (ms).
    #[serde(rename = "end")]
    pub end_ms: f64,
    /// Mean number of messages per second to each process.
    pub rate: f64,
    /// Maximum number of file descriptors of each process; `None` keeps the limit of the machine.
    #[serde(rename = "descriptors")]
    pub max_descriptors: Option<u64>,
    /// Limit in calls per second to each destination, for all processes together, and how they keep to it.
    pub limit: Option<(f64, Sharing)>,
    /// Number of duties in the documents.
    pub duties: usize,
    /// Share of all traffic that goes to the busy process, at first process 0; `None` distributes it evenly.
    #[serde(rename = "busy")]
    pub busy_share: Option<f64>,
}

/// Default probe period (ms). It is short, so that scenes are short, and long compared with scheduling
/// delays.
const DEFAULT_PERIOD_MS: u64 = 150;
/// Number of periods after the last act until a scene ends, so that all processes can agree on a view.
pub(super) const SETTLE_PERIODS: f64 = 60.0;
/// Number of periods for which a process remembers a duplicate of its own name.
pub(super) const DUPLICATE_EXPIRY_PERIODS: f64 = 50.0;
/// Default number of messages per second to each process.
const DEFAULT_RATE: f64 = 15.0;

impl FleetScene {
    /// Creates a scene of these acts, with defaults for everything else.
    pub fn new(name: &str, size: usize, acts: Vec<(f64, FleetAct)>) -> Self {
        let last = acts.iter().map(|(at, act)| at + act.duration_ms()).fold(0.0, f64::max);
        let end_ms = last + SETTLE_PERIODS * DEFAULT_PERIOD_MS as f64;
        let name = name.to_owned();
        let (max_descriptors, limit, busy_share) = (None, None, None);
        let duties = 0;
        FleetScene {
            name,
            seed: 1,
            size,
            period_ms: DEFAULT_PERIOD_MS,
            acts,
            end_ms,
            rate: DEFAULT_RATE,
            max_descriptors,
            limit,
            duties,
            busy_share,
        }
    }

    /// Returns the number of messages per second to `process` while `busy` is the busy process.
    pub(super) fn rate_of(&self, process: usize, busy: usize) -> f64 {
        let (all, others) = (self.rate * self.size as f64, (self.size as f64 - 1.0).max(1.0));
        match self.busy_share {
            Some(share) if process == busy => all * share,
            Some(share) => all * (1.0 - share) / others,
            None => self.rate,
        }
    }

    /// Draws the scene of a seed with a limit that all processes share. The demand exceeds the limit, and a
    /// third of it goes to one process.
    pub fn draw_with_limit(seed: u64) -> Self {
        let mut scene = FleetScene::draw(seed);
        let mut rng = Rng::seed_from_u64(seed ^ 0x11a1f);
        let calls = rng.random_range(20.0..60.0);
        (scene.limit, scene.busy_share) = (Some((calls, Sharing::Rights)), Some(0.34));
        // Each of the two destinations gets half of the traffic.
        scene.rate = 2.6 * calls / scene.size as f64;
        let at = scene.acts.first().map_or(1000.0, |(at, _)| *at)
            + rng.random_range(5.0..60.0) * DEFAULT_PERIOD_MS as f64;
        let after = scene.acts.iter().position(|(other, _)| *other > at).unwrap_or(scene.acts.len());
        scene.acts.insert(after, (at, FleetAct::Limit(calls * [0.1, 0.5, 2.0][rng.random_range(0..3)])));
        scene.end_ms = scene.end_ms.max(at + SETTLE_PERIODS * DEFAULT_PERIOD_MS as f64);
        scene.name = format!("limited seed {seed}");
        scene
    }

    /// Draws the scene of a seed with duties, with operator requests that move some of them.
    pub fn draw_with_duties(seed: u64) -> Self {
        let mut scene = FleetScene::draw(seed);
        let mut rng = Rng::seed_from_u64(seed ^ 0xd071e5);
        for (_, act) in &mut scene.acts {
            let process = rng.random_range(0..scene.size);
            // Replaces floods and idle connections, which do not concern duties.
            if matches!(act, FleetAct::Flood(..) | FleetAct::Crowd(..)) {
                let other = rng.random_range(0..scene.size);
                *act = if rng.random_bool(0.5) {
                    FleetAct::Yield(process)
                } else {
                    FleetAct::Pin(process, other)
                };
            }
        }
        scene.duties = 2;
        scene.rate = 4.0;
        scene.name = format!("dutiful seed {seed}");
        scene
    }

    /// Draws the scene of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = Rng::seed_from_u64(seed ^ 0xf1ee7);
        let size = [3, 3, 5, 5, 9][rng.random_range(0..5)];
        let period = DEFAULT_PERIOD_MS as f64;
        let mut acts = Vec::new();
        let mut dead = std::collections::BTreeSet::new();
        let mut at = rng.random_range(5.0..15.0) * period;
        for _ in 0..rng.random_range(3..9) {
            let process = rng.random_range(0..size);
            let other = (process + rng.random_range(1..size)) % size;
            let act = match rng.random_range(0..13) {
                0 => FleetAct::Cut(process, other),
                1 => FleetAct::Part(process, other),
                2 | 3 => FleetAct::Islands((0..size).map(|_| rng.random_range(0..2)).collect()),
                4 => FleetAct::Weather(LinkQuality {
                    loss: rng.random_range(0.0..0.15),
                    duplicate: rng.random_range(0.0..0.1),
                    delay_ms: rng.random_range(0.0..period / 10.0),
                    jitter_ms: rng.random_range(0.0..period / 10.0),
                    ..LinkQuality::default()
                }),
                5 => {
                    FleetAct::Link(process, other, LinkQuality { half_open: true, ..LinkQuality::default() })
                }
                6 => FleetAct::Heal,
                7 | 8 => FleetAct::Stall(process, rng.random_range(1.0..40.0) * period),
                9 => FleetAct::Flap(process, 4.0 * period, 30.0 * period),
                _ if dead.remove(&process) => {
                    let folders =
                        [StateFolder::Kept, StateFolder::Kept, StateFolder::Emptied, StateFolder::Old];
                    FleetAct::Start(process, folders[rng.random_range(0..4)])
                }
                10 => {
                    dead.insert(process);
                    FleetAct::Terminate(process)
                }
                _ => {
                    dead.insert(process);
                    FleetAct::Kill(process)
                }
            };
            acts.push((at, act));
            at += if rng.random_bool(0.3) { 1.0 } else { rng.random_range(1.0..15.0) * period };
        }
        // At the end all links are restored and all processes run.
        at += 45.0 * period;
        acts.push((at, FleetAct::Heal));
        acts.extend(dead.into_iter().map(|n| (at, FleetAct::Start(n, StateFolder::Kept))));
        FleetScene { seed, ..FleetScene::new(&format!("seed {seed}"), size, acts) }
    }

    /// Parses a scene from a KDL document.
    ///
    /// ```
    /// let text = r#"
    /// scene "one alone" size=3 {
    ///     at 1000 { islands 0 1 1; }
    ///     at 5000 { heal; }
    /// }"#;
    /// let scene = yarrowhill_rig::FleetScene::parse(text).unwrap();
    /// assert_eq!((scene.size, scene.acts.len()), (3, 2));
    /// ```
    ///
    /// # Errors
    ///
    /// The document is not valid KDL, or not a valid scene.
    pub fn parse(text: &str) -> Result<Self, SceneError> {
        let document: KdlDocument = text.parse().map_err(|e: kdl::KdlError| SceneError(e.to_string()))?;
        let node = document.get("scene").ok_or_else(|| SceneError("missing node `scene`".into()))?;
        let name = node.get(0).and_then(KdlValue::as_string).unwrap_or("scene");
        let size = number(node, "size")? as usize;
        if !(1..=50).contains(&size) {
            return Err(SceneError(format!("size={size}: must be 1 to 50 processes")));
        }
        let mut acts = Vec::new();
        for at in node.children().map(KdlDocument::nodes).unwrap_or_default() {
            let when = at.get(0).and_then(value).filter(|_| at.name().value() == "at");
            let when =
                when.ok_or_else(|| SceneError(format!("{}: expected `at MS {{ ... }}`", at.name().value())))?;
            for act in at.children().map(KdlDocument::nodes).unwrap_or_default() {
                acts.push((when, parse_act(act, size)?));
            }
        }
        let mut scene = FleetScene::new(name, size, acts);
        if node.get("seed").is_some() {
            scene.seed = number(node, "seed")? as u64;
        }
        if node.get("descriptors").is_some() {
            scene.max_descriptors = Some(number(node, "descriptors")? as u64);
        }
        if node.get("limit").is_some() {
            let sharing = match node.get("share").and_then(KdlValue::as_string) {
                None | Some("rights") => Sharing::Rights,
                Some("apart") => Sharing::Apart,
                Some("even") => Sharing::Even,
                Some("alone") => Sharing::Alone,
                Some(_) => return Err(SceneError("share must be rights, apart, even or alone".into())),
            };
            scene.limit = Some((number(node, "limit")?, sharing));
        }
        if node.get("duties").is_some() {
            scene.duties = (number(node, "duties")? as usize).min(16);
        }
        if node.get("busy").is_some() {
            scene.busy_share = Some(number(node, "busy")?.min(1.0));
        }
        if node.get("rate").is_some() {
            scene.rate = number(node, "rate")?.min(1000.0);
        }
        if node.get("period-ms").is_some() {
            scene.period_ms = (number(node, "period-ms")? as u64).clamp(20, 10_000);
            scene.end_ms += SETTLE_PERIODS * (scene.period_ms as f64 - DEFAULT_PERIOD_MS as f64);
        }
        Ok(scene)
    }
}

impl FleetAct {
    /// Returns how long the act lasts (ms).
    pub(super) fn duration_ms(&self) -> f64 {
        match self {
            FleetAct::Stall(_, duration)
            | FleetAct::Flap(_, _, duration)
            | FleetAct::Crowd(_, _, duration)
            | FleetAct::Shut(_, _, duration)
            | FleetAct::Down(_, duration) => *duration,
            // Includes the time until the other members forget the duplicate.
            FleetAct::Twin(_, duration) => *duration + DUPLICATE_EXPIRY_PERIODS * DEFAULT_PERIOD_MS as f64,
            _ => 0.0,
        }
    }
}

/// Error of parsing a scene document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SceneError(String);

fn value(value: &KdlValue) -> Option<f64> {
    value.as_integer().map(|n| n as f64).or_else(|| value.as_float())
}

fn number(node: &KdlNode, name: &str) -> Result<f64, SceneError> {
    let number = node.get(name).and_then(value).filter(|n| n.is_finite() && *n >= 0.0);
    number
        .ok_or_else(|| SceneError(format!("{}: {name}= must be a number of 0 or more", node.name().value())))
}

fn parse_act(node: &KdlNode, size: usize) -> Result<FleetAct, SceneError> {
    let name = node.name().value();
    let error = |what: &str| SceneError(format!("{name}: {what}"));
    let numbers: Vec<f64> =
        node.entries().iter().filter(|e| e.name().is_none()).filter_map(|e| value(e.value())).collect();
    let process = |n: usize| {
        let process = numbers.get(n).map(|n| *n as usize).filter(|n| *n < size);
        process.ok_or_else(|| error(&format!("argument {} must be the number of a process", n + 1)))
    };
    let amount = |n: usize| {
        let amount = numbers.get(n).copied().filter(|n| *n >= 0.0);
        amount.ok_or_else(|| error(&format!("argument {} must be a number of 0 or more", n + 1)))
    };
    let optional = |key: &str| node.get(key).and_then(value).unwrap_or(0.0).max(0.0);
    let quality = || LinkQuality {
        loss: optional("loss").min(1.0),
        duplicate: optional("twice").min(1.0),
        delay_ms: optional("delay"),
        jitter_ms: optional("jitter"),
        cut: false,
        half_open: node.get("half-open").and_then(KdlValue::as_bool).unwrap_or(false),
        bytes_per_sec: node.get("bytes").and_then(value).map(|b| b as u64),
    };
    Ok(match name {
        "cut" => FleetAct::Cut(process(0)?, process(1)?),
        "part" => FleetAct::Part(process(0)?, process(1)?),
        "islands" if numbers.len() == size => {
            FleetAct::Islands(numbers.iter().map(|n| *n as usize).collect())
        }
        "islands" => {
            let count = numbers.len();
            return Err(error(&format!("needs {size} group numbers, one for each process, and has {count}")));
        }
        "weather" => FleetAct::Weather(quality()),
        "link" => FleetAct::Link(process(0)?, process(1)?, quality()),
        "heal" => FleetAct::Heal,
        "stall" => FleetAct::Stall(process(0)?, amount(1)?),
        "kill" => FleetAct::Kill(process(0)?),
        "terminate" => FleetAct::Terminate(process(0)?),
        "start" => match node.get("folder").and_then(KdlValue::as_string) {
            None | Some("kept") => FleetAct::Start(process(0)?, StateFolder::Kept),
            Some("emptied") => FleetAct::Start(process(0)?, StateFolder::Emptied),
            Some("old") => FleetAct::Start(process(0)?, StateFolder::Old),
            Some(folder) => {
                return Err(error(&format!("folder is {folder:?}; it must be kept, emptied or old")));
            }
        },
        "flap" => FleetAct::Flap(process(0)?, amount(1)?, amount(2)?),
        "flood" => FleetAct::Flood(process(0)?, amount(1)? as usize),
        "crowd" => FleetAct::Crowd(process(0)?, amount(1)? as usize, amount(2)?),
        "disk" => FleetAct::Disk(process(0)?, node.get("full").and_then(KdlValue::as_bool).unwrap_or(true)),
        "twin" => FleetAct::Twin(process(0)?, amount(1)?),
        "joint" => FleetAct::Joint((0..numbers.len()).map(process).collect::<Result<_, _>>()?),
        "settle" => FleetAct::Settle,
        "move" => FleetAct::Move(process(0)?),
        "limit" => FleetAct::Limit(amount(0)?),
        "busy" => FleetAct::Busy(process(0)?),
        "yield" => FleetAct::Yield(process(0)?),
        "pin" => FleetAct::Pin(process(0)?, process(1)?),
        "down" => FleetAct::Down(amount(0)? as usize, amount(1)?),
        "shut" => FleetAct::Shut(process(0)?, amount(1)? as usize, amount(2)?),
        _ => return Err(error("unknown act")),
    })
}

/// Returns the directed scenes of membership: one for each known hard case.
pub fn directed_scenes() -> Vec<FleetScene> {
    use FleetAct::*;
    let p = DEFAULT_PERIOD_MS as f64;
    let scene = FleetScene::new;
    let slow_links = super::relay::LinkQuality { delay_ms: 2000.0, ..Default::default() };
    vec![
        scene("one way cut", 3, vec![(2.0 * p, Cut(0, 1)), (50.0 * p, Heal)]),
        scene(
            "two that do not hear each other, and a third that hears both",
            3,
            vec![(2.0 * p, Part(0, 1)), (50.0 * p, Heal)],
        ),
        scene(
            "three islands",
            9,
            vec![(2.0 * p, Islands(vec![0, 0, 0, 0, 0, 1, 1, 2, 2])), (60.0 * p, Heal)],
        ),
        scene(
            "cut in two, four and five",
            9,
            vec![(2.0 * p, Islands(vec![0, 0, 0, 0, 1, 1, 1, 1, 1])), (60.0 * p, Heal)],
        ),
        scene("a bridge that dies", 5, bridge(p)),
        scene("one that flaps", 5, vec![(2.0 * p, Flap(1, 700.0, 12_000.0)), (90.0 * p, Heal)]),
        scene(
            "stopped, and woken in the midst of a cut",
            5,
            vec![(2.0 * p, Stall(0, 60.0 * p)), (10.0 * p, Islands(vec![0, 0, 1, 1, 1])), (100.0 * p, Heal)],
        ),
        scene("everything two seconds late", 3, vec![(2.0 * p, Weather(slow_links)), (60.0 * p, Heal)]),
        scene("half die at once and others come", 9, {
            let mut acts: Vec<_> = (0..4).map(|n| (2.0 * p, Kill(n))).collect();
            acts.extend((0..4).map(|n| (40.0 * p, Start(n, StateFolder::Emptied))));
            acts
        }),
        scene(
            "a restart faster than the detector",
            3,
            vec![(2.0 * p, Kill(1)), (2.0 * p + 1.0, Start(1, StateFolder::Kept))],
        ),
        scene(
            "an old copy of a folder, and none",
            5,
            vec![
                (2.0 * p, Kill(1)),
                (4.0 * p, Start(1, StateFolder::Kept)),
                (25.0 * p, Kill(1)),
                (26.0 * p, Kill(2)),
                (50.0 * p, Start(1, StateFolder::Old)),
                (50.0 * p, Start(2, StateFolder::Emptied)),
            ],
        ),
        scene("a stranger's flood", 3, vec![(2.0 * p, Flood(0, 20_000))]),
        scene("one that leaves", 3, vec![(2.0 * p, Terminate(2)), (40.0 * p, Start(2, StateFolder::Kept))]),
        scene("a roster of one", 1, vec![(2.0 * p, Stall(0, 10.0 * p))]),
        scene("connections that say nothing", 3, {
            let silent = super::relay::LinkQuality { half_open: true, ..Default::default() };
            vec![(2.0 * p, Link(0, 1, silent)), (2.0 * p, Link(2, 1, silent)), (40.0 * p, Heal)]
        }),
        scene("one alone is wrong", 5, vec![(2.0 * p, Islands(vec![1, 0, 0, 0, 0])), (60.0 * p, Heal)]),
        scene(
            "a name that moves to another address",
            5,
            vec![(2.0 * p, Kill(1)), (20.0 * p, Move(1)), (21.0 * p, Start(1, StateFolder::Kept))],
        ),
        scene(
            "a shut door that all hear of, and one that has just started",
            5,
            vec![
                (10.0 * p, Kill(4)),
                (38.0 * p, Shut(0, 0, 40.0 * p)),
                (40.0 * p, Start(4, StateFolder::Kept)),
                (90.0 * p, Shut(1, 1, 20.0 * p)),
            ],
        ),
        scene("two under one name", 5, vec![(2.0 * p, Twin(1, 60.0 * p))]),
        scene("no disk for a boot that must go above what others heard", 5, no_disk(p)),
        scene("a roster that shrinks and grows by joint steps", 5, joint(p)),
        scene("lines of three thousand bytes a second", 5, {
            let narrow = super::relay::LinkQuality { bytes_per_sec: Some(3000), ..Default::default() };
            let links = (0..25).filter(|n| n / 5 != n % 5);
            let mut acts: Vec<_> = links.map(|n| (2.0 * p, Link(n / 5, n % 5, narrow))).collect();
            acts.extend([(10.0 * p, Kill(4)), (60.0 * p, Start(4, StateFolder::Kept)), (100.0 * p, Heal)]);
            acts
        }),
        FleetScene {
            max_descriptors: Some(150),
            ..scene("descriptors used up", 5, vec![(2.0 * p, Crowd(1, 400, 60.0 * p))])
        },
    ]
}

/// Returns the directed scenes of limits that all processes share.
pub fn limit_scenes() -> Vec<FleetScene> {
    use FleetAct::*;
    let p = DEFAULT_PERIOD_MS as f64;
    let scene = |name: &str, acts| FleetScene {
        limit: Some((40.0, Sharing::Rights)),
        // Exactly what the limits of two destinations allow, most of it at one process.
        busy_share: Some(0.6),
        rate: 16.0,
        ..FleetScene::new(name, 5, acts)
    };
    vec![
        scene("a limit while all is whole", vec![(60.0 * p, Heal)]),
        scene("a limit, cut in two", vec![(30.0 * p, Islands(vec![0, 0, 0, 1, 1])), (70.0 * p, Heal)]),
        scene("a limit, one way cut", vec![(30.0 * p, Cut(0, 1)), (31.0 * p, Cut(0, 2)), (70.0 * p, Heal)]),
        scene("a limit, most are killed and return", {
            let mut acts: Vec<_> = (1..5).map(|n| (30.0 * p, Kill(n))).collect();
            acts.extend((1..5).map(|n| (70.0 * p, Start(n, StateFolder::Kept))));
            acts
        }),
        scene("a limit, and traffic that moves", {
            (0..20).map(|n| (10.0 * p * f64::from(n + 1), Busy(n as usize % 5))).collect()
        }),
        scene("a limit, the busy one is stopped", vec![(30.0 * p, Stall(0, 40.0 * p)), (80.0 * p, Heal)]),
        scene(
            "a limit that falls to a tenth in a cut",
            vec![(30.0 * p, Islands(vec![0, 0, 0, 1, 1])), (45.0 * p, Limit(4.0)), (70.0 * p, Heal)],
        ),
    ]
}

/// Returns the directed scenes of duties, of which each has one holder at a time. A lease lasts three
/// periods.
pub fn duty_scenes() -> Vec<FleetScene> {
    use FleetAct::*;
    let p = DEFAULT_PERIOD_MS as f64;
    let lease = 3.0 * p;
    let scene = |name: &str, size: usize, acts| FleetScene {
        duties: 3,
        rate: 4.0,
        ..FleetScene::new(name, size, acts)
    };
    vec![
        scene("duties, and each is killed in turn", 5, {
            let each = (0..5).flat_map(|n| {
                let at = 20.0 * p + 40.0 * p * f64::from(n);
                [(at, Kill(n as usize)), (at + 25.0 * p, Start(n as usize, StateFolder::Kept))]
            });
            each.collect()
        }),
        scene("duties, and each is stopped for about a lease", 5, {
            let durations = [lease - 1000.0 * 0.05, lease, lease + 50.0, 3.0 * lease, 20.0 * lease];
            let each = durations.iter().enumerate();
            each.map(|(n, duration)| (20.0 * p + 70.0 * p * n as f64, Stall(n, *duration))).collect()
        }),
        scene(
            "duties, cut in two",
            5,
            vec![
                (20.0 * p, Islands(vec![0, 0, 0, 1, 1])),
                (70.0 * p, Islands(vec![0, 1, 1, 1, 0])),
                (120.0 * p, Heal),
            ],
        ),
        scene(
            "duties, and one hears nobody but is heard",
            3,
            vec![
                (20.0 * p, Cut(1, 0)),
                (20.0 * p, Cut(2, 0)),
                (80.0 * p, Heal),
                (100.0 * p, Cut(0, 1)),
                (150.0 * p, Heal),
            ],
        ),
        scene("duties, and all are killed at once", 5, {
            let kills = (0..5).map(|n| (30.0 * p, Kill(n)));
            kills.chain((0..5).map(|n| (32.0 * p, Start(n, StateFolder::Kept)))).collect()
        }),
        scene(
            "duties, and voters with an old folder and with none",
            5,
            vec![
                (20.0 * p, Kill(1)),
                (40.0 * p, Start(1, StateFolder::Kept)),
                (70.0 * p, Kill(1)),
                (75.0 * p, Start(1, StateFolder::Old)),
                (110.0 * p, Kill(2)),
                (115.0 * p, Start(2, StateFolder::Emptied)),
            ],
        ),
        scene(
            "duties, and a full disk",
            3,
            vec![
                (20.0 * p, Disk(1, true)),
                (30.0 * p, Kill(0)),
                (60.0 * p, Start(0, StateFolder::Kept)),
                (80.0 * p, Disk(1, false)),
            ],
        ),
        scene("duties, and a roster that shrinks and grows", 5, joint(p)),
        scene(
            "duties that are given up and pinned",
            5,
            vec![
                (30.0 * p, Yield(0)),
                (50.0 * p, Pin(1, 3)),
                (80.0 * p, Kill(3)),
                (110.0 * p, Start(3, StateFolder::Kept)),
                (140.0 * p, Yield(2)),
            ],
        ),
        scene("duties, and a third of all packets is lost", 7, {
            let lossy = super::relay::LinkQuality {
                loss: 0.3,
                delay_ms: 20.0,
                jitter_ms: 30.0,
                ..Default::default()
            };
            vec![
                (20.0 * p, Weather(lossy)),
                (60.0 * p, Kill(0)),
                (90.0 * p, Start(0, StateFolder::Kept)),
                (120.0 * p, Heal),
            ]
        }),
    ]
}

/// Returns the directed scenes of destinations that are down for all processes and recover cold, under a
/// shared limit.
pub fn outage_scenes() -> Vec<FleetScene> {
    use FleetAct::*;
    let p = DEFAULT_PERIOD_MS as f64;
    let scene = |name: &str, acts| FleetScene {
        limit: Some((40.0, Sharing::Rights)),
        // Exactly what the limits of two destinations allow, an equal share at each process.
        rate: 16.0,
        ..FleetScene::new(name, 5, acts)
    };
    let down = |at: f64| (at * p, Down(0, 10_000.0));
    vec![
        scene("a partner that is down for all", vec![down(30.0)]),
        scene("down, and one after another is killed", {
            let kills = (0..3).map(|n| (50.0 * p + 14.0 * p * f64::from(n), Kill(n as usize)));
            let starts =
                (0..3).map(|n| (60.0 * p + 14.0 * p * f64::from(n), Start(n as usize, StateFolder::Kept)));
            let mut acts: Vec<_> = std::iter::once(down(30.0)).chain(kills).chain(starts).collect();
            acts.sort_by(|a, b| a.0.total_cmp(&b.0));
            acts
        }),
        scene("down, and some are stopped", {
            vec![
                down(30.0),
                (45.0 * p, Stall(0, 30.0 * p)),
                (60.0 * p, Stall(1, 50.0 * p)),
                (120.0 * p, Heal),
            ]
        }),
        scene("down, and the fleet is cut in two meanwhile", {
            vec![down(30.0), (50.0 * p, Islands(vec![0, 0, 0, 1, 1])), (130.0 * p, Heal)]
        }),
        scene("down, and a tenth of all packets is lost", {
            let lossy = super::relay::LinkQuality { loss: 0.1, ..Default::default() };
            vec![(10.0 * p, Weather(lossy)), down(30.0), (140.0 * p, Heal)]
        }),
        scene("one starts while a partner is down", {
            vec![(10.0 * p, Kill(4)), down(30.0), (60.0 * p, Start(4, StateFolder::Emptied))]
        }),
        scene("both are down, one after the other", vec![down(30.0), (60.0 * p, Down(1, 8000.0))]),
    ]
}

/// A process restarts with an empty folder while it is cut off. When the others can reach it again it needs a
/// higher boot number, which it cannot store for some time.
fn no_disk(p: f64) -> Vec<(f64, FleetAct)> {
    use FleetAct::*;
    vec![
        (2.0 * p, Kill(1)),
        (4.0 * p, Start(1, StateFolder::Kept)),
        (25.0 * p, Kill(1)),
        (26.0 * p, Islands(vec![0, 1, 0, 0, 0])),
        (27.0 * p, Start(1, StateFolder::Emptied)),
        (40.0 * p, Disk(1, true)),
        (41.0 * p, Heal),
        (80.0 * p, Disk(1, false)),
    ]
}

/// Two of five members leave and rejoin, by joint roster steps.
fn joint(p: f64) -> Vec<(f64, FleetAct)> {
    use FleetAct::*;
    vec![
        (2.0 * p, Terminate(3)),
        (2.0 * p, Terminate(4)),
        (40.0 * p, Joint(vec![0, 1, 2])),
        (60.0 * p, Settle),
        (90.0 * p, Joint(vec![0, 1, 2, 3, 4])),
        (91.0 * p, Start(3, StateFolder::Kept)),
        (91.0 * p, Start(4, StateFolder::Emptied)),
        (130.0 * p, Settle),
    ]
}

/// Two pairs of processes are connected only by process 2, which is then killed.
fn bridge(p: f64) -> Vec<(f64, FleetAct)> {
    let mut acts = Vec::new();
    for a in [0, 1] {
        for b in [3, 4] {
            acts.push((2.0 * p, FleetAct::Part(a, b)));
        }
    }
    acts.push((60.0 * p, FleetAct::Kill(2)));
    acts.push((110.0 * p, FleetAct::Heal));
    acts.push((110.0 * p, FleetAct::Start(2, StateFolder::Kept)));
    acts
}

#[cfg(test)]
mod tests;
