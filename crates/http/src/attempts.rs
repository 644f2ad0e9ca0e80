//! Attempts at one exchange with a peer, of which several may be open at the same time.
//!
//! A slow peer and a silent one look alike until one of them answers. An attempt whose response is late therefore
//! stays open while the next one is made: if it were given up, a peer that always takes longer than the timeout
//! would never be heard. The number of open attempts is bounded. The oldest one stays open for a time that doubles
//! each time that it runs out, so that any peer that answers is heard in the end, however slow it is.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// Shortest time for which the oldest attempt stays open.
const MIN_PATIENCE: Duration = Duration::from_secs(8);
/// The oldest attempt stays open for at least as many times the duration of the last one that was answered.
const PATIENCE_FACTOR: u32 = 2;

/// Number of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId(u64);

/// An attempt that has ended by itself.
#[derive(Debug)]
pub(crate) struct EndedAttempt<T> {
    pub(crate) id: AttemptId,
    pub(crate) started_at: Instant,
    pub(crate) output: T,
}

#[derive(Debug)]
struct OpenAttempt {
    id: AttemptId,
    started_at: Instant,
    task: AbortHandle,
}

/// The open attempts at an exchange; dropping them gives all of them up.
#[derive(Debug)]
pub(crate) struct Attempts<T> {
    max_open: usize,
    /// Time for which the oldest attempt stays open.
    patience: Duration,
    next_id: u64,
    /// In the order in which they were started.
    open: VecDeque<OpenAttempt>,
    tasks: JoinSet<(AttemptId, T)>,
}

impl<T: Send + 'static> Attempts<T> {
    /// Creates a set of at most `max_open` attempts, which is at least two.
    pub(crate) fn new(max_open: usize) -> Self {
        let (open, tasks) = (VecDeque::new(), JoinSet::new());
        Attempts { max_open: max_open.max(2), patience: MIN_PATIENCE, next_id: 0, open, tasks }
    }

    /// Returns the number of open attempts.
    pub(crate) fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Starts an attempt. If too many are open, one of them is given up.
    pub(crate) fn start(&mut self, attempt: impl Future<Output = T> + Send + 'static) -> AttemptId {
        self.make_room();
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        let task = self.tasks.spawn(async move { (id, attempt.await) });
        self.open.push_back(OpenAttempt { id, started_at: Instant::now(), task });
        id
    }

    /// Gives up the oldest attempts if their time has run out, and one of the others if there is still no room.
    fn make_room(&mut self) {
        let patience = self.patience;
        let is_overdue = |attempt: &OpenAttempt| attempt.started_at.elapsed() >= patience;
        if self.open.front().is_some_and(is_overdue) {
            self.patience = patience.saturating_mul(PATIENCE_FACTOR);
        }
        while let Some(attempt) = self.open.pop_front_if(|attempt| is_overdue(attempt)) {
            attempt.task.abort();
        }
        if self.open.len() >= self.max_open
            && let Some(second_oldest) = self.open.remove(1)
        {
            second_oldest.task.abort();
        }
    }

    /// Waits for the next attempt that ends by itself; without end if none is open.
    pub(crate) async fn next_ended(&mut self) -> EndedAttempt<T> {
        loop {
            match self.tasks.join_next().await {
                None => std::future::pending().await,
                Some(Ok((id, output))) => {
                    // One that was given up may have ended just before.
                    let index = self.open.iter().position(|attempt| attempt.id == id);
                    if let Some(OpenAttempt { started_at, .. }) = index.and_then(|i| self.open.remove(i)) {
                        return EndedAttempt { id, started_at, output };
                    }
                }
                // Given up.
                Some(Err(_)) => {}
            }
        }
    }

    /// Records that the peer answered an attempt after `elapsed`: others may take as long.
    pub(crate) fn answered(&mut self, elapsed: Duration) {
        self.patience = elapsed.saturating_mul(PATIENCE_FACTOR).max(MIN_PATIENCE);
    }

    /// Gives up all attempts.
    pub(crate) fn give_up_all(&mut self) {
        *self = Attempts::new(self.max_open);
    }
}

#[cfg(test)]
mod tests;
