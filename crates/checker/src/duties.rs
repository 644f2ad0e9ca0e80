//! Judges the duties that processes claim to hold: never two holders at a time, and tokens that only
//! increase. Shares no code with the package that assigns duties.

use crate::fleet_ledger::{DutyClaim, FleetBreach, FleetEntry, FleetEvent};
use std::collections::BTreeMap;

/// The time over which one process claimed a duty under one token.
struct Tenure {
    process: usize,
    boot: usize,
    /// Time of the first claim (us).
    first_us: u64,
    /// Time of the last claim (us).
    last_us: u64,
    /// Ledger time of the last claim (ms).
    recorded_at: f64,
}

/// Judges duty claims: one holder per token and no two tenures that overlap. From `last` (ms) on, each of
/// `duties` duties must be claimed by a process.
pub(crate) fn check_duties(ledger: &[FleetEntry], duties: usize, last: f64, breaches: &mut Vec<FleetBreach>) {
    // By duty and token.
    let mut tenures: BTreeMap<&str, BTreeMap<u64, Tenure>> = BTreeMap::new();
    for entry in ledger {
        let FleetEvent::DutyClaimed(DutyClaim { process, boot, duty, token, valid_us, .. }) = &entry.event
        else {
            continue;
        };
        let [at, until] = *valid_us;
        if until <= at {
            let text = format!("{process} claims {duty} under token {token} after its lease expired");
            breaches.push(FleetBreach { at: entry.at, text });
            return;
        }
        let tenure = tenures.entry(duty).or_default().entry(*token).or_insert(Tenure {
            process: *process,
            boot: *boot,
            first_us: at,
            last_us: at,
            recorded_at: entry.at,
        });
        if (tenure.process, tenure.boot) != (*process, *boot) {
            let text = format!("{duty} is held under token {token} by {} and by {process}", tenure.process);
            breaches.push(FleetBreach { at: entry.at, text });
            return;
        }
        // A token belongs to one tenure, which never resumes: the duty was held from the first claim to the
        // last.
        tenure.first_us = tenure.first_us.min(at);
        tenure.last_us = tenure.last_us.max(at);
        tenure.recorded_at = entry.at;
    }
    for (duty, tenures) in &tenures {
        let in_order: Vec<_> = tenures.iter().collect();
        for pair in in_order.windows(2) {
            let (token, earlier) = pair[0];
            let (next, later) = pair[1];
            if later.first_us <= earlier.last_us {
                let text = format!(
                    "{duty} is held by {} under token {next} {} us too early: {} holds it under {token}",
                    later.process,
                    earlier.last_us - later.first_us,
                    earlier.process
                );
                breaches.push(FleetBreach { at: later.recorded_at, text });
                return;
            }
        }
    }
    let held =
        tenures.values().filter(|tenures| tenures.values().any(|tenure| tenure.recorded_at >= last)).count();
    if held < duties {
        let text = format!("{held} of {duties} duties are held at the end");
        breaches.push(FleetBreach { at: last, text });
    }
}

/// Returns the times (ms) between two successive tenures of a duty in which no process held it, over all
/// duties.
pub fn vacancies(ledger: &[FleetEntry]) -> Vec<f64> {
    let mut last: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut gaps = Vec::new();
    for entry in ledger {
        let FleetEvent::DutyClaimed(DutyClaim { duty, token, valid_us, .. }) = &entry.event else {
            continue;
        };
        let at = valid_us[0];
        match last.get(duty.as_str()) {
            Some((before, until)) if before != token => gaps.push(at.saturating_sub(*until) as f64 / 1000.0),
            _ => {}
        }
        last.insert(duty, (*token, at));
    }
    gaps
}

#[cfg(test)]
mod tests;
