//! Judges what several processes claimed of their fleet, from the ledger alone: what was done to them and to the links
//! between them, and what each said of itself and of the others. Shares no code with membership; the table of what a
//! standing allows is written a second time here.

use crate::duties::DutyClaim;
use crate::returns::ColdStart;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// One line of a fleet's ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetEntry {
    /// Milliseconds since the start of the run, by the rig's clock.
    pub at: f64,
    /// What happened.
    pub event: FleetEvent,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetEvent {
    /// A process was started,
    Started(usize),
    /// ended, by a signal that it sees or by one that it does not,
    #[serde(rename = "Ended")]
    Exited(usize),
    /// stopped,
    #[serde(rename = "Stopped")]
    Paused(usize),
    /// or woken.
    #[serde(rename = "Woken")]
    Resumed(usize),
    /// A direction carries, or is cut.
    Link {
        /// From whom.
        from: usize,
        /// To whom.
        to: usize,
        /// Whether anything comes through.
        open: bool,
    },
    /// Links carry worse, or as well as at first: while they carry worse, nobody is judged by its detector.
    #[serde(rename = "Weather")]
    LinkQuality {
        /// Loss, delay, half-open connections.
        #[serde(rename = "rough")]
        degraded: bool,
    },
    /// What a direction carried and lost.
    #[serde(rename = "Carried")]
    Traffic {
        /// From whom.
        from: usize,
        /// To whom.
        to: usize,
        /// Packets that went on their way,
        packets: u64,
        /// that were lost,
        lost: u64,
        /// and connections.
        #[serde(rename = "streams")]
        connections: u64,
    },
    /// The folder of a process takes no more, or does again.
    Disk {
        /// Whose.
        #[serde(rename = "who")]
        process: usize,
        /// Whether it is full.
        full: bool,
    },
    /// Another process lives under the name of one, or no longer.
    #[serde(rename = "Twin")]
    Duplicate {
        /// Whose name.
        #[serde(rename = "who")]
        process: usize,
        /// Whether it lives.
        #[serde(rename = "lives")]
        running: bool,
    },
    /// The folder of a process held this boot number.
    #[serde(rename = "Written")]
    BootStored {
        /// Whose folder.
        #[serde(rename = "who")]
        process: usize,
        /// The number.
        boot: u64,
    },
    /// The first byte of a call reached an endpoint of a destination.
    Began {
        /// From whom.
        from: usize,
        /// Whose endpoint.
        dest: u64,
    },
    /// A destination told a process to wait.
    #[serde(rename = "Waits")]
    WaitReturned {
        /// Whom.
        #[serde(rename = "who")]
        process: usize,
        /// Whose endpoint.
        dest: u64,
        /// How long (ms).
        #[serde(rename = "wait")]
        wait_ms: f64,
    },
    /// A destination of everybody is down, or back and cold.
    Outage {
        /// Which.
        dest: u64,
        /// Whether it is back.
        back: bool,
    },
    /// All are told another roster.
    Roster {
        /// Which.
        version: u64,
    },
    /// What all together may send to each destination from now on (calls a second).
    Limit {
        /// So much.
        #[serde(rename = "calls")]
        calls_per_sec: f64,
    },
    /// A process said this of itself.
    #[serde(rename = "Told")]
    Claimed(Claim),
    /// A process said that it holds a duty.
    #[serde(rename = "Holds")]
    DutyClaimed(DutyClaim),
    /// The other process under a name said this of itself.
    #[serde(rename = "TwinTold")]
    DuplicateClaimed(Claim),
}

