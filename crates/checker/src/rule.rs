//! The six rules, the parameters by which a run is judged, and breaches.

use std::collections::BTreeMap;
use std::fmt;

/// Effect of delivering a message more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A repeat does no harm.
    Safe,
    /// Destinations drop repeats for this time (ms) after the first attempt that may have run.
    Keyed(f64),
    /// The message must never take effect twice.
    Unsafe,
}

/// Parameters of the rules, and the accuracy of the run's clock.
#[derive(Clone, Debug)]
pub struct RuleParams {
    /// Effect of repeats, by class name.
    pub classes: BTreeMap<String, Effect>,
    /// An accepted message must have its end within this time after its deadline.
    pub notice_within_ms: f64,
    /// After a restart no end is overdue for this time from the forwarder being ready again.
    pub restart_grace_ms: f64,
    /// An endpoint may receive new calls for this time after it was listed as draining.
    pub drain_grace_ms: f64,
    /// Calls that arrive within this time after a wait was returned are allowed.
    pub wait_grace_ms: f64,
    /// A returning destination is overloaded above this multiple of its capacity at that time.
    pub overload_multiple: f64,
    /// Period over which the calls to a returning destination are counted against its capacity.
    pub overload_for_ms: f64,
    /// Share of its capacity that a destination has right after an outage.
    pub start_capacity: f64,
    /// Time after an outage at which a destination has its full capacity again.
    pub warm_up_ms: f64,
    /// No message of an order key is called for this time after an attempt that may still run.
    pub order_gap_ms: f64,
    /// Allowance for the lateness of the run's own clocks.
    pub clock_slack_ms: f64,
}

impl Default for RuleParams {
    /// Returns the values that the platform's protocol and brief state, with the classes `safe`, `keyed` and
    /// `unsafe`.
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
    /// Every accepted message gets exactly one end in time.
    Lost,
    /// No message takes effect more often than its class allows.
    Twice,
    /// A draining endpoint gets no new calls.
    Drain,
    /// A returning destination is not overloaded.
    FailBack,
    /// Messages of one order key are sent one at a time, in order.
    Order,
    /// A destination is not called during a wait that it asked for.
    Wait,
}

impl Rule {
    /// All rules, in the order of the platform's brief.
    pub const ALL: [Rule; 6] =
        [Rule::Lost, Rule::Twice, Rule::Drain, Rule::FailBack, Rule::Order, Rule::Wait];
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// Time of the breach (ms since the start of the run).
    pub at: f64,
    /// Description of the breach.
    pub text: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.0} ms: {}", self.rule, self.at, self.text)
    }
}
