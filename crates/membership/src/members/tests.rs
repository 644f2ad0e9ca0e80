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

/// Returns the member `a` of a fleet of two, and an update about the other one.
fn two_members() -> (Members, impl Fn(Health, u64) -> Update) {
    let config = |name: &str| MemberConfig { name: name.to_owned(), zone: String::new(), votes: None };
    let roster = Roster::new(1, ["a", "b"].map(config).into()).expect("valid roster");
    let about = MemberId::from_name("b");
    let update = move |health, refutations| {
        let incarnation = Incarnation { boot: 1, refutations };
        Update { about, record: Record { incarnation, health, instance: InstanceId(1) }, by: about }
    };
    (Members::new(&roster, MemberId::from_name("a"), 1000), update)
}

/// Guards against a live member that is declared dead by one that missed its refutation: whoever knows better
/// can answer only as long as the suspicion is transmitted.
#[test]
fn a_pending_suspicion_is_transmitted_until_it_ends() {
    let (mut members, update) = two_members();
    let to = MemberId::from_name("c");
    let transmitted =
        |members: &mut Members| (0..100).map(|_| members.updates_for(to, 5).len()).sum::<usize>();
    members.apply(0, update(Health::Alive, 0));
    assert!(transmitted(&mut members) < 20, "other updates are transmitted a limited number of times");
    members.apply(0, update(Health::Suspect, 0));
    assert_eq!(transmitted(&mut members), 100);
    members.apply(0, update(Health::Alive, 1));
    assert!(transmitted(&mut members) < 20);
}

#[test]
fn corrects_only_claims_that_are_older_than_the_record_in_force() {
    let (mut members, update) = two_members();
    members.apply(0, update(Health::Alive, 1));
    let current = Some(update(Health::Alive, 1));
    assert_eq!(members.correction(&update(Health::Suspect, 0)), current);
    assert_eq!(members.correction(&update(Health::Dead, 0)), current);
    assert_eq!(members.correction(&update(Health::Alive, 0)), None, "no member is declared dead by it");
    assert_eq!(members.correction(&update(Health::Suspect, 1)), None, "newer than the record in force");
    members.apply(0, update(Health::Dead, 1));
    assert_eq!(members.correction(&update(Health::Suspect, 0)), None, "the member is not alive");
}
