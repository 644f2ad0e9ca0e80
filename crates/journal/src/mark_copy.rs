//! A copy of the journal's file head in the lock file. With it, the frames of a journal whose own head is
//! damaged can still be recognized.

use crate::frame::{self, FILE_HEAD_BYTES, Mark};
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

/// Reads the copy. Returns `None` if the lock file has none, for example because an earlier version of the
/// program created it.
pub(crate) fn load(lock: &File) -> Option<Mark> {
    let mut head = [0; FILE_HEAD_BYTES];
    lock.read_exact_at(&mut head, 0).ok()?;
    frame::decode_file_head(&head)
}

/// Writes the copy, and makes it survive a power failure if `sync` is set.
pub(crate) fn store(lock: &File, mark: Mark, sync: bool) -> io::Result<()> {
    lock.write_all_at(&frame::encode_file_head(mark), 0)?;
    if sync {
        lock.sync_data()?;
    }
    Ok(())
}
