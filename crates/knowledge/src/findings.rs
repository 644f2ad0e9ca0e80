//! What one origin's own calls showed of a destination, as it is told to others.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// So many calls must fail in a row, none served between them, before a row says anything.
const ROW: u32 = 3;

/// What an origin found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// All of its calls failed over a span; the last of them began so long ago (microseconds).
    Down(Micros),
    /// After that one was served: it is back since so long ago (microseconds).
    Recovered(Micros),
}

impl Finding {
    /// How long ago the last call that it rests on began, or the destination was seen to be back (microseconds).
    pub fn age(self) -> Micros {
        match self {
            Finding::Down(age) | Finding::Recovered(age) => age,
        }
    }

    /// The same, told so much later.
    pub(crate) fn aged(self, by: Micros) -> Self {
        match self {
            Finding::Down(age) => Finding::Down(age.saturating_add(by)),
            Finding::Recovered(age) => Finding::Recovered(age.saturating_add(by)),
        }
    }
}

/// One origin's word about one destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageReport {
    /// The destination.
    pub dest: u64,
    /// Whose calls.
    pub origin: u64,
    /// The origin's boot, and its count of words under that.
    pub version: (u64, u64),
    /// What they showed.
    pub finding: Finding,
}

/// How a call to a destination ended, as far as it says anything of the destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was served.
    Served,
    /// It was refused for a limit: somebody lives there.
    Refused,
    /// There was no connection, no answer in time, or a failure.
    Failed,
}

/// One member's own calls to a destination.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Own {
    failed: u32,
    /// When the first and the last failed call of the row began.
    first: Micros,
    last: Micros,
    /// When the last call that was served began.
    served: Option<Micros>,
}

impl Own {
    /// A call has ended that began at a moment.
    pub(crate) fn ended(&mut self, began: Micros, how: CallOutcome) {
        match how {
            CallOutcome::Served => {
                self.served = Some(self.served.map_or(began, |last| last.max(began)));
                self.failed = 0;
            }
            // Answered, but not served: it ends no row, since a door that is shut refuses too.
            CallOutcome::Refused => {}
            // Of calls that were out together those that were served count: what is slow is not down.
            CallOutcome::Failed if self.served.is_some_and(|served| began < served) => {}
            CallOutcome::Failed => {
                if self.failed == 0 {
                    (self.first, self.last) = (began, began);
                }
                self.failed += 1;
                self.first = self.first.min(began);
                self.last = self.last.max(began);
            }
        }
    }

    /// When the last failed call began, where the row is long enough in calls and in time: a fast sender has three
    /// failures in a row by chance, and those within a moment say little.
    pub(crate) fn down(&self, span: Micros) -> Option<Micros> {
        let long = self.failed >= ROW && self.last.saturating_sub(self.first) >= span;
        long.then_some(self.last)
    }

    /// Whether the last calls failed.
    pub(crate) fn fails(&self) -> bool {
        self.failed > 0
    }

    /// When the last call that was served began.
    pub(crate) fn served(&self) -> Option<Micros> {
        self.served
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_row_must_be_long_in_calls_and_in_time() {
        let mut own = Own::default();
        (0..50).for_each(|n| own.ended(n, CallOutcome::Failed));
        assert_eq!(own.down(100), None, "all within a moment");
        own.ended(200, CallOutcome::Failed);
        assert_eq!(own.down(100), Some(200));
        own.ended(210, CallOutcome::Refused);
        assert_eq!(own.down(100), Some(200));
        own.ended(220, CallOutcome::Served);
        assert_eq!(own.down(100), None);
        // One that began before the one that was served says nothing.
        (0..9).for_each(|n| own.ended(20 + n * 20, CallOutcome::Failed));
        assert_eq!((own.down(100), own.served()), (None, Some(220)));
    }
}
