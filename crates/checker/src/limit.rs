//! Judges how the calls of all processes together use the limits of destinations.

use crate::fleet_ledger::{FleetBreach, FleetEntry, FleetEvent, FleetParams};
use std::collections::BTreeMap;

/// How the calls of all processes together used the limits of destinations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitUse {
    /// End of the period (ms since the start of the run) in which one destination received the most calls
    /// beyond its limit, and the number of those calls.
    pub excess: Option<(f64, f64)>,
    /// Calls that arrived while there was a limit.
    pub calls: usize,
    /// The same calls as a share of what the limits allowed, over the destinations that received any.
    pub used: f64,
    /// The highest limit (calls a second).
    pub max_limit: f64,
}

/// Compares the calls that reached destinations with their limits. A lowered limit counts from
/// `clock_slack_ms` later on: until then the change is on its way to the processes.
pub fn judge_limit(params: &FleetParams, ledger: &[FleetEntry]) -> LimitUse {
    let mut limits: Vec<(f64, f64)> = Vec::new();
    let mut arrivals: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::Limit { calls_per_sec } => {
                let lowered = limits.last().is_some_and(|(_, last)| calls_per_sec < last);
                limits.push((entry.at + if lowered { params.clock_slack_ms } else { 0.0 }, *calls_per_sec));
            }
            FleetEvent::Began { dest, .. } => arrivals.entry(*dest).or_default().push(entry.at),
            _ => {}
        }
    }
    let mut limit_use =
        LimitUse { max_limit: limits.iter().map(|l| l.1).fold(0.0, f64::max), ..LimitUse::default() };
    let Some(first) = limits.first().map(|l| l.0) else { return limit_use };
    // Calls that the limits have allowed since the first limit.
    let allowed = |at: f64| -> f64 {
        let ends = limits.iter().skip(1).map(|l| l.0).chain([f64::INFINITY]);
        limits.iter().zip(ends).map(|((from, calls), to)| (at.min(to) - from).max(0.0) / 1000.0 * calls).sum()
    };
    // No load is offered after the last arrival.
    let end = arrivals.values().flatten().copied().fold(first, f64::max);
    let dests = arrivals.len().max(1) as f64;
    for mut times in arrivals.into_values() {
        times.retain(|at| *at >= first);
        times.sort_by(f64::total_cmp);
        limit_use.calls += times.len();
        // Over each period from one call to another: the number of calls less the number allowed in it.
        let mut lowest = f64::INFINITY;
        for (n, at) in times.into_iter().enumerate() {
            lowest = lowest.min(n as f64 - allowed(at));
            let excess = (n + 1) as f64 - allowed(at) - lowest;
            if limit_use.excess.is_none_or(|(_, max)| excess > max) {
                limit_use.excess = Some((at, excess));
            }
        }
    }
    limit_use.used = limit_use.calls as f64 / (dests * allowed(end)).max(1.0);
    limit_use
}

/// Checks that no more calls reach a destination than its limit allows.
pub(crate) fn check_limit(
    params: &FleetParams,
    size: usize,
    ledger: &[FleetEntry],
    breaches: &mut Vec<FleetBreach>,
) {
    let limit_use = judge_limit(params, ledger);
    // One call that each process has accumulated, a tenth of a second of the limit, and the lateness of the
    // rig's clocks.
    let allowed = size as f64 + limit_use.max_limit * (0.1 + params.clock_slack_ms / 1000.0) + 1.0;
    if let Some((at, excess)) = limit_use.excess.filter(|(_, excess)| *excess > allowed) {
        let text = format!("{excess:.1} calls beyond the limit, {allowed:.1} are allowed");
        breaches.push(FleetBreach { at, text });
    }
}
