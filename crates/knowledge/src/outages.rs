//! Detection of outages of destinations by a fleet, choice of the member that probes meanwhile, and common
//! recovery.
//!
//! - **Down** requires findings by two origins from their own calls that this member's own calls do not
//!   contradict.
//! - **One member probes.** Of the origins with recent findings, the one with the lowest hash calls once per
//!   probe interval; the others defer their calls and rely on its report. Where no finding is recent, or a
//!   member has deferred for long, it probes on its own at random: with a probability of one over the
//!   number of members, which doubles over time, so that few members probe at once and the wait of each is
//!   bounded.
//! - **Recovering** counts from a time that all members share: the rate that they may send together grows
//!   from there along one ramp.
//!
//! Findings are evidence with an age, not commands: a member's own calls outrank them, and an origin that
//! wrongly reported a recovery is not believed alone the next time.

use crate::Micros;
use crate::findings::{CallHistory, CallOutcome, Finding, OutageReport};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of origins whose own calls must have found an outage.
const MIN_ORIGINS: usize = 2;
/// Maximum number of destinations with state; reports about further ones are rejected.
const MAX_DESTS: usize = 10_000;
/// Maximum number of origins whose findings about one destination are kept: those with the lowest hashes, so
/// that all members keep the same ones and agree on the prober.
const MAX_ORIGINS: usize = 16;
/// Number of probe intervals for which a finding counts towards an outage.
const FINDING_INTERVALS: u64 = 10;
/// Number of probe intervals for which the origin of a finding may be the prober.
const PROBER_INTERVALS: u64 = 3;
/// Number of probe intervals after which a member that defers calls in favour of another prober begins to
/// probe at random, and after each of which the probability doubles.
const FALLBACK_INTERVALS: u64 = 4;
/// Number of probe intervals for which an origin that wrongly reported a recovery is not believed alone;
/// doubles each time.
const DISTRUST_INTERVALS: u64 = 32;
/// Maximum age of a finding (microseconds); older ones are rejected.
const MAX_FINDING_AGE: Micros = 600_000_000;
/// Number of rounds in which a report is sent, per doubling of the fleet's size (times its base-2 logarithm).
const ROUNDS_PER_LOG2: f64 = 1.5;

/// Settings of probing and of the slow start after an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Interval between probes: the time that a call and the report of its outcome take (microseconds).
    pub probe_interval: Micros,
    /// Time from recovery to full capacity (microseconds).
    pub warm_up: Micros,
    /// Fraction of its capacity that a destination has at recovery.
    pub initial_fraction: f64,
}

impl SlowStart {
    /// Returns the fraction of its capacity that a destination has `elapsed` after its recovery.
    pub fn fraction(&self, elapsed: Micros) -> f64 {
        let progress = elapsed as f64 / self.warm_up.max(1) as f64;
        (self.initial_fraction + (1.0 - self.initial_fraction) * progress).clamp(0.0, 1.0)
    }
}

/// State of a destination as this member sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DestState {
    /// No outage is known.
    #[default]
    Up,
    /// Down since this time.
    Down(Micros),
    /// Recovered at this time, and still warming up.
    #[serde(rename = "back")]
    Recovering(Micros),
}

/// Decision on a call that is about to begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The call may begin; all members together may send this fraction of their usual limit.
    Fraction(f64),
    /// The call may begin as a probe; no fraction applies to it.
    Probe,
    /// The call must wait and ask again after this time (microseconds).
    Defer(Micros),
}

