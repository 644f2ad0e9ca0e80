//! Permissions of the process, checked right before each action.

use std::fmt::Debug;
use std::time::Duration;
use yarrowhill_policy::api::DestId;

/// Permissions that are checked just before a byte leaves. What was allowed when the engine decided may no
/// longer be allowed, since the process may have been stopped in between.
pub trait Gate: Debug + Send + Sync {
    /// Returns whether calls to endpoints may begin.
    fn may_send(&self) -> bool;
    /// Checks a call to a destination against the state that several processes share. `is_retry` says that
    /// every message in the call has been tried before, `was_delayed` that this call has been delayed here
    /// before.
    ///
    /// # Errors
    ///
    /// The call must be delayed; the error is the time after which to ask again.
    fn admit_call(&self, dest: DestId, is_retry: bool, was_delayed: bool) -> Result<(), Duration> {
        let _ = (dest, is_retry, was_delayed);
        Ok(())
    }
    /// Returns whether new messages may be accepted.
    fn may_accept(&self) -> bool;
    /// Returns whether the process may report to clients that it is ready.
    fn is_ready(&self) -> bool;
    /// Records the end of a call to a destination. `elapsed` runs from the first byte, or from the start of
    /// the connection attempt.
    fn call_ended(&self, dest: DestId, elapsed: Duration, result: CallResult) {
        let _ = (dest, elapsed, result);
    }
}

/// The result of a call, as far as it says something about the destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The call was served.
    Served,
    /// The call was refused, and the destination demanded this wait.
    Wait(Duration),
    /// The call was refused, or answered in another way that shows the destination to be reachable.
    Refused,
    /// There was no connection, no response in time, a malformed response, or one that reports a failure.
    Failed,
}
