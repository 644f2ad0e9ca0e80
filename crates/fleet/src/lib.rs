//! Drives [`yarrowhill_membership`], [`yarrowhill_rights`], [`yarrowhill_knowledge`] and
//! [`yarrowhill_duties`] with sockets, files and clocks, and reports the state of the fleet to operators. It
//! makes no decisions itself: callers read what a process may do from [`Handle::permits`], as the last step
//! before acting on it.
//!
//! - `document`: the fleet document, in KDL
//! - `clock`: a clock that also advances while the process is stopped
//! - `identity`: the boot number in the state folder
//! - `codec`: encoding of packets
//! - `registers`: a voter's duty registers in the state folder; `register_writer`: the thread that writes them
//! - `node`: the task that owns the sockets
//! - `state_exchange`: exchange of full membership states
//! - `handle`: access to the member for the rest of the process
//! - `event_log`: log entries of membership events
//! - `status`, `control`: status reports, and the Unix socket that serves them

mod clock;
mod codec;
mod control;
mod document;
mod event_log;
mod handle;
mod identity;
mod node;
mod register_writer;
mod registers;
mod state_exchange;
mod status;

pub use clock::now;
pub use codec::{
    CodecError, MAX_FULL_STATE_BYTES, MAX_PACKET_BYTES, MAX_PART_REPORTS, MAX_REPORTS, SnapshotPart,
    WaitUpdate, decode, decode_duty, decode_outages, decode_rights, decode_snapshot_part, decode_waits,
    encode, encode_duty, encode_outages, encode_rights, encode_snapshot_part, encode_waits,
};
pub use control::{ControlError, ask, serve};
pub use document::{Diagnostic, Document, parse_document};
pub use handle::Handle;
pub use identity::{IdentityError, IdentityFile};
pub use node::{FleetError, Node, Options};
pub use status::{
    DutiesStatus, KnowledgeStatus, LimitsStatus, MemberStatus, NamedDuty, NamedLimit, NamedOutage, NamedWait,
    Status,
};
pub use yarrowhill_duties::{HeldDuty, OperatorRequest, OperatorRequestError, StepError, VoteStatus};
pub use yarrowhill_knowledge::{CallOutcome, SlowStart};
pub use yarrowhill_rights::{LimitStatus, Refusals};
