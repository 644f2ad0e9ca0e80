//! The notices that the platform has not acknowledged, and when each of them is to be sent.

use crate::attempts::AttemptId;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use yarrowhill_engine::Notice;

/// Time after which notices are sent again while their acknowledgement may still come.
pub(super) const RETRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between a failed attempt and the next.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of a notice, in the order in which the engine passes them on.
pub(super) type NoticeNumber = u64;

#[derive(Debug)]
struct Unacknowledged {
    notice: Notice,
    /// When the notice is to be sent, or sent again.
    due_at: Instant,
    last_attempt: Option<AttemptId>,
}

/// The notices that the platform has not acknowledged.
#[derive(Debug, Default)]
pub(super) struct UnacknowledgedNotices {
    notices: BTreeMap<NoticeNumber, Unacknowledged>,
    next_number: NoticeNumber,
}

impl UnacknowledgedNotices {
    pub(super) fn len(&self) -> usize {
        self.notices.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Adds notices, which are due at once.
    pub(super) fn add(&mut self, batch: Vec<Notice>) {
        let due_at = Instant::now();
        for notice in batch {
            self.notices.insert(self.next_number, Unacknowledged { notice, due_at, last_attempt: None });
            self.next_number += 1;
        }
    }

    /// Returns when the next notice is due.
    pub(super) fn next_due_at(&self) -> Option<Instant> {
        self.notices.values().map(|unacknowledged| unacknowledged.due_at).min()
    }

    /// Returns the notices that are due: never sent, or sent without success.
    pub(super) fn due(&self) -> Vec<NoticeNumber> {
        let now = Instant::now();
        let due = self.notices.iter().filter(|(_, unacknowledged)| unacknowledged.due_at <= now);
        due.map(|(number, _)| *number).collect()
    }

    pub(super) fn all(&self) -> Vec<NoticeNumber> {
        self.notices.keys().copied().collect()
    }

    pub(super) fn get<'a>(&'a self, numbers: &'a [NoticeNumber]) -> impl Iterator<Item = &'a Notice> {
        numbers.iter().filter_map(|number| Some(&self.notices.get(number)?.notice))
    }

    /// Records the start of an attempt with these notices.
    pub(super) fn record_attempt(&mut self, numbers: &[NoticeNumber], id: AttemptId) {
        let due_at = Instant::now() + RETRY_TIMEOUT;
        for number in numbers {
            if let Some(unacknowledged) = self.notices.get_mut(number) {
                unacknowledged.due_at = due_at;
                unacknowledged.last_attempt = Some(id);
            }
        }
    }

    /// Records that an attempt with these notices failed. Those that a later one has are left to it.
    pub(super) fn record_failure(&mut self, numbers: &[NoticeNumber], id: AttemptId) {
        let retry_at = Instant::now() + RETRY_DELAY;
        for number in numbers {
            if let Some(unacknowledged) = self.notices.get_mut(number)
                && unacknowledged.last_attempt == Some(id)
            {
                unacknowledged.due_at = unacknowledged.due_at.min(retry_at);
            }
        }
    }

    /// Makes all notices due at once.
    pub(super) fn retry_all(&mut self) {
        let now = Instant::now();
        for unacknowledged in self.notices.values_mut() {
            unacknowledged.due_at = now;
        }
    }

    /// Removes and returns those of these notices that had not been acknowledged before.
    pub(super) fn acknowledge(&mut self, numbers: &[NoticeNumber]) -> Vec<Notice> {
        numbers.iter().filter_map(|number| Some(self.notices.remove(number)?.notice)).collect()
    }
}

#[cfg(test)]
mod tests;
