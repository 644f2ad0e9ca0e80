//! Work that one member of a fleet may do at a time, and none twice: for each duty a register that a majority of a few voters
//! decides, held under a lease, with a token that only grows and the state of the work, which goes with the term. No I/O, no
//! clock, no chance of its own: moments and letters come in, letters, writes and events go out. `docs/design-duties.md`
//! weighs the options.
//!
//! **Theorem.** At no instant do two members hold a duty; tokens grow from term to term; and of two steps of progress that were
//! decided the later holds all of the earlier.
//!
//! **Why.** A register is written under a ballot that a majority has promised (Paxos, with one value that is written again and
//! again). A voter promises nobody else's ballot while a holder's lease runs, which it counts for `wide` since it accepted the
//! last word; the holder counts `hold` since it asked for a word that a majority accepted, which was before. Two majorities
//! share a voter, so the holder has stopped before anybody else can be promised. A ballot's number is above all that a
//! majority had promised, so tokens grow. Whoever is promised hears the last accepted word from that shared voter, and goes on
//! from there.
//!
//! **Assumptions.** Clock rates right within `drift`, on clocks that count stops. What was written is on disk, or the voter knows
//! that it may not be (see `voter`), and fewer than a majority of voters lose it at a time. One of those that a voter hears when it
//! starts remembers its last life, if it starts from an old copy of its folder. Majorities of rosters in force at a time meet, and
//! each duty was written under one roster before the next comes. One process under a name.
//!
//! - `ballot`: who writes in which order, whose answers count, how long a term lasts
//! - `register`: what stands at one voter; `voter`: when its word counts
//! - `term`: what a holder writes; `seeker`: how a member comes to hold
//! - `choice`: who should; `core`: all duties of a member

mod ballot;
mod core;
mod proposer;
mod ranking;
mod register;
mod term;
mod voter;

pub use ballot::{Ballot, Lease, Micros, ProcessId, VoterSet};
pub use core::{
    Duties, DutyStatus, Envelope, Event, HeldDuty, MAX_DUTIES, OperatorRequest, OperatorRequestError, Output,
    Payload,
};
pub use proposer::{AcceptedSummary, KnownState, Proposer, ProposerContext, RegisterSummary, VoterRequest};
pub use ranking::{Candidate, Duty, MAX_RANKED, rank_candidates};
pub use register::{
    Accepted, LeasedRegister, MAX_PROGRESS_BYTES, Reason, Register, RegisterValue, Response, VoterReply,
};
pub use term::{Decision, StepError, Term, Write};
pub use voter::{StoredVoter, VoteStatus, Voter, VoterFlags};
