//! Whether discovery has confirmed the endpoint list in force.
//!
//! What discovery's agent has counts as announced from the first moment of a process, and some time after the
//! address of discovery has changed, whether or not the agent has answered. While it is silent, the list in
//! force may contain endpoints that drain or are gone, or whose address belongs to another destination by
//! now. No message is sent by such a list.

use yarrowhill_policy::api::Micros;

/// Time after a change of discovery's address from which what the new one has counts as announced
/// (microseconds).
const MOVE_GRACE_US: Micros = 4_000_000;

/// Whether discovery has confirmed the endpoint list in force, and from when on that is needed.
#[derive(Debug)]
pub(crate) struct ListConfirmation {
    /// Time from which nothing is sent; `None` once discovery has answered.
    required_from: Option<Micros>,
}

impl ListConfirmation {
    /// Returns the state at the start of a process, whose list comes from the configuration. Where discovery
    /// answers only when asked, nothing is announced before it has answered.
    pub(crate) fn at_start(now: Micros, must_subscribe: bool) -> Self {
        ListConfirmation { required_from: (!must_subscribe).then_some(now) }
    }

    /// Records that the address of discovery has changed.
    pub(crate) fn discovery_moved(&mut self, now: Micros) {
        let required_from = now + MOVE_GRACE_US;
        self.required_from = Some(self.required_from.map_or(required_from, |from| from.min(required_from)));
    }

    /// Records that discovery has answered.
    pub(crate) fn confirmed(&mut self) {
        self.required_from = None;
    }

    /// Returns whether messages may be sent by the list in force.
    pub(crate) fn allows_sends(&self, now: Micros) -> bool {
        self.required_from.is_none_or(|from| now < from)
    }
}

#[cfg(test)]
mod tests;
