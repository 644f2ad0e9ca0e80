use super::*;
use crate::id::{Incarnation, InstanceId};
use crate::roster::MemberConfig;

/// Guards against a member that is removed from the roster with a high boot number and added again with an
/// empty folder: without its old record it would be ignored until that record expires.
#[test]
fn sends_a_member_that_is_added_again_its_old_record() {
    let roster = |names: &[&str]| {
        let config =
            |name: &&str| MemberConfig { name: (*name).to_owned(), zone: String::new(), votes: None };
        Roster::new(1, names.iter().map(config).collect()).expect("valid roster")
    };
    let (local_id, returning) = (MemberId::from_name("a"), MemberId::from_name("b"));
    let mut members = Members::new(&roster(&["a", "b"]), local_id, 1000);
    let update = |boot, instance| {
        let incarnation = Incarnation { boot, refutations: 0 };
        Update {
            about: returning,
            record: Record { incarnation, health: Health::Alive, instance: InstanceId(instance) },
            by: returning,
        }
    };
    members.apply(0, update(7, 1));
    members.set_roster(1, &roster(&["a"]), local_id);
    members.set_roster(2, &roster(&["a", "b"]), local_id);
    assert_eq!(members.apply(3, update(1, 2)), UpdateOutcome::Unchanged);
    assert_eq!(members.updates_for(returning, 5).first().map(|u| u.record), Some(update(7, 1).record));
    assert!(matches!(members.apply(4, update(8, 2)), UpdateOutcome::Applied { .. }));
    assert!(members.updates_for(returning, 5).iter().all(|u| u.record != update(7, 1).record));
}
