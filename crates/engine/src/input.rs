//! What happens to the engine.

use crate::call::CallUpdate;
use crate::list::EndpointList;
use crate::message::{Notice, Submission};

/// What happens to the engine.
#[derive(Debug)]
pub enum Input {
    /// A client hands in a message.
    Submission(Submission),
    /// Attempts ended.
    CallUpdate(CallUpdate),
    /// The list of endpoints, or changes in it.
    List(EndpointList),
    /// These notices have been acknowledged.
    NoticesAcknowledged(Vec<Notice>),
    /// So many senders share from now on what is told for all of them.
    #[cfg(feature = "senders")]
    Senders(usize),
    /// The process is to end.
    Shutdown,
}
