//! What happens to a fleet: as a value, as a document, or by a seed.

use super::relay::LinkQuality;
use kdl::{KdlDocument, KdlNode, KdlValue};
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use yarrowhill_standins::Rng;

/// What a process finds in its folder when it starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum StateFolder {
    /// What it left.
    Kept,
    /// Nothing.
    Emptied,
    /// What it was at its last start but one.
    Old,
}

/// Something that happens. Processes are numbered from 0.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum FleetAct {
    /// One direction is cut.
    Cut(usize, usize),
    /// Both directions between two.
    Part(usize, usize),
    /// Nothing passes between processes of different numbers.
    Islands(Vec<usize>),
    /// All directions carry like this; what is cut stays cut.
    Weather(LinkQuality),
    /// One direction carries like this.
    Link(usize, usize, LinkQuality),
    /// Everything as at the beginning.
    Heal,
    /// SIGSTOP, and SIGCONT after so long (ms).
    Stall(usize, f64),
    /// SIGKILL.
    Kill(usize),
    /// SIGTERM.
    Terminate(usize),
    /// A new start.
    Start(usize, StateFolder),
    /// All directions to and from one are cut and mended again and again: every so long, for so long (ms).
    Flap(usize, f64, f64),
    /// So many packets of rubbish to one, from an address that is nobody's.
    Flood(usize, usize),
    /// So many connections to the front of one, held for so long (ms).
    Crowd(usize, usize, f64),
    /// The folder of one takes no other boot number, or does again.
    Disk(usize, bool),
    /// Another process under the name of one, with a folder of its own, for so long (ms).
    Twin(usize, f64),
    /// All documents name these members from now on, beside those that they named before, and all read them again.
    Joint(Vec<usize>),
    /// All documents name the last members alone, and all read them again.
    Settle,
    /// One that is down gets another address; all documents tell it, and all read them again.
    Move(usize),
    /// All documents tell this limit from now on (calls a second to each destination), and all read them again.
    Limit(f64),
    /// The endpoints of one for its first or second destination shut their door for so long (ms), and say so.
    Shut(usize, usize, f64),
    /// What came to the busy one comes to this one from now on.
    Busy(usize),
    /// An operator asks this one that the duties be given up.
    Yield(usize),
    /// An operator asks this one that the first duty be pinned to another.
    Pin(usize, usize),
    /// The first or second destination of everybody answers nothing for so long (ms), and comes back cold.
    Down(usize, f64),
}

/// How processes keep to a limit that they share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Sharing {
    /// By rights that they lend and borrow.
    Rights,
    /// By rights that they lend and borrow, but each finds out by its own calls who is down, and comes back for itself.
    Apart,
    /// Each has its even part.
    Even,
    /// Each for itself, as the module does alone.
    Alone,
}

/// A scene.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetScene {
    /// Its name.
    pub name: String,
    /// The seed of the network's chance.
    pub seed: u64,
    /// Processes.
    pub size: usize,
    /// The probe period (ms).
    #[serde(rename = "period")]
    pub period_ms: u64,
    /// What happens when (ms after all are ready), in order.
    pub acts: Vec<(f64, FleetAct)>,
    /// When it ends (ms).
    #[serde(rename = "end")]
    pub end_ms: f64,
    /// Messages a second to each process.
    pub rate: f64,
    /// Descriptors that each process may have; none: as many as the machine lets it.
    #[serde(rename = "descriptors")]
    pub max_descriptors: Option<u64>,
    /// Calls a second to each destination, for all processes together, and how they keep to it.
    pub limit: Option<(f64, Sharing)>,
    /// Duties that the documents name.
    pub duties: usize,
    /// The part of all traffic that comes to the first process; none: an even one.
    #[serde(rename = "busy")]
    pub busy_share: Option<f64>,
}

/// The probe period of scenes that are not told one (ms): short, so that they are, and long beside a machine's
/// own delays.
const PERIOD: u64 = 150;
/// After the last act a scene goes on for so many periods, so that everybody may agree.
pub(super) const REST: f64 = 60.0;
/// What was heard of another process under one's own name is kept for so many periods.
pub(super) const FORGOTTEN: f64 = 50.0;
/// Messages a second to each.
const RATE: f64 = 15.0;