/// What a process says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Which process.
    #[serde(rename = "who")]
    pub process: usize,
    /// When it looked, and until when that holds if it hears nothing more (microseconds of a clock that all processes
    /// of the machine share).
    #[serde(rename = "span")]
    pub valid_us: [u64; 2],
    /// Its standing.
    pub standing: String,
    /// Whether it may do what one side alone may do.
    #[serde(rename = "acts")]
    pub may_act: bool,
    /// Whether it takes on, sends on, and is ready.
    pub serves: [bool; 3],
    /// Its view.
    pub view: String,
    /// Whose support counts, by number.
    pub voters: Vec<usize>,
    /// Members of its view, by number.
    #[serde(rename = "there")]
    pub members: Vec<usize>,
    /// How it holds each process to stand, by number.
    pub states: Vec<String>,
    /// Among how many it divides what all share.
    pub senders: usize,
    /// The highest boot that it has heard of each process, by number; 0 where it has heard of none.
    pub boots: Vec<u64>,
}

/// How soon what must hold (ms).
#[derive(Clone, Copy, Debug)]
pub struct FleetParams {
    /// A death is known to all who are connected, and nobody who is connected is held for dead, after so long.
    pub detect_ms: f64,
    /// The same where most are gone: whoever hears nobody doubts itself first, and probes more slowly.
    pub detect_minority_ms: f64,
    /// All who are connected hold one view after so long, from when the dead are known on.
    pub agree_ms: f64,
    /// A view stands for so long at least: a change is one step and no flicker.
    pub settle_ms: f64,
    /// What was heard of another process under one's own name counts for so long after its end.
    pub duplicate_expiry_ms: f64,
    /// A wait of this length is not one of a limit: all keep it,
    pub long_wait_ms: f64,
    /// once they have heard of it: after so long.
    pub wait_spread_ms: f64,
    /// So many duties there are, and from then on each is held, since all is mended.
    pub duties: (usize, f64),
    /// What holds of destinations that were down.
    pub recovery: ColdStart,
    /// How late the rig's own clocks were.
    pub clock_slack_ms: f64,
}

/// A property of a fleet that did not hold.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBreach {
    /// When (ms).
    pub at: f64,
    /// What.
    pub text: String,
}

impl fmt::Display for FleetBreach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {:.0} ms: {}", self.at, self.text)
    }
}

/// Judges a run of `size` processes.
pub fn judge_fleet(terms: &FleetParams, size: usize, ledger: &[FleetEntry]) -> Vec<FleetBreach> {
    let mut breaches = Vec::new();
    exclusive(ledger, &mut breaches);
    table(ledger, &mut breaches);
    steps(terms, ledger, &mut breaches);
    connected(terms, size, ledger, &mut breaches);
    written(ledger, &mut breaches);
    twins(terms, ledger, &mut breaches);
    waits(terms, ledger, &mut breaches);
    crate::returns::returns(terms, size, ledger, &mut breaches);
    let (duties, last) = terms.duties;
    crate::duties::duties(ledger, duties, last, &mut breaches);
    let reach = judge_limit(terms, ledger);
    // One whole call that each has saved up, and a tenth of a second of the limit; then how late the rig's clocks were.
    let allowed = size as f64 + reach.max_limit * (0.1 + terms.clock_slack_ms / 1000.0) + 1.0;
    if let Some((at, excess)) = reach.excess.filter(|(_, excess)| *excess > allowed) {
        let what = format!("{excess:.1} calls beyond the limit, {allowed:.1} are allowed");
        breaches.push(FleetBreach { at, text: what });
    }
    breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    breaches
}

/// What reached destinations that have a limit, from all processes together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitUse {
    /// When the span ended (ms) over which the most came beyond the limit to one destination, and how many calls.
    pub excess: Option<(f64, f64)>,
    /// Calls that came while there was a limit,
    pub calls: usize,
    /// and as a part of what the limits allowed for destinations that anything came to.
    pub used: f64,
    /// The largest limit (calls a second).
    pub max_limit: f64,
}

