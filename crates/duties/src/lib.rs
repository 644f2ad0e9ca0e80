//! Duties: work that at most one member of a fleet does at a time. Each duty has a replicated register,
//! decided by a majority of a few voters and held under a lease, with a fencing token that only grows and the
//! progress of the work, which passes from term to term. The crate does no I/O, reads no clock and draws no
//! random numbers: times and messages come in; messages, writes and events go out. `docs/design-duties.md`
//! compares the design options.
//!
//! **Theorem.** At no instant do two members hold the same duty; tokens grow from term to term; and of any
//! two decided progress steps, the later one includes the earlier.
//!
//! **Proof sketch.** A register is written under a ballot that a majority has promised (Paxos, with one value
//! that is rewritten repeatedly). A voter promises no other proposer's ballot while a holder's lease runs.
//! The voter counts the lease for `voter_duration` from when it accepted the last write; the holder counts it
//! for `holder_duration` from when it sent a write that a majority accepted, which was earlier. Two
//! majorities share a voter, so the holder has stopped before another ballot can be promised. A ballot's
//! number is above all numbers that a majority has promised, so tokens grow. A proposer that is promised its
//! ballot receives the last accepted write from the shared voter, and continues from there.
//!
//! **Assumptions.** Clock rates are right within `drift`, on clocks that also count while the process or the
//! machine is suspended. Completed writes are on disk, or the voter knows that it may not be (see
//! `voter`), and fewer than a majority of voters lose their state at a time. If a voter starts from an old
//! copy of its folder, at least one of the voters that it hears from at startup remembers its last process.
//! Majorities of rosters that are in force at the same time intersect, and each duty was written under one
//! roster before the next comes into force. At most one process runs under a member name.
//!
//! - `ballot`: order of writes, voter sets and lease durations
//! - `register`: a duty's register at one voter; `voter`: when a voter may answer
//! - `term`: what a holder writes; `proposer`: how a member acquires a duty
//! - `ranking`: which member should hold a duty; `core`: all duties of a member
//! - `message`: messages between members; `output`: actions for the host; `held_duty`: a duty while it is held

mod ballot;
mod core;
mod held_duty;
mod message;
mod output;
mod proposer;
mod ranking;
mod register;
mod term;
mod voter;

pub use ballot::{Ballot, Lease, Micros, ProcessId, VoterSet};
pub use core::{Duties, DutyStatus, MAX_DUTIES};
pub use held_duty::HeldDuty;
pub use message::{Envelope, OperatorRequest, OperatorRequestError, Payload};
pub use output::{Event, Output};
pub use proposer::{AcceptedSummary, KnownState, Proposer, ProposerContext, RegisterSummary, VoterRequest};
pub use ranking::{Candidate, Duty, MAX_RANKED, rank_candidates};
pub use register::{
    Accepted, LeasedRegister, MAX_PROGRESS_BYTES, Reason, Register, RegisterValue, Response, VoterReply,
};
pub use term::{Decision, StepError, Term, Write};
pub use voter::{StoredVoter, VoteStatus, Voter, VoterFlags};
