//! Configuration of the forwarder: its environment variables and the configuration file.

use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use std::{env, fs, io};
use yarrowhill_engine::{Durability, EndpointList};
use yarrowhill_policy::api::Settings;
use yarrowhill_settings::{FieldError, Names, from_json};

/// Error in the configuration, with which the forwarder cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable is not set.
    #[error("environment variable {0} is not set")]
    MissingVariable(&'static str),
    /// The configuration file cannot be read.
    #[error("cannot read {0}: {1}")]
    Read(PathBuf, #[source] io::Error),
    /// The configuration file is not JSON, or a field has the wrong type or is missing.
    #[error("cannot parse {0}: {1}")]
    Json(PathBuf, #[source] serde_json::Error),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed {0:?} is not a hexadecimal number: {1}")]
    InvalidSeed(String, #[source] ParseIntError),
    /// The number of shards (first value) is 0 or above the maximum of this build (second value).
    #[error("shards = {0} is out of range: this build supports 1 to {1}")]
    ShardsOutOfRange(usize, usize),
    /// A fleet document is configured, but this build has no membership.
    #[cfg(not(feature = "members"))]
    #[error("fleet is set, but this build does not support fleets (feature \"members\")")]
    FleetUnsupported,
    /// A fleet document is configured, but no name for this forwarder.
    #[cfg(feature = "members")]
    #[error("fleet is set, but name is missing: a member of a fleet needs a name")]
    MissingName,
    /// A setting is missing or has an invalid value.
    #[error("settings: {0}")]
    Settings(FieldError),
}

/// Maximum number of shards in a process.
const MAX_SHARDS: usize = if cfg!(feature = "shards") { 64 } else { 1 };

/// Number of file descriptors for each call in flight: this bounds concurrent calls.
const DESCRIPTORS_PER_CALL: usize = 3;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Limits {
    pub(crate) memory_mb: usize,
    pub(crate) sockets: usize,
    pub(crate) disk_mb: f64,
}

/// Durability of a journal commit, by its name in the file.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DurabilityName {
    #[default]
    Process,
    Disk,
}

#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    known: EndpointList,
    settings: Value,
    #[serde(default)]
    durability: DurabilityName,
    /// Number of engines, each on a thread of its own.
    #[serde(default = "default_shards")]
    shards: usize,
    #[cfg(feature = "members")]
    #[serde(default)]
    name: Option<String>,
    /// Path of the fleet document, relative to the folder of this file.
    #[serde(default)]
    fleet: Option<PathBuf>,
}

fn default_shards() -> usize {
    1
}

/// Configuration of a forwarder.
#[derive(Debug)]
pub struct Config {
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) state: PathBuf,
    pub(crate) seed: u64,
    pub(crate) limits: Limits,
    pub(crate) known: EndpointList,
    pub(crate) settings: Settings,
    pub(crate) names: Names,
    pub(crate) durability: Durability,
    #[cfg_attr(
        not(feature = "shards"),
        expect(dead_code, reason = "without the feature there is only one shard")
    )]
    pub(crate) shards: usize,
    /// Name of the forwarder and path of the fleet document, if it is a member of a fleet.
    #[cfg(feature = "members")]
    pub(crate) member: Option<(String, PathBuf)>,
}

impl Config {
    /// Reads the file that the environment variables name.
    ///
    /// # Errors
    ///
    /// Returns an error if a variable is not set, or the file cannot be read or parsed.
    pub fn from_env() -> Result<Self, ConfigError> {
        let variable = |name| env::var_os(name).map(PathBuf::from).ok_or(ConfigError::MissingVariable(name));
        Config::read(&variable("BALANCER_CONFIG")?, variable("BALANCER_STATE")?)
    }

    /// Reads a file, for a forwarder whose state folder is `state`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed.
    pub fn read(path: &Path, state: PathBuf) -> Result<Self, ConfigError> {
        let text = fs::read(path).map_err(|e| ConfigError::Read(path.into(), e))?;
        let mut config = Config::parse(&text, state, path)?;
        config.limit_descriptors(descriptor_limit().unwrap_or(usize::MAX));
        Ok(config)
    }

    /// Limits the process to `max` descriptors, and concurrent calls with them. The settings may leave calls
    /// unbounded, and a call that gets no connection for lack of descriptors would look like an outage of its
    /// destination.
    fn limit_descriptors(&mut self, max: usize) {
        self.limits.sockets = self.limits.sockets.min(max);
        self.settings.slots = self.settings.slots.min((self.limits.sockets / DESCRIPTORS_PER_CALL).max(1));
    }

    /// Parses the text of a file. `path` is used in errors, and to resolve the path of the fleet document.
    ///
    /// # Errors
    ///
    /// Returns an error if the text cannot be parsed or a value is invalid.
    pub fn parse(text: &[u8], state: PathBuf, path: &Path) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_slice(text).map_err(|e| ConfigError::Json(path.into(), e))?;
        if !(1..=MAX_SHARDS).contains(&file.shards) {
            return Err(ConfigError::ShardsOutOfRange(file.shards, MAX_SHARDS));
        }
        #[cfg(not(feature = "members"))]
        if file.fleet.is_some() {
            return Err(ConfigError::FleetUnsupported);
        }
        #[cfg(feature = "members")]
        let member = match (file.name, file.fleet) {
            (_, None) => None,
            (None, Some(_)) => return Err(ConfigError::MissingName),
            (Some(name), Some(fleet)) => Some((name, path.parent().unwrap_or(Path::new("")).join(fleet))),
        };
        let (settings, names) = from_json(&file.settings).map_err(ConfigError::Settings)?;
        let sockets = file.limits.sockets;
        let mut config = Config {
            listen: file.listen,
            discovery: file.discovery,
            state,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|e| ConfigError::InvalidSeed(file.seed, e))?,
            limits: file.limits,
            known: file.known,
            shards: file.shards,
            settings,
            names,
            #[cfg(feature = "members")]
            member,
            durability: match file.durability {
                DurabilityName::Process => Durability::Process,
                DurabilityName::Disk => Durability::Disk,
            },
        };
        config.limit_descriptors(sockets);
        Ok(config)
    }
}

/// Returns the soft limit of the system on open files of this process, if there is one.
fn descriptor_limit() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let soft = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    // "unlimited" does not parse and gives None.
    soft.split_whitespace().next()?.parse().ok()
}
