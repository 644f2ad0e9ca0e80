//! What members of a fleet tell each other of destinations: waits that a destination told to one of them, which the others, and
//! newcomers too, then keep without having been told themselves; and outages that they found by their own calls, in which one
//! tries first, and after which all come back along one ramp ([`OutageDetector`]). No I/O, no clock: moments, words and a seeded source of
//! chance come in, words go out.
//!
//! It is evidence, not command, and bounded as such. Of waits:
//!
//! - **Origin and order.** A word is one origin's about one destination. Of two by the same origin the one of the higher
//!   boot, then of the higher count, holds; so merging is a maximum: commutative, associative, idempotent.
//! - **Time on the way.** A word says how long is left when it is sent. Whoever hears it counts from when it came: too long by
//!   the time on the way, which is the safe side, and never longer by being passed on in circles, since a word that is
//!   known already is not heard again.
//! - **Own evidence outranks hearsay.** A call that began after a wait was heard of and was served ends the wait here.
//! - **Harm.** What one origin says holds a destination back here for [`MAX_CREDIT`] at a time at most, and then for a quarter of
//!   the time ([`CREDIT_REFILL_DIVISOR`]): whoever lies, or is broken, or tells old news, costs that and no more, until another origin says the
//!   same of its own, or the destination does so itself.
//!
//! ```
//! use yarrowhill_knowledge::*;
//! let mut one = WaitTable::new(1, 1, 7);
//! let mut other = WaitTable::new(2, 1, 8);
//! one.record_wait(1_000_000, 10, 5_000_000);
//! for word in one.updates_to_send(2_000_000, 8, 2) {
//!     other.receive(900, &word);
//! }
//! // Four seconds were left when it was told on, whatever the other's clock says.
//! assert_eq!(other.wait(900, 10), Some(4_000_000));
//! assert_eq!(other.wait(4_000_901, 10), None);
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

/// Microseconds, on the clock of the process that counts them.
pub type Micros = u64;
