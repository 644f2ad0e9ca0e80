//! Tests of when a list may be sent by.

use super::{ListConfirmation, MOVE_GRACE_US};

/// Guards against sends by a list that the agent of a new process has not confirmed, however long it is silent.
#[test]
fn a_new_process_sends_nothing_before_the_agent_has_answered() {
    let mut confirmation = ListConfirmation::at_start(5, false);
    assert!(!confirmation.allows_sends(5) && !confirmation.allows_sends(3_600_000_000));
    confirmation.confirmed();
    assert!(confirmation.allows_sends(6));
}

#[test]
fn where_discovery_answers_only_when_asked_the_configured_list_is_used() {
    assert!(ListConfirmation::at_start(5, true).allows_sends(5));
}

/// Guards against sends by the list of an earlier agent while the one that the configuration names since is
/// silent, and against a second change that starts the time anew.
#[test]
fn a_new_address_has_to_confirm_the_list_in_time() {
    let mut confirmation = ListConfirmation::at_start(0, false);
    confirmation.confirmed();
    confirmation.discovery_moved(100);
    confirmation.discovery_moved(2_000_000);
    assert!(confirmation.allows_sends(100 + MOVE_GRACE_US - 1));
    assert!(!confirmation.allows_sends(100 + MOVE_GRACE_US));
    confirmation.confirmed();
    assert!(confirmation.allows_sends(100 + MOVE_GRACE_US));
}