/// Latest report of one origin, with times on this member's clock.
#[derive(Clone, Copy, Debug)]
struct Entry {
    version: (u64, u64),
    /// Finding, with the time that it refers to.
    finding: TimedFinding,
    received_at: Micros,
    /// Number of rounds in which the report was sent.
    rounds_sent: u32,
    /// Number of recoveries that the origin wrongly reported.
    wrong_recoveries: u32,
    /// Time until which the origin is not believed alone.
    distrusted_until: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum TimedFinding {
    None,
    Down(Micros),
    Recovered(Micros),
}

#[derive(Clone, Debug, Default)]
struct DestRecord {
    own_calls: CallHistory,
    /// Latest reports by origin, this member included.
    entries: BTreeMap<u64, Entry>,
    state: DestState,
    /// Origin whose report led to the recovery.
    recovered_by: Option<u64>,
    /// Time of this member's last probe.
    last_probe: Option<Micros>,
    /// Time since which calls are deferred in favour of other probers.
    deferring_since: Option<Micros>,
}

/// State of one destination during an outage or recovery, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outage {
    /// The destination.
    pub dest: u64,
    /// Its state as this member sees it.
    #[serde(rename = "stand")]
    pub state: DestState,
    /// Time since it entered this state (microseconds).
    pub since: Micros,
    /// Fraction of its capacity that all members together may use now.
    #[serde(rename = "part")]
    pub capacity_fraction: f64,
    /// Origins that found it down, and the time since the last of their failed calls began (microseconds).
    #[serde(rename = "found")]
    pub reporters: Vec<(u64, Micros)>,
    /// Member that probes it; none if no finding is recent.
    #[serde(rename = "tries")]
    pub prober: Option<u64>,
}

/// Outages and recoveries that one member knows of.
#[derive(Clone, Debug)]
pub struct OutageDetector {
    local_id: u64,
    boot: u64,
    sequence: u64,
    slow_start: SlowStart,
    members: usize,
    dests: BTreeMap<u64, DestRecord>,
    updates_until: Micros,
    rejected: u64,
}

impl OutageDetector {
    /// Returns the state of a member that starts, with the boot number for its own reports.
    pub fn new(local_id: u64, boot: u64, slow_start: SlowStart) -> Self {
        OutageDetector {
            local_id,
            boot,
            sequence: 0,
            slow_start,
            members: 1,
            dests: BTreeMap::new(),
            updates_until: 0,
            rejected: 0,
        }
    }

    /// Raises the boot number for this member's own reports, and sets the number of live members.
    pub fn set_membership(&mut self, boot: u64, members: usize) {
        self.boot = self.boot.max(boot);
        self.members = members.max(1);
    }

    /// Sets the slow start, once settings are known.
    pub fn set_slow_start(&mut self, slow_start: SlowStart) {
        self.slow_start = slow_start;
    }

    /// Records the end of one of this member's calls. `began` is when its first byte was sent, or when a
    /// connection was attempted.
    pub fn record_call_end(&mut self, now: Micros, dest: u64, began: Micros, outcome: CallOutcome) {
        let is_known = self.dests.contains_key(&dest);
        // Usually the call is served and no outage is known; even then the time of the call is kept.
        if !is_known && self.dests.len() >= MAX_DESTS {
            return;
        }
        let (slow_start, local_id) = (self.slow_start, self.local_id);
        let record = self.dests.entry(dest).or_default();
        record.own_calls.record(began, outcome);
        let finding = match (outcome, record.state) {
            (CallOutcome::Failed, _) => {
                record.own_calls.outage(slow_start.probe_interval / 2).map(TimedFinding::Down)
            }
            // Either this member's probe, or a call that was in flight when others reported the outage.
            (CallOutcome::Served, DestState::Down(_)) => {
                (record.state, record.recovered_by) = (DestState::Recovering(now), Some(local_id));
                Some(TimedFinding::Recovered(now))
            }
            _ => None,
        };
        if let Some(finding) = finding {
            self.sequence += 1;
            let entry = Entry {
                version: (self.boot, self.sequence),
                finding,
                received_at: now,
                rounds_sent: 0,
                wrong_recoveries: 0,
                distrusted_until: 0,
            };
            record.entries.insert(local_id, entry);
            self.updates_until = self.updates_until.max(now + slow_start.probe_interval * FINDING_INTERVALS);
        }
        self.evaluate(now, dest);
    }

    /// Records that a destination is closed until `until`: it then needs a slow start, and one member probes
    /// first.
    pub fn record_shutdown(&mut self, now: Micros, dest: u64, until: Micros) {
        if self.dests.len() >= MAX_DESTS && !self.dests.contains_key(&dest) {
            return;
        }
        let record = self.dests.entry(dest).or_default();
        // A later call that was served outranks the closure.
        if !matches!(record.state, DestState::Down(_))
            && record.own_calls.last_served().is_none_or(|served| served < now)
        {
            (record.state, record.recovered_by) = (DestState::Down(now), None);
            // No finding is recent when the destination opens again, so random probing starts then.
            record.deferring_since = Some(until);
        }
    }

