//! What the daemon with one engine and the one with several have in common: limits that follow from the
//! configuration, the listener, and the reload of the configuration.

use crate::config::Config;
use crate::fleet::FleetMembership;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use yarrowhill_http::discovery::WatchConfig;

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
