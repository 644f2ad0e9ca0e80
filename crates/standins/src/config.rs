//! Configurations of a forwarder in the platform's format.

use crate::discovery::EndpointLine;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

/// A class of messages in the settings.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name of the class.
    pub name: &'static str,
    /// Effect of repeats: `pure`, `token` or `side_effect`.
    pub idempotency: &'static str,
    /// Time within which a message may be delivered (ms).
    pub deadline_ms: u64,
}

/// The parameters of a configuration that differ between tests.
#[derive(Clone, Debug)]
pub struct ConfigParams {
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Time for which destinations remember an idempotency key (ms).
    pub key_ttl_ms: f64,
    /// Time within which a delivered message has its full worth (ms).
    pub goal_time_ms: f64,
    /// Number of slots: calls in progress at once.
    pub slots: usize,
    /// The rule on returning destinations: overload multiple, its period (ms), share of the capacity right
    /// after an outage, and warm-up time (ms).
    pub fail_back: [f64; 4],
    /// Seed of the forwarder's random numbers.
    pub seed: u64,
    /// Limits on the forwarder's resources.
    pub resources: Resources,
}

/// Limits on the resources of a forwarder.
#[derive(Clone, Copy, Debug)]
pub struct Resources {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Disk space (MB).
    pub disk_mb: f64,
    /// Maximum number of messages in progress.
    pub max_open: usize,
}

impl Default for Resources {
    /// Returns the smallest limits that the platform sets.
    fn default() -> Self {
        Resources { sockets: 256, disk_mb: 3.0, max_open: 300 }
    }
}

/// Returns the configuration of a forwarder that listens at `listen`. It has the endpoint kinds `plain` and
/// `several` (batches of 20) and the single owner `acme`.
pub fn configuration(
    params: &ConfigParams,
    listen: SocketAddr,
    discovery: SocketAddr,
    lines: &[EndpointLine],
) -> Value {
    let class = |c: &Class| {
        json!({"name": c.name, "idempotency": c.idempotency, "dedupScope": "all", "keyTtl": params.key_ttl_ms,
               "goalTime": params.goal_time_ms, "deadline": c.deadline_ms as f64,
               "worth": 1.0, "lateShare": 0.4})
    };
    let Resources { sockets, disk_mb, max_open } = params.resources;
    let [multiple, overload_for, start_capacity, warm_up] = params.fail_back;
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", params.seed.max(1)),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets, "disk_mb": disk_mb},
        "known": {"rev": 1, "all": true, "targets": lines},
        "settings": {
            "classes": params.classes.iter().map(class).collect::<Vec<_>>(),
            "kinds": ["plain", "several"], "zone": "a", "zones": ["a", "b"], "peersTotal": 1,
            "realms": [{"name": "acme", "quotaRps": 100_000.0}],
            "report": {"fields": ["x0", "x1"]}, "round": 5.0, "weights": "rough",
            "familyInfo": {"batchByKind": [1, 20], "kindApart": [false, false], "slots": params.slots},
            "limits": {"maxAttempts": 6, "openCap": max_open, "connectTimeout": 250.0, "idleClose": 2000.0,
                       "retryAfter": true, "maxRetryAfter": 1000.0, "cancel": true},
            "guarantees": {"fallMultiple": multiple, "overloadFor": overload_for,
                           "startCapacity": start_capacity, "warmAfter": warm_up, "stopSendingWithin": 2000.0}
        }
    })
}

/// Returns a loopback address that differs for each call, so that no other test takes the port between its
/// choice and its use.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = u64::from(std::process::id());
    let byte = |n: u64| (1 + n % 250) as u8;
    let ip = [127, byte(pid / 250), byte(pid + count / 250), byte(count)];
    std::net::TcpListener::bind(SocketAddr::from((ip, 0)))?.local_addr()
}