    /// Merges a report from another member.
    pub fn receive(&mut self, now: Micros, report: &OutageReport) {
        let OutageReport { dest, origin, version, finding } = *report;
        let is_full = !self.dests.contains_key(&dest) && self.dests.len() >= MAX_DESTS;
        if origin == self.local_id || finding.age() > MAX_FINDING_AGE || is_full {
            self.rejected += 1;
            return;
        }
        let local_id = self.local_id;
        let record = self.dests.entry(dest).or_default();
        if record.entries.len() >= MAX_ORIGINS && !record.entries.contains_key(&origin) {
            let rank = |id: u64| hash([dest, id, 0]);
            let last = record.entries.keys().copied().filter(|id| *id != local_id).max_by_key(|id| rank(*id));
            let Some(last) = last.filter(|last| rank(*last) > rank(origin)) else { return };
            record.entries.remove(&last);
        }
        let new_entry = Entry {
            version: (0, 0),
            finding: TimedFinding::None,
            received_at: now,
            rounds_sent: 0,
            wrong_recoveries: 0,
            distrusted_until: 0,
        };
        let entry = record.entries.entry(origin).or_insert(new_entry);
        if version <= entry.version {
            return;
        }
        let at = now.saturating_sub(finding.age());
        let finding = match finding {
            Finding::Down(_) => TimedFinding::Down(at),
            Finding::Recovered(_) => TimedFinding::Recovered(at),
        };
        (entry.version, entry.finding, entry.received_at, entry.rounds_sent) = (version, finding, now, 0);
        self.updates_until = self.updates_until.max(now + self.slow_start.probe_interval * FINDING_INTERVALS);
        self.evaluate(now, dest);
    }

    /// Updates the state of a destination from all findings.
    fn evaluate(&mut self, now: Micros, dest: u64) {
        let (slow_start, local_id) = (self.slow_start, self.local_id);
        let Some(record) = self.dests.get_mut(&dest) else { return };
        let served = record.own_calls.last_served().unwrap_or(0);
        match record.state {
            DestState::Down(since) => {
                // A recovery needs a report later than the outage by an origin that is not distrusted, or by
                // two origins.
                let recovery = |(origin, entry): (&u64, &Entry)| match entry.finding {
                    TimedFinding::Recovered(at) if at >= since => {
                        Some((*origin, at, entry.distrusted_until <= now))
                    }
                    _ => None,
                };
                let reported: Vec<(u64, Micros, bool)> = record.entries.iter().filter_map(recovery).collect();
                let trusted = reported.iter().find(|(_, _, trusted)| *trusted);
                if let Some((by, at, _)) =
                    trusted.or(reported.first().filter(|_| reported.len() >= MIN_ORIGINS))
                {
                    (record.state, record.recovered_by) = (DestState::Recovering(*at), Some(*by));
                    record.deferring_since = None;
                }
            }
            DestState::Up | DestState::Recovering(_) => {
                let since = if let DestState::Recovering(at) = record.state { at } else { 0 };
                if matches!(record.state, DestState::Recovering(_)) && now >= since + slow_start.warm_up {
                    (record.state, record.recovered_by) = (DestState::Up, None);
                }
                let after = since.max(served);
                let counts = |entry: &Entry| {
                    matches!(entry.finding, TimedFinding::Down(at) if at > after)
                        && now
                            <= entry.received_at.saturating_add(slow_start.probe_interval * FINDING_INTERVALS)
                };
                if record.entries.values().filter(|entry| counts(entry)).count() >= MIN_ORIGINS {
                    // The origin that reported the recovery was wrong, and is distrusted for longer each
                    // time.
                    let wrong =
                        record.recovered_by.filter(|by| *by != local_id && now < since + slow_start.warm_up);
                    if let Some(entry) = wrong.and_then(|by| record.entries.get_mut(&by)) {
                        entry.wrong_recoveries = (entry.wrong_recoveries + 1).min(8);
                        entry.distrusted_until = now
                            + slow_start.probe_interval
                                * DISTRUST_INTERVALS
                                * (1 << (entry.wrong_recoveries - 1));
                    }
                    (record.state, record.recovered_by) = (DestState::Down(now), None);
                    (record.last_probe, record.deferring_since) = (None, Some(now));
                }
            }
        }
    }

