//! Tests of `ballot`.

use super::*;

#[test]
fn requires_a_majority_of_both_rosters_in_a_joint_voter_set() {
    let joint = VoterSet { current: [1, 2, 3].into(), previous: Some([3, 4, 5].into()) };
    assert!(!joint.is_majority(|id| id <= 2));
    assert!(joint.is_majority(|id| [1, 3, 4].contains(&id)));
    assert_eq!(joint.voters().len(), 5);
    assert!(!VoterSet::new([1, 2, 3, 4]).is_majority(|id| id <= 2), "half is no majority");
}

#[test]
fn counts_the_lease_longer_at_a_voter_than_at_its_holder_within_the_drift() {
    for drift in [0.0, 0.01, 0.1] {
        let lease = Lease::new(1_000_000, drift);
        // Slow holder clock and fast voter clock, compared in real time.
        assert!(lease.holder_duration as f64 / (1.0 - drift) <= lease.voter_duration as f64 / (1.0 + drift));
    }
}
