//! What a process may do, as a pure function of what it knows. The table of `docs/design-membership.md` and
//! [`permits`] are held together by a test.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How a process stands in its fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MembershipState {
    /// It has just started, or was stopped, and has not heard yet what became of it meanwhile.
    #[default]
    NotYetKnown,
    /// It hears nobody.
    Alone,
    /// It hears some, and these are no majority of the voters.
    Minority,
    /// It hears a majority that does not support its view, or not yet.
    Unsettled,
    /// A majority of the voters supports its view.
    Majority,
    /// The same, and nobody is missing.
    #[serde(rename = "whole")]
    Complete,
    /// It was told to go.
    Leaving,
    /// Another process lives under its name.
    #[serde(rename = "doubled")]
    DuplicateName,
}

impl MembershipState {
    /// All of them.
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

    /// In words.
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

/// Which part of what all share a process counts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Share {
    /// None.
    Nothing,
    /// One part of as many as the roster has: right whoever lives.
    Roster,
    /// One part of as many as are there.
    View,
}

/// What a standing allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permits {
    /// New messages from clients.
    #[serde(rename = "take_on")]
    pub accept_messages: bool,
    /// Calls for what it holds.
    #[serde(rename = "send_on")]
    pub send_calls: bool,
    /// Its part of shared limits.
    pub share: Share,
    /// Work that one alone may do. **Exclusive**: no two processes under two views have it at once.
    pub hold_duty: bool,
    /// A change of the fleet's configuration. Exclusive too.
    pub configure: bool,
    /// It answers that it is ready for clients.
    pub ready: bool,
}

/// What a standing allows: the table.
pub fn permits(standing: MembershipState) -> Permits {
    let row = |take_on, send_on, share, exclusive, ready| Permits {
        accept_messages: take_on,
        send_calls: send_on,
        share,
        hold_duty: exclusive,
        configure: exclusive,
        ready,
    };
    match standing {
        MembershipState::NotYetKnown => row(true, true, Share::Roster, false, false),
        MembershipState::Alone => row(true, true, Share::Roster, false, true),
        MembershipState::Minority | MembershipState::Unsettled => row(true, true, Share::View, false, true),
        MembershipState::Majority | MembershipState::Complete => row(true, true, Share::View, true, true),
        MembershipState::Leaving => row(false, true, Share::Roster, false, false),
        MembershipState::DuplicateName => row(false, false, Share::Nothing, false, false),
    }
}

/// What a standing follows from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Evidence {
    /// The first view has settled, and it was not stopped since it last heard from anybody.
    pub known: bool,
    /// It goes.
    pub leaving: bool,
    /// Another lives under its name.
    pub duplicate_name: bool,
    /// Members in its view, itself counted.
    pub view_size: usize,
    /// Members in its roster.
    pub roster_size: usize,
    /// The view holds a majority of the voters.
    pub majority: bool,
    /// A majority of the voters supports the view at this moment.
    pub supported: bool,
}

/// The standing that follows.
pub fn membership_state(e: &Evidence) -> MembershipState {
    match e {
        Evidence { duplicate_name: true, .. } => MembershipState::DuplicateName,
        Evidence { leaving: true, .. } => MembershipState::Leaving,
        Evidence { known: false, .. } => MembershipState::NotYetKnown,
        Evidence { majority: true, supported: true, view_size: there, roster_size: roster, .. }
            if there >= roster =>
        {
            MembershipState::Complete
        }
        Evidence { majority: true, supported: true, .. } => MembershipState::Majority,
        Evidence { view_size: 0 | 1, roster_size: roster, .. } if *roster > 1 => MembershipState::Alone,
        Evidence { majority: true, .. } => MembershipState::Unsettled,
        _ => MembershipState::Minority,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The design note's table is the code.
    #[test]
    fn the_table_of_the_note_is_the_code() {
        let note = include_str!("../../../docs/design-membership.md");
        let yes = |b| if b { "yes" } else { "no" };
        for standing in MembershipState::ALL {
            let p = permits(standing);
            let share = match p.share {
                Share::Nothing => "none",
                Share::Roster => "1 / roster",
                Share::View => "1 / view",
            };
            let row = format!(
                "| {} | {} | {} | {share} | {} | {} | {} |",
                standing.name(),
                yes(p.accept_messages),
                yes(p.send_calls),
                yes(p.hold_duty),
                yes(p.configure),
                yes(p.ready)
            );
            assert!(note.contains(&row), "the note lacks: {row}");
        }
    }

    /// Nothing exclusive without support of a majority, whatever else is believed.
    #[test]
    fn nothing_exclusive_without_support() {
        for bits in 0..32u32 {
            let bit = |n: u32| bits >> n & 1 == 1;
            for there in 0..4 {
                let e = Evidence {
                    known: bit(0),
                    leaving: bit(1),
                    duplicate_name: bit(2),
                    majority: bit(3),
                    supported: bit(4),
                    view_size: there,
                    roster_size: 3,
                };
                let p = permits(membership_state(&e));
                let may = e.known && !e.leaving && !e.duplicate_name && e.majority && e.supported;
                assert_eq!(p.hold_duty, may, "{e:?}");
                assert!(!p.configure || p.hold_duty);
            }
        }
    }
}