    /// Returns the prober of a destination that is down: of the origins with recent findings the one with the
    /// lowest hash.
    fn prober(&self, now: Micros, dest: u64, record: &DestRecord) -> Option<u64> {
        let is_recent = |entry: &Entry| {
            matches!(entry.finding, TimedFinding::Down(_))
                && now <= entry.received_at + self.slow_start.probe_interval * PROBER_INTERVALS
        };
        let recent = record.entries.iter().filter(|(_, entry)| is_recent(entry)).map(|(origin, _)| *origin);
        recent.min_by_key(|origin| hash([dest, *origin, 0]))
    }

    /// Decides whether a call to a destination may begin now. Ask at the last step before its first byte.
    pub fn admit(&mut self, now: Micros, dest: u64) -> Admission {
        let (slow_start, local_id) = (self.slow_start, self.local_id);
        let state = self.dests.get(&dest).map_or(DestState::Up, |record| record.state);
        match state {
            DestState::Up => return Admission::Fraction(1.0),
            DestState::Recovering(at) if now >= at + slow_start.warm_up => {
                self.evaluate(now, dest);
                return Admission::Fraction(1.0);
            }
            DestState::Recovering(at) => {
                return Admission::Fraction(slow_start.fraction(now.saturating_sub(at)));
            }
            DestState::Down(_) => {}
        }
        let Some(record) = self.dests.get(&dest) else { return Admission::Fraction(1.0) };
        let prober = self.prober(now, dest, record);
        let next_probe = record.last_probe.map_or(0, |at| at + slow_start.probe_interval);
        let may_probe = match prober {
            Some(id) if id == local_id => true,
            _ => {
                // Draws once per interval of the local clock, so that members do not all draw at the same
                // time.
                let since = record.deferring_since.unwrap_or(now);
                let intervals = now.saturating_sub(since) / slow_start.probe_interval.max(1);
                // Without a prober the probability doubles each interval; with one, every few intervals.
                let doublings = if prober.is_none() { intervals } else { intervals / FALLBACK_INTERVALS };
                let probability = 2f64.powi(doublings.min(32) as i32) / self.members as f64;
                let relies_on_prober = prober.is_some() && doublings == 0;
                let interval = now / slow_start.probe_interval.max(1);
                let drawn = hash([dest, local_id, interval]) as f64 / u64::MAX as f64;
                now >= since && !relies_on_prober && drawn < probability
            }
        };
        let Some(record) = self.dests.get_mut(&dest) else { return Admission::Fraction(1.0) };
        if may_probe && now >= next_probe {
            record.last_probe = Some(now);
            record.deferring_since = Some(now);
            return Admission::Probe;
        }
        record.deferring_since.get_or_insert(now);
        Admission::Defer((slow_start.probe_interval / 2).max(1))
    }

    /// Cancels a probe: the call that was admitted as one has not begun after all.
    pub fn cancel_probe(&mut self, dest: u64) {
        self.dests.get_mut(&dest).into_iter().for_each(|record| record.last_probe = None);
    }

    /// Returns at most `max` reports to send in a round, those sent in the fewest rounds first; `members` is
    /// the number of live members.
    pub fn updates_to_send(&mut self, now: Micros, max: usize, members: usize) -> Vec<OutageReport> {
        self.expire(now);
        let rounds = (ROUNDS_PER_LOG2 * (members as f64 + 1.0).log2()).ceil() as u32;
        let mut pending: Vec<(u32, u64, u64)> = Vec::new();
        for (dest, record) in &self.dests {
            let is_pending = |entry: &Entry| {
                entry.rounds_sent < rounds && entry.finding != TimedFinding::None && entry.version != (0, 0)
            };
            let entries = record.entries.iter().filter(|(_, entry)| is_pending(entry));
            pending.extend(entries.map(|(origin, entry)| (entry.rounds_sent, *dest, *origin)));
        }
        if pending.is_empty() {
            self.updates_until = 0;
        }
        pending.sort_unstable();
        pending.truncate(max);
        let mut reports = Vec::new();
        for (_, dest, origin) in pending {
            if let Some(entry) = self.dests.get_mut(&dest).and_then(|record| record.entries.get_mut(&origin))
            {
                entry.rounds_sent += 1;
                reports.extend(report(now, dest, origin, entry));
            }
        }
        reports
    }

