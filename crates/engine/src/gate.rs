//! What the whole process may do at this moment, asked at the last step before it is done.

use std::fmt::Debug;

/// Looked at just before a byte leaves: what was allowed when the engine decided may not be any more, since the process
/// may have been stopped in between.
pub trait Gate: Debug + Send + Sync {
    /// Calls to endpoints may begin.
    fn may_send(&self) -> bool;
    /// New messages may be taken on.
    fn may_take_on(&self) -> bool;
    /// Clients may be told that it is ready.
    fn is_ready(&self) -> bool;
}
