//! The terms by which a run is judged, and its breaches.

use crate::ledger::Entry;
use crate::rules;
use std::collections::BTreeMap;
use std::fmt;

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// No harm.
    Safe,
    /// Destinations drop repeats for so long (ms) after the first attempt that may have run.
    Keyed(f64),
    /// It must never take effect twice.
    Unsafe,
}

/// The figures of the rules (ms), and how exact the run's clock was.
#[derive(Clone, Debug)]
pub struct RuleParams {
    /// Classes, by name.
    pub classes: BTreeMap<String, Effect>,
    /// An end later than this after the message's time is up is missing.
    pub notice_within_ms: f64,
    /// Nothing is overdue for so long after the forwarder is ready again.
    pub restart_grace_ms: f64,
    /// Nothing new goes to an endpoint later than this after it was told to drain.
    pub drain_grace_ms: f64,
    /// Calls that come so soon after a wait was told are let through.
    pub wait_grace_ms: f64,
    /// A returning destination falls over above this multiple of what it can do at that moment,
    pub overload_multiple: f64,
    /// kept up for so long.
    pub overload_for_ms: f64,
    /// What a destination can do right after an outage, as a part of all.
    pub start_capacity: f64,
    /// It can do all again after this time.
    pub warm_up_ms: f64,
    /// An ordered key rests so long after an attempt that may still run.
    pub order_gap_ms: f64,
    /// How late the run's own clocks were.
    pub clock_slack_ms: f64,
}

impl Default for RuleParams {
    /// The figures of PROTOCOL and BRIEF, and classes `safe`, `keyed` and `unsafe`.
    fn default() -> Self {
        let classes =
            [("safe", Effect::Safe), ("keyed", Effect::Keyed(15_000.0)), ("unsafe", Effect::Unsafe)];
        RuleParams {
            classes: classes.into_iter().map(|(name, effect)| (name.to_owned(), effect)).collect(),
            notice_within_ms: 300.0,
            restart_grace_ms: 1500.0,
            drain_grace_ms: 2000.0,
            wait_grace_ms: 100.0,
            overload_multiple: 2.0,
            overload_for_ms: 3000.0,
            start_capacity: 0.17,
            warm_up_ms: 13_000.0,
            order_gap_ms: 1000.0,
            clock_slack_ms: 150.0,
        }
    }
}

/// One of the six rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Exactly one final answer in time.
    Lost,
    /// No effect beyond the class's allowance.
    Twice,
    /// Nothing new to an endpoint that drains.
    Drain,
    /// No returning destination pushed over.
    FailBack,
    /// Order by key.
    Order,
    /// Waits obeyed.
    Wait,
}

impl Rule {
    /// All of them, in the order of the brief.
    pub const ALL: [Rule; 6] =
        [Rule::Lost, Rule::Twice, Rule::Drain, Rule::FailBack, Rule::Order, Rule::Wait];
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When (ms).
    pub at: f64,
    /// By what.
    pub text: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.0} ms: {}", self.rule, self.at, self.text)
    }
}

/// Judges a run, all six rules. The ledger is in the order of its times.
pub fn judge(terms: &RuleParams, ledger: &[Entry]) -> Vec<Breach> {
    let view = rules::View::new(terms, ledger);
    let mut breaches = Vec::new();
    rules::lost(&view, &mut breaches);
    rules::twice(&view, &mut breaches);
    rules::drain(&view, &mut breaches);
    rules::fail_back(&view, &mut breaches);
    rules::order(&view, &mut breaches);
    rules::wait(&view, &mut breaches);
    breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    breaches
}
