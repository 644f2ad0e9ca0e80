//! Judges the calls that reach a destination during an outage that affects all processes, and during its
//! warm-up after it.

use crate::fleet_ledger::{ColdStart, FleetBreach, FleetEntry, FleetEvent, FleetParams};
use crate::limit::judge_limit;

impl ColdStart {
    /// Returns the integral of the destination's capacity share over the first `elapsed` ms after the outage
    /// (in ms of full capacity).
    fn capacity_integral(&self, elapsed: f64) -> f64 {
        let cold = elapsed.clamp(0.0, self.warm_up_ms);
        self.start_capacity * cold
            + (1.0 - self.start_capacity) * cold * cold / (2.0 * self.warm_up_ms)
            + (elapsed - cold).max(0.0)
    }
}

/// An outage and the calls that reached the destination during and after it.
#[derive(Clone, Debug, PartialEq)]
pub struct OutageReport {
    /// The destination.
    pub dest: u64,
    /// When the destination went down and when it was back (ms since the start of the run).
    pub window_ms: [f64; 2],
    /// Calls that reached the destination while it was down, after all processes could know of it.
    pub calls_while_down: usize,
    /// Number of such calls that are allowed.
    pub allowed_while_down: f64,
    /// Highest number of calls beyond the capacity over any period of the warm-up.
    pub excess: f64,
    /// Number of calls beyond the capacity that are allowed.
    pub allowed_excess: f64,
    /// Time from the end of the outage until nine tenths of what the limit allows came within half a second
    /// (ms), if that happened.
    pub full_use_ms: Option<f64>,
}

/// Measures the calls around each outage of a ledger, where the load offered to all destinations reaches
/// their limit.
pub fn judge_outages(params: &FleetParams, size: usize, ledger: &[FleetEntry]) -> Vec<OutageReport> {
    let limit = judge_limit(params, ledger).max_limit;
    let mut reports = Vec::new();
    for (n, entry) in ledger.iter().enumerate() {
        let FleetEvent::Outage { dest, back: false } = entry.event else { continue };
        let end = ledger[n..].iter().find(|e| e.event == FleetEvent::Outage { dest, back: true });
        let Some(back) = end.map(|e| e.at) else { continue };
        let calls: Vec<f64> = ledger[n..]
            .iter()
            .filter(|e| matches!(e.event, FleetEvent::Began { dest: to, .. } if to == dest))
            .map(|e| e.at)
            .collect();
        let known = entry.at + params.recovery.detect_ms;
        let calls_while_down = calls.iter().filter(|at| (known..back).contains(*at)).count();
        // One process probes in each interval. Half as many more are allowed for the others, which probe for
        // themselves occasionally or begin a call before the report reaches them.
        let allowed_while_down =
            size as f64 + (back - known).max(0.0) / params.recovery.probe_interval_ms * 1.5;
        let cold: Vec<f64> = calls
            .iter()
            .copied()
            .filter(|at| (back..back + params.recovery.warm_up_ms).contains(at))
            .collect();
        let (mut lowest, mut excess) = (f64::INFINITY, 0.0f64);
        for (n, at) in cold.iter().enumerate() {
            let capacity = params.recovery.capacity_integral(at - back) / 1000.0 * limit;
            lowest = lowest.min(n as f64 - capacity);
            excess = excess.max((n + 1) as f64 - capacity - lowest);
        }
        // One call that each process has accumulated, a tenth of a second of the limit, two probes, and one
        // call for processes that learn of the return late and so start their ramp late.
        let allowed_excess = size as f64 + limit * (0.1 + params.recovery.clock_slack_ms / 1000.0) + 3.0;
        let full_use = calls.iter().filter(|at| **at >= back).find(|from| {
            let within = calls.iter().filter(|at| (**from..**from + 500.0).contains(*at)).count();
            within as f64 >= 0.9 * limit / 2.0
        });
        reports.push(OutageReport {
            dest,
            window_ms: [entry.at, back],
            calls_while_down,
            allowed_while_down,
            excess,
            allowed_excess,
            full_use_ms: full_use.map(|at| at - back),
        });
    }
    reports
}

/// Where all processes are well connected, one of them probes a destination that is down, and after the
/// outage all together send no more than its ramp allows.
pub(crate) fn check_outages(
    params: &FleetParams,
    size: usize,
    ledger: &[FleetEntry],
    breaches: &mut Vec<FleetBreach>,
) {
    let impaired = |e: &FleetEntry| {
        matches!(e.event, FleetEvent::Link { open: false, .. } | FleetEvent::LinkQuality { degraded: true })
    };
    let partitioned = ledger.iter().any(impaired);
    for OutageReport {
        dest,
        window_ms: [_, back],
        calls_while_down,
        allowed_while_down,
        excess,
        allowed_excess,
        ..
    } in judge_outages(params, size, ledger)
    {
        // On each side of a cut one process probes, and each side follows a ramp of its own.
        let sides = if partitioned { 2.0 } else { 1.0 };
        let allowed = allowed_while_down * sides;
        if calls_while_down as f64 > allowed {
            let text = format!(
                "{calls_while_down} calls reached {dest} while it was down, {allowed:.1} are allowed"
            );
            breaches.push(FleetBreach { at: back, text });
        }
        let allowed = allowed_excess * sides;
        if excess > allowed {
            let text = format!(
                "{excess:.1} calls beyond the capacity of {dest} when it is back, {allowed:.1} are allowed"
            );
            breaches.push(FleetBreach { at: back, text });
        }
    }
}

#[cfg(test)]
mod tests;
