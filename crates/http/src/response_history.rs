//! What a connection remembers of the responses that it has carried.

use std::collections::VecDeque;
use std::time::Duration;

/// Bounds of the time for which a response may be followed by another one, if it is a copy.
const MIN_PROVISIONAL: Duration = Duration::from_millis(250);
const MAX_PROVISIONAL: Duration = Duration::from_millis(1000);
/// Multiple of the connection's slowest response after which a response to the call is overdue.
const OVERDUE_FACTOR: u32 = 2;
/// Number of earlier responses of a connection that are remembered.
const MAX_REMEMBERED: usize = 32;

/// The responses that a connection has carried.
#[derive(Debug, Default)]
pub(crate) struct ResponseHistory {
    /// Fingerprints of the last responses, without repetitions.
    fingerprints: VecDeque<u64>,
    slowest: Duration,
}

impl ResponseHistory {
    /// Returns whether the connection has carried no response yet, so that a copy of one cannot arrive.
    pub(crate) fn is_empty(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// Remembers a response that came `elapsed` after its request.
    pub(crate) fn remember(&mut self, fingerprint: u64, elapsed: Duration) {
        self.slowest = self.slowest.max(elapsed);
        if !self.contains(fingerprint) {
            if self.fingerprints.len() == MAX_REMEMBERED {
                self.fingerprints.pop_front();
            }
            self.fingerprints.push_back(fingerprint);
        }
    }

    /// Returns whether one of the last responses had this fingerprint, so that another one may be its copy.
    pub(crate) fn contains(&self, fingerprint: u64) -> bool {
        self.fingerprints.contains(&fingerprint)
    }

    /// Returns the time within which another response follows a provisional one, if that was a copy.
    pub(crate) fn provisional_for(&self) -> Duration {
        (self.slowest * OVERDUE_FACTOR).clamp(MIN_PROVISIONAL, MAX_PROVISIONAL)
    }
}
