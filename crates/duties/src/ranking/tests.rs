//! Tests of `ranking`.

use super::*;
use std::collections::BTreeMap;

fn candidates(members: u64) -> Vec<Candidate> {
    (0..members)
        .map(|member| Candidate { member, zone: format!("z{}", member % 3), degraded: false })
        .collect()
}

#[test]
fn ranks_the_pinned_member_first_then_by_health_and_zone() {
    let mut all = candidates(9);
    let duty = Duty { zone: Some("z1".into()), ..Duty::new("a") };
    assert!(rank_candidates(&duty, None, &all).iter().all(|m| m % 3 == 1));
    let first = rank_candidates(&duty, None, &all)[0];
    all.iter_mut().filter(|c| c.member == first).for_each(|c| c.degraded = true);
    assert!(
        !rank_candidates(&duty, None, &all).contains(&first),
        "two healthy members of the zone, then healthy members of other zones"
    );
    assert_eq!(rank_candidates(&duty, Some(5), &all)[0], 5);
    assert_eq!(rank_candidates(&duty, Some(77), &all)[0] % 3, 1, "pinned to a member that is not live");
}

#[test]
fn spreads_duties_over_members_and_moves_only_those_of_a_member_that_leaves() {
    let all = candidates(10);
    let mut held: BTreeMap<u64, usize> = BTreeMap::new();
    let (mut moved, mut own) = (0, 0);
    for n in 0..200 {
        let duty = Duty::new(&format!("duty {n}"));
        let first = rank_candidates(&duty, None, &all)[0];
        *held.entry(first).or_default() += 1;
        let without: Vec<Candidate> = all.iter().filter(|c| c.member != 4).cloned().collect();
        own += usize::from(first == 4);
        moved += usize::from(rank_candidates(&duty, None, &without)[0] != first);
    }
    assert!(held.len() == 10 && held.values().all(|n| (8..=36).contains(n)), "{held:?}");
    assert_eq!(moved, own);
}
