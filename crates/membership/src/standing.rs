//! What a process may do, as a pure function of what it knows. The table of `docs/design-membership.md` and
//! [`permits`] are held together by a test.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How a process stands in its fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
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
    Whole,
    /// It was told to go.
    Leaving,
    /// Another process lives under its name.
    Doubled,
}

impl Standing {
    /// All of them.
    pub const ALL: [Standing; 8] = [
        Standing::NotYetKnown,
        Standing::Alone,
        Standing::Minority,
        Standing::Unsettled,
        Standing::Majority,
        Standing::Whole,
        Standing::Leaving,
        Standing::Doubled,
    ];

    /// In words.
    pub fn name(self) -> &'static str {
        match self {
            Standing::NotYetKnown => "not yet known",
            Standing::Alone => "alone",
            Standing::Minority => "minority",
            Standing::Unsettled => "unsettled",
            Standing::Majority => "majority",
            Standing::Whole => "whole",
            Standing::Leaving => "leaving",
            Standing::Doubled => "doubled",
        }
    }
}

impl fmt::Display for Standing {
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
    pub take_on: bool,
    /// Calls for what it holds.
    pub send_on: bool,
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
pub fn permits(standing: Standing) -> Permits {
    let row = |take_on, send_on, share, exclusive, ready| Permits {
        take_on,
        send_on,
        share,
        hold_duty: exclusive,
        configure: exclusive,
        ready,
    };
    match standing {
        Standing::NotYetKnown => row(true, true, Share::Roster, false, false),
        Standing::Alone => row(true, true, Share::Roster, false, true),
        Standing::Minority | Standing::Unsettled => row(true, true, Share::View, false, true),
        Standing::Majority | Standing::Whole => row(true, true, Share::View, true, true),
        Standing::Leaving => row(false, true, Share::Roster, false, false),
        Standing::Doubled => row(false, false, Share::Nothing, false, false),
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
    pub doubled: bool,
    /// Members in its view, itself counted.
    pub there: usize,
    /// Members in its roster.
    pub roster: usize,
    /// The view holds a majority of the voters.
    pub majority: bool,
    /// A majority of the voters supports the view at this moment.
    pub supported: bool,
}

/// The standing that follows.
pub fn standing(e: &Evidence) -> Standing {
    match e {
        Evidence { doubled: true, .. } => Standing::Doubled,
        Evidence { leaving: true, .. } => Standing::Leaving,
        Evidence { known: false, .. } => Standing::NotYetKnown,
        Evidence { majority: true, supported: true, there, roster, .. } if there >= roster => Standing::Whole,
        Evidence { majority: true, supported: true, .. } => Standing::Majority,
        Evidence { there: 0 | 1, roster, .. } if *roster > 1 => Standing::Alone,
        Evidence { majority: true, .. } => Standing::Unsettled,
        _ => Standing::Minority,
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
        for standing in Standing::ALL {
            let p = permits(standing);
            let share = match p.share {
                Share::Nothing => "none",
                Share::Roster => "1 / roster",
                Share::View => "1 / view",
            };
            let row = format!(
                "| {} | {} | {} | {share} | {} | {} | {} |",
                standing.name(),
                yes(p.take_on),
                yes(p.send_on),
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
                    doubled: bit(2),
                    majority: bit(3),
                    supported: bit(4),
                    there,
                    roster: 3,
                };
                let p = permits(standing(&e));
                let may = e.known && !e.leaving && !e.doubled && e.majority && e.supported;
                assert_eq!(p.hold_duty, may, "{e:?}");
                assert!(!p.configure || p.hold_duty);
            }
        }
    }
}