/// What reached destinations, against the limits that held. A limit that falls holds from `slack` later on: until then its
/// news is on the way to the processes.
pub fn judge_limit(terms: &FleetParams, ledger: &[FleetEntry]) -> LimitUse {
    let mut limits: Vec<(f64, f64)> = Vec::new();
    let mut came: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::Limit { calls_per_sec: calls } => {
                let falls = limits.last().is_some_and(|(_, last)| calls < last);
                limits.push((entry.at + if falls { terms.clock_slack_ms } else { 0.0 }, *calls));
            }
            FleetEvent::Began { dest, .. } => came.entry(*dest).or_default().push(entry.at),
            _ => {}
        }
    }
    let mut reach =
        LimitUse { max_limit: limits.iter().map(|l| l.1).fold(0.0, f64::max), ..LimitUse::default() };
    let Some(first) = limits.first().map(|l| l.0) else { return reach };
    // What the limits have allowed since the first of them.
    let allowed = |at: f64| -> f64 {
        let ends = limits.iter().skip(1).map(|l| l.0).chain([f64::INFINITY]);
        limits.iter().zip(ends).map(|((from, calls), to)| (at.min(to) - from).max(0.0) / 1000.0 * calls).sum()
    };
    // Nothing is asked for any more after the last of them.
    let end = came.values().flatten().copied().fold(first, f64::max);
    let dests = came.len().max(1) as f64;
    for mut times in came.into_values() {
        times.retain(|at| *at >= first);
        times.sort_by(f64::total_cmp);
        reach.calls += times.len();
        // Over the span from one call to another: their number less what was allowed meanwhile.
        let mut least = f64::INFINITY;
        for (n, at) in times.into_iter().enumerate() {
            least = least.min(n as f64 - allowed(at));
            let excess = (n + 1) as f64 - allowed(at) - least;
            if reach.excess.is_none_or(|(_, most)| excess > most) {
                reach.excess = Some((at, excess));
            }
        }
    }
    reach.used = reach.calls as f64 / (dests * allowed(end)).max(1.0);
    reach
}

/// No two processes act under two views at one instant.
fn exclusive(ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    // A process that said twice in a row that it acts under a view acted between the two looks, as far as the first
    // claim reached.
    let mut last: BTreeMap<usize, &Claim> = BTreeMap::new();
    let mut acted: Vec<(u64, u64, &str, usize)> = Vec::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::Claimed(claim) => {
                if claim.may_act {
                    let (mut from, to) = (claim.valid_us[0], claim.valid_us[0] + 1);
                    if let Some(before) =
                        last.get(&claim.process).filter(|c| c.may_act && c.view == claim.view)
                    {
                        from = before.valid_us[0];
                        if before.valid_us[1] < claim.valid_us[0] {
                            acted.push((from, before.valid_us[1], &claim.view, claim.process));
                            from = claim.valid_us[0];
                        }
                    }
                    acted.push((from, to, &claim.view, claim.process));
                }
                last.insert(claim.process, claim);
            }
            FleetEvent::Started(who) | FleetEvent::Exited(who) => drop(last.remove(who)),
            _ => {}
        }
    }
    acted.sort_unstable();
    let mut open: Vec<(u64, u64, &str, usize)> = Vec::new();
    for span in acted {
        open.retain(|other| other.1 > span.0);
        if let Some(other) = open.iter().find(|other| other.2 != span.2) {
            let what = format!("{} acts under {}, and {} under {}", other.3, other.2, span.3, span.2);
            let at = ledger.iter().find_map(|e| match &e.event {
                FleetEvent::Claimed(c) if c.process == span.3 && c.valid_us[0] >= span.0 => Some(e.at),
                _ => None,
            });
            breaches.push(FleetBreach { at: at.unwrap_or(0.0), text: what });
            return;
        }
        open.push(span);
    }
}

/// What a standing allows: acts; takes on, sends on, ready.
fn allowed(standing: &str) -> Option<(bool, [bool; 3])> {
    Some(match standing {
        "whole" | "majority" => (true, [true, true, true]),
        "minority" | "unsettled" | "alone" => (false, [true, true, true]),
        "not-yet-known" => (false, [true, true, false]),
        "leaving" => (false, [false, true, false]),
        "doubled" => (false, [false, false, false]),
        _ => return None,
    })
}

