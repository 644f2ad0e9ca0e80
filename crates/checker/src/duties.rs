//! Who held which duty, from what processes claimed of themselves: never two at a time, and tokens that only grow. Shares no code
//! with the package that decides it.

use crate::fleet::{FleetBreach, FleetEntry, FleetEvent};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A process says that it holds a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyClaim {
    /// Which process.
    #[serde(rename = "who")]
    pub process: usize,
    /// Its life, counted by the rig: a new start is another process.
    pub life: usize,
    /// Which duty.
    pub duty: String,
    /// Under which token.
    pub token: u64,
    /// When it looked, and until when it holds without a further word (microseconds of a clock that all processes of the
    /// machine share).
    #[serde(rename = "span")]
    pub valid_us: [u64; 2],
    /// Steps of progress so far.
    pub step: u64,
}

/// Whose, in which life, from which claim to which, and when the last of them was told.
type Span = (usize, usize, u64, u64, f64);

/// Judges claims, and at the end of a run that was mended, that each of so many duties is held by somebody.
pub(crate) fn duties(ledger: &[FleetEntry], duties: usize, last: f64, breaches: &mut Vec<FleetBreach>) {
    // By duty: each token with its process and the span over which it was claimed, as it goes on from claim to claim.
    let mut terms: BTreeMap<&str, BTreeMap<u64, Span>> = BTreeMap::new();
    for entry in ledger {
        let FleetEvent::DutyClaimed(DutyClaim { process: who, life, duty, token, valid_us: span, .. }) =
            &entry.event
        else {
            continue;
        };
        let [at, until] = *span;
        if until <= at {
            let what = format!("{who} claims {duty} under token {token}, and its lease is over");
            breaches.push(FleetBreach { at: entry.at, text: what });
            return;
        }
        let term = terms.entry(duty).or_default().entry(*token).or_insert((*who, *life, at, at, entry.at));
        if (term.0, term.1) != (*who, *life) {
            let what = format!("{duty} is held under token {token} by {} and by {who}", term.0);
            breaches.push(FleetBreach { at: entry.at, text: what });
            return;
        }
        // A token is of one term, which never resumes: it held from the first claim to the last.
        (term.2, term.3, term.4) = (term.2.min(at), term.3.max(at), entry.at);
    }
    for (duty, terms) in &terms {
        let in_order: Vec<_> = terms.iter().collect();
        for pair in in_order.windows(2) {
            let (token, (who, .., end, _)) = pair[0];
            let (next, (other, _, begin, _, at)) = pair[1];
            if begin <= end {
                let what = format!(
                    "{duty} is held by {other} under token {next} before {who} under {token} is over: {} us too early",
                    end - begin
                );
                breaches.push(FleetBreach { at: *at, text: what });
                return;
            }
        }
    }
    let held = terms.values().filter(|terms| terms.values().any(|(.., at)| *at >= last)).count();
    if held < duties {
        let what = format!("{held} of {duties} duties are held at the end");
        breaches.push(FleetBreach { at: last, text: what });
    }
}

/// How long nobody held a duty between two terms (ms), over all of them.
pub fn vacancies(ledger: &[FleetEntry]) -> Vec<f64> {
    let mut last: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut gaps = Vec::new();
    for entry in ledger {
        let FleetEvent::DutyClaimed(DutyClaim { duty, token, valid_us: span, .. }) = &entry.event else {
            continue;
        };
        let at = span[0];
        match last.get(duty.as_str()) {
            Some((before, until)) if before != token => gaps.push(at.saturating_sub(*until) as f64 / 1000.0),
            _ => {}
        }
        last.insert(duty, (*token, at));
    }
    gaps
}

#[cfg(test)]
mod tests {
    use super::*;

    fn holds(who: usize, token: u64, at: u64) -> FleetEntry {
        let claim =
            DutyClaim { process: who, life: 0, duty: "a".into(), token, valid_us: [at, at + 400], step: 0 };
        FleetEntry { at: at as f64 / 1000.0, event: FleetEvent::DutyClaimed(claim) }
    }

    fn found(ledger: &[FleetEntry], last: f64) -> Vec<String> {
        let mut breaches = Vec::new();
        duties(ledger, 1, last, &mut breaches);
        breaches.into_iter().map(|b| b.text).collect()
    }

    #[test]
    fn one_after_the_other_is_right_and_two_at_once_or_a_token_twice_are_not() {
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
}
