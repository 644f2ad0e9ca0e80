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
    CodecError, NEWS_WORDS, News, PACKET_MOST, TOLD_WORDS, Told, WHOLE_MOST, decode, decode_duty,
    decode_findings, decode_letter, decode_news, decode_told, encode, encode_duty, encode_findings,
    encode_letter, encode_news, encode_told, is_duty, is_findings, is_letter, is_news, is_told,
};
pub use control::{ControlError, ask, serve};
pub use document::{Document, Fault, read};
pub use identity::{IdentityError, IdentityFile};
pub use node::{FleetError, Handle, Node, Options};
pub use status::{
    DutiesStatus, KnowledgeStatus, LimitsStatus, MemberStatus, NamedDuty, NamedKnown, NamedLimit,
    NamedOutage, Status,
};
pub use yarrowhill_duties::{HeldDuty, OperatorRequest, OperatorRequestError, StepError, VoteStatus};
pub use yarrowhill_knowledge::{CallOutcome, SlowStart};
pub use yarrowhill_rights::{LimitStatus, Refusals};
