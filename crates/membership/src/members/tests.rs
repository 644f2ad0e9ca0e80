use super::*;
use crate::id::{Incarnation, Life};
use crate::roster::Seat;

/// It left the roster under a high boot and comes back with an empty folder: it has to hear of that, or nobody would
/// believe it before its grave is forgotten.
#[test]
fn one_that_returns_to_the_roster_hears_what_is_remembered_of_it() {
    let roster = |names: &[&str]| {
        let seat = |name: &&str| Seat { name: (*name).to_owned(), zone: String::new(), votes: None };
        Roster::new(1, names.iter().map(seat).collect()).expect("a roster")
    };
    let (me, gone) = (MemberId::of("a"), MemberId::of("b"));
    let mut members = Members::new(&roster(&["a", "b"]), me, 1000);
    let word = |boot, life| {
        let inc = Incarnation { boot, round: 0 };
        Update { about: gone, record: Record { inc, health: Health::Alive, life: Life(life) }, by: gone }
    };
    members.learn(0, word(7, 1));
    members.roster(1, &roster(&["a"]), me);
    members.roster(2, &roster(&["a", "b"]), me);
    assert_eq!(members.learn(3, word(1, 2)), Learnt::Known);
    assert_eq!(members.words(gone, 5).first().map(|w| w.record), Some(word(7, 1).record));
    assert!(matches!(members.learn(4, word(8, 2)), Learnt::New { .. }));
    assert!(members.words(gone, 5).iter().all(|w| w.record != word(7, 1).record));
}
