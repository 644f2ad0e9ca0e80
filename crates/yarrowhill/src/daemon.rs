//! The daemon with one engine: HTTP server, engine, calls, discovery and notices in one process, within the
//! platform's limits.

use crate::config::Config;
use crate::fleet::FleetMembership;
use crate::run_error::RunError;
use crate::setup::{
    DescriptorBudget, INPUT_CHANNEL_CAPACITY, JOURNAL_BYTES_PER_DISK_MB, body_memory_kib, listen, reload,
    watch_config,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use yarrowhill_engine::{Engine, Input, Options, Phase};
use yarrowhill_http::{Intake, ListedAddresses, Pool, discovery, notices};

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
