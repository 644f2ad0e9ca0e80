//! Messages as servers submit them, the answers to their clients, and the notices to the platform.

use bytes::Bytes;
use serde::Serialize;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use yarrowhill_journal::NoticeEnd;

/// A message submitted by a client.
#[derive(Debug)]
pub struct Submission {
    /// Message id, new for each submission. The server that reads the request bounds its length.
    pub id: String,
    /// Class, by its index in the settings.
    pub class: usize,
    /// Tenant, by its index in the settings.
    pub tenant: Option<usize>,
    /// Destination number.
    pub dest: u64,
    /// Idempotency key.
    pub key: Option<String>,
    /// Body, forwarded unchanged.
    pub body: Bytes,
    /// Time at which the client abandons the message.
    pub deadline: Instant,
    /// Receives the only answer; closed once the client has disconnected.
    pub answer: oneshot::Sender<Answer>,
}

/// The answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The message was accepted: it is in the journal, and its end will be reported.
    Accepted,
    /// The message has already been delivered.
    Delivered,
    /// The message was not accepted. Submitting it again does no harm; the delay, if there is one, says when.
    Refused(Option<Duration>),
    /// The message was not accepted, or has failed: it may have taken effect.
    Failed,
}

/// A notice to the platform: the end of a message that was accepted and not delivered.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
pub struct Notice {
    /// Message id.
    #[serde(rename = "message")]
    pub message_id: String,
    /// How the message ended.
    #[serde(flatten)]
    pub end: NoticeEnd,
}
