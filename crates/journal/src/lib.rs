//! The journal: a write-ahead log of the messages that the forwarder has accepted, in a folder that outlives
//! its process.
//!
//! The log is one append-only file of frames. Each turn of the engine is one write, made before any answer or
//! call of that turn goes out. Written records survive the end of the process without a sync
//! ([`Durability::Process`]); an installation whose records must survive a power failure uses
//! [`Durability::Disk`].
//!
//! - `record`: the types of records
//! - `frame`: framing of records in the file, and reading past damaged parts of it
//! - `ends`: table of the ends of closed messages, until they expire
//! - `replay`: reconstruction of the open messages from their records
//! - `store`: the log file: appending, compaction, space accounting, recovery
//! - `segments`: one journal per shard, and migration to another number of shards
//!
//! ```
//! use yarrowhill_journal::{Accepted, Durability, Journal, Options, Record};
//!
//! let folder = std::env::temp_dir().join(format!("journal-doc-{}", std::process::id()));
//! std::fs::create_dir_all(&folder)?;
//! let options = Options { max_bytes: 1 << 20, durability: Durability::Process };
//! let (mut journal, recovered) = Journal::open(&folder, options, 1_800_000_000_000)?;
//! assert!(recovered.open.is_empty());
//! let message = Accepted {
//!     id: "9b1f".into(),
//!     class: "settle-order".into(),
//!     tenant: None,
//!     dest: 7,
//!     key: None,
//!     deadline: 1_800_000_016_000,
//!     body: "pay".into(),
//! };
//! journal.commit(&[Record::Accepted(message)], 1_800_000_000_000)?;
//! drop(journal);
//! let (_, recovered) = Journal::open(&folder, options, 1_800_000_000_500)?;
//! assert_eq!(recovered.open[0].accepted.id, "9b1f");
//! # std::fs::remove_dir_all(&folder)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod ends;
mod frame;
mod mark_copy;
mod record;
mod replay;
mod segments;
mod store;

pub use record::{Accepted, End, Ends, NoticeEnd, Record};
pub use replay::{Attempt, OpenMessage};
pub use segments::{has_sharded_layout, prepare_segments};
pub use store::{Damage, Durability, Journal, JournalError, Options, Recovered};

/// Reads bytes as a journal file, as [`Journal::open`] does, and returns the number of records and the number
/// of unreadable bytes. Used for fuzzing.
///
/// ```
/// assert_eq!(yarrowhill_journal::scan_bytes(b"no journal"), (0, 10));
/// ```
pub fn scan_bytes(bytes: &[u8]) -> (usize, usize) {
    let (mut replay, mut unreadable) = (replay::Replay::default(), 0);
    // Reading from memory does not fail.
    let Ok((_, mut entries)) = frame::read(bytes, None) else { return (0, 0) };
    while let Ok(Some(entry)) = entries.next_entry() {
        if let frame::Entry::Damaged { size, .. } | frame::Entry::Torn { size, .. } = entry {
            unreadable += size;
        }
        replay.apply_entry(entry);
    }
    (replay.record_count(), unreadable)
}
