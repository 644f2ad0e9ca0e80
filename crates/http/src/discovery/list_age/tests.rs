//! Tests the classification of lists.

use super::*;

#[test]
fn a_list_is_current_unless_a_newer_one_is_known() {
    for known_at_request in [None, Some(3), Some(5)] {
        for is_reused in [false, true] {
            assert_eq!(ListAge::new(5, Some(5), known_at_request, is_reused), ListAge::Current);
            assert_eq!(ListAge::new(6, Some(5), known_at_request, is_reused), ListAge::Current);
        }
    }
    assert_eq!(ListAge::new(1, None, None, false), ListAge::Current);
}

/// A list that another response overtook is never applied, and says nothing about lost versions.
#[test]
fn a_list_that_a_newer_one_overtook_is_outdated() {
    for is_reused in [false, true] {
        assert_eq!(ListAge::new(5, Some(6), Some(4), is_reused), ListAge::Outdated);
        assert_eq!(ListAge::new(5, Some(6), Some(5), is_reused), ListAge::Outdated);
        assert_eq!(ListAge::new(5, Some(6), None, is_reused), ListAge::Outdated);
    }
}

#[test]
fn a_list_older_than_the_requested_one_is_a_copy_or_versions_are_lost() {
    assert_eq!(ListAge::new(5, Some(6), Some(6), true), ListAge::Copy);
    assert_eq!(ListAge::new(5, Some(6), Some(6), false), ListAge::VersionsLost);
}
