//! The journal: what the forwarder has taken on, in the folder that outlasts its process.
//!
//! One append-only file of frames. Each turn of the engine is one write, made before anything of that turn is
//! answered or sent. What was written outlasts the process without a sync ([`Durability::Process`]); an
//! installation that must outlast its machine's power asks for [`Durability::Disk`].
//!
//! - `record`: what stands in it
//! - `frame`: how a record stands in the file, and how a damaged file is read past its damage
//! - `ends`: the ends of messages that are over, as long as they bind
//! - `replay`: the messages put together again from their records
//! - `store`: the file itself: appending, compacting, room
//! - `segments`: one journal for each shard, and from one number of shards to another
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
mod record;
mod replay;
mod segments;
mod store;

pub use record::{Accepted, End, Ends, NoticeEnd, Record};
pub use replay::{Attempt, OpenMessage};
pub use segments::{has_sharded_layout, prepare_segments};
pub use store::{Damage, Durability, Journal, JournalError, Options, Recovered};

/// Reads any bytes as a journal's text, as [`Journal::open`] does, and gives the number of records in it and of
/// bytes that can't be read. For fuzzing.
///
/// ```
/// assert_eq!(yarrowhill_journal::scan_bytes(b"no journal"), (0, 10));
/// ```
pub fn scan_bytes(text: &[u8]) -> (usize, usize) {
    let (mut replay, mut lost) = (replay::Replay::default(), 0);
    // Memory can always be had.
    let Ok((_, mut pieces)) = frame::read(text) else { return (0, 0) };
    while let Ok(Some(piece)) = pieces.piece() {
        if let frame::Piece::Damaged { size, .. } | frame::Piece::Torn { size, .. } = piece {
            lost += size;
        }
        replay.take(piece);
    }
    (replay.records(), lost)
}
