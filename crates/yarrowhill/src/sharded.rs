//! The daemon with several engines. Each runs on a thread of its own, with its own destinations, journal and
//! calls; clients are served on the threads of the runtime that calls [`run`].

use crate::config::Config;
use crate::fleet::FleetMembership;
use crate::run_error::RunError;
use crate::setup::{
    DescriptorBudget, INPUT_CHANNEL_CAPACITY, JOURNAL_BYTES_PER_DISK_MB, body_memory_kib, listen, reload,
    watch_config,
};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use yarrowhill_engine::{
    CapacityPool, Engine, EngineSenders, Input, Options, Phase, QuotaShares, Shard, distribute_lists,
    shard_list, shard_of, shard_settings, unix_now_ms,
};
use yarrowhill_http::{Intake, ListedAddresses, Pool, discovery, notices};

/// What the thread of one shard needs.
struct ShardContext {
    options: Options,
    /// Maximum number of idle connections to endpoints.
    idle: usize,
    idle_timeout: Duration,
    body_memory_kib: usize,
    listed: ListedAddresses,
    discovery: watch::Receiver<std::net::SocketAddr>,
    inputs: Sender<Input>,
    received: Receiver<Input>,
    phase: watch::Sender<Phase>,
    /// True once the server for clients has ended.
    server_ended: watch::Receiver<bool>,
    started: oneshot::Sender<Result<(), RunError>>,
    fleet: FleetMembership,
}

/// Runs the shards and the server for clients until SIGTERM.
pub(crate) async fn run(config: Config) -> Result<(), RunError> {
    // Handlers are set before the process reports that it is ready: SIGHUP without a handler would end it.
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let shards = config.shards;
    let fleet = FleetMembership::join(&config).await?;
    let (watch_config, body_memory_kib) = (watch_config(&config), body_memory_kib(&config));
    let listed = ListedAddresses::new(&config.known);
    let DescriptorBudget { clients, idle } = DescriptorBudget::new(&config);
    let max_journal_bytes = (config.limits.disk_mb * JOURNAL_BYTES_PER_DISK_MB) as u64 / shards as u64;
    let journal_options =
        yarrowhill_journal::Options { max_bytes: max_journal_bytes, durability: config.durability };
    let folders = yarrowhill_journal::prepare_segments(
        &config.state,
        shards,
        journal_options,
        unix_now_ms(),
        |dest| shard_of(dest, shards),
    )?;
    let (discovery_addr, discovery_updates) = watch::channel(config.discovery);
    let (server_ended, server_ended_updates) = watch::channel(false);
    let capacity = CapacityPool::new(config.settings.max_held_messages, shards);
    let quota_shares = Arc::new(QuotaShares::new(shards, config.settings.tenants.len()));
    let (mut engines, mut phases, mut threads) = (Vec::new(), Vec::new(), JoinSet::new());
    for (index, state_dir) in folders.into_iter().enumerate() {
        let (inputs, received) = mpsc::channel(INPUT_CHANNEL_CAPACITY);
        let (phase, shard_phase) = watch::channel(Phase::Serving);
        let (started, start_result) = oneshot::channel();
        engines.push(inputs.clone());
        phases.push(shard_phase);
        let options = shard_options(&config, index, state_dir, max_journal_bytes, &capacity, &quota_shares);
        let idle_timeout = Duration::from_micros(config.settings.idle_timeout.max(0) as u64);
        let idle = (idle / shards).max(1);
        let context = ShardContext {
            options,
            idle,
            idle_timeout,
            body_memory_kib: body_memory_kib / shards,
            listed: listed.clone(),
            discovery: discovery_updates.clone(),
            inputs,
            received,
            phase,
            server_ended: server_ended_updates.clone(),
            started,
            fleet: fleet.clone(),
        };
        let name = format!("shard-{index}");
        let thread = thread::Builder::new().name(name).spawn(move || run_shard(context))?;
        threads.spawn_blocking(move || (index, thread.join().is_ok()));
        start_result.await.map_err(|_| RunError::ShardEnded(index))??;
    }
    fleet.forward_sender_count(&engines);
    let engines = EngineSenders::new(engines);
    let (lists, received_lists) = mpsc::channel(INPUT_CHANNEL_CAPACITY);
    tokio::spawn(discovery::watch(discovery_updates, watch_config, listed, lists));
    tokio::spawn(distribute_lists(received_lists, engines.clone()));
    tokio::spawn(reload(hangup, discovery_addr, fleet.clone()));
    let listener = listen(config.listen)?;
    let (phase, phase_updates) = watch::channel(Phase::Serving);
    let intake = Intake::new(config.names, config.settings, engines.clone(), phase_updates, body_memory_kib);
    let intake = fleet.guard_clients(intake);
    let mut server = tokio::spawn(yarrowhill_http::serve(listener, clients, Arc::new(intake)));
    for shard in &phases {
        tokio::spawn(publish_earliest_phase(shard.clone(), phases.clone(), phase.clone()));
    }
    let mut is_shutting_down = false;
    loop {
        tokio::select! {
            _ = terminate.recv(), if !is_shutting_down => {
                is_shutting_down = true;
                fleet.leave();
                for engine in engines.all() {
                    // The channel is closed only when the process ends.
                    let _ = engine.send(Input::Shutdown).await;
                }
            }
            _ = &mut server, if !*server_ended.borrow() => drop(server_ended.send_replace(true)),
            ended = threads.join_next() => match ended {
                None => break,
                Some(Ok((_, true))) if is_shutting_down => {}
                Some(Ok((index, _))) => return Err(RunError::ShardEnded(index)),
                Some(Err(_)) => return Err(RunError::ShardEnded(shards)),
            },
        }
    }
    server.abort();
    Ok(())
}

