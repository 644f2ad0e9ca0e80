//! Inputs of the engine.

use crate::call::CallUpdate;
use crate::list::EndpointList;
use crate::message::{Notice, Submission};
use yarrowhill_policy::api::{EndpointId, Micros};

/// An input of the engine.
#[derive(Debug)]
pub enum Input {
    /// A client submits a message.
    Submission(Submission),
    /// Attempts of a call have ended.
    CallUpdate(CallUpdate),
    /// The final ends of attempts whose ends were provisional.
    AttemptSettled(CallUpdate),
    /// A destination demanded a wait in a response that is not reported yet.
    WaitAnnounced {
        /// Endpoint that was called.
        endpoint: EndpointId,
        /// Time during which nothing may be sent to the destination.
        wait: Micros,
    },
    /// Discovery sent the endpoint list, or changes to it.
    List(EndpointList),
    /// The configuration names another address for discovery; what it sent before has been passed on.
    DiscoveryMoved,
    /// The platform has acknowledged these notices.
    NoticesAcknowledged(Vec<Notice>),
    /// The number of senders that share the limits stated for all senders has changed to this value.
    #[cfg(feature = "senders")]
    Senders(usize),
    /// The process is to shut down.
    Shutdown,
}