    /// Returns whether there may be reports to send; [`OutageDetector::updates_to_send`] returns them.
    pub fn has_updates(&self, now: Micros) -> bool {
        now < self.updates_until
    }

    /// Returns at most `max` findings about destinations that are not simply up, for a member that has just
    /// started.
    pub fn snapshot(&self, now: Micros, max: usize) -> Vec<OutageReport> {
        let affected = self.dests.iter().filter(|(_, record)| record.state != DestState::Up);
        let reports = affected.flat_map(|(dest, record)| {
            record.entries.iter().filter_map(move |(origin, entry)| report(now, *dest, *origin, entry))
        });
        reports.take(max).collect()
    }

    /// Returns the state of each destination that is not simply up.
    pub fn status(&self, now: Micros) -> Vec<Outage> {
        let status_of = |(dest, record): (&u64, &DestRecord)| {
            let down = |(origin, entry): (&u64, &Entry)| match entry.finding {
                TimedFinding::Down(at) => Some((*origin, now.saturating_sub(at))),
                _ => None,
            };
            let (since, capacity_fraction) = match record.state {
                DestState::Up => return None,
                DestState::Down(at) => (at, 0.0),
                DestState::Recovering(at) => (at, self.slow_start.fraction(now.saturating_sub(at))),
            };
            Some(Outage {
                dest: *dest,
                state: record.state,
                since: now.saturating_sub(since),
                capacity_fraction,
                reporters: record.entries.iter().filter_map(down).collect(),
                prober: self.prober(now, *dest, record).filter(|_| capacity_fraction == 0.0),
            })
        };
        self.dests.iter().filter_map(status_of).collect()
    }

    /// Returns the number of rejected reports.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Drops expired state. An outage that no member reports any more ends by the probes of members with
    /// calls for the destination.
    fn expire(&mut self, now: Micros) {
        let slow_start = self.slow_start;
        for record in self.dests.values_mut() {
            if let DestState::Recovering(at) = record.state
                && now >= at + slow_start.warm_up
            {
                (record.state, record.recovered_by) = (DestState::Up, None);
            }
            let is_expired = |entry: &Entry| {
                now > entry.received_at.saturating_add(slow_start.probe_interval * FINDING_INTERVALS)
                    && now > entry.distrusted_until
            };
            if record.state == DestState::Up {
                record.entries.retain(|_, entry| !is_expired(entry));
            }
        }
        // The last served call to a destination that is up outranks findings, so it is kept for as long as a
        // finding older than it can be accepted.
        self.dests.retain(|_, record| {
            let has_served =
                record.own_calls.last_served().is_some_and(|at| now < at.saturating_add(MAX_FINDING_AGE));
            record.state != DestState::Up
                || !record.entries.is_empty()
                || record.own_calls.has_failures()
                || has_served
        });
    }
}

/// Returns the report of an entry as sent at `now`.
fn report(now: Micros, dest: u64, origin: u64, entry: &Entry) -> Option<OutageReport> {
    let finding = match entry.finding {
        TimedFinding::None => return None,
        TimedFinding::Down(at) => Finding::Down(0).aged(now.saturating_sub(at)),
        TimedFinding::Recovered(at) => Finding::Recovered(0).aged(now.saturating_sub(at)),
    };
    Some(OutageReport { dest, origin, version: entry.version, finding })
}

fn hash(words: [u64; 3]) -> u64 {
    xxh3_64(&words.map(u64::to_le_bytes).concat())
}

#[cfg(test)]
mod tests;
