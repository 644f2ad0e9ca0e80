//! Decides when to request the endpoint list, how long a watch may wait, and when to retry after a failure.
//! Performs no I/O: the caller passes in the result of each request. A request without a response in time counts
//! as failed; whether it stays open beside the next one is up to the caller.
//!
//! Many forwarders poll one discovery service without coordination. The requests of one forwarder are
//! harmless, but if all of them request and retry at the same times, the service stays overloaded. The
//! interval between requests is therefore derived from the size of the fleet, which every forwarder is
//! configured with, and random delays spread the requests (exponential back-off with equal jitter: half of
//! each delay is fixed, half is random).

use rand::{Rng, RngExt};
use std::time::Duration;

/// Time after which the platform assumes that a forwarder knows the current list, counted from when discovery
/// became reachable and regardless of whether the requests to it succeeded.
#[cfg(test)]
const ASSUMED_KNOWN_AFTER: Duration = Duration::from_secs(6);
/// Longest time from the start of a request that fails to the start of its retry. What then remains of
/// `ASSUMED_KNOWN_AFTER` is enough for the response to the retry.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(3300);
/// Average time between two new watches of all forwarders of a fleet, whether they all start or all fail at
/// once.
const REQUEST_SPACING: Duration = Duration::from_millis(80);
/// Upper bound of a forwarder's request interval, however large the fleet is.
const MAX_INTERVAL: Duration = MAX_RETRY_INTERVAL;
/// Request interval of a fleet that is small enough to start without spreading its first requests.
const SMALL_FLEET_INTERVAL: Duration = Duration::from_millis(400);
/// How long a watch waits for a change. Short, because a watch whose peer has become unresponsive is noticed
/// only after this time, and the changes that it missed are assumed to be known a few seconds later all the
/// same. Continuing a watch costs discovery nothing.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Delay after the first failure in a small fleet; each further failure doubles it.
const MIN_BACK_OFF: Duration = Duration::from_millis(100);
/// In a large fleet the first delay is the request interval divided by this: a first failure most likely hits
/// all forwarders at once.
const BACK_OFF_DIVISOR: u32 = 4;
/// Timeout of a response that is due at once: from a local agent, or from a watch that continues, after its
/// wait.
const PROMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a new watch on a shared discovery service. Long, because the service rejects what it cannot
/// answer within 2 s, so that an accepted request gets a response; another one that is sent sooner costs the
/// service as much.
const QUEUED_TIMEOUT: Duration = Duration::from_millis(2500);

/// A request for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The known version; `None` requests the full list at once.
    pub version: Option<u64>,
    /// How long discovery may wait for a change; zero without a known version.
    pub wait: Duration,
    /// Time after the request at which it counts as failed, and another one is to be sent, if no response has come.
    pub timeout: Duration,
}

/// How a request for the list failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The known version may still be valid: there was no connection, no response, or a temporary rejection.
    Unavailable,
    /// The response for the known version cannot be used; the next request asks for the full list.
    Unusable,
}

/// Request schedule of one forwarder.
#[derive(Debug)]
pub struct Schedule<R> {
    version: Option<u64>,
    failures: u32,
    /// Whether the last request succeeded, so that the next one continues its watch.
    is_watching: bool,
    /// Average time between two requests of this forwarder when all forwarders of the fleet request.
    interval: Duration,
    /// Timeout of a new watch.
    first_timeout: Duration,
    rng: R,
}

impl<R: Rng> Schedule<R> {
    /// Creates the schedule of a forwarder that knows the list as of `version`. `forwarders` is the number of
    /// forwarders that share the discovery service, this one included; `None` where a local agent receives
    /// pushed updates.
    pub fn new(forwarders: Option<usize>, version: u64, rng: R) -> Self {
        let senders = u32::try_from(forwarders.unwrap_or(1)).unwrap_or(u32::MAX);
        let interval = REQUEST_SPACING.saturating_mul(senders).min(MAX_INTERVAL);
        let first_timeout = if forwarders.is_some() { QUEUED_TIMEOUT } else { PROMPT_TIMEOUT };
        Schedule { version: Some(version), failures: 0, is_watching: false, interval, first_timeout, rng }
    }

    /// Returns the delay before the first request. The list known at the start was current not long ago, and
    /// the complete fleet may have started at once.
    pub fn initial_delay(&mut self) -> Duration {
        let is_large_fleet = self.interval > SMALL_FLEET_INTERVAL;
        if is_large_fleet { self.interval.mul_f64(self.rng.random_range(0.0..1.0)) } else { Duration::ZERO }
    }

    /// Returns the next request. A new watch does not wait: the current list is needed at once, and an
    /// unresponsive service is noticed as early as possible.
    pub fn next_request(&self) -> WatchRequest {
        let wait = if self.is_watching { WATCH_WAIT } else { Duration::ZERO };
        let timeout = if self.is_watching { WATCH_WAIT + PROMPT_TIMEOUT } else { self.first_timeout };
        WatchRequest { version: self.version, wait, timeout }
    }

    /// Returns whether the last request succeeded, so that the next one continues its watch.
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Records that the list was received as of `version`, by a request that the next one continues.
    pub fn succeeded(&mut self, version: u64) {
        self.received(version);
        (self.failures, self.is_watching) = (0, true);
    }

    /// Records that the list was received as of `version`, by a request behind which another one has been sent.
    pub fn received(&mut self, version: u64) {
        self.version = Some(version);
    }

    /// Records that a request failed after `elapsed`, and returns the delay until the next. The delay depends
    /// on time alone, not on the kind of failure: the fleet stays out of step, and no retry starts later than
    /// [`MAX_RETRY_INTERVAL`] allows.
    pub fn failed(&mut self, kind: FailureKind, elapsed: Duration) -> Duration {
        if kind == FailureKind::Unusable {
            self.version = None;
        }
        self.is_watching = false;
        let min = self.interval / BACK_OFF_DIVISOR;
        let max = self.interval.max(SMALL_FLEET_INTERVAL);
        let max = max.min(MAX_RETRY_INTERVAL.saturating_sub(elapsed).max(min));
        let delay = MIN_BACK_OFF.max(min).saturating_mul(1 << self.failures.min(16)).min(max);
        self.failures += 1;
        delay.mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Records that discovery has a new address. The service there may not know the versions of the old one.
    pub fn address_changed(&mut self) {
        (self.version, self.failures, self.is_watching) = (None, 0, false);
    }
}

#[cfg(test)]
mod tests;
