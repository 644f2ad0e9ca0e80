//! Packets between members. The host defines their encoding.

use crate::id::{Incarnation, InstanceId, MemberId, Micros, ViewId};
use crate::record::Record;
use crate::roster::RosterRef;
use serde::{Deserialize, Serialize};

/// Maximum number of updates in one packet. With at most 48 bytes per update, a packet has less than 1,200
/// bytes.
pub const MAX_UPDATES: usize = 22;

/// A gossiped record about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Update {
    /// Subject of the record.
    pub about: MemberId,
    /// The record.
    pub record: Record,
    /// Member that originated the record. Only suspicions by different members confirm each other; the same
    /// suspicion received several times does not.
    pub by: MemberId,
}

/// Header of every packet; describes the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// Sender.
    pub from: MemberId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Process of the sender.
    pub instance: InstanceId,
    /// Roster that the sender uses.
    pub roster: RosterRef,
    /// View of the sender.
    pub view: ViewId,
}

/// Kind of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks the receiver for an ack.
    Ping {
        /// Sequence number of the probe at the sender.
        seq: u64,
    },
    /// Asks the receiver to ping a member that the sender does not reach.
    PingReq {
        /// Sequence number of the probe at the sender.
        seq: u64,
        /// Member to ping.
        target: MemberId,
    },
    /// Answers a ping; in answer to [`Body::PingReq`], reports that the target has answered.
    Ack {
        /// Sequence number of the request.
        seq: u64,
    },
    /// Reports to the sender of a [`Body::PingReq`] that the target has not answered yet.
    Nack {
        /// Sequence number of the request.
        seq: u64,
    },
    /// Asks a voter to support the sender's view.
    SupportRequest {
        /// Time of the request by the sender's clock; the grant returns it unchanged.
        at: Micros,
    },
    /// Grants support for a view.
    SupportGrant {
        /// Supported view.
        view: ViewId,
        /// Time of the request by the requester's clock.
        at: Micros,
    },
    /// Carries only the updates of the packet.
    Gossip,
}

/// A packet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Packet {
    /// Describes the sender.
    pub header: Header,
    /// Kind of the packet.
    pub body: Body,
    /// Gossiped updates, at most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
}

/// The full state of a member, for another one that may have missed updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullState {
    /// Describes the sender.
    pub header: Header,
    /// An update about each member that is not unknown.
    pub updates: Vec<Update>,
}
