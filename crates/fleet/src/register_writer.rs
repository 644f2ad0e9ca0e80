//! Writes a voter's registers on a thread of their own, so that the member goes on while the disk is slow.

use crate::registers::RegisterFile;
use std::io;
use tokio::task::{JoinHandle, spawn_blocking};
use yarrowhill_duties::StoredVoter;

/// A write that has ended.
#[derive(Debug)]
pub(crate) struct EndedWrite {
    /// Write count of the state that was written.
    pub(crate) write_count: u64,
    pub(crate) result: io::Result<()>,
}

#[derive(Debug)]
struct WriteInProgress {
    write_count: u64,
    task: JoinHandle<io::Result<()>>,
}

/// Writes registers, one state at a time.
#[derive(Debug)]
pub(crate) struct RegisterWriter {
    file: RegisterFile,
    in_progress: Option<WriteInProgress>,
}

impl RegisterWriter {
    pub(crate) fn new(file: RegisterFile) -> Self {
        RegisterWriter { file, in_progress: None }
    }

    /// Returns whether a write is in progress.
    pub(crate) fn is_writing(&self) -> bool {
        self.in_progress.is_some()
    }

    /// Starts to write a state. No other write may be in progress.
    pub(crate) fn start(&mut self, stored: StoredVoter) {
        debug_assert!(!self.is_writing(), "writes are made one after the other");
        let (file, write_count) = (self.file.clone(), stored.write_count);
        let task = spawn_blocking(move || file.write(&stored));
        self.in_progress = Some(WriteInProgress { write_count, task });
    }

    /// Waits for the write in progress; without end if there is none. May be cancelled.
    pub(crate) async fn ended(&mut self) -> EndedWrite {
        let Some(WriteInProgress { write_count, task }) = &mut self.in_progress else {
            return std::future::pending().await;
        };
        let result = task.await.unwrap_or_else(|e| Err(io::Error::other(e)));
        let ended = EndedWrite { write_count: *write_count, result };
        self.in_progress = None;
        ended
    }

    /// Deletes the file once a write in progress has ended, so that this does not bring it back.
    pub(crate) async fn delete(&mut self) -> io::Result<()> {
        if self.is_writing() {
            self.ended().await;
        }
        self.file.delete()
    }
}

#[cfg(test)]
mod tests;
