//! The daemon with one engine: HTTP server, engine, calls, discovery and notices in one process, within the
//! platform's limits.

use crate::config::Config;
use crate::fleet::FleetMembership;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use yarrowhill_engine::{Engine, Input, JournalError, Options, Phase};
use yarrowhill_http::discovery::{self, WatchConfig};
use yarrowhill_http::{Intake, ListedAddresses, Pool, notices};

/// Capacity of the channel of inputs to an engine.
pub(crate) const INPUT_CHANNEL_CAPACITY: usize = 1024;

/// Divisor of the memory limit for message bodies that the engine has not accepted yet (from then on the limits of
/// the journal apply), for bodies of responses, and for an endpoint list, each.
const BODY_MEMORY_DIVISOR: usize = 8;

/// Descriptors reserved for everything but clients and endpoints: standard streams, runtime, listener, journal,
/// and the open requests to discovery and for notices.
const RESERVED_DESCRIPTORS: usize = 20;

/// Number of connections that may wait to be accepted. The system drops what exceeds it, and a client tries again
/// only after a second, when it no longer waits for an answer.
const LISTEN_BACKLOG: u32 = 1024;

/// Bytes that the journal may take for each megabyte of the disk limit. The remaining 5 % allow for the
/// rounding of file sizes.
pub(crate) const JOURNAL_BYTES_PER_DISK_MB: f64 = 0.95e6;

/// Split of the descriptors, so that neither many clients nor many endpoints use up all of them.
pub(crate) struct DescriptorBudget {
    /// Maximum number of client connections.
    pub(crate) clients: usize,
    /// Maximum number of idle connections to endpoints.
    pub(crate) idle: usize,
}

impl DescriptorBudget {
    pub(crate) fn new(config: &Config) -> Self {
        let reserved = RESERVED_DESCRIPTORS.saturating_add(config.settings.slots);
        let free = config.limits.sockets.saturating_sub(reserved);
        DescriptorBudget { clients: (free * 2 / 3).max(1), idle: (free / 3).max(1) }
    }
}

/// Error with which the forwarder ends before SIGTERM.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The journal cannot be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The state folder has the journals of several shards, but this build supports only one.
    #[error(
        "{0} has the journals of several shards: this build supports one shard (feature \"shards\" is off)"
    )]
    ShardedLayout(std::path::PathBuf),
    /// The thread of a shard ended without a request to shut down.
    #[error("shard {0} ended unexpectedly")]
    ShardEnded(usize),
    /// The fleet document cannot be read, or the forwarder cannot join its fleet.
    #[cfg(feature = "members")]
    #[error("fleet: {0}")]
    Fleet(String),
    /// A socket, a thread or a signal handler cannot be set up, or the state folder cannot be read.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Returns the initial state of the list watch. A list that is pushed comes from an agent on the forwarder's
/// own machine, at no cost to others; only a discovery that has to be polled is shared with the other
/// forwarders.
pub(crate) fn watch_config(config: &Config) -> WatchConfig {
    let forwarders = config.settings.must_subscribe.then_some(config.settings.senders);
    let max_list_bytes = body_memory_kib(config) * 1024;
    WatchConfig { version: config.known.version, forwarders, seed: config.seed, max_list_bytes }
}

/// Returns the limit (KiB) of the memory for each kind of bodies that are being read.
pub(crate) fn body_memory_kib(config: &Config) -> usize {
    config.limits.memory_mb.max(1) * 1024 / BODY_MEMORY_DIVISOR
}

/// Reloads the configuration at each SIGHUP. The address of discovery and the fleet document take effect; all
/// other values of the file are fixed for the life of the process. A file that cannot be read or parsed
/// changes nothing.
pub(crate) async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>, fleet: FleetMembership) {
    while hangup.recv().await.is_some() {
        fleet.reload();
        match Config::from_env() {
            Ok(config) => {
                discovery.send_if_modified(|addr| {
                    let old = std::mem::replace(addr, config.discovery);
                    old != config.discovery
                });
            }
            Err(e) => tracing::error!("configuration: reload failed, the old one stays in force: {e}"),
        }
    }
}

/// Listens for clients. An error names the address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // Connections of an earlier process may still be closing at the address.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))
}

/// Runs the forwarder until SIGTERM.
///
/// # Errors
///
/// Returns an error if the journal, the listener or the fleet membership cannot be set up, or a shard ends
/// unexpectedly.
pub async fn run(config: Config) -> Result<(), RunError> {
    let has_sharded_layout = yarrowhill_journal::has_sharded_layout(&config.state)?;
    #[cfg(feature = "shards")]
    if config.shards > 1 || has_sharded_layout {
        return crate::sharded::run(config).await;
    }
    // A single journal would ignore the messages in the journals of the shards.
    if has_sharded_layout {
        return Err(RunError::ShardedLayout(config.state));
    }
    // Handlers are set before the process reports that it is ready: SIGHUP without a handler would end it.
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let DescriptorBudget { clients, idle } = DescriptorBudget::new(&config);
    let (inputs, received) = mpsc::channel(INPUT_CHANNEL_CAPACITY);
    let (notices, batches) = mpsc::channel(1);
    tracing::debug!(settings = ?config.settings, "starts");
    let listed = ListedAddresses::new(&config.known);
    let fleet = FleetMembership::join(&config).await?;
    let (watch_config, body_memory_kib) = (watch_config(&config), body_memory_kib(&config));
    let options = Options {
        settings: config.settings.clone(),
        names: config.names.clone(),
        seed: config.seed,
        state_dir: config.state,
        max_journal_bytes: (config.limits.disk_mb * JOURNAL_BYTES_PER_DISK_MB) as u64,
        durability: config.durability,
        initial_list: config.known,
        shard: None,
    };
    let idle_timeout = Duration::from_micros(config.settings.idle_timeout.max(0) as u64);
    let pool = fleet.guard_calls(
        Pool::new(idle, idle_timeout).with_body_memory(body_memory_kib).with_listed_addresses(listed.clone()),
    );
    let engine = Engine::start(options, pool, notices, inputs.clone())?;
    fleet.forward_sender_count(std::slice::from_ref(&inputs));
    let (discovery_addr, discovery_updates) = watch::channel(config.discovery);
    tokio::spawn(discovery::watch(discovery_updates.clone(), watch_config, listed, inputs.clone()));
    tokio::spawn(notices::send_all(discovery_updates, batches, inputs.clone()));
    tokio::spawn(reload(hangup, discovery_addr, fleet.clone()));
    let shutdown_input = inputs.clone();
    let leaving_fleet = fleet.clone();
    tokio::spawn(async move {
        terminate.recv().await;
        leaving_fleet.leave();
        // The channel is closed only when the process ends.
        let _ = shutdown_input.send(Input::Shutdown).await;
    });
    let listener = listen(config.listen)?;
    let (phase, phase_updates) = watch::channel(Phase::Serving);
    let intake = Intake::new(config.names, config.settings, inputs, phase_updates, body_memory_kib);
    let intake = fleet.guard_clients(intake);
    let server = tokio::spawn(yarrowhill_http::serve(listener, clients, Arc::new(intake)));
    yarrowhill_engine::run(engine, received, phase, server).await;
    Ok(())
}
