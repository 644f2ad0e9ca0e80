//! What one origin's own calls showed about a destination, as reported to other members.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Minimum number of consecutive failed calls, with none served between them, that count as an outage.
const MIN_FAILURES: u32 = 3;

/// What an origin found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// All of its calls failed over some time; contains the time since the last of them began (microseconds).
    Down(Micros),
    /// A call was served after an outage; contains the time since the recovery (microseconds).
    Recovered(Micros),
}

impl Finding {
    /// Returns the time since the last call that the finding rests on began, or since the recovery
    /// (microseconds).
    pub fn age(self) -> Micros {
        match self {
            Finding::Down(age) | Finding::Recovered(age) => age,
        }
    }

    /// Returns the finding with its age increased by `by`.
    pub(crate) fn aged(self, by: Micros) -> Self {
        match self {
            Finding::Down(age) => Finding::Down(age.saturating_add(by)),
            Finding::Recovered(age) => Finding::Recovered(age.saturating_add(by)),
        }
    }
}

/// One origin's report about one destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageReport {
    /// The destination.
    pub dest: u64,
    /// The member whose calls led to the finding.
    pub origin: u64,
    /// The origin's boot number, and the sequence number of the report under that.
    pub version: (u64, u64),
    /// What the calls showed.
    pub finding: Finding,
}

/// Outcome of a call, as far as it shows whether the destination is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call was served.
    Served,
    /// The call was refused because of a limit, so the destination is alive.
    Refused,
    /// The call found no connection, no answer in time, or a failure.
    Failed,
}

/// Outcomes of this member's own calls to one destination.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallHistory {
    /// Number of consecutive failed calls.
    failures: u32,
    /// Times at which the first and the last of these calls began.
    first_failure: Micros,
    last_failure: Micros,
    /// Time at which the last served call began.
    last_served: Option<Micros>,
}

impl CallHistory {
    /// Records the end of a call that began at `began`.
    pub(crate) fn record(&mut self, began: Micros, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Served => {
                self.last_served = Some(self.last_served.map_or(began, |last| last.max(began)));
                self.failures = 0;
            }
            // Answered but not served: this doesn't end a run of failures, since a destination that is closed
            // refuses calls too.
            CallOutcome::Refused => {}
            // Of concurrent calls the served ones count: a slow destination is not down.
            CallOutcome::Failed if self.last_served.is_some_and(|served| began < served) => {}
            CallOutcome::Failed => {
                if self.failures == 0 {
                    (self.first_failure, self.last_failure) = (began, began);
                }
                self.failures += 1;
                self.first_failure = self.first_failure.min(began);
                self.last_failure = self.last_failure.max(began);
            }
        }
    }

    /// Returns when the last failed call began, if the run of failures is long enough both in calls and in
    /// time (`min_duration`). A fast sender sees three consecutive failures by chance, and failures within an
    /// instant show little.
    pub(crate) fn outage(&self, min_duration: Micros) -> Option<Micros> {
        let is_long = self.failures >= MIN_FAILURES
            && self.last_failure.saturating_sub(self.first_failure) >= min_duration;
        is_long.then_some(self.last_failure)
    }

    /// Returns whether calls have failed since the last served one.
    pub(crate) fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Returns when the last served call began.
    pub(crate) fn last_served(&self) -> Option<Micros> {
        self.last_served
    }
}

#[cfg(test)]
mod tests;
