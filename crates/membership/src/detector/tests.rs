use super::*;
use rand::SeedableRng;

#[test]
fn everybody_is_asked_within_two_rounds() {
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
fn suspicions_of_several_end_sooner_and_one_told_often_does_not() {
    let start = |by: &[u64]| {
        let mut s = Suspicion::new(0, 1000, 100, MemberId(0));
        by.iter().for_each(|by| {
            s.confirm(MemberId(*by));
        });
        s.deadline()
    };
    assert_eq!(start(&[0, 0, 0]), 24_000);
    assert_eq!(start(&[1, 2, 3]), 6_000);
    assert!(start(&[1]) > start(&[1, 2]));
    assert_eq!(start(&[1, 2, 3, 4, 5]), 6_000);
}

#[test]
fn a_process_whose_helpers_are_silent_too_doubts_itself() {
    let others: Vec<_> = (0..5).map(MemberId).collect();
    let (mut rng, mut out) = (ChaCha8Rng::seed_from_u64(1), Vec::new());
    let mut detector = Detector::new(10, 0);
    for now in 0..12 {
        detector.tick(now, &others, &mut rng, &mut out);
    }
    assert!(out.iter().any(|ask| matches!(ask, Action::Suspect(_))));
    assert_eq!(detector.health.multiplier(), 2);
    // One that hears at least that the others have heard nothing does not.
    let mut detector = Detector::new(10, 0);
    for now in 0..12 {
        detector.tick(now, &others, &mut rng, &mut out);
        detector.handle_nack(1);
    }
    assert_eq!(detector.health.multiplier(), 1);
}
