//! A limit on how often a failure that persists is logged.

use std::time::{Duration, Instant};

/// Shortest time between two log entries about the same failure.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Decides whether a failure is logged: the first is, and then at most one per second.
#[derive(Debug, Default)]
pub(crate) struct LogLimit {
    last: Option<Instant>,
}

impl LogLimit {
    /// Returns true if the failure that happens now is to be logged.
    pub(crate) fn allows(&mut self) -> bool {
        let allowed = self.last.is_none_or(|at| at.elapsed() > MIN_INTERVAL);
        if allowed {
            self.last = Some(Instant::now());
        }
        allowed
    }
}
