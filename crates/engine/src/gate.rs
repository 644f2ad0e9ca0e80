//! What the whole process may do at this moment, asked at the last step before it is done.

use std::fmt::Debug;
use std::time::Duration;
use yarrowhill_policy::api::DestId;

/// Looked at just before a byte leaves: what was allowed when the engine decided may not be any more, since the process
/// may have been stopped in between.
pub trait Gate: Debug + Send + Sync {
    /// Calls to endpoints may begin.
    fn may_send(&self) -> bool;
    /// Whether a call to a destination may begin by the limit that several processes share; else after how long to ask
    /// again. `again`: the same call was held back before.
    ///
    /// # Errors
    ///
    /// It is to be held back.
    fn begin(&self, dest: DestId, again: bool) -> Result<(), Duration> {
        let _ = (dest, again);
        Ok(())
    }
    /// New messages may be taken on.
    fn may_take_on(&self) -> bool;
    /// Clients may be told that it is ready.
    fn is_ready(&self) -> bool;
    /// A destination answered a call that took so long: with a wait that it told, or by serving it.
    fn answered(&self, dest: DestId, took: Duration, wait: Option<Duration>, served: bool) {
        let _ = (dest, took, wait, served);
    }
}
