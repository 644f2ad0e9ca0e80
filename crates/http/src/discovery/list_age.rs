//! Tells a new list from one that is outdated. Several requests may be open at the same time, and their responses
//! arrive in any order.

/// What the version of a received list says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListAge {
    /// As new as the newest known list, or newer.
    Current,
    /// Older than a list that was received after the request for it had been sent.
    Outdated,
    /// Older than the list that was known when it was requested: a copy of an earlier response on its connection.
    Copy,
    /// Older than the list that was known when it was requested: discovery has lost versions. Responses to requests
    /// that are still open may be from before that.
    VersionsLost,
}

impl ListAge {
    /// Classifies a list by the newest known version (`known`; `None` at a new address of discovery), and by the
    /// one that was known when it was requested. A copy of an earlier response can only arrive on a connection
    /// that is reused.
    pub(super) fn new(
        version: u64,
        known: Option<u64>,
        known_at_request: Option<u64>,
        is_reused: bool,
    ) -> ListAge {
        if known.is_none_or(|known| known <= version) {
            ListAge::Current
        } else if known_at_request.is_none_or(|known| known <= version) {
            ListAge::Outdated
        } else if is_reused {
            ListAge::Copy
        } else {
            ListAge::VersionsLost
        }
    }
}

#[cfg(test)]
mod tests;
