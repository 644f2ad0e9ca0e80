//! Configurations in the platform's form (DEPLOY, "What a forwarder is told").

use crate::discovery::EndpointLine;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

/// A class of message as the settings tell it.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// `pure`, `token` or `side_effect`.
    pub idempotency: &'static str,
    /// How long a message may be delivered (ms).
    pub deadline_ms: u64,
}

/// The figures of a configuration that tests differ in.
#[derive(Clone, Debug)]
pub struct ConfigParams {
    /// Classes.
    pub classes: Vec<Class>,
    /// How long a key is remembered (ms).
    pub key_ttl_ms: f64,
    /// A message earns its full worth within this (ms).
    pub goal_time_ms: f64,
    /// Calls out at once.
    pub slots: usize,
    /// The rule on returning destinations: multiple, for how long (ms), capacity at first, warm after (ms).
    pub fail_back: [f64; 4],
    /// The seed of the forwarder's own chance.
    pub seed: u64,
    /// What it may take.
    pub resources: Resources,
}

/// What a forwarder may take.
#[derive(Clone, Copy, Debug)]
pub struct Resources {
    /// Descriptors.
    pub sockets: usize,
    /// Its disk (MB).
    pub disk_mb: f64,
    /// Messages that it may hold.
    pub max_open: usize,
}

impl Default for Resources {
    /// The least that the platform gives.
    fn default() -> Self {
        Resources { sockets: 256, disk_mb: 3.0, max_open: 300 }
    }
}

/// The configuration of a forwarder that listens at `listen`. Kinds are `plain` and `several` (20 in a call),
/// the one owner is `acme`.
pub fn configuration(
    figures: &ConfigParams,
    listen: SocketAddr,
    discovery: SocketAddr,
    lines: &[EndpointLine],
) -> Value {
    let class = |c: &Class| {
        json!({"name": c.name, "idempotency": c.idempotency, "dedupScope": "all", "keyTtl": figures.key_ttl_ms,
               "goalTime": figures.goal_time_ms, "deadline": c.deadline_ms as f64, "worth": 1.0, "lateShare": 0.4})
    };
    let Resources { sockets, disk_mb, max_open: open_cap } = figures.resources;
    let [multiple, fall_for, start_capacity, warm_after] = figures.fail_back;
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", figures.seed.max(1)),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets, "disk_mb": disk_mb},
        "known": {"rev": 1, "all": true, "targets": lines},
        "settings": {
            "classes": figures.classes.iter().map(class).collect::<Vec<_>>(),
            "kinds": ["plain", "several"], "zone": "a", "zones": ["a", "b"], "peersTotal": 1,
            "realms": [{"name": "acme", "quotaRps": 100_000.0}],
            "report": {"fields": ["x0", "x1"]}, "round": 5.0, "weights": "rough",
            "familyInfo": {"batchByKind": [1, 20], "kindApart": [false, false], "slots": figures.slots},
            "limits": {"maxAttempts": 6, "openCap": open_cap, "connectTimeout": 250.0, "idleClose": 2000.0,
                       "retryAfter": true, "maxRetryAfter": 1000.0, "cancel": true},
            "guarantees": {"fallMultiple": multiple, "overloadFor": fall_for, "startCapacity": start_capacity,
                           "warmAfter": warm_after, "stopSendingWithin": 2000.0}
        }
    })
}

/// An address of its own on loopback for each caller: nobody else takes the port between its choice and its use.
///
/// # Errors
///
/// No port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    static CHOSEN: AtomicU64 = AtomicU64::new(0);
    let chosen = CHOSEN.fetch_add(1, Ordering::Relaxed);
    let pid = u64::from(std::process::id());
    let byte = |n: u64| (1 + n % 250) as u8;
    let ip = [127, byte(pid / 250), byte(pid + chosen / 250), byte(chosen)];
    std::net::TcpListener::bind(SocketAddr::from((ip, 0)))?.local_addr()
}
