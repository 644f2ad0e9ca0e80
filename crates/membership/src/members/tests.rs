use super::*;
use crate::id::{Incarnation, InstanceId};
use crate::roster::MemberConfig;

/// It left the roster under a high boot and comes back with an empty folder: it has to hear of that, or nobody would
/// believe it before its grave is forgotten.
#[test]
fn one_that_returns_to_the_roster_hears_what_is_remembered_of_it() {
    let roster = |names: &[&str]| {
        let seat = |name: &&str| MemberConfig { name: (*name).to_owned(), zone: String::new(), votes: None };
        Roster::new(1, names.iter().map(seat).collect()).expect("a roster")
    };
    let (me, gone) = (MemberId::from_name("a"), MemberId::from_name("b"));
    let mut members = Members::new(&roster(&["a", "b"]), me, 1000);
    let word = |boot, life| {
        let inc = Incarnation { boot, refutations: 0 };
        Update {
            about: gone,
            record: Record { incarnation: inc, health: Health::Alive, instance: InstanceId(life) },
            by: gone,
        }
    };
    members.apply(0, word(7, 1));
    members.set_roster(1, &roster(&["a"]), me);
    members.set_roster(2, &roster(&["a", "b"]), me);
    assert_eq!(members.apply(3, word(1, 2)), UpdateOutcome::Unchanged);
    assert_eq!(members.updates_for(gone, 5).first().map(|w| w.record), Some(word(7, 1).record));
    assert!(matches!(members.apply(4, word(8, 2)), UpdateOutcome::Applied { .. }));
    assert!(members.updates_for(gone, 5).iter().all(|w| w.record != word(7, 1).record));
}