impl FleetScene {
    /// A scene of these acts.
    pub fn new(name: &str, size: usize, acts: Vec<(f64, FleetAct)>) -> Self {
        let last = acts.iter().map(|(at, act)| at + act.span()).fold(0.0, f64::max);
        let end_ms = last + REST * PERIOD as f64;
        let name = name.to_owned();
        let (max_descriptors, limit, busy_share) = (None, None, None);
        let duties = 0;
        FleetScene {
            name,
            seed: 1,
            size,
            period_ms: PERIOD,
            acts,
            end_ms,
            rate: RATE,
            max_descriptors,
            limit,
            duties,
            busy_share,
        }
    }

    /// Messages a second to a process, where most come to `busy`.
    pub(super) fn rate_of(&self, process: usize, busy: usize) -> f64 {
        let (all, others) = (self.rate * self.size as f64, (self.size as f64 - 1.0).max(1.0));
        match self.busy_share {
            Some(part) if process == busy => all * part,
            Some(part) => all * (1.0 - part) / others,
            None => self.rate,
        }
    }

    /// The scene of a seed under a limit that all share: what is asked for is more than it, and a third of that comes to
    /// one process.
    pub fn draw_with_limit(seed: u64) -> Self {
        let mut scene = FleetScene::draw(seed);
        let mut rng = Rng::seed_from_u64(seed ^ 0x11a1f);
        let calls = rng.random_range(20.0..60.0);
        (scene.limit, scene.busy_share) = (Some((calls, Sharing::Rights)), Some(0.34));
        // Two destinations: each is asked for half of it.
        scene.rate = 2.6 * calls / scene.size as f64;
        let at =
            scene.acts.first().map_or(1000.0, |(at, _)| *at) + rng.random_range(5.0..60.0) * PERIOD as f64;
        let after = scene.acts.iter().position(|(other, _)| *other > at).unwrap_or(scene.acts.len());
        scene.acts.insert(after, (at, FleetAct::Limit(calls * [0.1, 0.5, 2.0][rng.random_range(0..3)])));
        scene.end_ms = scene.end_ms.max(at + REST * PERIOD as f64);
        scene.name = format!("limited seed {seed}");
        scene
    }

    /// The scene of a seed with duties, some of which operators want elsewhere.
    pub fn draw_with_duties(seed: u64) -> Self {
        let mut scene = FleetScene::draw(seed);
        let mut rng = Rng::seed_from_u64(seed ^ 0xd071e5);
        for (_, act) in &mut scene.acts {
            let one = rng.random_range(0..scene.size);
            // In place of a flood or a crowd, which say nothing of duties.
            if matches!(act, FleetAct::Flood(..) | FleetAct::Crowd(..)) {
                let other = rng.random_range(0..scene.size);
                *act = if rng.random_bool(0.5) { FleetAct::Yield(one) } else { FleetAct::Pin(one, other) };
            }
        }
        scene.duties = 2;
        scene.rate = 4.0;
        scene.name = format!("dutiful seed {seed}");
        scene
    }

