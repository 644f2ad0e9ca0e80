//! What stands in the journal.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A message as it was taken on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its id, new each time that a message is handed in.
    pub id: String,
    /// Its class by name: numbers may differ after the next start.
    pub class: String,
    /// Its tenant by name.
    pub tenant: Option<String>,
    /// Its destination.
    pub dest: u64,
    /// The idempotency key.
    pub key: Option<String>,
    /// Until when it may be delivered: Unix time, in milliseconds.
    pub deadline: u64,
    /// The body as it came.
    #[serde(skip)]
    pub body: Bytes,
}

/// One entry. The names on disk are those of the first version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Taken on.
    #[serde(rename = "Taken")]
    Accepted(Accepted),
    /// An attempt goes out: message, attempt, Unix time (ms) and zone of the endpoint.
    Sent(String, usize, u64, String),
    /// It ended: message, attempt and whether it may have run.
    Ended(String, usize, bool),
    /// The module gave the message up and a notice is owed; until when (Unix ms) that is worth remembering.
    #[serde(rename = "Owed")]
    NoticePending(String, NoticeEnd, u64),
    /// Nothing more is owed: message, its end, and until when (Unix ms) that is worth remembering.
    #[serde(rename = "Over")]
    Closed(String, End, u64),
    /// Records stood here that can't be read: any message that was open may have been sent.
    Gap,
    /// Ends that still bound when the file was written anew. They stand before all other records.
    Ends(Ends),
}

/// Ends of many messages, by the hash of their ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ends {
    /// The key of the hashes.
    pub key: [u64; 2],
    /// 24 bytes each: the hash (16, little-endian halves), then until when (Unix ms) and in the two lowest bits how.
    #[serde(skip)]
    pub body: Bytes,
}

impl Record {
    /// The bytes that stand behind its head, as they are.
    pub(crate) fn body(&mut self) -> Option<&mut Bytes> {
        match self {
            Record::Accepted(Accepted { body, .. }) | Record::Ends(Ends { body, .. }) => Some(body),
            _ => None,
        }
    }

    /// The message that it is about, if it is about one.
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

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Delivered.
    Delivered,
    /// Given up: it may have taken effect.
    Failed,
    /// Handed back: another try does no harm.
    Refused,
}

/// How a message ended of which the platform is to be told, in the words of its notices (PROTOCOL, "Notices").
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum NoticeEnd {
    /// Failed: it may have taken effect.
    GivenUp,
    /// Refused: another try does no harm.
    HandedBack {
        /// When the client should come again (ms).
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
