//! Calls to endpoints, and their results.

use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Receiver;
use tokio::time::Instant;
use yarrowhill_policy::api::{DestId, EndpointId, LimitReport, MessageId, Micros, Outcome};

/// A message in a call.
#[derive(Clone, Debug)]
pub struct Item {
    /// Number of the message in the engine.
    pub id: MessageId,
    /// Attempt number of the message.
    pub attempt: usize,
    /// Message id on the wire.
    pub message_id: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Body of the message.
    pub body: Bytes,
    /// Time at which the attempt times out.
    pub deadline: Instant,
    /// Time after which the first byte may no longer be written; the attempt then ends as
    /// [`Outcome::NotSent`].
    pub begin_by: Instant,
    /// Whether the message has been tried before. Attempts that ended unsent do not count.
    pub is_retry: bool,
}

/// A call to make.
#[derive(Debug)]
pub struct Call {
    /// Endpoint to call.
    pub endpoint: EndpointId,
    /// Destination that the endpoint belongs to.
    pub dest: DestId,
    /// Current address of the endpoint.
    pub address: SocketAddr,
    /// Time at which the call was decided on.
    pub decided_at: Instant,
    /// Messages in the call, at least one.
    pub items: Vec<Item>,
    /// Whether attempts may be reported as ended while the call goes on. If not, all attempts end with the
    /// first that must end, since the call counts as in flight for each of its messages until its connection
    /// is closed.
    pub may_overlap_attempts: bool,
    /// Time after which a connection that is not established counts as failed.
    pub connect_timeout: Duration,
    /// Whether another endpoint of the destination is in service, so that the messages need not wait for a
    /// slow connection.
    pub has_alternative: bool,
    /// Commands of the engine to the call while it is in flight.
    pub commands: Receiver<CallCommand>,
}

/// A command of the engine to a call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallCommand {
    /// Cancels this attempt of the message.
    Cancel(MessageId, usize),
    /// Forbids writing anything that is not yet written: the destination demanded a wait, or its endpoint
    /// left service.
    Defer,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Number of the message in the engine.
    pub id: MessageId,
    /// Attempt number of the message.
    pub attempt: usize,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the message is finished, so that nothing more has to be done for it.
    pub finished: bool,
    /// Whether the end may turn out to be that of another call. [`crate::Input::AttemptSettled`] follows.
    pub is_provisional: bool,
    /// Limit that the destination reported.
    pub report: Option<LimitReport>,
    /// Wait that the destination demanded, with any outcome.
    pub wait: Option<Micros>,
}

/// Reports attempts of a call that have ended. Each attempt of a call ends once, and the last one only when
/// the call has released its slot at the endpoint.
#[derive(Debug)]
pub struct CallUpdate {
    /// Endpoint that was called.
    pub endpoint: EndpointId,
    /// Attempts that ended.
    pub ended: Vec<AttemptEnd>,
}
