//! The list of endpoints, in discovery's form (PROTOCOL, "Discovery").

use serde::Deserialize;
use std::net::SocketAddr;

/// The list of endpoints, or what changed in it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Its version.
    #[serde(rename = "rev")]
    pub version: u64,
    /// Whether this is the whole list: what is missing is gone.
    #[serde(rename = "all")]
    pub is_full: bool,
    /// Its lines.
    #[serde(rename = "targets")]
    pub endpoints: Vec<EndpointInfo>,
}

/// What the list says of one endpoint.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointInfo {
    /// The same at every forwarder, also after a restart of the endpoint.
    pub uid: String,
    /// Its address, as this forwarder sees it.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Its zone by name.
    #[serde(rename = "az")]
    pub zone: String,
    /// Its kind by name.
    #[serde(rename = "model")]
    pub kind: String,
    /// Its destination.
    #[serde(rename = "pod_group")]
    pub dest: u64,
    /// Where it stands.
    pub state: EndpointState,
    /// When it last started (Unix ms); 0 for long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_ms: u64,
    /// The weight that the list gives it.
    #[serde(rename = "capacity_hint", default = "one")]
    pub weight: f64,
}

fn one() -> f64 {
    1.0
}

/// Where an endpoint stands.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// May be called.
    InService,
    /// Finishes what it has and wants nothing new.
    Terminating,
    /// Gone.
    Terminated,
}