fn table(ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    for entry in ledger {
        let (FleetEvent::Claimed(claim) | FleetEvent::DuplicateClaimed(claim)) = &entry.event else {
            continue;
        };
        if allowed(&claim.standing) != Some((claim.may_act, claim.serves)) {
            let what = format!(
                "{} is {} and may {} {:?}",
                claim.process, claim.standing, claim.may_act, claim.serves
            );
            breaches.push(FleetBreach { at: entry.at, text: what });
        }
        // Whoever acts hears a majority of those whose support counts.
        let voters = claim.voters.iter().filter(|v| claim.members.contains(v)).count();
        if claim.may_act && voters * 2 <= claim.voters.len() {
            let what =
                format!("{} acts with {:?}, of voters {:?}", claim.process, claim.members, claim.voters);
            breaches.push(FleetBreach { at: entry.at, text: what });
        }
    }
}

/// Nobody's view changes twice within a settling time.
fn steps(terms: &FleetParams, ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    // The view of each, and when it was first told, by the process's own looks.
    let mut stands: BTreeMap<usize, (&str, Option<u64>)> = BTreeMap::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::Claimed(claim) => {
                let at = claim.valid_us[0];
                match stands.get(&claim.process).copied() {
                    Some((view, _)) if view == claim.view => {}
                    Some((_, Some(since))) if ((at - since) as f64) < terms.settle_ms * 1000.0 => {
                        let what = format!("{} changes its view after {} us", claim.process, at - since);
                        breaches.push(FleetBreach { at: entry.at, text: what });
                        return;
                    }
                    known => {
                        // When the first view was taken up is not known.
                        let since = known.map(|_| at);
                        stands.insert(claim.process, (&claim.view, since));
                    }
                }
            }
            FleetEvent::Started(who) | FleetEvent::Resumed(who) => drop(stands.remove(who)),
            _ => {}
        }
    }
}

/// Nobody has heard of a boot that no folder held yet: it is on disk before a word of it leaves.
fn written(ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    let mut held: BTreeMap<usize, u64> = BTreeMap::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::BootStored { process: who, boot } => {
                let held = held.entry(*who).or_default();
                *held = (*held).max(*boot);
            }
            FleetEvent::Claimed(claim) => {
                let spoken = claim.boots.iter().enumerate();
                let mut early = spoken.filter(|(who, boot)| **boot > held.get(who).copied().unwrap_or(0));
                if let Some((who, boot)) = early.rfind(|(who, _)| *who != claim.process) {
                    let what =
                        format!("{} heard of boot {boot} of {who}, which is on no disk", claim.process);
                    breaches.push(FleetBreach { at: entry.at, text: what });
                    return;
                }
            }
            _ => {}
        }
    }
}

/// Nobody calls a destination that told one of them to wait for long, where all hear each other well all the time.
fn waits(terms: &FleetParams, ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    let bad = |e: &FleetEntry| {
        matches!(e.event, FleetEvent::Link { open: false, .. } | FleetEvent::LinkQuality { degraded: true })
    };
    if ledger.iter().any(bad) {
        return;
    }
    let late = terms.wait_spread_ms + terms.clock_slack_ms;
    // By destination: who was told, and the spans in which others keep it.
    let mut held: BTreeMap<u64, Vec<(usize, f64, f64)>> = BTreeMap::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::WaitReturned { process: who, dest, wait_ms: wait } if *wait >= terms.long_wait_ms => {
                held.entry(*dest).or_default().push((*who, entry.at + late, entry.at + wait));
            }
            FleetEvent::Began { from, dest } => {
                let spans = held.get(dest).map_or(&[][..], Vec::as_slice);
                let kept = |(who, begin, end): &&(usize, f64, f64)| {
                    who != from && (*begin..*end).contains(&entry.at)
                };
                if let Some((who, ..)) = spans.iter().find(kept) {
                    let what = format!("{from} calls {dest}, which told {who} to wait");
                    breaches.push(FleetBreach { at: entry.at, text: what });
                    return;
                }
            }
            _ => {}
        }
    }
}

