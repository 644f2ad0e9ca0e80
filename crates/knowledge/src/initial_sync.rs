//! Initial state transfer: a newly started member has no state, and obtains a peer's full state before it
//! takes on messages.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of members whose parts are tracked at a time; a starting member asks only a few.
const MAX_MEMBERS: usize = 16;

/// Tracks whether one member's answer has arrived in full, or the deadline has passed. An answer may take
/// several packets, any of which may be lost; reports that members spread among themselves are not part of an
/// answer.
#[derive(Clone, Debug)]
pub struct InitialSync {
    until: Micros,
    parts: BTreeMap<u64, BTreeSet<u8>>,
}

impl InitialSync {
    /// Returns a transfer that ends at `until` at the latest.
    pub fn new(until: Micros) -> Self {
        InitialSync { until, parts: BTreeMap::new() }
    }

    /// Returns whether the member still has to ask for state.
    pub fn is_pending(&self, now: Micros) -> bool {
        now < self.until
    }

    /// Records a part of a member's answer.
    pub fn record_part(&mut self, from: u64, part: u8, parts: u8) {
        if part >= parts || (self.parts.len() >= MAX_MEMBERS && !self.parts.contains_key(&from)) {
            return;
        }
        let received = self.parts.entry(from).or_default();
        received.insert(part);
        if received.len() >= usize::from(parts) {
            self.until = 0;
        }
    }
}

#[cfg(test)]
mod tests;
