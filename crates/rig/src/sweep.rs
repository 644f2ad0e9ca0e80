//! Plays many seeds in parallel: the scripts that they draw, or the scenes made for a planted bug.

use crate::bugs::{Bug, Scene};
use crate::fleet::play_scene;
use crate::load::play_load;
use crate::play::{MAX_LATENESS_MS, RunOutcome, play_script, run_folder};
use crate::script::Script;
use std::io;
use std::path::Path;
use std::sync::Arc;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Number of times that a run is played while the rig's own clocks were too late for its result to be valid.
const MAX_TRIES: usize = 3;

/// Parameters of a sweep.
#[derive(Clone, Debug)]
pub struct Sweep<'a> {
    /// The program, built with fault points.
    pub program: &'a Path,
    /// Seeds to play.
    pub seeds: Vec<u64>,
    /// Maximum number of concurrent runs.
    pub jobs: usize,
    /// Plays the scene made for this bug in place of the scripts that the seeds draw.
    pub bug: Option<Bug>,
    /// Number of shards of the forwarder.
    pub shards: usize,
    /// Has all endpoints of the scripts write answers twice.
    pub copied_answers: bool,
    /// Stops at the first run that is not clean.
    pub stop_at_first: bool,
}

/// Plays the seeds, calls `report` for each run as it ends, and returns the runs that were not clean.
///
/// # Errors
///
/// A run could not be played.
pub async fn sweep(
    sweep: Sweep<'_>,
    mut report: impl FnMut(u64, &RunOutcome),
) -> io::Result<Vec<(u64, RunOutcome)>> {
    // Concurrent loads would reduce each other's rate.
    let sequential = sweep.bug.is_some_and(|bug| matches!(bug.scene(0), Scene::Load(_)));
    let permits = Arc::new(Semaphore::new(if sequential { 1 } else { sweep.jobs.max(1) }));
    let mut runs = JoinSet::new();
    for seed in sweep.seeds {
        let (permits, program) = (permits.clone(), sweep.program.to_owned());
        let scene = match sweep.bug.map(|bug| bug.scene(seed)) {
            None if sweep.copied_answers => Scene::Script(Script::draw(seed).with_copied_answers()),
            None => Scene::Script(Script::draw(seed)),
            Some(scene) => scene,
        };
        let name = format!("{seed}-{}", sweep.bug.map_or("none", Bug::name));
        let shards = sweep.shards;
        runs.spawn(async move {
            let _permit = permits.acquire_owned().await.map_err(io::Error::other)?;
            for tries in 1.. {
                let outcome = play_once(&scene, &name, shards, &program).await?;
                if outcome.lateness_ms <= MAX_LATENESS_MS || tries == MAX_TRIES {
                    return Ok::<_, io::Error>((seed, outcome));
                }
            }
            unreachable!("the last try returns")
        });
    }
    let mut unclean = Vec::new();
    while let Some(run) = runs.join_next().await {
        let (seed, outcome) = run.map_err(io::Error::other)??;
        report(seed, &outcome);
        if !outcome.is_clean() {
            unclean.push((seed, outcome));
            if sweep.stop_at_first {
                break;
            }
        }
    }
    runs.shutdown().await;
    unclean.sort_by_key(|(seed, _)| *seed);
    Ok(unclean)
}

async fn play_once(scene: &Scene, name: &str, shards: usize, program: &Path) -> io::Result<RunOutcome> {
    let folder = run_folder(name);
    let outcome = match scene.clone() {
        Scene::Script(script) => play_script(&script.with_shards(shards), program, &folder).await?,
        Scene::Load(load) => play_load(&load, program, &folder).await?.into(),
        Scene::Fleet(scene) => play_scene(&scene, &[program], &folder).await?.into(),
    };
    if outcome.is_clean() || std::env::var_os("YARROWHILL_RIG_KEEP").is_none() {
        // Best effort: a leftover folder affects no later run.
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(outcome)
}