/// Of two that live under one name one is silent once they know, and never both for long; when one has ended the
/// other takes on again.
fn twins(terms: &FleetParams, ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    // By name: since when it is so, whether the two live, and what each last said, if it was after that.
    let mut names: BTreeMap<usize, (f64, bool, [Option<bool>; 2])> = BTreeMap::new();
    for entry in ledger {
        let (claim, which) = match &entry.event {
            FleetEvent::Duplicate { process: who, running: lives } => {
                names.insert(*who, (entry.at, *lives, [None; 2]));
                continue;
            }
            FleetEvent::Claimed(claim) => (claim, 0),
            FleetEvent::DuplicateClaimed(claim) => (claim, 1),
            _ => continue,
        };
        let Some((since, lives, said)) = names.get_mut(&claim.process) else { continue };
        let within = terms.detect_ms
            + terms.agree_ms
            + terms.clock_slack_ms
            + if *lives { 0.0 } else { terms.duplicate_expiry_ms };
        if entry.at - *since < within {
            continue;
        }
        said[which] = Some(claim.standing == "doubled");
        let what = match (*lives, *said) {
            (true, [Some(false), Some(false)]) => "is there twice, and both speak",
            (true, [Some(true), Some(true)]) => "is there twice, and neither speaks",
            (false, [Some(true), _]) => "is there once, and holds itself for doubled",
            _ => continue,
        };
        breaches.push(FleetBreach { at: entry.at, text: format!("{} {what}", claim.process) });
        return;
    }
}

/// What truly was, as the rig made it.
struct Truth {
    lives: Vec<bool>,
    stopped: Vec<bool>,
    open: Vec<Vec<bool>>,
    rough: bool,
    /// Those that can't speak: the number that they must speak under does not get to disk.
    full: Vec<bool>,
    /// Names that two live under, or did until lately.
    twofold: Vec<bool>,
    /// Since when nothing has changed.
    since: f64,
}

impl Truth {
    /// Those that a process reaches and is reached by, itself counted, by whatever way.
    fn island(&self, from: usize) -> Vec<usize> {
        let mut island = vec![from];
        let mut at = 0;
        while at < island.len() {
            let one = island[at];
            for other in 0..self.lives.len() {
                let up = self.lives[other] && !self.stopped[other];
                if up && !island.contains(&other) && self.open[one][other] && self.open[other][one] {
                    island.push(other);
                }
            }
            at += 1;
        }
        island.sort_unstable();
        island
    }
}

