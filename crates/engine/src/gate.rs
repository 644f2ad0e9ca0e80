//! What the whole process may do at this moment, asked at the last step before it is done.

use std::fmt::Debug;
use std::time::Duration;
use yarrowhill_policy::api::DestId;

/// Looked at just before a byte leaves: what was allowed when the engine decided may not be any more, since the process
/// may have been stopped in between.
pub trait Gate: Debug + Send + Sync {
    /// Calls to endpoints may begin.
    fn may_send(&self) -> bool;
    /// Whether a call to a destination may begin by what several processes share; else after how long to ask again.
    /// `further`: every message in it has been tried before. `again`: the same call was held back before.
    ///
    /// # Errors
    ///
    /// It is to be held back.
    fn admit_call(&self, dest: DestId, is_retry: bool, was_delayed: bool) -> Result<(), Duration> {
        let _ = (dest, is_retry, was_delayed);
        Ok(())
    }
    /// New messages may be taken on.
    fn may_accept(&self) -> bool;
    /// Clients may be told that it is ready.
    fn is_ready(&self) -> bool;
    /// A call to a destination has ended, so long after its first byte or after a connection was tried.
    fn call_ended(&self, dest: DestId, elapsed: Duration, result: CallResult) {
        let _ = (dest, elapsed, result);
    }
}

/// How a call went, as far as it says anything of its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It was served.
    Served,
    /// It was refused, and told to wait for so long.
    Wait(Duration),
    /// It was refused, or answered in some other way by somebody who is there.
    Refused,
    /// There was no connection, no answer in time, none that can be read, or one that tells of a failure.
    Failed,
}
