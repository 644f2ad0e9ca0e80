//! Judges the claims that the processes of a fleet make, from the ledger alone. The ledger holds what the rig
//! did to the processes and the links between them, and what each process reported of itself and of the
//! others. Shares no code with the membership package, so that one mistake cannot be in both: the table of
//! what each membership state permits is repeated here.

use crate::fleet_ledger::{Claim, FleetBreach, FleetEntry, FleetEvent, FleetParams};
use std::collections::BTreeMap;

/// Judges a run of `size` processes and returns the breaches in the order of their times.
pub fn judge_fleet(params: &FleetParams, size: usize, ledger: &[FleetEntry]) -> Vec<FleetBreach> {
    let mut breaches = Vec::new();
    check_exclusive_views(ledger, &mut breaches);
    check_permits(ledger, &mut breaches);
    check_view_changes(params, ledger, &mut breaches);
    check_detection_and_agreement(params, size, ledger, &mut breaches);
    check_boots_stored(ledger, &mut breaches);
    check_duplicates(params, ledger, &mut breaches);
    check_waits(params, ledger, &mut breaches);
    crate::outages::check_outages(params, size, ledger, &mut breaches);
    let (duties, last) = params.duties;
    crate::duties::check_duties(ledger, duties, last, &mut breaches);
    crate::limit::check_limit(params, size, ledger, &mut breaches);
    breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    breaches
}

/// A period in which a process acted under a view (us). Ordered by its start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ActingPeriod<'a> {
    from: u64,
    until: u64,
    view: &'a str,
    process: usize,
}

/// Checks that no two processes act under different views at the same time.
fn check_exclusive_views(ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    // A process that reported twice in a row that it acts under a view acted between the two reports, as far
    // as the first claim was valid.
    let mut last: BTreeMap<usize, &Claim> = BTreeMap::new();
    let mut periods: Vec<ActingPeriod> = Vec::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::Claimed(claim) => {
                if claim.may_act {
                    let Claim { process, view, valid_us: [at, _], .. } = claim;
                    let mut from = *at;
                    if let Some(before) = last.get(process).filter(|c| c.may_act && c.view == *view) {
                        from = before.valid_us[0];
                        if before.valid_us[1] < *at {
                            periods.push(ActingPeriod {
                                from,
                                until: before.valid_us[1],
                                view,
                                process: *process,
                            });
                            from = *at;
                        }
                    }
                    periods.push(ActingPeriod { from, until: at + 1, view, process: *process });
                }
                last.insert(claim.process, claim);
            }
            FleetEvent::Started(process) | FleetEvent::Exited(process) => drop(last.remove(process)),
            _ => {}
        }
    }
    periods.sort_unstable();
    let mut open: Vec<ActingPeriod> = Vec::new();
    for period in periods {
        open.retain(|other| other.until > period.from);
        if let Some(other) = open.iter().find(|other| other.view != period.view) {
            let text = format!(
                "{} acts under {}, and {} under {}",
                other.process, other.view, period.process, period.view
            );
            let at = ledger.iter().find_map(|e| match &e.event {
                FleetEvent::Claimed(c) if c.process == period.process && c.valid_us[0] >= period.from => {
                    Some(e.at)
                }
                _ => None,
            });
            breaches.push(FleetBreach { at: at.unwrap_or(0.0), text });
            return;
        }
        open.push(period);
    }
}

/// Returns what a membership state permits: whether the process may act; whether it accepts messages, sends
/// messages, and is ready.
fn permits(membership_state: &str) -> Option<(bool, [bool; 3])> {
    Some(match membership_state {
        "whole" | "majority" => (true, [true, true, true]),
        "minority" | "unsettled" | "alone" => (false, [true, true, true]),
        "not-yet-known" => (false, [true, true, false]),
        "leaving" => (false, [false, true, false]),
        "doubled" => (false, [false, false, false]),
        _ => return None,
    })
}

