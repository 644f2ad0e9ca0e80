//! Bounds how long the reports of one origin alone may delay calls to a destination.

use crate::Micros;

/// Longest time for which the reports of one origin alone may delay calls to a destination without a break
/// (microseconds): as long as the longest wait accepted from the destination itself.
pub const MAX_CREDIT: Micros = 60_000_000;
/// Credit is regained at one in this many of the elapsed time.
pub const CREDIT_REFILL_DIVISOR: u64 = 4;

/// An origin's credit for one destination. It is spent while the origin's report delays calls, and is
/// regained slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credit {
    left: Micros,
    at: Micros,
}

impl Credit {
    /// Returns full credit.
    pub fn new(now: Micros) -> Self {
        Credit { left: MAX_CREDIT, at: now }
    }

    /// Returns the credit available at a time at which no report delays calls.
    pub fn available(&self, now: Micros) -> Micros {
        self.left.saturating_add(now.saturating_sub(self.at) / CREDIT_REFILL_DIVISOR).min(MAX_CREDIT)
    }

    /// Spends credit on a report that asks for a delay until `until`, in place of one that held until
    /// `before`, and returns the time until which it may delay calls.
    pub fn spend(&mut self, now: Micros, before: Micros, until: Micros) -> Micros {
        // The unused part of the previous report is returned in full; while that report held, nothing was
        // regained.
        let unused = before.saturating_sub(now);
        let held = before.min(now).saturating_sub(self.at);
        let idle = now.saturating_sub(self.at).saturating_sub(held);
        let left =
            self.left.saturating_add(unused).saturating_add(idle / CREDIT_REFILL_DIVISOR).min(MAX_CREDIT);
        let granted = until.saturating_sub(now).min(left);
        (self.left, self.at) = (left - granted, now);
        now + granted
    }
}

#[cfg(test)]
mod tests;
