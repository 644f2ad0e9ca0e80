//! Dissemination of what members of a fleet learn about destinations, by rumour mongering: waits that a
//! destination returned to one member, which the others and newly started members then respect too
//! ([`WaitTable`]); and outages found by members' own calls, in which one member probes first and after which
//! all recover along one slow-start ramp ([`OutageDetector`]). No I/O, no clock: times, reports and a seeded
//! source of randomness are passed in, and reports are returned.
//!
//! Reports are evidence, not commands, and their effect is bounded. For waits:
//!
//! - **Origin and version.** A report is by one origin about one destination. Of two by the same origin the
//!   one with the higher boot number, then the higher sequence number, holds; so merging is a maximum:
//!   commutative, associative, idempotent.
//! - **Time in transit.** A report carries the time that remains when it is sent. The receiver counts it from
//!   arrival: too long by the time in transit, which is the safe side, and never prolonged by forwarding in
//!   circles, since a report with a known version is ignored.
//! - **Own evidence outranks reports.** A call that began after a wait was reported and that was served ends
//!   the wait at this member.
//! - **Bounded harm.** The reports of one origin alone delay calls to a destination here for at most
//!   [`MAX_CREDIT`] at a time, and afterwards for a quarter of the time ([`CREDIT_REFILL_DIVISOR`]). A faulty
//!   origin, or one with outdated reports, costs no more than that, until another origin, or the destination
//!   itself, reports the same.
//!
//! ```
//! use yarrowhill_knowledge::*;
//! let mut sender = WaitTable::new(1, 1, 7);
//! let mut receiver = WaitTable::new(2, 1, 8);
//! sender.record_wait(1_000_000, 10, 5_000_000);
//! for report in sender.updates_to_send(2_000_000, 8, 2) {
//!     receiver.receive(900, &report);
//! }
//! // Four seconds remained when the report was sent; the receiver's clock may read any other time.
//! assert_eq!(receiver.wait(900, 10), Some(4_000_000));
//! assert_eq!(receiver.wait(4_000_901, 10), None);
//! ```

mod credit;
mod findings;
mod initial_sync;
mod outages;
mod waits;

pub use credit::{CREDIT_REFILL_DIVISOR, Credit, MAX_CREDIT};
pub use findings::{CallOutcome, Finding, OutageReport};
pub use initial_sync::InitialSync;
pub use outages::{Admission, DestState, Outage, OutageDetector, SlowStart};
pub use waits::{KnownWait, MAX_WAIT, WaitReport, WaitTable};

/// Microseconds, on the clock of the process that measures them.
pub type Micros = u64;