/// The dead are known, the living are not held for dead, and those who are connected agree, once nothing has changed
/// for long enough.
fn connected(terms: &FleetParams, size: usize, ledger: &[FleetEntry], breaches: &mut Vec<FleetBreach>) {
    let mut truth = Truth {
        lives: vec![false; size],
        stopped: vec![false; size],
        open: vec![vec![true; size]; size],
        rough: false,
        full: vec![false; size],
        twofold: vec![false; size],
        since: 0.0,
    };
    // The newest view of each since the last change, to be compared.
    let mut views: BTreeMap<usize, &Claim> = BTreeMap::new();
    for entry in ledger {
        match &entry.event {
            FleetEvent::Claimed(claim) if truth.lives[claim.process] && !truth.stopped[claim.process] => {
                let mut calm = entry.at - truth.since - terms.clock_slack_ms;
                if truth.twofold.contains(&true) {
                    calm -= terms.duplicate_expiry_ms;
                }
                let mut island = truth.island(claim.process);
                let known = if island.len() * 2 > size { terms.detect_ms } else { terms.detect_minority_ms };
                if truth.rough || calm < known {
                    continue;
                }
                island.retain(|n| !truth.full[*n]);
                if truth.full[claim.process] {
                    continue;
                }
                for other in (0..size).filter(|other| *other != claim.process) {
                    let state = claim.states.get(other).map_or("", String::as_str);
                    let up = truth.lives[other] && !truth.stopped[other];
                    let what = match () {
                        () if !up && matches!(state, "alive" | "suspect") => "is gone",
                        () if island.contains(&other) && !matches!(state, "alive" | "suspect") => {
                            "is connected"
                        }
                        () => continue,
                    };
                    let what = format!("{} holds {other} for {state}, which {what}", claim.process);
                    breaches.push(FleetBreach { at: entry.at, text: what });
                    return;
                }
                if calm < known + terms.agree_ms {
                    continue;
                }
                let gone = |n: &&usize| !truth.lives[**n] || truth.stopped[**n];
                if let Some(gone) = claim.members.iter().find(gone) {
                    let what = format!("{} has {gone} in its view, which is gone", claim.process);
                    breaches.push(FleetBreach { at: entry.at, text: what });
                    return;
                }
                // One-way cuts and bridges let everybody hear of everybody: the island is who must agree.
                for other in &island {
                    if let Some(theirs) = views.get(other).filter(|theirs| theirs.view != claim.view) {
                        let what = format!(
                            "{} holds view {} of {:?}, and {other} {} of {:?}",
                            claim.process, claim.view, claim.members, theirs.view, theirs.members
                        );
                        breaches.push(FleetBreach { at: entry.at, text: what });
                        return;
                    }
                }
                views.insert(claim.process, claim);
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
                truth.since = entry.at;
                views.clear();
                match event {
                    FleetEvent::Started(who) => (truth.lives[*who], truth.stopped[*who]) = (true, false),
                    FleetEvent::Exited(who) => truth.lives[*who] = false,
                    FleetEvent::Paused(who) => truth.stopped[*who] = true,
                    FleetEvent::Resumed(who) => truth.stopped[*who] = false,
                    FleetEvent::Link { from, to, open } => truth.open[*from][*to] = *open,
                    FleetEvent::LinkQuality { degraded: rough } => truth.rough = *rough,
                    FleetEvent::Disk { process: who, full } => truth.full[*who] = *full,
                    // While two live under a name, what all believe of it may change from word to word.
                    FleetEvent::Duplicate { process: who, running: lives } => {
                        (truth.rough, truth.twofold[*who]) = (*lives, true)
                    }
                    _ => {}
                }
            }
        }
    }
}

/// The terms of tests.
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
    recovery: ColdStart {
        detect_ms: 1000.0,
        start_capacity: 0.2,
        warm_up_ms: 2000.0,
        probe_interval_ms: 400.0,
        clock_slack_ms: 0.0,
    },
    clock_slack_ms: 0.0,
};

#[cfg(test)]
mod tests {
    use super::*;

    fn claim(who: usize, span: [u64; 2], acts: bool, view: &str, there: &[usize], states: &[&str]) -> Claim {
        let standing = if acts { "majority" } else { "minority" }.to_owned();
        let states = states.iter().map(|s| (*s).to_owned()).collect();
        let (view, there, serves) = (view.to_owned(), there.to_vec(), [true; 3]);
        let voters = (0..3).collect();
        Claim {
            process: who,
            valid_us: span,
            standing,
            may_act: acts,
            serves,
            view,
            voters,
            members: there,
            states,
            senders: 1,
            boots: Vec::new(),
        }
    }

    fn told(at: f64, claim: Claim) -> FleetEntry {
        FleetEntry { at, event: FleetEvent::Claimed(claim) }
    }

    fn all_up(size: usize) -> Vec<FleetEntry> {
        (0..size).map(|n| FleetEntry { at: 0.0, event: FleetEvent::Started(n) }).collect()
    }

