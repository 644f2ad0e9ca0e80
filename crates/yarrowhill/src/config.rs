//! What the forwarder is told: its environment and the configuration file (DEPLOY, "What a forwarder is told").

use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use std::{env, fs, io};
use yarrowhill_engine::{Durability, EndpointList};
use yarrowhill_policy::api::Settings;
use yarrowhill_settings::{FieldError, Names, from_json};

/// Why the forwarder cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A variable of the environment is missing.
    #[error("the environment lacks {0}")]
    MissingVariable(&'static str),
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    Read(PathBuf, #[source] io::Error),
    /// The file is not of the agreed form.
    #[error("cannot make out {0}: {1}")]
    Json(PathBuf, #[source] serde_json::Error),
    /// The seed is no hexadecimal number.
    #[error("seed {0:?} is not a hexadecimal number: {1}")]
    InvalidSeed(String, #[source] ParseIntError),
    /// Too many shards, or none, or this build has one alone.
    #[error("{0} shards: this build can have 1 to {1}")]
    ShardsOutOfRange(usize, usize),
    /// A fleet's document is named, and this build knows no fleets.
    #[cfg(not(feature = "members"))]
    #[error("a fleet is named, and this build knows none")]
    FleetUnsupported,
    /// A fleet's document is named, and the forwarder has no name.
    #[cfg(feature = "members")]
    #[error("a fleet is named, and no name of this forwarder")]
    MissingName,
    /// A setting cannot be read.
    #[error("settings: {0}")]
    Settings(FieldError),
}

/// Shards that a process may have.
const SHARDS_MOST: usize = if cfg!(feature = "shards") { 64 } else { 1 };

/// Calls out at a time: one for so many descriptors at most.
const SLOTS_PART: usize = 3;

/// Bounds on what the process may hold.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct Limits {
    pub(crate) memory_mb: usize,
    pub(crate) sockets: usize,
    pub(crate) disk_mb: f64,
}

/// What a turn of the journal outlasts, by its name in the file.
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
    /// Engines side by side, each on a thread of its own.
    #[serde(default = "one")]
    shards: usize,
    #[cfg(feature = "members")]
    #[serde(default)]
    name: Option<String>,
    /// The fleet's document, by its path from this file's folder.
    #[serde(default)]
    fleet: Option<PathBuf>,
}

fn one() -> usize {
    1
}

/// All that the forwarder is told.
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
    #[cfg_attr(not(feature = "shards"), expect(dead_code, reason = "there is one"))]
    pub(crate) shards: usize,
    /// Its name, and the fleet's document, where it is to be a member.
    #[cfg(feature = "members")]
    pub(crate) member: Option<(String, PathBuf)>,
}

impl Config {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    ///
    /// A variable is missing, or the file can't be read or made out.
    pub fn from_env() -> Result<Self, ConfigError> {
        let var = |name| env::var_os(name).map(PathBuf::from).ok_or(ConfigError::MissingVariable(name));
        Config::read(&var("BALANCER_CONFIG")?, var("BALANCER_STATE")?)
    }

    /// Reads a file, for a forwarder that keeps its journal in `state`.
    ///
    /// # Errors
    ///
    /// The file can't be read or made out.
    pub fn read(path: &Path, state: PathBuf) -> Result<Self, ConfigError> {
        let text = fs::read(path).map_err(|e| ConfigError::Read(path.into(), e))?;
        let mut config = Config::parse(&text, state, path)?;
        config.bound_descriptors(descriptors().unwrap_or(usize::MAX));
        Ok(config)
    }

    /// It has no more descriptors than these. Where the settings name no bound on calls, the descriptors are one: a call
    /// that can't have a connection for want of them would look like an outage of its destination.
    fn bound_descriptors(&mut self, most: usize) {
        self.limits.sockets = self.limits.sockets.min(most);
        self.settings.slots = self.settings.slots.min((self.limits.sockets / SLOTS_PART).max(1));
    }

    /// Reads the text of a file; `path` names it in errors.
    ///
    /// # Errors
    ///
    /// The text can't be made out.
    pub fn parse(text: &[u8], state: PathBuf, path: &Path) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_slice(text).map_err(|e| ConfigError::Json(path.into(), e))?;
        if !(1..=SHARDS_MOST).contains(&file.shards) {
            return Err(ConfigError::ShardsOutOfRange(file.shards, SHARDS_MOST));
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
        config.bound_descriptors(sockets);
        Ok(config)
    }
}

/// Descriptors that the system gives this process, where it says so.
fn descriptors() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let soft = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    // None where there is no limit.
    soft.split_whitespace().next()?.parse().ok()
}
