//! A duty that the local member holds.

use crate::ballot::Micros;

/// A duty that the local member holds. Its token is to be sent along with each action, and
/// [`HeldDuty::may_act`] is to be checked immediately before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldDuty {
    /// ID of the duty.
    pub duty: u64,
    /// Fencing token, higher than that of any earlier term.
    pub token: u64,
    /// End of the lease by the holder's clock.
    pub until: Micros,
    /// Number of progress steps so far.
    pub step: u64,
    /// Progress data of the last step.
    pub progress: Vec<u8>,
}

impl HeldDuty {
    /// Returns whether an action that takes `duration` may begin at `now`, so that it ends before another
    /// member can hold the duty.
    pub fn may_act(&self, now: Micros, duration: Micros) -> bool {
        now.saturating_add(duration) < self.until
    }
}