/// Checks that each process does what its membership state permits, and that it acts only with a majority of
/// the voters.
fn check_permits(ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    for entry in ledger {
        let (FleetEvent::Claimed(claim) | FleetEvent::DuplicateClaimed(claim)) = &entry.event else {
            continue;
        };
        if permits(&claim.membership_state) != Some((claim.may_act, claim.serves)) {
            let text = format!(
                "{} is {}, but reports: acts {}; accepts, sends, is ready {:?}",
                claim.process, claim.membership_state, claim.may_act, claim.serves
            );
            breaches.push(FleetBreach { at: entry.at, text });
        }
        // A process that acts has a majority of the voters in its view.
        let voters = claim.voters.iter().filter(|v| claim.members.contains(v)).count();
        if claim.may_act && voters * 2 <= claim.voters.len() {
            let text =
                format!("{} acts with {:?}, of voters {:?}", claim.process, claim.members, claim.voters);
            breaches.push(FleetBreach { at: entry.at, text });
        }
    }
}

/// Checks that no view of a process is replaced within `settle_ms`.
fn check_view_changes(params: &FleetParams, ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    // The view of each process, and when the process first reported it, by its own clock.
    let mut views: BTreeMap<usize, (&str, Option<u64>)> = BTreeMap::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::Claimed(claim) => {
                let at = claim.valid_us[0];
                match views.get(&claim.process).copied() {
                    Some((view, _)) if view == claim.view => {}
                    Some((_, Some(since))) if ((at - since) as f64) < params.settle_ms * 1000.0 => {
                        let text = format!("{} changes its view after {} us", claim.process, at - since);
                        breaches.push(FleetBreach { at: entry.at, text });
                        return;
                    }
                    known => {
                        // When the first view was adopted is not known.
                        let since = known.map(|_| at);
                        views.insert(claim.process, (&claim.view, since));
                    }
                }
            }
            FleetEvent::Started(process) | FleetEvent::Resumed(process) => drop(views.remove(process)),
            _ => {}
        }
    }
}

/// Checks that no process has received a boot number before it was on disk: a process stores its number
/// before it sends any packet.
fn check_boots_stored(ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    let mut stored: BTreeMap<usize, u64> = BTreeMap::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::BootStored { process, boot } => {
                let stored = stored.entry(*process).or_default();
                *stored = (*stored).max(*boot);
            }
            FleetEvent::Claimed(claim) => {
                let received = claim.boots.iter().enumerate();
                let mut early =
                    received.filter(|(origin, boot)| **boot > stored.get(origin).copied().unwrap_or(0));
                if let Some((origin, boot)) = early.rfind(|(origin, _)| *origin != claim.process) {
                    let text = format!(
                        "{} received boot number {boot} of {origin}, which is on no disk",
                        claim.process
                    );
                    breaches.push(FleetBreach { at: entry.at, text });
                    return;
                }
            }
            _ => {}
        }
    }
}

/// A long wait that a destination returned, and the period in which the other processes must obey it.
struct LongWait {
    process: usize,
    from: f64,
    until: f64,
}

/// Checks that no process calls a destination during a long wait that it returned to another process, in runs
/// where all links are intact throughout.
fn check_waits(params: &FleetParams, ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    let impaired = |e: &FleetEntry| {
        matches!(e.event, FleetEvent::Link { open: false, .. } | FleetEvent::LinkQuality { degraded: true })
    };
    if ledger.iter().any(impaired) {
        return;
    }
    let delay = params.wait_spread_ms + params.clock_slack_ms;
    let mut waits: BTreeMap<u64, Vec<LongWait>> = BTreeMap::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::WaitReturned { process, dest, wait_ms } if *wait_ms >= params.long_wait_ms => {
                waits.entry(*dest).or_default().push(LongWait {
                    process: *process,
                    from: entry.at + delay,
                    until: entry.at + wait_ms,
                });
            }
            FleetEvent::Began { from, dest } => {
                let waits = waits.get(dest).map_or(&[][..], Vec::as_slice);
                let applies =
                    |wait: &&LongWait| wait.process != *from && (wait.from..wait.until).contains(&entry.at);
                if let Some(LongWait { process, .. }) = waits.iter().find(applies) {
                    let text = format!("{from} calls {dest} during a wait that it returned to {process}");
                    breaches.push(FleetBreach { at: entry.at, text });
                    return;
                }
            }
            _ => {}
        }
    }
}

