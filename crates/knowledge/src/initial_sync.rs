//! One that has just started knows nothing, and is told all by somebody before it takes anything on.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Members whose parts are kept at a time: it asks few.
const MEMBERS_MOST: usize = 16;

/// Asks until one member's answer has come whole, or a moment has passed. An answer may take several packets, any of which may be
/// lost, and what others pass on to each other is no answer.
#[derive(Clone, Debug)]
pub struct InitialSync {
    until: Micros,
    parts: BTreeMap<u64, BTreeSet<u8>>,
}

impl InitialSync {
    /// One that asks until then at the latest.
    pub fn new(until: Micros) -> Self {
        InitialSync { until, parts: BTreeMap::new() }
    }

    /// Whether it still has to be told.
    pub fn is_pending(&self, now: Micros) -> bool {
        now < self.until
    }

    /// A part of a member's answer has come.
    pub fn record_part(&mut self, from: u64, part: u8, parts: u8) {
        if part >= parts || (self.parts.len() >= MEMBERS_MOST && !self.parts.contains_key(&from)) {
            return;
        }
        let come = self.parts.entry(from).or_default();
        come.insert(part);
        if come.len() >= usize::from(parts) {
            self.until = 0;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_asks_until_one_answer_is_whole() {
        let mut one = InitialSync::new(100);
        one.record_part(1, 0, 3);
        one.record_part(1, 0, 3);
        one.record_part(2, 2, 3);
        one.record_part(2, 7, 3);
        assert!(one.is_pending(99) && !one.is_pending(100), "of two halves of two answers none is whole");
        one.record_part(1, 2, 3);
        one.record_part(1, 1, 3);
        assert!(!one.is_pending(5));
        let mut other = InitialSync::new(100);
        (0..1000).for_each(|from| other.record_part(from, 0, 2));
        assert!(other.parts.len() <= MEMBERS_MOST);
    }
}
