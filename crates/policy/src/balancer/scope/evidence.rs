//! Evidence that most calls of a scope fail, while others may be delivered.
//!
//! A sequential test over the outcomes of calls: each failure raises the score, each delivery lowers it by
//! less, and it does not fall below zero. So deliveries of the time before the failures began do not outweigh
//! them, and neither do the deliveries among them.

use crate::api::Micros;

/// Part of a failure's score that a delivery takes back. Where fewer than 0.28 of the calls fail, the score
/// falls.
const DELIVERY_SCORE: f64 = 0.4;
/// Score from which most calls are taken to fail, where a sender sends enough of them.
pub(super) const FAILING_SCORE: f64 = 4.0;
/// Number of consecutive deliveries from which the calls are no longer taken to fail.
const RECOVERY_DELIVERIES: u32 = 4;

/// Evidence that most calls fail.
#[derive(Default)]
pub(super) struct FailureEvidence {
    /// Score of the test, from 0 to [`FAILING_SCORE`].
    score: f64,
    /// Time of the first failure that the score counts; `None` if the score is 0.
    since: Option<Micros>,
    /// Number of deliveries after the last failure, of calls sent after the first one.
    deliveries_in_row: u32,
    /// When the call of the first of these deliveries was sent.
    row_sent_at: Micros,
    /// True from the time at which the score shows that most calls fail, until enough are delivered.
    is_failing: bool,
    /// True if a call that was sent after the first failure was delivered, and a later one failed again.
    is_intermittent: bool,
}

impl FailureEvidence {
    /// Records a failed call. Most calls are taken to fail from a score of `threshold`. A call that was sent
    /// before those that were delivered since says nothing about the time since.
    pub(super) fn record_failure(&mut self, now: Micros, sent_at: Micros, threshold: f64) {
        self.score = (self.score + 1.0).min(FAILING_SCORE);
        self.since.get_or_insert(now);
        self.is_failing |= self.score >= threshold;
        if self.deliveries_in_row > 0 && sent_at >= self.row_sent_at {
            self.is_intermittent = true;
            self.deliveries_in_row = 0;
        }
    }

    /// Records the delivery of a call.
    pub(super) fn record_delivery(&mut self, sent_at: Micros) {
        self.score = (self.score - DELIVERY_SCORE).max(0.0);
        if self.since.is_some_and(|since| sent_at >= since) {
            self.row_sent_at = if self.deliveries_in_row == 0 { sent_at } else { self.row_sent_at };
            self.deliveries_in_row += 1;
        }
        if self.deliveries_in_row >= RECOVERY_DELIVERIES {
            (self.is_failing, self.is_intermittent) = (false, false);
        }
        if self.score == 0.0 && !self.is_failing {
            *self = FailureEvidence::default();
        }
    }

    /// Returns the score of the test.
    pub(super) fn score(&self) -> f64 {
        self.score
    }

    /// Returns true if most calls are taken to fail.
    pub(super) fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Returns true if most calls are taken to fail, and some are delivered all the same.
    pub(super) fn is_failing_intermittently(&self) -> bool {
        self.is_failing && self.is_intermittent
    }

    /// Returns true if the last call was the first delivery after a failure.
    pub(super) fn is_first_delivery(&self) -> bool {
        self.deliveries_in_row == 1
    }
}
