//! Tests of `roster`.

use super::*;

fn roster(version: u64, names: &[&str]) -> Roster {
    let member = |n: &&str| MemberConfig { name: (*n).to_owned(), zone: "a".to_owned(), votes: None };
    Roster::new(version, names.iter().map(member).collect()).expect("valid roster")
}

#[test]
fn refuses_a_step_with_disjoint_majorities() {
    let three = roster(1, &["a", "b", "c"]);
    assert_eq!(roster(2, &["a", "b", "c", "d"]).follows(&three), Ok(()));
    assert_eq!(roster(2, &["a", "b"]).follows(&three), Ok(()));
    // Two of {a, b, c} and two of {a, d, e} can be disjoint: {b, c} and {d, e}.
    assert!(matches!(
        roster(2, &["a", "d", "e"]).follows(&three),
        Err(RosterError::DisjointMajorities { .. })
    ));
    assert!(matches!(roster(3, &["a", "b"]).follows(&three), Err(RosterError::Version { .. })));
    let disjoint = roster(3, &["d", "e", "f"]);
    let joint = three.joint(&disjoint);
    assert_eq!(joint.follows(&three), Ok(()));
    assert_eq!(disjoint.follows(&joint), Ok(()));
    let among = |names: &'static [&str]| move |id| names.iter().any(|n| MemberId::from_name(n) == id);
    assert!(!joint.is_majority(among(&["a", "b"])), "a majority of one voter set is not enough");
    assert!(joint.is_majority(among(&["a", "b", "d", "f"])));
}

#[test]
fn selects_seven_voters_spread_over_zones_in_a_large_fleet() {
    let member = |n: usize| MemberConfig { name: format!("n{n}"), zone: format!("z{}", n % 3), votes: None };
    let roster = Roster::new(1, (0..300).map(member).collect()).expect("valid roster");
    let voters: Vec<MemberId> = roster.voters().collect();
    assert_eq!(voters.len(), DEFAULT_VOTERS);
    for zone in ["z0", "z1", "z2"] {
        let in_zone = voters.iter().filter(|id| roster.members[id].zone == zone).count();
        assert!(in_zone < majority(DEFAULT_VOTERS), "{in_zone} of zone {zone}");
    }
}

#[test]
fn refuses_a_duplicate_name_and_an_empty_roster() {
    let member = MemberConfig { name: "a".into(), zone: "a".into(), votes: None };
    assert_eq!(Roster::new(1, vec![member.clone(), member]), Err(RosterError::Duplicate("a".into())));
    assert_eq!(Roster::new(1, Vec::new()), Err(RosterError::Size(0)));
}
