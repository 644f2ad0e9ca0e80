//! Records of the journal.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// An accepted message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Message id, new for each submission.
    pub id: String,
    /// Class name. Classes are not stored by number, since numbers may differ after the next start.
    pub class: String,
    /// Tenant name.
    pub tenant: Option<String>,
    /// Destination number.
    pub dest: u64,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time until which the message may be delivered, in Unix milliseconds.
    pub deadline: u64,
    /// Body as received; stored after the JSON head of the record.
    #[serde(skip)]
    pub body: Bytes,
}

/// A journal record. The names on disk are those of the first format version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A message was accepted.
    #[serde(rename = "Taken")]
    Accepted(Accepted),
    /// An attempt is about to be sent: message id, attempt number, Unix time in ms and zone of the endpoint.
    Sent(String, usize, u64, String),
    /// An attempt ended: message id, attempt number and whether it may have run.
    Ended(String, usize, bool),
    /// The message ended and its notice has yet to be acknowledged: message id, end, and time (Unix ms) until
    /// which the end is remembered.
    #[serde(rename = "Owed")]
    NoticePending(String, NoticeEnd, u64),
    /// The message is closed and needs no notice any more: message id, end, and time (Unix ms) until which
    /// the end is remembered.
    #[serde(rename = "Over")]
    Closed(String, End, u64),
    /// Unreadable records were dropped at this position: any message open at that point may have been sent.
    Gap,
    /// Ends that had not expired when the file was compacted. These records precede all others.
    Ends(Ends),
}

/// Ends of many messages, keyed by the hash of the message id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ends {
    /// Hash key.
    pub key: [u64; 2],
    /// Entries of 24 bytes: the hash (16 bytes, two little-endian halves), then a little-endian integer with
    /// the expiry time (Unix ms) above its two lowest bits, which hold the kind of end.
    #[serde(skip)]
    pub body: Bytes,
}

impl Record {
    /// Returns the bytes stored unencoded after the JSON head, if this kind of record has any.
    pub(crate) fn body(&mut self) -> Option<&mut Bytes> {
        match self {
            Record::Accepted(Accepted { body, .. }) | Record::Ends(Ends { body, .. }) => Some(body),
            _ => None,
        }
    }

    /// Returns the id of the message that the record belongs to, if it belongs to one.
    pub(crate) fn id(&self) -> Option<&str> {
        match self {
            Record::Accepted(Accepted { id, .. })
            | Record::Sent(id, ..)
            | Record::Ended(id, ..)
            | Record::NoticePending(id, ..)
            | Record::Closed(id, ..) => Some(id),
            Record::Gap | Record::Ends(_) => None,
        }
    }
}

/// The end of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The message was delivered.
    Delivered,
    /// The message failed; it may have taken effect.
    Failed,
    /// The message was handed back; submitting it again does no harm.
    Refused,
}

/// The end of a message that is reported to the platform, named as in its notices (PROTOCOL, "Notices").
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum NoticeEnd {
    /// The message failed; it may have taken effect.
    GivenUp,
    /// The message was handed back; submitting it again does no harm.
    HandedBack {
        /// Delay in milliseconds after which the client should submit the message again.
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_in_ms: Option<u64>,
    },
}

impl From<NoticeEnd> for End {
    fn from(end: NoticeEnd) -> Self {
        match end {
            NoticeEnd::GivenUp => End::Failed,
            NoticeEnd::HandedBack { .. } => End::Refused,
        }
    }
}
