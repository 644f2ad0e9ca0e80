//! Several engines side by side: each has the destinations that fall to it, a journal and a turn of its own, and takes
//! no lock on a message's way. What they share is leased in portions (see [`crate::capacity`] and [`crate::quota_shares`]).

use crate::input::Input;
use crate::list::EndpointList;
use tokio::sync::mpsc::{Receiver, Sender};
use yarrowhill_policy::api::Settings;

/// The shard of a destination: the same for every process with as many shards.
///
/// ```
/// use yarrowhill_engine::shard_of;
/// assert_eq!(shard_of(7, 1), 0);
/// assert!(shard_of(7, 4) < 4);
/// ```
pub fn shard_of(dest: u64, shards: usize) -> usize {
    // Fibonacci hashing: numbers in a row, and those with a common factor, spread evenly.
    let spread = dest.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    (spread % shards.max(1) as u64) as usize
}

/// A shard's settings: its part of the slots, at least one. A destination's cap is a share of these.
pub fn shard_settings(settings: &Settings, shard: usize, shards: usize) -> Settings {
    let (even, rest) = (settings.slots / shards, settings.slots % shards);
    Settings { slots: (even + usize::from(shard < rest)).max(1), ..settings.clone() }
}

/// The lines of a list that are a shard's. The list's version and form stay.
pub fn shard_list(list: &EndpointList, shard: usize, shards: usize) -> EndpointList {
    let endpoints =
        list.endpoints.iter().filter(|endpoint| shard_of(endpoint.dest, shards) == shard).cloned().collect();
    EndpointList { version: list.version, is_full: list.is_full, endpoints }
}

/// The ways in to all engines of a process.
#[derive(Clone, Debug)]
pub struct EngineSenders(Vec<Sender<Input>>);

impl EngineSenders {
    /// One way in for each shard, in their order.
    pub fn new(shards: Vec<Sender<Input>>) -> Self {
        EngineSenders(shards)
    }

    /// The engine of a destination; none where there is no engine at all.
    pub fn for_dest(&self, dest: u64) -> Option<&Sender<Input>> {
        self.0.get(shard_of(dest, self.0.len()))
    }

    /// All of them.
    pub fn all(&self) -> &[Sender<Input>] {
        &self.0
    }
}

impl From<Sender<Input>> for EngineSenders {
    fn from(one: Sender<Input>) -> Self {
        EngineSenders(vec![one])
    }
}

/// Passes on what comes for all engines: of a list, each gets the lines that are its own.
pub async fn distribute_lists(mut inputs: Receiver<Input>, engines: EngineSenders) {
    let shards = engines.all().len();
    while let Some(input) = inputs.recv().await {
        let Input::List(list) = input else { continue };
        for (shard, engine) in engines.all().iter().enumerate() {
            // An engine is gone only when the process ends.
            let _ = engine.send(Input::List(shard_list(&list, shard, shards))).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_slot_belongs_to_one_shard_and_destinations_spread() {
        for (slots, shards) in [(10, 4), (128, 4), (2, 4), (7, 1)] {
            let settings = Settings { slots, ..Settings::default() };
            let parts: Vec<usize> = (0..shards).map(|s| shard_settings(&settings, s, shards).slots).collect();
            assert_eq!(parts.iter().sum::<usize>(), slots.max(shards), "{parts:?}");
        }
        for step in [1, 2, 10, 64, 1000] {
            let mut count = [0; 4];
            (0..4000).for_each(|n| count[shard_of(n * step, 4)] += 1);
            assert!(count.iter().all(|n| (700..1300).contains(n)), "step {step}: {count:?}");
        }
    }
}