    #[test]
    fn two_views_that_act_at_one_instant_are_a_breach_and_one_after_the_other_none() {
        let states = ["alive"; 3];
        let a = |from, to| claim(0, [from, to], true, "a", &[0, 1], &states);
        let b = |from, to| claim(2, [from, to], true, "b", &[1, 2], &states);
        let mut ledger = all_up(3);
        ledger.extend([told(1.0, a(100, 300)), told(2.0, a(200, 400)), told(3.0, b(150, 350))]);
        let found = judge_fleet(&TERMS, 3, &ledger);
        assert!(found.iter().any(|b| b.text.contains("acts under")), "{found:?}");
        let mut ledger = all_up(3);
        ledger.extend([told(1.0, a(100, 140)), told(2.0, b(150, 350)), told(3.0, a(400, 500))]);
        assert_eq!(judge_fleet(&TERMS, 3, &ledger), vec![]);
    }

    #[test]
    fn the_dead_must_be_known_and_the_connected_not_held_for_dead() {
        let mut ledger = all_up(3);
        ledger.push(FleetEntry { at: 10.0, event: FleetEvent::Exited(2) });
        let late = claim(0, [0, 0], false, "a", &[0, 1], &["alive", "alive", "alive"]);
        ledger.push(told(50.0, late.clone()));
        assert_eq!(judge_fleet(&TERMS, 3, &ledger), vec![], "not yet");
        ledger.push(told(150.0, late));
        assert!(judge_fleet(&TERMS, 3, &ledger)[0].text.contains("is gone"));

        // 0 and 1 hear each other by 2 alone.
        let mut ledger = all_up(3);
        ledger.push(FleetEntry { at: 10.0, event: FleetEvent::Link { from: 0, to: 1, open: false } });
        ledger.push(told(150.0, claim(0, [0, 0], false, "a", &[0, 2], &["alive", "dead", "alive"])));
        assert!(judge_fleet(&TERMS, 3, &ledger)[0].text.contains("is connected"));
    }

    #[test]
    fn the_connected_must_agree_and_the_table_holds() {
        let mut ledger = all_up(3);
        let states = ["alive"; 3];
        ledger.push(told(250.0, claim(0, [0, 0], false, "a", &[0, 1], &states)));
        ledger.push(told(260.0, claim(1, [0, 0], false, "b", &[0, 1, 2], &states)));
        assert!(judge_fleet(&TERMS, 3, &ledger)[0].text.contains("holds view"));
        let lone = claim(0, [0, 0], true, "a", &[0], &states);
        let ledger: Vec<_> = all_up(3).into_iter().chain([told(10.0, lone)]).collect();
        assert!(judge_fleet(&TERMS, 3, &ledger)[0].text.contains("acts with"));
        let mut odd = claim(0, [0, 0], false, "a", &[0, 1], &states);
        odd.serves = [true, false, true];
        let ledger: Vec<_> = all_up(3).into_iter().chain([told(10.0, odd)]).collect();
        assert_eq!(judge_fleet(&TERMS, 3, &ledger).len(), 1);
    }

    #[test]
    fn a_flicker_is_a_breach_and_a_step_is_none() {
        let view = |at: u64, view: &str| {
            told(at as f64, claim(0, [at * 1000, at * 1000 + 1], false, view, &[0, 1], &["alive"; 3]))
        };
        let mut ledger = all_up(3);
        ledger.extend([view(1, "a"), view(2, "b"), view(60, "c"), view(120, "a")]);
        assert_eq!(judge_fleet(&TERMS, 3, &ledger), vec![]);
        ledger.push(view(150, "b"));
        assert!(judge_fleet(&TERMS, 3, &ledger)[0].text.contains("changes its view"));
    }

    #[test]
    fn a_boot_is_on_disk_before_it_is_heard_of() {
        let mut claim = claim(0, [0, 0], false, "a", &[0, 1], &["alive"; 3]);
        claim.boots = vec![9, 2, 0];
        let written = |boot| FleetEntry { at: 1.0, event: FleetEvent::BootStored { process: 1, boot } };
        let ledger = |boot| [all_up(3), vec![written(boot), told(2.0, claim.clone())]].concat();
        assert_eq!(judge_fleet(&TERMS, 3, &ledger(2)), vec![]);
        assert!(judge_fleet(&TERMS, 3, &ledger(1))[0].text.contains("on no disk"));
    }

