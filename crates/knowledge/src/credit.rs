//! How long one origin's word alone may hold a destination back.

use crate::Micros;

/// What an origin's word alone may hold a destination back at a time (microseconds): as long as the longest wait that is
/// believed of a destination itself.
pub const MAX_CREDIT: Micros = 60_000_000;
/// It comes back at one in so many of the time that passes.
pub const CREDIT_REFILL_DIVISOR: u64 = 4;

/// An origin's credit about a destination. It is spent while its word holds the destination back, and comes back slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credit {
    left: Micros,
    at: Micros,
}

impl Credit {
    /// All of it.
    pub fn new(now: Micros) -> Self {
        Credit { left: MAX_CREDIT, at: now }
    }

    /// What is left at a moment at which nothing is held back.
    pub fn available(&self, now: Micros) -> Micros {
        self.left.saturating_add(now.saturating_sub(self.at) / CREDIT_REFILL_DIVISOR).min(MAX_CREDIT)
    }

    /// A word holds until `until` from now on, in place of one that held until `before`: how long it may.
    pub fn spend(&mut self, now: Micros, before: Micros, until: Micros) -> Micros {
        // What the last word has not used comes back whole; while it held, nothing came back.
        let unused = before.saturating_sub(now);
        let held = before.min(now).saturating_sub(self.at);
        let since = now.saturating_sub(self.at).saturating_sub(held);
        let left =
            self.left.saturating_add(unused).saturating_add(since / CREDIT_REFILL_DIVISOR).min(MAX_CREDIT);
        let span = until.saturating_sub(now).min(left);
        (self.left, self.at) = (left - span, now);
        now + span
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever an origin says and when, it holds for no more than its credit and a part of the time.
        #[test]
        fn one_origin_holds_for_its_credit_and_a_part_of_the_time(
            words in proptest::collection::vec((0..20_000_000u64, 0..90_000_000u64), 1..60),
        ) {
            let start = 1_000_000;
            let (mut now, mut until, mut held) = (start, 0, 0);
            let mut credit = Credit::new(now);
            for (pause, wait) in words {
                let next = now + pause;
                held += until.clamp(now, next) - now;
                now = next;
                until = credit.spend(now, until, now + wait);
            }
            held += until.saturating_sub(now);
            let end = now.max(until);
            prop_assert!(held <= MAX_CREDIT + (end - start) / CREDIT_REFILL_DIVISOR + 60, "{held} of {}", end - start);
        }
    }
}
