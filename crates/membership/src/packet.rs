//! What members say to each other. How it becomes bytes is the host's matter.

use crate::id::{Incarnation, InstanceId, MemberId, Micros, ViewId};
use crate::record::Record;
use crate::roster::RosterRef;
use serde::{Deserialize, Serialize};

/// Words about members in one packet, at most: with 48 bytes for each at the most, a packet has less than 1,200 bytes.
pub const MAX_UPDATES: usize = 22;

/// A word about a member, from somebody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub about: MemberId,
    /// The word.
    pub record: Record,
    /// Who found it out: suspicions of several weigh more than one told several times.
    pub by: MemberId,
}

/// Who speaks: on every packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// The member.
    pub from: MemberId,
    /// Which of its incarnations,
    pub incarnation: Incarnation,
    /// and which process.
    pub instance: InstanceId,
    /// The roster that it goes by.
    pub roster: RosterRef,
    /// Its view.
    pub view: ViewId,
}

/// What is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Are you there?
    Ping {
        /// Number of the probe at who asks.
        seq: u64,
    },
    /// Is that one there? You may reach it where I don't.
    PingReq {
        /// Number of the probe at who asks.
        seq: u64,
        /// Whom.
        target: MemberId,
    },
    /// I am there; or, in answer to [`Body::PingReq`], it is.
    Ack {
        /// The number that was told.
        seq: u64,
    },
    /// I am there and have not heard from it yet.
    Nack {
        /// The number that was told.
        seq: u64,
    },
    /// Do you support my view?
    SupportRequest {
        /// When this was asked, by the clock of who asks; comes back as it is.
        at: Micros,
    },
    /// I support this view.
    SupportGrant {
        /// Which.
        view: ViewId,
        /// As it was asked.
        at: Micros,
    },
    /// Only the words that travel with it.
    Gossip,
}

/// A packet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Packet {
    /// Who speaks.
    pub header: Header,
    /// What is said.
    pub body: Body,
    /// Words about members, [`MAX_UPDATES`] at most.
    pub updates: Vec<Update>,
}

/// All that a member knows, for another one that may have missed some of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullState {
    /// Who speaks.
    pub header: Header,
    /// A word about each member that anything is known of.
    pub updates: Vec<Update>,
}
