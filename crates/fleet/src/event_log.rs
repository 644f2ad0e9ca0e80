//! Logs membership events.

use crate::handle::Handle;
use yarrowhill_membership::{Event, MemberId};

/// Logs a membership event.
pub(crate) fn log_event(handle: &Handle, event: &Event) {
    let roster = handle.roster();
    let name = |id: &MemberId| roster.name_of(*id).unwrap_or("?").to_owned();
    match event {
        Event::ViewChanged(view) => {
            let present: Vec<String> = view.members.keys().map(name).collect();
            let missing: Vec<String> = roster
                .members()
                .map(|(id, _)| id)
                .filter(|id| !view.members.contains_key(id))
                .map(|id| name(&id))
                .collect();
            tracing::info!(view = %view.id, there = present.len(), ?missing, "fleet: view changed");
        }
        Event::StateChanged { from, to } => tracing::info!(%from, %to, "fleet: state changed"),
        Event::RosterMismatch { member, roster: theirs } => {
            let mine = roster.reference();
            tracing::warn!(
                with = name(member),
                theirs = format!("{}:{:016x}", theirs.version, theirs.hash),
                mine = format!("{}:{:016x}", mine.version, mine.hash),
                "fleet: a member uses another roster"
            );
        }
        Event::Resumed(duration) => tracing::warn!(ms = duration / 1000, "fleet: this process was stopped"),
    }
}
