//! What reached a destination that was down for everybody, while it was down and when it came back cold.

use crate::fleet::{FleetBreach, FleetEntry, FleetEvent, FleetParams, judge_limit};
use serde::{Deserialize, Serialize};

/// What holds of a destination that was down (ms, but for `start`).
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ColdStart {
    /// Everybody knows of an outage after so long.
    #[serde(rename = "found")]
    pub detect_ms: f64,
    /// The part of its capacity that it has at first.
    #[serde(rename = "start")]
    pub start_capacity: f64,
    /// How long it takes to get warm.
    #[serde(rename = "warm")]
    pub warm_up_ms: f64,
    /// One may try so often meanwhile.
    #[serde(rename = "tries")]
    pub probe_interval_ms: f64,
    /// How late the rig's clocks were.
    #[serde(rename = "late")]
    pub clock_slack_ms: f64,
}

impl ColdStart {
    /// What part of its capacity it has so long after its return, added up from then on (ms of its whole capacity).
    fn bears(&self, since: f64) -> f64 {
        let cold = since.clamp(0.0, self.warm_up_ms);
        self.start_capacity * cold
            + (1.0 - self.start_capacity) * cold * cold / (2.0 * self.warm_up_ms)
            + (since - cold).max(0.0)
    }
}

/// An outage, and what came of it.
#[derive(Clone, Debug, PartialEq)]
pub struct OutageReport {
    /// Which destination.
    pub dest: u64,
    /// When it went down, and when it was back (ms).
    pub window_ms: [f64; 2],
    /// Calls that reached it while it was down, once all could know,
    pub calls_while_down: usize,
    /// and how many may.
    pub allowed_while_down: f64,
    /// The most calls beyond what it bore, over any span while it got warm,
    pub excess: f64,
    /// and how many may come beyond it.
    pub allowed_excess: f64,
    /// How long after its return nine tenths of what the limit allows came within half a second, if they did (ms).
    pub full_use_ms: Option<f64>,
}

/// What reached destinations that were down, where all were asked for a limit.
pub fn judge_outages(terms: &FleetParams, size: usize, ledger: &[FleetEntry]) -> Vec<OutageReport> {
    let limit = judge_limit(terms, ledger).max_limit;
    let mut found = Vec::new();
    for (n, entry) in ledger.iter().enumerate() {
        let FleetEvent::Outage { dest, back: false } = entry.event else { continue };
        let back = ledger[n..].iter().find(|e| e.event == FleetEvent::Outage { dest, back: true });
        let Some(back) = back.map(|e| e.at) else { continue };
        let calls: Vec<f64> = ledger[n..]
            .iter()
            .filter(|e| matches!(e.event, FleetEvent::Began { dest: to, .. } if to == dest))
            .map(|e| e.at)
            .collect();
        let known = entry.at + terms.recovery.detect_ms;
        let tried = calls.iter().filter(|at| (known..back).contains(*at)).count();
        // One a turn; half as many by others, that try for themselves now and then, or begin before they have heard.
        let may = size as f64 + (back - known).max(0.0) / terms.recovery.probe_interval_ms * 1.5;
        let cold: Vec<f64> = calls
            .iter()
            .copied()
            .filter(|at| (back..back + terms.recovery.warm_up_ms).contains(at))
            .collect();
        let (mut least, mut excess) = (f64::INFINITY, 0.0f64);
        for (n, at) in cold.iter().enumerate() {
            let borne = terms.recovery.bears(at - back) / 1000.0 * limit;
            least = least.min(n as f64 - borne);
            excess = excess.max((n + 1) as f64 - borne - least);
        }
        // A call that each has saved up, a tenth of a second of the limit, and two that try: who hears later begins later.
        let beyond = size as f64 + limit * (0.1 + terms.recovery.clock_slack_ms / 1000.0) + 3.0;
        let full = calls.iter().filter(|at| **at >= back).find(|from| {
            let within = calls.iter().filter(|at| (**from..**from + 500.0).contains(*at)).count();
            within as f64 >= 0.9 * limit / 2.0
        });
        let full = full.map(|at| at - back);
        found.push(OutageReport {
            dest,
            window_ms: [entry.at, back],
            calls_while_down: tried,
            allowed_while_down: may,
            excess,
            allowed_excess: beyond,
            full_use_ms: full,
        });
    }
    found
}

