//! What happens to a fleet: as a value, as a document, or by a seed.

use super::relay::Weather;
use kdl::{KdlDocument, KdlNode, KdlValue};
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use yarrowhill_standins::Rng;

/// What a process finds in its folder when it starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Folder {
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
    Weather(Weather),
    /// One direction carries like this.
    Link(usize, usize, Weather),
    /// Everything as at the beginning.
    Heal,
    /// SIGSTOP, and SIGCONT after so long (ms).
    Stall(usize, f64),
    /// SIGKILL.
    Kill(usize),
    /// SIGTERM.
    Terminate(usize),
    /// A new start.
    Start(usize, Folder),
    /// All directions to and from one are cut and mended again and again: every so long, for so long (ms).
    Flap(usize, f64, f64),
    /// So many packets of rubbish to one, from an address that is nobody's.
    Flood(usize, usize),
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
    pub period: u64,
    /// What happens when (ms after all are ready), in order.
    pub acts: Vec<(f64, FleetAct)>,
    /// When it ends (ms).
    pub end: f64,
    /// Messages a second to each process.
    pub rate: f64,
}

/// The probe period of scenes that are not told one (ms): short, so that they are, and long beside a machine's
/// own delays.
const PERIOD: u64 = 150;
/// After the last act a scene goes on for so many periods, so that everybody may agree.
pub(super) const REST: f64 = 60.0;
/// Messages a second to each.
const RATE: f64 = 15.0;

impl FleetScene {
    /// A scene of these acts.
    pub fn new(name: &str, size: usize, acts: Vec<(f64, FleetAct)>) -> Self {
        let last = acts.iter().map(|(at, act)| at + act.span()).fold(0.0, f64::max);
        let end = last + REST * PERIOD as f64;
        FleetScene { name: name.to_owned(), seed: 1, size, period: PERIOD, acts, end, rate: RATE }
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
                4 => FleetAct::Weather(Weather {
                    loss: rng.random_range(0.0..0.15),
                    twice: rng.random_range(0.0..0.1),
                    delay: rng.random_range(0.0..period / 10.0),
                    jitter: rng.random_range(0.0..period / 10.0),
                    ..Weather::default()
                }),
                5 => FleetAct::Link(one, other, Weather { half_open: true, ..Weather::default() }),
                6 => FleetAct::Heal,
                7 | 8 => FleetAct::Stall(one, rng.random_range(1.0..40.0) * period),
                9 => FleetAct::Flap(one, 4.0 * period, 30.0 * period),
                _ if dead.remove(&one) => {
                    let folders = [Folder::Kept, Folder::Kept, Folder::Emptied, Folder::Old];
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
        acts.extend(dead.into_iter().map(|n| (at, FleetAct::Start(n, Folder::Kept))));
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
    /// let scene = yarrowhill_rig::FleetScene::read(text).unwrap();
    /// assert_eq!((scene.size, scene.acts.len()), (3, 2));
    /// ```
    ///
    /// # Errors
    ///
    /// It is not of that form.
    pub fn read(text: &str) -> Result<Self, SceneError> {
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
        if node.get("period-ms").is_some() {
            scene.period = (number(node, "period-ms")? as u64).clamp(20, 10_000);
            scene.end += REST * (scene.period as f64 - PERIOD as f64);
        }
        Ok(scene)
    }
}

impl FleetAct {
    /// How long it goes on by itself (ms).
    pub(super) fn span(&self) -> f64 {
        match self {
            FleetAct::Stall(_, span) | FleetAct::Flap(_, _, span) => *span,
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
    let weather = || Weather {
        loss: optional("loss").min(1.0),
        twice: optional("twice").min(1.0),
        delay: optional("delay"),
        jitter: optional("jitter"),
        cut: false,
        half_open: node.get("half-open").and_then(KdlValue::as_bool).unwrap_or(false),
        bytes: node.get("bytes").and_then(value).map(|b| b as u64),
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
            None | Some("kept") => FleetAct::Start(process(0)?, Folder::Kept),
            Some("emptied") => FleetAct::Start(process(0)?, Folder::Emptied),
            Some("old") => FleetAct::Start(process(0)?, Folder::Old),
            Some(_) => return Err(wrong("folder is kept, emptied or old")),
        },
        "flap" => FleetAct::Flap(process(0)?, span(1)?, span(2)?),
        "flood" => FleetAct::Flood(process(0)?, span(1)? as usize),
        _ => return Err(wrong("unknown")),
    })
}

/// A scene for each hard case that processes can show.
pub fn directed() -> Vec<FleetScene> {
    use FleetAct::*;
    let p = PERIOD as f64;
    let scene = FleetScene::new;
    let late = super::relay::Weather { delay: 2000.0, ..Default::default() };
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
            acts.extend((0..4).map(|n| (40.0 * p, Start(n, Folder::Emptied))));
            acts
        }),
        scene(
            "a restart faster than the detector",
            3,
            vec![(2.0 * p, Kill(1)), (2.0 * p + 1.0, Start(1, Folder::Kept))],
        ),
        scene(
            "an old copy of a folder, and none",
            5,
            vec![
                (2.0 * p, Kill(1)),
                (4.0 * p, Start(1, Folder::Kept)),
                (25.0 * p, Kill(1)),
                (26.0 * p, Kill(2)),
                (50.0 * p, Start(1, Folder::Old)),
                (50.0 * p, Start(2, Folder::Emptied)),
            ],
        ),
        scene("a stranger's flood", 3, vec![(2.0 * p, Flood(0, 20_000))]),
        scene("one that leaves", 3, vec![(2.0 * p, Terminate(2)), (40.0 * p, Start(2, Folder::Kept))]),
        scene("a roster of one", 1, vec![(2.0 * p, Stall(0, 10.0 * p))]),
        scene("connections that say nothing", 3, {
            let silent = super::relay::Weather { half_open: true, ..Default::default() };
            vec![(2.0 * p, Link(0, 1, silent)), (2.0 * p, Link(2, 1, silent)), (40.0 * p, Heal)]
        }),
        scene("one alone is wrong", 5, vec![(2.0 * p, Islands(vec![1, 0, 0, 0, 0])), (60.0 * p, Heal)]),
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
    acts.push((110.0 * p, FleetAct::Start(2, Folder::Kept)));
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
            assert!(FleetScene::read(text).is_err(), "{text}");
        }
        let text = "scene \"a\" size=3 seed=7 { at 10 { stall 1 500; link 0 1 loss=0.5 half-open=#true; }; }";
        let scene = FleetScene::read(text).expect("a scene");
        assert_eq!(scene.acts[0], (10.0, FleetAct::Stall(1, 500.0)));
        assert!(matches!(scene.acts[1].1, FleetAct::Link(0, 1, Weather { half_open: true, .. })));
    }
}
