//! Calls to endpoints, and what comes of them.

use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Receiver;
use tokio::time::Instant;
use yarrowhill_policy::api::{DestId, EndpointId, LimitReport, MessageId, Micros, Outcome};

/// One message in a call.
#[derive(Clone, Debug)]
pub struct Item {
    /// The message, as the engine numbers it.
    pub id: MessageId,
    /// Which attempt of it this is.
    pub attempt: usize,
    /// Its id on the wire.
    pub message_id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Its body.
    pub body: Bytes,
    /// The wait for it ends then.
    pub deadline: Instant,
    /// Nothing of it may be written later: not begun by then, it ends as [`Outcome::NotSent`].
    pub begin_by: Instant,
    /// The message has been tried before: what went back unsent was none.
    pub is_retry: bool,
}

/// A call to make.
#[derive(Debug)]
pub struct Call {
    /// Where it goes.
    pub endpoint: EndpointId,
    /// Whose endpoint it is.
    pub dest: DestId,
    /// The endpoint's address now.
    pub address: SocketAddr,
    /// When it was decided on.
    pub decided_at: Instant,
    /// The messages in it, at least one.
    pub items: Vec<Item>,
    /// Attempts of it may end while the call goes on. Else all end with the first that must: until its connection is
    /// closed, the call counts as out for each message in it.
    pub may_overlap_attempts: bool,
    /// A connection that is not up by then never comes up.
    pub connect_timeout: Duration,
    /// Another endpoint of its destination is in service: the messages need not wait for a connection that is late.
    pub has_alternative: bool,
    /// What the engine says to the call while it is out.
    pub commands: Receiver<CallCommand>,
}

/// What the engine may still say to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallCommand {
    /// This attempt is cancelled.
    Cancel(MessageId, usize),
    /// The destination told a wait: nothing may be written from now on.
    Defer,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The message.
    pub id: MessageId,
    /// Which attempt.
    pub attempt: usize,
    /// What came of it.
    pub outcome: Outcome,
    /// Nothing more is owed for the message.
    pub finished: bool,
    /// What the destination told of its limit.
    pub report: Option<LimitReport>,
    /// A wait that was told, whatever the outcome.
    pub wait: Option<Micros>,
}

/// News of a call: attempts that ended. Each attempt of a call ends once; the last only when the call holds its
/// slot at the endpoint no longer.
#[derive(Debug)]
pub struct CallUpdate {
    /// Where the call went.
    pub endpoint: EndpointId,
    /// The attempts that ended.
    pub ended: Vec<AttemptEnd>,
}
