//! The daemon with several engines: each on a thread of its own, with its destinations, its journal and its calls;
//! clients on the threads of the runtime that this is called on.

use crate::config::Config;
use crate::daemon::{BODIES, INPUTS, JOURNAL_PART, RunError, Sockets, reload, watcher};
use crate::fleet::Joined;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use yarrowhill_engine::{
    CapacityPool, Engine, EngineSenders, Input, JournalError, Options, Phase, QuotaShares, Shard,
    distribute_lists, shard_list, shard_of, shard_settings, unix_now_ms,
};
use yarrowhill_http::{Intake, Pool, discovery, notices};

/// What one shard's thread is given.
struct Work {
    options: Options,
    idle: usize,
    idle_close: Duration,
    discovery: watch::Receiver<std::net::SocketAddr>,
    inputs: Sender<Input>,
    received: Receiver<Input>,
    phase: watch::Sender<Phase>,
    /// Clients are served no longer.
    served: watch::Receiver<bool>,
    started: oneshot::Sender<Result<(), JournalError>>,
    joined: Joined,
}

/// Runs until SIGTERM.
pub(crate) async fn run(config: Config) -> Result<(), RunError> {
    // Before anybody can see that it is ready: SIGHUP without a handler would end the process.
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let shards = config.shards;
    let joined = Joined::join(&config).await?;
    let watcher = watcher(&config);
    let Sockets { clients, idle } = Sockets::share(&config);
    let journal_limit = (config.limits.disk_mb * JOURNAL_PART) as u64 / shards as u64;
    let journal = yarrowhill_journal::Options { max_bytes: journal_limit, durability: config.durability };
    let folders = yarrowhill_journal::prepare_segments(&config.state, shards, journal, unix_now_ms(), |d| {
        shard_of(d, shards)
    })?;
    let (told, at) = watch::channel(config.discovery);
    let (all_served, served) = watch::channel(false);
    let pool = CapacityPool::new(config.settings.max_held_messages, shards);
    let shares = Arc::new(QuotaShares::new(shards, config.settings.tenants.len()));
    let (mut engines, mut phases, mut threads) = (Vec::new(), Vec::new(), JoinSet::new());
    for (number, state) in folders.into_iter().enumerate() {
        let (inputs, received) = mpsc::channel(INPUTS);
        let (phase, shard_phase) = watch::channel(Phase::Serving);
        let (started, start) = oneshot::channel();
        engines.push(inputs.clone());
        phases.push(shard_phase);
        let options = options(&config, number, state, journal_limit, &pool, &shares);
        let idle_close = Duration::from_micros(config.settings.idle_timeout.max(0) as u64);
        let idle = (idle / shards).max(1);
        let (discovery, served) = (at.clone(), served.clone());
        let joined = joined.clone();
        let shard =
            Work { options, idle, idle_close, discovery, inputs, received, phase, served, started, joined };
        let name = format!("shard-{number}");
        let thread = thread::Builder::new().name(name).spawn(move || work(shard))?;
        threads.spawn_blocking(move || (number, thread.join().is_ok()));
        start.await.map_err(|_| RunError::ShardEnded(number))??;
    }
    joined.tell_senders(&engines);
    let engines = EngineSenders::new(engines);
    let (lists, listed) = mpsc::channel(INPUTS);
    tokio::spawn(discovery::watch(at, watcher, lists));
    tokio::spawn(distribute_lists(listed, engines.clone()));
    tokio::spawn(reload(hangup, told, joined.clone()));
    let listener = TcpListener::bind(config.listen).await?;
    let (phase, closing) = watch::channel(Phase::Serving);
    let bodies = config.limits.memory_mb.max(1) * 1024 / BODIES;
    let intake = Intake::new(config.names, config.settings, engines.clone(), closing, bodies);
    let intake = joined.guard_clients(intake);
    let mut front = tokio::spawn(yarrowhill_http::serve(listener, clients, Arc::new(intake)));
    for shard in &phases {
        tokio::spawn(least(shard.clone(), phases.clone(), phase.clone()));
    }
    let mut ends = false;
    loop {
        tokio::select! {
            _ = terminate.recv(), if !ends => {
                ends = true;
                joined.leave();
                for engine in engines.all() {
                    // An engine is gone only when the process ends.
                    let _ = engine.send(Input::Shutdown).await;
                }
            }
            _ = &mut front, if !*all_served.borrow() => drop(all_served.send_replace(true)),
            ended = threads.join_next() => match ended {
                None => break,
                Some(Ok((_, true))) if ends => {}
                Some(Ok((number, _))) => return Err(RunError::ShardEnded(number)),
                Some(Err(_)) => return Err(RunError::ShardEnded(shards)),
            },
        }
    }
    front.abort();
    Ok(())
}

fn options(
    config: &Config,
    number: usize,
    state: PathBuf,
    journal_limit: u64,
    pool: &Arc<CapacityPool>,
    shares: &Arc<QuotaShares>,
) -> Options {
    Options {
        settings: shard_settings(&config.settings, number, config.shards),
        names: config.names.clone(),
        seed: config.seed.wrapping_add(number as u64),
        state_dir: state,
        max_journal_bytes: journal_limit,
        durability: config.durability,
        initial_list: shard_list(&config.known, number, config.shards),
        shard: Some(Shard { index: number, capacity: pool.clone(), quota_shares: shares.clone() }),
    }
}

/// One shard, from its start to its end.
fn work(shard: Work) {
    let Work { options, idle, idle_close, discovery, inputs, received, phase, mut served, started, joined } =
        shard;
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return drop(started.send(Err(e.into()))),
    };
    runtime.block_on(async move {
        let (notices, batches) = mpsc::channel(1);
        let pool = joined.guard_calls(Pool::new(idle, idle_close));
        let engine = match Engine::start(options, pool, notices, inputs.clone()) {
            Ok(engine) => engine,
            Err(e) => return drop(started.send(Err(e))),
        };
        tokio::spawn(notices::send_all(discovery, batches, inputs));
        // Whoever started this waits for it.
        let _ = started.send(Ok(()));
        let front = tokio::spawn(async move {
            let _ = served.wait_for(|served| *served).await;
        });
        yarrowhill_engine::run(engine, received, phase, front).await;
    });
}

/// Clients see the phase of the shard that is least far on its way to the end.
async fn least(
    mut one: watch::Receiver<Phase>,
    all: Vec<watch::Receiver<Phase>>,
    front: watch::Sender<Phase>,
) {
    while one.changed().await.is_ok() {
        let least = all.iter().map(|phase| *phase.borrow()).min().unwrap_or(Phase::Closed);
        front.send_if_modified(|phase| std::mem::replace(phase, least) != least);
    }
}