/// The state of a name that two processes have, or had.
struct SharedName {
    /// Since when `both_run` holds (ms).
    since: f64,
    /// Whether the second process runs.
    both_run: bool,
    /// Whether each process, in its last claim after the grace period, was in the state `doubled`.
    doubled: [Option<bool>; 2],
}

/// Checks that of two processes under one name exactly one becomes inactive after the detection time, and
/// that the other becomes active again when one of them has ended.
fn check_duplicates(params: &FleetParams, ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    let mut names: BTreeMap<usize, SharedName> = BTreeMap::new();
    for entry in ledger {
        let (claim, which) = match &entry.event {
            FleetEvent::Duplicate { process, running } => {
                let name = SharedName { since: entry.at, both_run: *running, doubled: [None; 2] };
                names.insert(*process, name);
                continue;
            }
            FleetEvent::Claimed(claim) => (claim, 0),
            FleetEvent::DuplicateClaimed(claim) => (claim, 1),
            _ => continue,
        };
        let Some(name) = names.get_mut(&claim.process) else { continue };
        let grace = params.detect_ms
            + params.agree_ms
            + params.clock_slack_ms
            + if name.both_run { 0.0 } else { params.duplicate_expiry_ms };
        if entry.at - name.since < grace {
            continue;
        }
        name.doubled[which] = Some(claim.membership_state == "doubled");
        let fault = match (name.both_run, name.doubled) {
            (true, [Some(false), Some(false)]) => "runs twice, and both processes are active",
            (true, [Some(true), Some(true)]) => "runs twice, and neither process is active",
            (false, [Some(true), _]) => "runs once, and is still in the state doubled",
            _ => continue,
        };
        breaches.push(FleetBreach { at: entry.at, text: format!("{} {fault}", claim.process) });
        return;
    }
}

/// The actual state of processes and links, as the rig set it.
struct ActualState {
    alive: Vec<bool>,
    paused: Vec<bool>,
    /// Whether each direction is open, by sender and receiver.
    open: Vec<Vec<bool>>,
    degraded: bool,
    /// Processes that cannot send: the boot number that they must send with cannot be stored.
    disk_full: Vec<bool>,
    /// Names under which a second process has run.
    duplicated: Vec<bool>,
    /// Time of the last change (ms).
    since: f64,
}

impl ActualState {
    fn is_up(&self, process: usize) -> bool {
        self.alive[process] && !self.paused[process]
    }

    /// Returns the processes that are connected to a process in both directions, directly or through others;
    /// includes the process itself.
    fn island(&self, from: usize) -> Vec<usize> {
        let mut island = vec![from];
        let mut next = 0;
        while next < island.len() {
            let current = island[next];
            for other in 0..self.alive.len() {
                let linked = self.open[current][other] && self.open[other][current];
                if self.is_up(other) && !island.contains(&other) && linked {
                    island.push(other);
                }
            }
            next += 1;
        }
        island.sort_unstable();
        island
    }
}

