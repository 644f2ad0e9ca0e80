use super::*;
use rand::SeedableRng;

#[test]
fn probes_every_member_within_two_rounds() {
    let (others, mut rng): (Vec<_>, _) = ((0..20).map(MemberId).collect(), ChaCha8Rng::seed_from_u64(1));
    let mut detector = Detector::new(10, 0);
    let mut last = BTreeMap::new();
    for round in 0..400u64 {
        let mut out = Vec::new();
        detector.tick(round * 10, &others, &mut rng, &mut out);
        let Some(Action::Ping(id, seq)) = out.first() else { panic!("{out:?}") };
        let before = last.insert(*id, round).unwrap_or(0);
        assert!(round - before < 40, "{id:?} waited {}", round - before);
        detector.handle_ack(*seq, *id);
    }
    assert_eq!(last.len(), 20);
}

#[test]
fn independent_confirmations_shorten_a_suspicion_and_repeated_ones_do_not() {
    let deadline = |sources: &[u64]| {
        let mut suspicion = Suspicion::new(0, 1000, 100, MemberId(0));
        sources.iter().for_each(|source| {
            suspicion.confirm(MemberId(*source));
        });
        suspicion.deadline()
    };
    assert_eq!(deadline(&[0, 0, 0]), 24_000);
    assert_eq!(deadline(&[1, 2, 3]), 6_000);
    assert!(deadline(&[1]) > deadline(&[1, 2]));
    assert_eq!(deadline(&[1, 2, 3, 4, 5]), 6_000);
}

#[test]
fn degrades_local_health_when_helpers_are_silent_too() {
    let others: Vec<_> = (0..5).map(MemberId).collect();
    let (mut rng, mut out) = (ChaCha8Rng::seed_from_u64(1), Vec::new());
    let mut detector = Detector::new(10, 0);
    for now in 0..12 {
        detector.tick(now, &others, &mut rng, &mut out);
    }
    assert!(out.iter().any(|action| matches!(action, Action::Suspect(_))));
    assert_eq!(detector.health.multiplier(), 2);
    // A nack from a helper keeps the health unchanged.
    let mut detector = Detector::new(10, 0);
    for now in 0..12 {
        detector.tick(now, &others, &mut rng, &mut out);
        detector.handle_nack(1);
    }
    assert_eq!(detector.health.multiplier(), 1);
}
