//! The membership state of this process and what it permits, as pure functions of the known facts. A test
//! keeps [`permits`] equal to the table in `docs/design-membership.md`.

use serde::{Deserialize, Serialize};
use std::fmt;

/// State of the local process in its fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MembershipState {
    /// The process has just started, or runs again after a stop, and its state is not confirmed yet.
    #[default]
    NotYetKnown,
    /// No other member is in its view.
    Alone,
    /// Other members are in its view, but no majority of the voters.
    Minority,
    /// A majority of the voters is in its view, but does not support that view, or not yet.
    Unsettled,
    /// A majority of the voters supports its view.
    Majority,
    /// A majority of the voters supports its view, and no member of the roster is missing.
    #[serde(rename = "whole")]
    Complete,
    /// The process is leaving the fleet.
    Leaving,
    /// Another process is alive under its name.
    #[serde(rename = "doubled")]
    DuplicateName,
}

impl MembershipState {
    /// All states.
    pub const ALL: [MembershipState; 8] = [
        MembershipState::NotYetKnown,
        MembershipState::Alone,
        MembershipState::Minority,
        MembershipState::Unsettled,
        MembershipState::Majority,
        MembershipState::Complete,
        MembershipState::Leaving,
        MembershipState::DuplicateName,
    ];

    /// Returns the name for status output.
    pub fn name(self) -> &'static str {
        match self {
            MembershipState::NotYetKnown => "not yet known",
            MembershipState::Alone => "alone",
            MembershipState::Minority => "minority",
            MembershipState::Unsettled => "unsettled",
            MembershipState::Majority => "majority",
            MembershipState::Complete => "whole",
            MembershipState::Leaving => "leaving",
            MembershipState::DuplicateName => "doubled",
        }
    }
}

impl fmt::Display for MembershipState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Part of the shared limits that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Share {
    /// Nothing.
    Nothing,
    /// One part of as many as the roster has members. This never exceeds the limits, whichever members are
    /// alive.
    Roster,
    /// One part of as many as the view has members.
    View,
}

/// Actions that a membership state permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permits {
    /// Accept new messages from clients.
    #[serde(rename = "take_on")]
    pub accept_messages: bool,
    /// Make calls for messages that it holds.
    #[serde(rename = "send_on")]
    pub send_calls: bool,
    /// Part of the shared limits.
    pub share: Share,
    /// Hold a duty, that is, work that a single process may do. **Exclusive**: it is never permitted under
    /// two different views at the same time.
    pub hold_duty: bool,
    /// Change the fleet's configuration. Exclusive, as [`Permits::hold_duty`].
    pub configure: bool,
    /// Report readiness to clients.
    pub ready: bool,
}

/// Returns what a membership state permits.
pub fn permits(state: MembershipState) -> Permits {
    let row = |accept_messages, send_calls, share, exclusive, ready| Permits {
        accept_messages,
        send_calls,
        share,
        hold_duty: exclusive,
        configure: exclusive,
        ready,
    };
    match state {
        MembershipState::NotYetKnown => row(true, true, Share::Roster, false, false),
        MembershipState::Alone => row(true, true, Share::Roster, false, true),
        MembershipState::Minority | MembershipState::Unsettled => row(true, true, Share::View, false, true),
        MembershipState::Majority | MembershipState::Complete => row(true, true, Share::View, true, true),
        MembershipState::Leaving => row(false, true, Share::Roster, false, false),
        MembershipState::DuplicateName => row(false, false, Share::Nothing, false, false),
    }
}

/// Facts that determine the membership state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Evidence {
    /// The state is confirmed: the first view is stable, and this process was not stopped since it last
    /// received an answer.
    pub known: bool,
    /// The process is leaving.
    pub leaving: bool,
    /// Another process is alive under its name.
    pub duplicate_name: bool,
    /// Number of members in its view, itself included.
    pub view_size: usize,
    /// Number of members in its roster.
    pub roster_size: usize,
    /// The view contains a majority of the voters.
    pub majority: bool,
    /// A majority of the voters supports the view now.
    pub supported: bool,
}

/// Returns the membership state that follows from the facts.
pub fn membership_state(evidence: &Evidence) -> MembershipState {
    match evidence {
        Evidence { duplicate_name: true, .. } => MembershipState::DuplicateName,
        Evidence { leaving: true, .. } => MembershipState::Leaving,
        Evidence { known: false, .. } => MembershipState::NotYetKnown,
        Evidence { majority: true, supported: true, view_size, roster_size, .. }
            if view_size >= roster_size =>
        {
            MembershipState::Complete
        }
        Evidence { majority: true, supported: true, .. } => MembershipState::Majority,
        Evidence { view_size: 0 | 1, roster_size, .. } if *roster_size > 1 => MembershipState::Alone,
        Evidence { majority: true, .. } => MembershipState::Unsettled,
        _ => MembershipState::Minority,
    }
}

#[cfg(test)]
mod tests;
