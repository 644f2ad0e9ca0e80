//! Messages as fronts hand them in, and the answers that they get.

use bytes::Bytes;
use serde::Serialize;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use yarrowhill_journal::NoticeEnd;

/// A message that a client hands in.
#[derive(Debug)]
pub struct Submission {
    /// Its id, new each time that a message is handed in. What is kept for it is bounded by its front.
    pub id: String,
    /// Its class, as the settings number it.
    pub class: usize,
    /// Its tenant, as the settings number it.
    pub tenant: Option<usize>,
    /// Its destination.
    pub dest: u64,
    /// The idempotency key.
    pub key: Option<String>,
    /// The body, passed on as it is.
    pub body: Bytes,
    /// The client gives it up then.
    pub deadline: Instant,
    /// Gets the one answer; closed once the client has left.
    pub answer: oneshot::Sender<Answer>,
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Taken on: it stands in the journal, and its end is owed.
    Accepted,
    /// It has been delivered already.
    Delivered,
    /// Not taken on; another try does no harm, after this time if one is told.
    Refused(Option<Duration>),
    /// Not taken on, or given up: it may have taken effect.
    Failed,
}

/// The end of a message that was taken on and is not delivered, as the platform is told of it.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
pub struct Notice {
    /// The message's id.
    #[serde(rename = "message")]
    pub message_id: String,
    /// How it ended.
    #[serde(flatten)]
    pub end: NoticeEnd,
}