/// Checks that, once nothing has changed for long enough, dead processes are known to be dead, connected ones
/// are not believed dead, and connected processes hold the same view.
fn check_detection_and_agreement(
    params: &FleetParams,
    size: usize,
    ledger: &[FleetEntry],
    breaches: &mut Vec<FleetBreach>,
) {
    let mut actual = ActualState {
        alive: vec![false; size],
        paused: vec![false; size],
        open: vec![vec![true; size]; size],
        degraded: false,
        disk_full: vec![false; size],
        duplicated: vec![false; size],
        since: 0.0,
    };
    // The last claim of each process since the last change, to compare their views.
    let mut claims: BTreeMap<usize, &Claim> = BTreeMap::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::Claimed(claim) if actual.is_up(claim.process) => {
                let mut unchanged = entry.at - actual.since - params.clock_slack_ms;
                if actual.duplicated.contains(&true) {
                    unchanged -= params.duplicate_expiry_ms;
                }
                let mut island = actual.island(claim.process);
                let has_majority = island.len() * 2 > size;
                let detect = if has_majority { params.detect_ms } else { params.detect_minority_ms };
                if actual.degraded || unchanged < detect {
                    continue;
                }
                island.retain(|n| !actual.disk_full[*n]);
                if actual.disk_full[claim.process] {
                    continue;
                }
                for other in (0..size).filter(|other| *other != claim.process) {
                    let state = claim.states.get(other).map_or("", String::as_str);
                    let believed_up = matches!(state, "alive" | "suspect");
                    let fault = match () {
                        () if !actual.is_up(other) && believed_up => "is gone",
                        () if island.contains(&other) && !believed_up => "is connected",
                        () => continue,
                    };
                    let text = format!("{} believes {other} to be {state}, which {fault}", claim.process);
                    breaches.push(FleetBreach { at: entry.at, text });
                    return;
                }
                if unchanged < detect + params.agree_ms {
                    continue;
                }
                if let Some(gone) = claim.members.iter().find(|member| !actual.is_up(**member)) {
                    let text = format!("{} has {gone} in its view, which is gone", claim.process);
                    breaches.push(FleetBreach { at: entry.at, text });
                    return;
                }
                // With links cut in one direction, or links through a third process, updates reach all
                // processes; agreement is required only of the island.
                for other in &island {
                    if let Some(theirs) = claims.get(other).filter(|theirs| theirs.view != claim.view) {
                        let text = format!(
                            "{} holds view {} of {:?}, and {other} {} of {:?}",
                            claim.process, claim.view, claim.members, theirs.view, theirs.members
                        );
                        breaches.push(FleetBreach { at: entry.at, text });
                        return;
                    }
                }
                claims.insert(claim.process, claim);
            }
            FleetEvent::Claimed(_)
            | FleetEvent::DuplicateClaimed(_)
            | FleetEvent::Traffic { .. }
            | FleetEvent::Began { .. }
            | FleetEvent::Limit { .. }
            | FleetEvent::Outage { .. }
            | FleetEvent::DutyClaimed(_)
            | FleetEvent::WaitReturned { .. }
            | FleetEvent::BootStored { .. } => {}
            event => {
                actual.since = entry.at;
                claims.clear();
                match event {
                    FleetEvent::Started(n) => (actual.alive[*n], actual.paused[*n]) = (true, false),
                    FleetEvent::Exited(n) => actual.alive[*n] = false,
                    FleetEvent::Paused(n) => actual.paused[*n] = true,
                    FleetEvent::Resumed(n) => actual.paused[*n] = false,
                    FleetEvent::Link { from, to, open } => actual.open[*from][*to] = *open,
                    FleetEvent::LinkQuality { degraded } => actual.degraded = *degraded,
                    FleetEvent::Disk { process, full } => actual.disk_full[*process] = *full,
                    // While two processes share a name, what the others believe of it may change with each
                    // packet.
                    FleetEvent::Duplicate { process, running } => {
                        (actual.degraded, actual.duplicated[*process]) = (*running, true);
                    }
                    _ => {}
                }
            }
        }
    }
}

/// Parameters for tests.
#[cfg(test)]
pub(crate) const TERMS: FleetParams = FleetParams {
    detect_ms: 100.0,
    detect_minority_ms: 100.0,
    agree_ms: 100.0,
    settle_ms: 50.0,
    duplicate_expiry_ms: 300.0,
    long_wait_ms: 500.0,
    wait_spread_ms: 50.0,
    duties: (0, 0.0),
    recovery: crate::fleet_ledger::ColdStart {
        detect_ms: 1000.0,
        start_capacity: 0.2,
        warm_up_ms: 2000.0,
        probe_interval_ms: 400.0,
        clock_slack_ms: 0.0,
    },
    clock_slack_ms: 0.0,
};

#[cfg(test)]
mod tests;
