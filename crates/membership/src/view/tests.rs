//! Tests of `view`.

use super::*;

fn present(ids: &[u64]) -> PresentBoots {
    ids.iter().map(|id| (MemberId(*id), 1)).collect()
}

fn stabilizer() -> ViewStabilizer {
    ViewStabilizer::new(0, 10, 60, View::new(RosterRef::default(), present(&[1])))
}

#[test]
fn merges_ten_arrivals_into_one_view_change() {
    let mut stabilizer = stabilizer();
    let mut steps = 0;
    for n in 1..=10u64 {
        let ids: Vec<u64> = (1..=n).collect();
        steps += usize::from(stabilizer.observe(n * 5, present(&ids), 0, RosterRef::default()));
    }
    let ids: Vec<u64> = (1..=10).collect();
    for now in 51..100 {
        steps += usize::from(stabilizer.observe(now, present(&ids), 0, RosterRef::default()));
    }
    assert_eq!((steps, stabilizer.view().members.len()), (1, 10));
}

#[test]
fn damps_a_flapping_member_without_delaying_others() {
    let mut stabilizer = stabilizer();
    let (mut steps, mut first) = (0, None);
    for now in 0..600u64 {
        // Member 2 joins at 5 and stays; member 3 joins and fails every 7.
        let ids: &[u64] = if now < 5 {
            &[1]
        } else if (now / 7) % 2 == 0 {
            &[1, 2]
        } else {
            &[1, 2, 3]
        };
        if stabilizer.observe(now, present(ids), 0, RosterRef::default()) {
            steps += 1;
            first = first.or(Some(now));
        }
    }
    assert!(first.is_some_and(|at| at <= 66), "{first:?}");
    assert!(steps <= 3, "{steps} view changes in 85 flaps");
}

#[test]
fn waits_for_a_suspicion_up_to_max_settle() {
    let mut stabilizer = stabilizer();
    let at = (0..200u64).find(|now| stabilizer.observe(*now, present(&[1, 2]), 1, RosterRef::default()));
    assert_eq!(at, Some(60));
}
