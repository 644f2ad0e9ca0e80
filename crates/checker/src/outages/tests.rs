//! Tests of `outages`.

use super::*;
use crate::fleet::{TERMS, judge_fleet};

fn ledger(calls: &[f64]) -> Vec<FleetEntry> {
    let outage = |at, back| FleetEntry { at, event: FleetEvent::Outage { dest: 7, back } };
    let mut ledger = vec![
        FleetEntry { at: 0.0, event: FleetEvent::Limit { calls_per_sec: 100.0 } },
        outage(1000.0, false),
        outage(5000.0, true),
    ];
    ledger
        .extend(calls.iter().map(|at| FleetEntry { at: *at, event: FleetEvent::Began { from: 0, dest: 7 } }));
    ledger.sort_by(|a, b| a.at.total_cmp(&b.at));
    ledger
}

#[test]
fn reports_calls_during_an_outage_and_beyond_the_ramp() {
    let found = |calls: &[f64]| {
        judge_fleet(&TERMS, 2, &ledger(calls)).into_iter().map(|b| b.text).collect::<Vec<_>>()
    };
    // All calls before the processes can know of the outage, and then one in each probe interval.
    let few: Vec<f64> = (0..20)
        .map(|n| 1000.0 + 200.0 * f64::from(n))
        .filter(|at| *at < 2000.0 || at % 400.0 == 0.0)
        .collect();
    assert_eq!(found(&few), Vec::<String>::new());
    let many: Vec<f64> = (0..60).map(|n| 2000.0 + 50.0 * f64::from(n)).collect();
    assert!(found(&many)[0].contains("while it was down"));
    // A hundred calls a second at once, where the capacity starts at a fifth of that: 100 x (2 - 1.2)
    // beyond the capacity within two seconds.
    let all: Vec<f64> = (0..200).map(|n| 5000.0 + 10.0 * f64::from(n)).collect();
    assert!(found(&all)[0].contains("when it is back"), "{:?}", found(&all));
    // Calls along the ramp: exactly the capacity.
    let mut at = 5000.0;
    let mut ramp = Vec::new();
    while at < 7000.0 {
        ramp.push(at);
        at += 10.0 / (0.2 + 0.8 * (at - 5000.0) / 2000.0);
    }
    assert_eq!(found(&ramp), Vec::<String>::new());
    let reports = judge_outages(&TERMS, 2, &ledger(&ramp));
    assert!(reports[0].excess < 3.0, "{reports:?}");
}
