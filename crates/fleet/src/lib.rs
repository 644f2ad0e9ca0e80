//! Drives [`yarrowhill_membership`] and [`yarrowhill_rights`] with sockets, files and clocks, and tells operators who is there. It decides
//! nothing: what a process may do is read from [`Handle::permits`], at the last step before it is done.
//!
//! - `document`: the fleet's document, in KDL
//! - `clock`: the clock that counts stops
//! - `identity`: the boot number in the folder
//! - `codec`: packets as bytes
//! - `registers`: what a voter keeps of duties in the folder
//! - `node`: the task with the sockets
//! - `status`, `control`: what is told, and the Unix socket where it is asked for

mod clock;
mod codec;
mod control;
mod document;
mod identity;
mod node;
mod registers;
mod status;

pub use clock::now;
pub use codec::{
    CodecError, MAX_FULL_STATE_BYTES, MAX_PACKET_BYTES, MAX_PART_REPORTS, MAX_REPORTS, SnapshotPart,
    WaitUpdate, decode, decode_duty, decode_outages, decode_rights, decode_snapshot_part, decode_waits,
    encode, encode_duty, encode_outages, encode_rights, encode_snapshot_part, encode_waits, is_duty,
    is_outages, is_rights, is_snapshot_part, is_waits,
};
pub use control::{ControlError, ask, serve};
pub use document::{Diagnostic, Document, parse_document};
pub use identity::{IdentityError, IdentityFile};
pub use node::{FleetError, Handle, Node, Options};
pub use status::{
    DutiesStatus, KnowledgeStatus, LimitsStatus, MemberStatus, NamedDuty, NamedLimit, NamedOutage, NamedWait,
    Status,
};
pub use yarrowhill_duties::{HeldDuty, OperatorRequest, OperatorRequestError, StepError, VoteStatus};
pub use yarrowhill_knowledge::{CallOutcome, SlowStart};
pub use yarrowhill_rights::{LimitStatus, Refusals};
