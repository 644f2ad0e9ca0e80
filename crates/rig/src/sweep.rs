//! Many seeds beside each other, and what is made for a bug.

use crate::bugs::{Bug, Scene};
use crate::fleet::play_scene;
use crate::load::play_load;
use crate::play::{LATE_MOST, RunOutcome, folder, play_script};
use crate::script::Script;
use std::io;
use std::path::Path;
use std::sync::Arc;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// A run that was late judges nobody and is played again, so often.
const TRIES: usize = 3;

/// What to play.
#[derive(Clone, Debug)]
pub struct Sweep<'a> {
    /// The program, built with faults.
    pub program: &'a Path,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Runs at once.
    pub jobs: usize,
    /// Plays what is made for a bug, in place of the scripts that the seeds draw.
    pub bug: Option<Bug>,
    /// The forwarder's shards.
    pub shards: usize,
    /// Stop at the first run that is not clean.
    pub stop_at_first: bool,
}

/// Plays the seeds and tells of each run as it ends. Gives those that were not clean.
///
/// # Errors
///
/// A run could not be played.
pub async fn sweep(
    sweep: Sweep<'_>,
    mut told: impl FnMut(u64, &RunOutcome),
) -> io::Result<Vec<(u64, RunOutcome)>> {
    // Loads beside each other would take each other's rate.
    let alone = sweep.bug.is_some_and(|bug| matches!(bug.scene(0), Scene::Load(_)));
    let room = Arc::new(Semaphore::new(if alone { 1 } else { sweep.jobs.max(1) }));
    let mut runs = JoinSet::new();
    for seed in sweep.seeds {
        let (room, program) = (room.clone(), sweep.program.to_owned());
        let (bug, shards) = (sweep.bug, sweep.shards);
        runs.spawn(async move {
            let _room = room.acquire_owned().await.map_err(io::Error::other)?;
            for tries in 1.. {
                let played = one(seed, bug, shards, &program).await?;
                if played.lateness_ms <= LATE_MOST || tries == TRIES {
                    return Ok::<_, io::Error>((seed, played));
                }
            }
            unreachable!("the last try returns")
        });
    }
    let mut unclean = Vec::new();
    while let Some(run) = runs.join_next().await {
        let (seed, played) = run.map_err(io::Error::other)??;
        told(seed, &played);
        if !played.is_clean() {
            unclean.push((seed, played));
            if sweep.stop_at_first {
                break;
            }
        }
    }
    runs.shutdown().await;
    unclean.sort_by_key(|(seed, _)| *seed);
    Ok(unclean)
}

async fn one(seed: u64, bug: Option<Bug>, shards: usize, program: &Path) -> io::Result<RunOutcome> {
    let folder = folder(&format!("{seed}-{}", bug.map_or("none", Bug::name)));
    let played = match bug.map(|bug| bug.scene(seed)) {
        None => play_script(&Script::draw(seed).with_shards(shards), program, &folder).await?,
        Some(Scene::Script(script)) => play_script(&script.with_shards(shards), program, &folder).await?,
        Some(Scene::Load(load)) => play_load(&load, program, &folder).await?.into(),
        Some(Scene::Fleet(scene)) => play_scene(&scene, &[program], &folder).await?.into(),
    };
    if played.is_clean() || std::env::var_os("YARROWHILL_RIG_KEEP").is_none() {
        // Nothing depends on what is left there.
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(played)
}