    /// The scene of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = Rng::seed_from_u64(seed ^ 0xf1ee7);
        let size = [3, 3, 5, 5, 9][rng.random_range(0..5)];
        let period = PERIOD as f64;
        let mut acts = Vec::new();
        let mut dead = std::collections::BTreeSet::new();
        let mut at = rng.random_range(5.0..15.0) * period;
        for _ in 0..rng.random_range(3..9) {
            let one = rng.random_range(0..size);
            let other = (one + rng.random_range(1..size)) % size;
            let act = match rng.random_range(0..13) {
                0 => FleetAct::Cut(one, other),
                1 => FleetAct::Part(one, other),
                2 | 3 => FleetAct::Islands((0..size).map(|_| rng.random_range(0..2)).collect()),
                4 => FleetAct::Weather(LinkQuality {
                    loss: rng.random_range(0.0..0.15),
                    duplicate: rng.random_range(0.0..0.1),
                    delay_ms: rng.random_range(0.0..period / 10.0),
                    jitter_ms: rng.random_range(0.0..period / 10.0),
                    ..LinkQuality::default()
                }),
                5 => FleetAct::Link(one, other, LinkQuality { half_open: true, ..LinkQuality::default() }),
                6 => FleetAct::Heal,
                7 | 8 => FleetAct::Stall(one, rng.random_range(1.0..40.0) * period),
                9 => FleetAct::Flap(one, 4.0 * period, 30.0 * period),
                _ if dead.remove(&one) => {
                    let folders =
                        [StateFolder::Kept, StateFolder::Kept, StateFolder::Emptied, StateFolder::Old];
                    FleetAct::Start(one, folders[rng.random_range(0..4)])
                }
                10 => {
                    dead.insert(one);
                    FleetAct::Terminate(one)
                }
                _ => {
                    dead.insert(one);
                    FleetAct::Kill(one)
                }
            };
            acts.push((at, act));
            at += if rng.random_bool(0.3) { 1.0 } else { rng.random_range(1.0..15.0) * period };
        }
        // All is mended, and everybody lives.
        at += 45.0 * period;
        acts.push((at, FleetAct::Heal));
        acts.extend(dead.into_iter().map(|n| (at, FleetAct::Start(n, StateFolder::Kept))));
        FleetScene { seed, ..FleetScene::new(&format!("seed {seed}"), size, acts) }
    }

    /// Reads a scene from a document.
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
    /// It is not of that form.
    pub fn parse(text: &str) -> Result<Self, SceneError> {
        let document: KdlDocument = text.parse().map_err(|e: kdl::KdlError| SceneError(e.to_string()))?;
        let node = document.get("scene").ok_or_else(|| SceneError("there is no scene".into()))?;
        let name = node.get(0).and_then(KdlValue::as_string).unwrap_or("scene");
        let size = number(node, "size")? as usize;
        if !(1..=50).contains(&size) {
            return Err(SceneError(format!("{size} processes: 1 to 50 can be")));
        }
        let mut acts = Vec::new();
        for at in node.children().map(KdlDocument::nodes).unwrap_or_default() {
            let when = at.get(0).and_then(value).filter(|_| at.name().value() == "at");
            let when = when.ok_or_else(|| SceneError(format!("{}: `at MS {{ ... }}`", at.name().value())))?;
            for act in at.children().map(KdlDocument::nodes).unwrap_or_default() {
                acts.push((when, read_act(act, size)?));
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
            let way = match node.get("share").and_then(KdlValue::as_string) {
                None | Some("rights") => Sharing::Rights,
                Some("apart") => Sharing::Apart,
                Some("even") => Sharing::Even,
                Some("alone") => Sharing::Alone,
                Some(_) => return Err(SceneError("share is rights, apart, even or alone".into())),
            };
            scene.limit = Some((number(node, "limit")?, way));
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
            scene.end_ms += REST * (scene.period_ms as f64 - PERIOD as f64);
        }
        Ok(scene)
    }
}

impl FleetAct {
    /// How long it goes on by itself (ms).
    pub(super) fn span(&self) -> f64 {
        match self {
            FleetAct::Stall(_, span) | FleetAct::Flap(_, _, span) | FleetAct::Crowd(_, _, span) => *span,
            FleetAct::Shut(_, _, span) | FleetAct::Down(_, span) => *span,
            // And what was heard of it is forgotten.
            FleetAct::Twin(_, span) => *span + FORGOTTEN * PERIOD as f64,
            _ => 0.0,
        }
    }
}

/// Why a document is no scene.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SceneError(String);

fn value(value: &KdlValue) -> Option<f64> {
    value.as_integer().map(|n| n as f64).or_else(|| value.as_float())
}

fn number(node: &KdlNode, name: &str) -> Result<f64, SceneError> {
    let told = node.get(name).and_then(value).filter(|n| n.is_finite() && *n >= 0.0);
    told.ok_or_else(|| SceneError(format!("{}: {name}= wants a number", node.name().value())))
}

