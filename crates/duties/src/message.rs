//! Messages between members.

use crate::ballot::{Ballot, ProcessId};
use crate::proposer::RegisterSummary;
use crate::register::{Register, RegisterValue, Response};
use crate::voter::VoterFlags;
use serde::{Deserialize, Serialize};

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Process that sent the message.
    pub from: ProcessId,
    /// ID of the duty that the message is about; 0 if it is about none.
    pub duty: u64,
    /// Content of the message.
    pub payload: Payload,
}

/// The content of a message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Asks a voter who holds the duty.
    Query,
    /// Answers a query, from a voter.
    QueryReply(RegisterSummary),
    /// Asks a voter to promise a ballot.
    Prepare(Ballot),
    /// Asks a voter to accept a write.
    Accept {
        /// Ballot of the write.
        ballot: Ballot,
        /// Sequence number of the write within its ballot.
        seq: u64,
        /// Value to write.
        value: RegisterValue,
        /// Write count of each voter, as far as the proposer knows: it is passed on so that all voters
        /// remember it, and not the proposer alone.
        write_counts: Vec<(u64, u64)>,
    },
    /// Answers a prepare or accept request, with the voter's write count.
    Response(Response, u64),
    /// Asks the other voters for what a voter that starts may have lost.
    RecoveryRequest {
        /// Number of the request.
        nonce: u64,
    },
    /// Answers a recovery request, from another voter. One is sent for each register that it keeps.
    RecoveryResponse {
        /// Number of the request.
        nonce: u64,
        /// State of the responding voter.
        flags: VoterFlags,
        /// Latest boot number and instance, and highest write count, that the responding voter remembers of
        /// the requesting voter.
        remembers: (Option<(u64, u64)>, u64),
        /// Register of the envelope's duty.
        register: Option<Register>,
        /// Index of this part, and number of parts.
        part: (u8, u8),
    },
    /// Passes an operator's request on to the holder.
    OperatorRequest(OperatorRequest),
    /// Notifies the members that should acquire the duty next that its holder has released it, so that they
    /// need not wait for their next query.
    Released {
        /// Member that the duty is pinned to.
        pinned: Option<u64>,
    },
}

/// What an operator can request of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// The holder releases the duty.
    Yield,
    /// A member holds the duty whenever it is live; none leaves the choice to the ranking.
    Pin(Option<u64>),
}

/// Why an operator's request cannot be passed on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorRequestError {
    /// There is no such duty.
    #[error("unknown duty {0:?}")]
    UnknownDuty(String),
    /// No member holds the duty, as far as this member knows.
    #[error("no holder of the duty is known at present; try again")]
    NoKnownHolder,
    /// The member to pin the duty to is not live.
    #[error("the member to pin the duty to is not present in the fleet")]
    MemberNotPresent,
}
