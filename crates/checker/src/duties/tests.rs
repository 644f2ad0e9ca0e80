//! Tests of `duties`.

use super::*;

fn holds(process: usize, token: u64, at: u64) -> FleetEntry {
    let claim = DutyClaim { process, boot: 0, duty: "a".into(), token, valid_us: [at, at + 400], step: 0 };
    FleetEntry { at: at as f64 / 1000.0, event: FleetEvent::DutyClaimed(claim) }
}

fn found(ledger: &[FleetEntry], last: f64) -> Vec<String> {
    let mut breaches = Vec::new();
    check_duties(ledger, 1, last, &mut breaches);
    breaches.into_iter().map(|b| b.text).collect()
}

#[test]
fn accepts_successive_tenures_and_reports_overlaps_and_reused_tokens() {
    let right = [holds(0, 1, 100), holds(0, 1, 300), holds(1, 2, 800), holds(0, 5, 2000)];
    assert_eq!(found(&right, 1.0), Vec::<String>::new());
    assert_eq!(vacancies(&right), [0.5, 1.2]);
    let both = [holds(0, 1, 100), holds(1, 2, 300), holds(0, 1, 400)];
    assert!(found(&both, 0.0)[0].contains("too early"));
    let same = [holds(0, 1, 100), holds(1, 1, 900)];
    assert!(found(&same, 0.0)[0].contains("by 0 and by 1"));
    let back = [holds(0, 3, 100), holds(1, 2, 900)];
    assert!(found(&back, 0.0)[0].contains("too early"), "a lower token after a higher one");
    assert!(found(&right, 2.5)[0].contains("at the end"));
}
