//! Why the forwarder could not be started, or ended.

use std::io;
use yarrowhill_engine::JournalError;

/// Error with which the forwarder ends before SIGTERM.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The journal cannot be opened.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The state folder has the journals of several shards, but this build supports only one.
    #[error(
        "{0} has the journals of several shards: this build supports one shard (feature \"shards\" is off)"
    )]
    ShardedLayout(std::path::PathBuf),
    /// The thread of a shard ended without a request to shut down.
    #[error("shard {0} ended unexpectedly")]
    ShardEnded(usize),
    /// The fleet document cannot be read, or the forwarder cannot join its fleet.
    #[cfg(feature = "members")]
    #[error("fleet: {0}")]
    Fleet(String),
    /// A socket, a thread or a signal handler cannot be set up, or the state folder cannot be read.
    #[error("{0}")]
    Io(#[from] io::Error),
}
