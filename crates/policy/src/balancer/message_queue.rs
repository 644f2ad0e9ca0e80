//! The messages of one class that are queued for one destination.

use crate::api::{MessageId, Micros};
use std::collections::BTreeSet;

/// Messages ordered by the time until which they keep their full value. Those that an earlier process had
/// accepted are kept apart, so that the first of either kind is found without a search.
#[derive(Debug, Default)]
pub(super) struct MessageQueue {
    new: BTreeSet<(Micros, MessageId)>,
    recovered: BTreeSet<(Micros, MessageId)>,
}

impl MessageQueue {
    /// Adds a message that keeps its full value until `due`.
    pub(super) fn insert(&mut self, due: Micros, id: MessageId, is_recovered: bool) {
        if is_recovered { &mut self.recovered } else { &mut self.new }.insert((due, id));
    }

    /// Removes a message.
    pub(super) fn remove(&mut self, due: Micros, id: MessageId) {
        if !self.new.remove(&(due, id)) {
            self.recovered.remove(&(due, id));
        }
    }

    /// Returns the number of messages.
    pub(super) fn len(&self) -> usize {
        self.new.len() + self.recovered.len()
    }

    /// Returns true if the queue holds no message.
    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the first message.
    pub(super) fn first(&self) -> Option<(Micros, MessageId)> {
        self.new.first().into_iter().chain(self.recovered.first()).min().copied()
    }

    /// Returns the first message that keeps its full value until `at` or longer.
    pub(super) fn first_due_from(&self, at: Micros) -> Option<(Micros, MessageId)> {
        let first = |queue: &BTreeSet<(Micros, MessageId)>| queue.range((at, 0)..).next().copied();
        first(&self.new).into_iter().chain(first(&self.recovered)).min()
    }

    /// Returns the first message that this process accepted itself.
    pub(super) fn first_new(&self) -> Option<MessageId> {
        self.new.first().map(|(_, id)| *id)
    }

    /// Returns the first message that an earlier process had accepted.
    pub(super) fn first_recovered(&self) -> Option<MessageId> {
        self.recovered.first().map(|(_, id)| *id)
    }
}

#[cfg(test)]
mod tests;