fn shard_options(
    config: &Config,
    index: usize,
    state_dir: PathBuf,
    max_journal_bytes: u64,
    capacity: &Arc<CapacityPool>,
    quota_shares: &Arc<QuotaShares>,
) -> Options {
    Options {
        settings: shard_settings(&config.settings, index, config.shards),
        names: config.names.clone(),
        seed: config.seed.wrapping_add(index as u64),
        state_dir,
        max_journal_bytes,
        durability: config.durability,
        initial_list: shard_list(&config.known, index, config.shards),
        shard: Some(Shard { index, capacity: capacity.clone(), quota_shares: quota_shares.clone() }),
    }
}

/// Runs one shard on the current thread, until it has shut down.
fn run_shard(context: ShardContext) {
    let ShardContext {
        options,
        idle,
        idle_timeout,
        body_memory_kib,
        listed,
        discovery,
        inputs,
        received,
        phase,
        mut server_ended,
        started,
        fleet,
    } = context;
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return drop(started.send(Err(e.into()))),
    };
    runtime.block_on(async move {
        let (notices, batches) = mpsc::channel(1);
        let pool = fleet.guard_calls(
            Pool::new(idle, idle_timeout).with_body_memory(body_memory_kib).with_listed_addresses(listed),
        );
        let engine = match Engine::start(options, pool, notices, inputs.clone()) {
            Ok(engine) => engine,
            Err(e) => return drop(started.send(Err(e.into()))),
        };
        tokio::spawn(notices::send_all(discovery, batches, inputs));
        // `run` waits for this result.
        let _ = started.send(Ok(()));
        let server = tokio::spawn(async move {
            let _ = server_ended.wait_for(|ended| *ended).await;
        });
        yarrowhill_engine::run(engine, received, phase, server).await;
    });
}

/// Publishes the earliest phase of all shards to the server at each change of one shard's phase: clients are
/// served until the last shard has shut down.
async fn publish_earliest_phase(
    mut shard: watch::Receiver<Phase>,
    all: Vec<watch::Receiver<Phase>>,
    server: watch::Sender<Phase>,
) {
    while shard.changed().await.is_ok() {
        let earliest = all.iter().map(|phase| *phase.borrow()).min().unwrap_or(Phase::Closed);
        server.send_if_modified(|phase| std::mem::replace(phase, earliest) != earliest);
    }
}
