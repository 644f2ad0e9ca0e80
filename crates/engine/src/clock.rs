//! The monotonic clock of the decision module. Unix time is used only for times that outlast the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use yarrowhill_policy::api::Micros;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Clock { start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Micros {
        self.micros(Instant::now())
    }

    pub(crate) fn micros(&self, at: Instant) -> Micros {
        i64::try_from(at.saturating_duration_since(self.start).as_micros()).unwrap_or(Micros::MAX)
    }

    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(u64::try_from(at).unwrap_or(0))
    }
}

/// Returns the Unix time in milliseconds.
///
/// ```
/// assert!(yarrowhill_engine::unix_now_ms() > 1_700_000_000_000);
/// ```
pub fn unix_now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
