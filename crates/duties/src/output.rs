//! What the duties of a member ask their host to do.

use crate::message::Envelope;
use crate::register::Reason;
use crate::voter::StoredVoter;

/// An action for the host. Outputs are to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write the state to disk before any later output is carried out, and call [`Duties::persisted`](crate::Duties::persisted) with its write count. If
    /// that fails, the later outputs are to be dropped.
    Persist(StoredVoter),
    /// Erase the stored state before any later output is carried out.
    Erase,
    /// Send a message. One to the local member is to be passed to [`Duties::handle`](crate::Duties::handle).
    Send {
        /// Member to send to.
        to: u64,
        /// Message to send.
        envelope: Envelope,
    },
    /// Report an event.
    Event(Event),
}

/// A change to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The local member holds a duty from now on.
    Acquired {
        /// ID of the duty.
        duty: u64,
        /// Token of the term.
        token: u64,
        /// Number of progress steps so far.
        step: u64,
    },
    /// The lease on a duty has expired.
    Expired {
        /// ID of the duty.
        duty: u64,
        /// Token of the term.
        token: u64,
    },
    /// The local member has released a duty.
    Released {
        /// ID of the duty.
        duty: u64,
        /// Token of the term.
        token: u64,
        /// Why it was released.
        reason: Reason,
    },
    /// A progress step is decided.
    StepDecided {
        /// ID of the duty.
        duty: u64,
        /// Token of the term.
        token: u64,
        /// Number of the step.
        step: u64,
    },
    /// The local voter answers requests from now on.
    VotingStarted,
    /// The local voter may have lost promises, and answers no requests until it has recovered.
    VotingSuspended,
}
