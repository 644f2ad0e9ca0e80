//! The ledger that all stand-ins of a run share.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use yarrowhill_checker::{Entry, Event};

/// The events that all stand-ins of a run record, on one clock. Clones share the events.
#[derive(Clone, Debug)]
pub struct Ledger {
    start: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
    calls: Arc<std::sync::atomic::AtomicU64>,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger { start: Instant::now(), entries: Arc::default(), calls: Arc::default() }
    }
}

impl Ledger {
    /// Returns the milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Records an event with the current time.
    pub fn write(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock, so that entries are ordered by time.
        let at = self.now();
        entries.push(Entry { at, event });
    }

    /// Returns the number for the next call.
    pub fn next_call(&self) -> u64 {
        self.calls.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
    }

    /// Returns all entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