/// Where all hear each other well, one calls a destination that is down, and all come back no faster than it gets warm.
pub(crate) fn returns(
    terms: &FleetParams,
    size: usize,
    ledger: &[FleetEntry],
    breaches: &mut Vec<FleetBreach>,
) {
    let bad = |e: &FleetEntry| {
        matches!(e.event, FleetEvent::Link { open: false, .. } | FleetEvent::LinkQuality { degraded: true })
    };
    let cut = ledger.iter().any(bad);
    for OutageReport {
        dest,
        window_ms: span,
        calls_while_down: tried,
        allowed_while_down: may,
        excess,
        allowed_excess: beyond,
        ..
    } in judge_outages(terms, size, ledger)
    {
        // On either side of a cut one tries, and each side comes back along a ramp of its own.
        let sides = if cut { 2.0 } else { 1.0 };
        if tried as f64 > may * sides {
            let what =
                format!("{tried} calls reached {dest} while it was down, {:.1} are allowed", may * sides);
            breaches.push(FleetBreach { at: span[1], text: what });
        }
        if excess > beyond * sides {
            let what = format!(
                "{excess:.1} calls beyond what {dest} bears when it is back, {:.1} are allowed",
                beyond * sides
            );
            breaches.push(FleetBreach { at: span[1], text: what });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::{TERMS, judge_fleet};

    fn ledger(calls: &[f64]) -> Vec<FleetEntry> {
        let outage = |at, back| FleetEntry { at, event: FleetEvent::Outage { dest: 7, back } };
        let mut ledger = vec![
            FleetEntry { at: 0.0, event: FleetEvent::Limit { calls_per_sec: 100.0 } },
            outage(1000.0, false),
            outage(5000.0, true),
        ];
        ledger.extend(
            calls.iter().map(|at| FleetEntry { at: *at, event: FleetEvent::Began { from: 0, dest: 7 } }),
        );
        ledger.sort_by(|a, b| a.at.total_cmp(&b.at));
        ledger
    }

    #[test]
    fn calls_in_an_outage_and_beyond_the_ramp_are_breaches() {
        let found = |calls: &[f64]| {
            judge_fleet(&TERMS, 2, &ledger(calls)).into_iter().map(|b| b.text).collect::<Vec<_>>()
        };
        // Before all can know of it, and then one a turn.
        let few: Vec<f64> = (0..20)
            .map(|n| 1000.0 + 200.0 * f64::from(n))
            .filter(|at| *at < 2000.0 || at % 400.0 == 0.0)
            .collect();
        assert_eq!(found(&few), Vec::<String>::new());
        let many: Vec<f64> = (0..60).map(|n| 2000.0 + 50.0 * f64::from(n)).collect();
        assert!(found(&many)[0].contains("while it was down"));
        // A hundred a second at once, where a fifth of that is borne at first: 100 x (2 - 1.2) beyond it in two seconds.
        let all: Vec<f64> = (0..200).map(|n| 5000.0 + 10.0 * f64::from(n)).collect();
        assert!(found(&all)[0].contains("when it is back"), "{:?}", found(&all));
        // Along the ramp: just what is borne.
        let mut at = 5000.0;
        let mut ramp = Vec::new();
        while at < 7000.0 {
            ramp.push(at);
            at += 10.0 / (0.2 + 0.8 * (at - 5000.0) / 2000.0);
        }
        assert_eq!(found(&ramp), Vec::<String>::new());
        let returned = judge_outages(&TERMS, 2, &ledger(&ramp));
        assert!(returned[0].excess < 3.0, "{returned:?}");
    }
}
