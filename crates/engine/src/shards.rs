//! Several engines (shards) in one process. Each has its own destinations, journal and turns, and takes no
//! lock on a message's path. Shared limits are divided as in [`crate::capacity`] and [`crate::quota_shares`].

use crate::input::Input;
use crate::list::EndpointList;
use tokio::sync::mpsc::{Receiver, Sender};
use yarrowhill_policy::api::Settings;

/// Returns the shard of a destination, which is the same in every process with that number of shards.
///
/// ```
/// use yarrowhill_engine::shard_of;
/// assert_eq!(shard_of(7, 1), 0);
/// assert!(shard_of(7, 4) < 4);
/// ```
pub fn shard_of(dest: u64, shards: usize) -> usize {
    // Fibonacci hashing spreads consecutive numbers, and numbers with a common factor, evenly.
    let hash = dest.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    (hash % shards.max(1) as u64) as usize
}

/// Returns the settings of a shard, with its part of the slots, at least one. The cap of a destination is a
/// share of these.
pub fn shard_settings(settings: &Settings, shard: usize, shards: usize) -> Settings {
    let (quotient, remainder) = (settings.slots / shards, settings.slots % shards);
    Settings { slots: (quotient + usize::from(shard < remainder)).max(1), ..settings.clone() }
}

/// Returns the part of a list that belongs to a shard, with the version and kind of the list.
pub fn shard_list(list: &EndpointList, shard: usize, shards: usize) -> EndpointList {
    let endpoints =
        list.endpoints.iter().filter(|endpoint| shard_of(endpoint.dest, shards) == shard).cloned().collect();
    EndpointList { version: list.version, is_full: list.is_full, endpoints }
}

/// The input channels of all engines of a process.
#[derive(Clone, Debug)]
pub struct EngineSenders(Vec<Sender<Input>>);

impl EngineSenders {
    /// Takes one sender for each shard, in the order of the shards.
    pub fn new(senders: Vec<Sender<Input>>) -> Self {
        EngineSenders(senders)
    }

    /// Returns the sender to the engine of a destination, or `None` if there are no engines.
    pub fn for_dest(&self, dest: u64) -> Option<&Sender<Input>> {
        self.0.get(shard_of(dest, self.0.len()))
    }

    /// Returns the senders of all shards.
    pub fn all(&self) -> &[Sender<Input>] {
        &self.0
    }
}

impl From<Sender<Input>> for EngineSenders {
    fn from(sender: Sender<Input>) -> Self {
        EngineSenders(vec![sender])
    }
}

/// Forwards what discovery sends to all engines, of each list the endpoints of the shard.
pub async fn distribute_lists(mut inputs: Receiver<Input>, engines: EngineSenders) {
    let shards = engines.all().len();
    while let Some(input) = inputs.recv().await {
        for (shard, engine) in engines.all().iter().enumerate() {
            let input = match &input {
                Input::List(list) => Input::List(shard_list(list, shard, shards)),
                Input::DiscoveryMoved => Input::DiscoveryMoved,
                _ => continue,
            };
            // The receiver is closed only when the process ends.
            let _ = engine.send(input).await;
        }
    }
}

#[cfg(test)]
mod tests;