    #[test]
    fn of_two_under_one_name_one_is_silent_and_not_for_ever() {
        let said = |at, twin: bool, doubled: bool| {
            let mut claim = claim(1, [0, 0], false, "a", &[0, 1, 2], &["alive"; 3]);
            if doubled {
                (claim.standing, claim.serves) = ("doubled".to_owned(), [false; 3]);
            }
            let event = if twin { FleetEvent::DuplicateClaimed(claim) } else { FleetEvent::Claimed(claim) };
            FleetEntry { at, event }
        };
        let twin = |at, lives| FleetEntry { at, event: FleetEvent::Duplicate { process: 1, running: lives } };
        let found = |more: &[FleetEntry]| {
            let ledger = [all_up(3), vec![twin(10.0, true)], more.to_vec()].concat();
            judge_fleet(&TERMS, 3, &ledger).first().map(|b| b.text.clone()).unwrap_or_default()
        };
        assert_eq!(found(&[said(100.0, false, false), said(100.0, true, false)]), "");
        assert_eq!(found(&[said(300.0, false, true), said(300.0, true, false)]), "");
        assert!(found(&[said(300.0, false, false), said(300.0, true, false)]).contains("both speak"));
        assert!(found(&[said(300.0, false, true), said(300.0, true, true)]).contains("neither speaks"));
        assert_eq!(found(&[twin(400.0, false), said(800.0, false, true)]), "");
        assert!(found(&[twin(400.0, false), said(950.0, false, true)]).contains("holds itself for doubled"));
    }

    #[test]
    fn what_all_send_together_is_held_to_the_limit_over_every_span() {
        let mut ledger = vec![FleetEntry { at: 0.0, event: FleetEvent::Limit { calls_per_sec: 10.0 } }];
        let began = |at, from| FleetEntry { at, event: FleetEvent::Began { from, dest: 7 } };
        // Ten a second from two processes for five seconds: just what is allowed.
        ledger.extend((0..50).map(|n| began(f64::from(n) * 100.0, n as usize % 2)));
        let reach = judge_limit(&TERMS, &ledger);
        assert!(reach.excess.is_some_and(|(_, excess)| (0.9..1.1).contains(&excess)), "{reach:?}");
        assert!((0.95..1.1).contains(&reach.used), "{reach:?}");
        assert_eq!(judge_fleet(&TERMS, 2, &ledger), vec![]);
        // Ten more within 50 ms, at the end.
        ledger.extend((0..10).map(|n| began(5000.0 + f64::from(n) * 5.0, 0)));
        assert!(judge_fleet(&TERMS, 2, &ledger)[0].text.contains("beyond the limit"));
        // A limit that falls to a tenth: what was right before is too much after.
        let mut ledger = ledger[..51].to_vec();
        ledger.push(FleetEntry { at: 5000.0, event: FleetEvent::Limit { calls_per_sec: 1.0 } });
        ledger.extend((0..20).map(|n| began(5000.0 + f64::from(n) * 100.0, 1)));
        assert!(judge_fleet(&TERMS, 2, &ledger)[0].text.contains("beyond the limit"));
    }

    #[test]
    fn a_long_wait_told_to_one_is_kept_by_all_who_could_hear_of_it() {
        let waits = |wait| FleetEntry {
            at: 100.0,
            event: FleetEvent::WaitReturned { process: 0, dest: 7, wait_ms: wait },
        };
        let began = |at, from| FleetEntry { at, event: FleetEvent::Began { from, dest: 7 } };
        let found = |wait, at, from| judge_fleet(&TERMS, 2, &[waits(wait), began(at, from)]).len();
        assert_eq!([found(800.0, 140.0, 1), found(800.0, 950.0, 1), found(300.0, 200.0, 1)], [0; 3]);
        // Who was told itself is judged by its own ledger.
        assert_eq!([found(800.0, 200.0, 0), found(800.0, 200.0, 1)], [0, 1]);
    }
}
