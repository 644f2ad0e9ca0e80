//! The daemon: an engine with HTTP round it, one process under the platform's limits.

use crate::config::Config;
use crate::fleet::Joined;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use yarrowhill_engine::{Engine, Input, JournalError, Options, Phase};
use yarrowhill_http::discovery::{self, WatchConfig};
use yarrowhill_http::{Intake, Pool, notices};

/// What may wait for the engine at a time.
pub(crate) const INPUTS: usize = 1024;

/// The part of the memory that bodies may take before the engine has them; the journal's bounds hold from then.
pub(crate) const BODIES: usize = 8;

/// Descriptors for all but clients and endpoints: standard streams, runtime, listener, journal, discovery.
const OWN: usize = 20;

/// The part of the disk that the journal may take: a little is left for the rounding of file sizes.
pub(crate) const JOURNAL_PART: f64 = 0.95e6;

/// How the descriptors are shared out, so that neither many clients nor many endpoints use up all of them.
pub(crate) struct Sockets {
    pub(crate) clients: usize,
    /// Connections to endpoints without a call.
    pub(crate) idle: usize,
}

impl Sockets {
    pub(crate) fn share(config: &Config) -> Self {
        let free = config.limits.sockets.saturating_sub(OWN.saturating_add(config.settings.slots));
        Sockets { clients: (free * 2 / 3).max(1), idle: (free / 3).max(1) }
    }
}

/// Why the forwarder ended before it was told to.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The journal cannot be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// Journals of several shards stand in the folder.
    #[error("{0} holds the journals of several shards, and this build has one alone")]
    ShardedLayout(std::path::PathBuf),
    /// A shard has ended although nobody told it to.
    #[error("shard {0} has ended")]
    ShardEnded(usize),
    /// It can't be a member of its fleet.
    #[cfg(feature = "members")]
    #[error("fleet: {0}")]
    Fleet(String),
    /// A socket or a signal cannot be had.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Who keeps the list, and how many others do. What is pushed is had from an agent of the forwarder's own machine, at
/// no cost to anybody; only what has to be asked for is shared with the others.
pub(crate) fn watcher(config: &Config) -> WatchConfig {
    let forwarders = config.settings.must_subscribe.then_some(config.settings.senders);
    WatchConfig { version: config.known.version, forwarders, seed: config.seed }
}

/// Reads the file again at each SIGHUP and passes on discovery's address; all else that the file tells holds
/// for the whole life of the process. A file that can't be read changes nothing.
pub(crate) async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>, joined: Joined) {
    while hangup.recv().await.is_some() {
        joined.reload();
        match Config::from_env() {
            Ok(config) => {
                discovery.send_if_modified(|at| {
                    let old = std::mem::replace(at, config.discovery);
                    old != config.discovery
                });
            }
            Err(e) => tracing::error!("configuration: not read again: {e}"),
        }
    }
}

/// Runs until SIGTERM.
///
/// # Errors
///
/// The journal or the listener can't be had.
pub async fn run(config: Config) -> Result<(), RunError> {
    let layouts = yarrowhill_journal::has_sharded_layout(&config.state)?;
    #[cfg(feature = "shards")]
    if config.shards > 1 || layouts {
        return crate::sharded::run(config).await;
    }
    // Guards what stands there: it would be forgotten.
    if layouts {
        return Err(RunError::ShardedLayout(config.state));
    }
    // Before anybody can see that it is ready: SIGHUP without a handler would end the process.
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let Sockets { clients, idle } = Sockets::share(&config);
    let (inputs, received) = mpsc::channel(INPUTS);
    let (notices, batches) = mpsc::channel(1);
    tracing::debug!(settings = ?config.settings, "starts");
    let joined = Joined::join(&config).await?;
    let watcher = watcher(&config);
    let options = Options {
        settings: config.settings.clone(),
        names: config.names.clone(),
        seed: config.seed,
        state_dir: config.state,
        max_journal_bytes: (config.limits.disk_mb * JOURNAL_PART) as u64,
        durability: config.durability,
        initial_list: config.known,
        shard: None,
    };
    let idle_close = Duration::from_micros(config.settings.idle_timeout.max(0) as u64);
    let pool = joined.guard_calls(Pool::new(idle, idle_close));
    let engine = Engine::start(options, pool, notices, inputs.clone())?;
    joined.tell_senders(std::slice::from_ref(&inputs));
    let (told, at) = watch::channel(config.discovery);
    tokio::spawn(discovery::watch(at.clone(), watcher, inputs.clone()));
    tokio::spawn(notices::send_all(at, batches, inputs.clone()));
    tokio::spawn(reload(hangup, told, joined.clone()));
    let close = inputs.clone();
    let leaving = joined.clone();
    tokio::spawn(async move {
        terminate.recv().await;
        leaving.leave();
        // The engine is gone only when the process ends.
        let _ = close.send(Input::Shutdown).await;
    });
    let listener = TcpListener::bind(config.listen).await?;
    let (phase, closing) = watch::channel(Phase::Serving);
    let bodies = config.limits.memory_mb.max(1) * 1024 / BODIES;
    let intake = Intake::new(config.names, config.settings, inputs, closing, bodies);
    let intake = joined.guard_clients(intake);
    let front = tokio::spawn(yarrowhill_http::serve(listener, clients, Arc::new(intake)));
    yarrowhill_engine::run(engine, received, phase, front).await;
    Ok(())
}
