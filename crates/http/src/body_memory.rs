//! A bound on the memory of bodies that arrive in pieces from many connections.
//!
//! A body takes memory for what has arrived of it, not for the length that its head announces. Each may take
//! [`FREE_BYTES`]; what is longer comes from a shared limit. When that is reached, bodies that arrive too slowly to
//! be complete in time are evicted, so that peers that stop cannot keep out others; without one, the body that
//! needs memory is refused.

use bytes::Bytes;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Size up to which a body does not count against the limit. The limit on connections bounds these.
const FREE_BYTES: usize = 4 << 10;
/// Number of steps into which a body is divided to tell whether it arrives in time. Each has an equal part of the
/// length and of the time limit.
const STEPS: u32 = 8;

/// Memory shared by the bodies of many connections.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    max_bytes: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes that count against the limit.
    used: usize,
    next_id: u64,
    incomplete: HashMap<u64, IncompleteBody>,
}

/// A body of which more is to come.
#[derive(Debug)]
struct IncompleteBody {
    bytes: Vec<u8>,
    /// Size of the allocation of `bytes` as it is counted.
    allocated: usize,
    /// Length of the body, or an upper bound of it.
    expected_bytes: usize,
    time_limit: Duration,
    /// Length at which the current step ends.
    step_end: usize,
    step_began: Instant,
    evicted: Arc<Notify>,
}

/// There is no memory for a body: it was evicted, or others take all of it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

/// Returns how much of an allocation counts against the limit.
fn counted(allocated: usize) -> usize {
    if allocated > FREE_BYTES { allocated } else { 0 }
}

impl BodyMemory {
    pub(crate) fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(BodyMemory { max_bytes, state: Mutex::default() })
    }

    /// Begins a body of at most `expected_bytes`, which has to be complete within `time_limit`.
    pub(crate) fn begin(self: &Arc<Self>, expected_bytes: usize, time_limit: Duration) -> BodyBuffer {
        let evicted = Arc::new(Notify::new());
        let mut body = IncompleteBody {
            bytes: Vec::new(),
            allocated: 0,
            expected_bytes,
            time_limit,
            step_end: 0,
            step_began: Instant::now(),
            evicted: evicted.clone(),
        };
        body.end_step();
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.incomplete.insert(id, body);
        drop(state);
        BodyBuffer { memory: self.clone(), id, evicted }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IncompleteBody {
    /// Begins the next step if the current one is complete.
    fn end_step(&mut self) {
        if self.bytes.len() >= self.step_end {
            self.step_end = self.bytes.len() + self.expected_bytes.div_ceil(STEPS as usize);
            self.step_began = Instant::now();
        }
    }

    /// Returns whether the current step takes longer than its part of the time limit.
    fn is_late(&self) -> bool {
        self.step_began.elapsed() > self.time_limit / STEPS
    }

    /// Returns the size of an allocation with room for `bytes` more.
    fn allocation_for(&self, bytes: usize) -> usize {
        let needed = self.bytes.len() + bytes;
        if needed <= self.allocated {
            self.allocated
        } else {
            (2 * self.allocated).min(self.expected_bytes).max(needed)
        }
    }
}

impl State {
    /// Counts a change of an allocation, after evicting late bodies if the limit requires it. Fails if no late one
    /// is left.
    fn resize(&mut self, from: usize, to: usize, max_bytes: usize) -> Result<(), OutOfMemory> {
        let (from, to) = (counted(from), counted(to));
        while self.used - from + to > max_bytes && to > from {
            self.evict_latest()?;
        }
        self.used = self.used - from + to;
        Ok(())
    }

    /// Evicts the late body whose current step takes the longest.
    fn evict_latest(&mut self) -> Result<(), OutOfMemory> {
        let late = self.incomplete.iter().filter(|(_, body)| counted(body.allocated) > 0 && body.is_late());
        let (id, _) = late.min_by_key(|(_, body)| body.step_began).ok_or(OutOfMemory)?;
        let id = *id;
        self.remove(id);
        Ok(())
    }

    /// Drops an incomplete body.
    fn remove(&mut self, id: u64) {
        if let Some(body) = self.incomplete.remove(&id) {
            self.used -= counted(body.allocated);
            body.evicted.notify_one();
        }
    }
}

/// An incomplete body; dropping it frees its memory.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    memory: Arc<BodyMemory>,
    id: u64,
    evicted: Arc<Notify>,
}

impl BodyBuffer {
    /// Copies the next piece of the body, so that the buffer into which it was read can be used again.
    pub(crate) fn append(&self, piece: &[u8]) -> Result<(), OutOfMemory> {
        let mut state = self.memory.lock();
        // Taken out, so that it is not evicted for itself.
        let mut body = state.incomplete.remove(&self.id).ok_or(OutOfMemory)?;
        let (old, new) = (body.allocated, body.allocation_for(piece.len()));
        if let Err(e) = state.resize(old, new, self.memory.max_bytes) {
            state.used -= counted(old);
            return Err(e);
        }
        body.bytes.reserve_exact(new - body.bytes.len());
        body.allocated = new;
        body.bytes.extend_from_slice(piece);
        body.end_step();
        state.incomplete.insert(self.id, body);
        Ok(())
    }

    /// Returns when the body has been evicted.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Ends the body. It cannot be evicted any more.
    pub(crate) fn complete(self) -> Result<CompleteBody, OutOfMemory> {
        let mut state = self.memory.lock();
        let body = state.incomplete.remove(&self.id).ok_or(OutOfMemory)?;
        let bytes = body.bytes.into_boxed_slice();
        state.used = state.used - counted(body.allocated) + counted(bytes.len());
        drop(state);
        let reservation = Reservation { memory: self.memory.clone(), bytes: counted(bytes.len()) };
        Ok(CompleteBody { bytes: Bytes::from(bytes), reservation })
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.memory.lock().remove(self.id);
    }
}

/// A body that has arrived completely.
#[derive(Debug)]
pub(crate) struct CompleteBody {
    pub(crate) bytes: Bytes,
    /// Counts the bytes until it is dropped.
    pub(crate) reservation: Reservation,
}

/// Counts a complete body; dropping it ends that.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.lock().used -= self.bytes;
    }
}

#[cfg(test)]
mod tests;
