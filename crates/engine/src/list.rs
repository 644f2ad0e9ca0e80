//! The endpoint list, in the form that discovery sends (PROTOCOL, "Discovery").

use serde::Deserialize;
use std::net::SocketAddr;

/// The endpoint list, or changes to it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(rename = "rev")]
    pub version: u64,
    /// Whether this is the full list, so that endpoints missing from it are gone.
    #[serde(rename = "all")]
    pub is_full: bool,
    /// Listed endpoints.
    #[serde(rename = "targets")]
    pub endpoints: Vec<EndpointInfo>,
}

/// The entry of one endpoint.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointInfo {
    /// Unique id: the same at every forwarder, and kept when the endpoint restarts.
    pub uid: String,
    /// Address, as seen by this forwarder.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Zone name.
    #[serde(rename = "az")]
    pub zone: String,
    /// Name of the destination's kind.
    #[serde(rename = "model")]
    pub kind: String,
    /// Destination number.
    #[serde(rename = "pod_group")]
    pub dest: u64,
    /// Lifecycle state.
    pub state: EndpointState,
    /// Time of the last start (Unix ms); 0 for a start long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_ms: u64,
    /// Weight assigned by the list.
    #[serde(rename = "capacity_hint", default = "default_weight")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// The lifecycle state of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint accepts calls.
    InService,
    /// The endpoint is draining: it finishes its calls and accepts no new ones.
    Terminating,
    /// The endpoint is gone.
    Terminated,
}