fn read_act(node: &KdlNode, size: usize) -> Result<FleetAct, SceneError> {
    let name = node.name().value();
    let wrong = |what: &str| SceneError(format!("{name}: {what}"));
    let numbers: Vec<f64> =
        node.entries().iter().filter(|e| e.name().is_none()).filter_map(|e| value(e.value())).collect();
    let process = |n: usize| {
        let told = numbers.get(n).map(|n| *n as usize).filter(|n| *n < size);
        told.ok_or_else(|| wrong("wants the numbers of processes"))
    };
    let span = |n: usize| numbers.get(n).copied().filter(|n| *n >= 0.0).ok_or_else(|| wrong("wants a span"));
    let optional = |key: &str| node.get(key).and_then(value).unwrap_or(0.0).max(0.0);
    let weather = || LinkQuality {
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
        "islands" => return Err(wrong("wants a number for each process")),
        "weather" => FleetAct::Weather(weather()),
        "link" => FleetAct::Link(process(0)?, process(1)?, weather()),
        "heal" => FleetAct::Heal,
        "stall" => FleetAct::Stall(process(0)?, span(1)?),
        "kill" => FleetAct::Kill(process(0)?),
        "terminate" => FleetAct::Terminate(process(0)?),
        "start" => match node.get("folder").and_then(KdlValue::as_string) {
            None | Some("kept") => FleetAct::Start(process(0)?, StateFolder::Kept),
            Some("emptied") => FleetAct::Start(process(0)?, StateFolder::Emptied),
            Some("old") => FleetAct::Start(process(0)?, StateFolder::Old),
            Some(_) => return Err(wrong("folder is kept, emptied or old")),
        },
        "flap" => FleetAct::Flap(process(0)?, span(1)?, span(2)?),
        "flood" => FleetAct::Flood(process(0)?, span(1)? as usize),
        "crowd" => FleetAct::Crowd(process(0)?, span(1)? as usize, span(2)?),
        "disk" => FleetAct::Disk(process(0)?, node.get("full").and_then(KdlValue::as_bool).unwrap_or(true)),
        "twin" => FleetAct::Twin(process(0)?, span(1)?),
        "joint" => FleetAct::Joint((0..numbers.len()).map(process).collect::<Result<_, _>>()?),
        "settle" => FleetAct::Settle,
        "move" => FleetAct::Move(process(0)?),
        "limit" => FleetAct::Limit(span(0)?),
        "busy" => FleetAct::Busy(process(0)?),
        "yield" => FleetAct::Yield(process(0)?),
        "pin" => FleetAct::Pin(process(0)?, process(1)?),
        "down" => FleetAct::Down(span(0)? as usize, span(1)?),
        "shut" => FleetAct::Shut(process(0)?, span(1)? as usize, span(2)?),
        _ => return Err(wrong("unknown")),
    })
}

/// A scene for each hard case that processes can show.
pub fn directed_scenes() -> Vec<FleetScene> {
    use FleetAct::*;
    let p = PERIOD as f64;
    let scene = FleetScene::new;
    let late = super::relay::LinkQuality { delay_ms: 2000.0, ..Default::default() };
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
        scene("everything two seconds late", 3, vec![(2.0 * p, Weather(late)), (60.0 * p, Heal)]),
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

/// Limits that all share, under faults.
pub fn limit_scenes() -> Vec<FleetScene> {
    use FleetAct::*;
    let p = PERIOD as f64;
    let scene = |name: &str, acts| FleetScene {
        limit: Some((40.0, Sharing::Rights)),
        // Just what the limits of two destinations allow, most of it at one.
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

/// Duties that one holds at a time, under faults. A lease is three periods.
pub fn duty_scenes() -> Vec<FleetScene> {
    use FleetAct::*;
    let p = PERIOD as f64;
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
            let spans = [lease - 1000.0 * 0.05, lease, lease + 50.0, 3.0 * lease, 20.0 * lease];
            let each = spans.iter().enumerate();
            each.map(|(n, span)| (20.0 * p + 70.0 * p * n as f64, Stall(n, *span))).collect()
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

/// Partners of all that are down and come back cold, under a limit that all share.
pub fn outage_scenes() -> Vec<FleetScene> {
    use FleetAct::*;
    let p = PERIOD as f64;
    let scene = |name: &str, acts| FleetScene {
        limit: Some((40.0, Sharing::Rights)),
        // As much as the limits of two destinations allow, an even part to each process.
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

/// One starts without its folder while nobody hears it; when they do, the number that it must speak under can't be
/// written for a while.
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

/// Two of five leave, and come back.
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

/// Two halves that only one joins, which then dies.
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
mod tests {
    use super::*;

    #[test]
    fn a_seed_is_one_scene_and_a_document_is_read_whole() {
        assert_eq!(FleetScene::draw(5), FleetScene::draw(5));
        assert_ne!(FleetScene::draw(5).acts, FleetScene::draw(6).acts);
        for text in ["", "scene \"a\"", "scene \"a\" size=3 { at 1 { cut 0 3; }; }", "scene \"a\" size=99"] {
            assert!(FleetScene::parse(text).is_err(), "{text}");
        }
        let text = "scene \"a\" size=3 seed=7 { at 10 { stall 1 500; link 0 1 loss=0.5 half-open=#true; }; }";
        let scene = FleetScene::parse(text).expect("a scene");
        assert_eq!(scene.acts[0], (10.0, FleetAct::Stall(1, 500.0)));
        assert!(matches!(scene.acts[1].1, FleetAct::Link(0, 1, LinkQuality { half_open: true, .. })));
    }
}
