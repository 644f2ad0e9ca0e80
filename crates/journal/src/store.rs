//! The log file: appending, compaction, space accounting, and handling of damage.

use crate::ends::{self, Ends, IdHash};
use crate::frame::{self, Entry, FILE_HEAD_BYTES, Mark, Window};
use crate::mark_copy;
use crate::record::{self, End, NoticeEnd, Record};
use crate::replay::{OpenMessage, Replay};
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

mod migration;
mod rewrite;

pub(crate) use migration::{SegmentContents, create_segment, read_segment};
use rewrite::MAX_ENDS_PER_RECORD;

/// Space reserved for each open message, so that its attempts and its end still fit when the journal is full.
const RESERVE_BYTES: u64 = 1024;
/// Minimum size of a file to be compacted.
const MIN_COMPACT_BYTES: u64 = 256 << 10;
/// A file is compacted to free space only if that frees at least this fraction (1/N) of the size limit.
const MIN_FREED_DIVISOR: u64 = 16;
/// Bytes that a record of ends takes in addition to its ends.
const ENDS_OVERHEAD_BYTES: u64 = 96;
/// Slots of the table of ends that are swept for expired ends whenever space is short.
const SWEEP_SLOTS: usize = 256;
/// Time after a failed write during which no new messages are accepted: the remaining disk space is kept for
/// ends.
const LOW_SPACE_MS: u64 = 1000;
/// Minimum interval between compactions that follow failed writes and free little.
const COMPACT_RETRY_MS: u64 = 50;
/// Size of the chunks in which the file is read when it is opened.
const READ_CHUNK_BYTES: usize = 64 << 10;
/// Damaged bytes are saved in a separate file up to this fraction (1/N) of the size limit.
const DAMAGED_FILE_DIVISOR: u64 = 16;

/// The failures that a written record survives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The end of the process, however it ends. A turn is one `write(2)`.
    Process,
    /// A power failure as well. Each turn's write is followed by one `fdatasync(2)`.
    Disk,
}

/// Options of a journal.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum total size of its files in bytes.
    pub max_bytes: u64,
    /// Failures that a written record survives.
    pub durability: Durability,
}

/// An error that prevents opening the journal or writing a turn. No record of such a turn is in the file.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The size limit is reached.
    #[error("the journal in {folder} is full: {max_bytes} bytes are allowed")]
    Full {
        /// Folder of the journal.
        folder: PathBuf,
        /// Maximum total size of its files in bytes.
        max_bytes: u64,
    },
    /// Another process has locked the folder.
    #[error("the journal in {0} is locked by another process")]
    Locked(PathBuf),
    /// A file of the journal can't be read or written.
    #[error("cannot read or write the journal in {folder}: {source}")]
    Io {
        /// Folder of the journal.
        folder: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}

/// A [`JournalError`] without its folder.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    #[error("full")]
    Full,
    #[error("locked")]
    Locked,
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl StoreError {
    /// Returns the error of the journal in a folder.
    pub(crate) fn at(self, folder: &Path, max_bytes: u64) -> JournalError {
        let folder = folder.to_owned();
        match self {
            StoreError::Full => JournalError::Full { folder, max_bytes },
            StoreError::Locked => JournalError::Locked(folder),
            StoreError::Io(source) => JournalError::Io { folder, source },
        }
    }
}

/// An unreadable part of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Offset from the beginning of the file in bytes.
    pub offset: u64,
    /// Length in bytes.
    pub len: u64,
}

/// The contents of a journal when it was opened.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Open messages in the order of acceptance.
    pub open: Vec<OpenMessage>,
    /// Ids of messages whose content is lost, with the end for which a notice is due.
    pub orphans: Vec<(String, NoticeEnd)>,
    /// Unreadable parts of the file. Their bytes are saved in `journal.damaged` as far as space allows.
    pub damage: Vec<Damage>,
    /// Size of a torn tail: a turn that was not written completely and had no effect outside the process.
    pub torn_bytes: u64,
}

/// The position of a frame in the file, or in the backlog until it is written.
#[derive(Clone, Copy, Debug)]
struct Extent {
    offset: u64,
    len: u32,
}

/// Key of an open message: the hash of its id and the generation, since an id may be reused after its end has
/// expired.
type MessageKey = (IdHash, u64);

/// The records of an open message.
#[derive(Debug, Default)]
struct LiveMessage {
    generation: u64,
    /// Size of its records, including those still in the backlog.
    bytes: u64,
    /// Positions of its records in the file.
    extents: Vec<Extent>,
}

/// The open journal.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    /// Lock file, locked as long as the journal is open. It has a copy of the file head.
    lock: File,
    file: File,
    mark: Mark,
    len: u64,
    /// Maximum total size of the files in bytes.
    max_bytes: u64,
    /// The same, less the sizes of the lock file and the file of damaged bytes.
    limit: u64,
    durability: Durability,
    /// The open messages.
    live: HashMap<IdHash, LiveMessage>,
    /// Total size of the records of the open messages.
    live_bytes: u64,
    /// Positions of gap records.
    gaps: Vec<Extent>,
    /// Ends of messages until they expire.
    ends: Ends,
    /// Frames that have to be written sooner or later: ends of attempts and messages.
    backlog: Vec<u8>,
    /// Positions in the backlog of records of open messages.
    backlog_extents: Vec<(MessageKey, Extent)>,
    /// Generation of the last message that was opened.
    last_generation: u64,
    /// Time (Unix ms) until which no new messages are accepted after a failed write.
    low_space_until: u64,
    /// Time (Unix ms) before which a compaction that frees little is not tried again after a failed write.
    compact_after: u64,
    /// Whether the tail of the file is unknown after a failed write or sync, and has to be repaired.
    tail_unknown: bool,
}

impl Journal {
    /// Opens the journal of a folder and replays it. Damaged parts are reported, saved in a separate file and
    /// taken into account (see [`Recovered`]); a torn tail is cut off. The folder stays locked until the
    /// journal is dropped.
    ///
    /// # Errors
    ///
    /// [`JournalError::Locked`] if another process has it open, [`JournalError::Io`] if a file can't be
    /// opened, read or written.
    pub fn open(folder: &Path, options: Options, now: u64) -> Result<(Self, Recovered), JournalError> {
        Self::open_folder(folder, options, now).map_err(|e| e.at(folder, options.max_bytes))
    }

    /// As for [`Journal::open`].
    pub(crate) fn open_folder(
        folder: &Path,
        options: Options,
        now: u64,
    ) -> Result<(Self, Recovered), StoreError> {
        let path = folder.join("journal");
        let lock_path = folder.join("journal.lock");
        let lock = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&lock_path)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked),
            Err(TryLockError::Error(e)) => return Err(e.into()),
        }
        // Left by a process that ended during a compaction; the old file is still complete.
        match fs::remove_file(folder.join("journal.new")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e.into()),
            _ => {}
        }
        let file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let len = file.metadata()?.len();
        let copied_mark = mark_copy::load(&lock);
        let window = Window::new(file.try_clone()?, len, READ_CHUNK_BYTES);
        let (mark, mut entries) = frame::read(window, copied_mark)?;
        let mut journal = Journal {
            path,
            lock,
            file,
            mark: mark.unwrap_or_else(new_mark),
            len,
            max_bytes: options.max_bytes,
            limit: options.max_bytes.saturating_sub(FILE_HEAD_BYTES as u64),
            durability: options.durability,
            live: HashMap::new(),
            live_bytes: 0,
            gaps: Vec::new(),
            ends: Ends::new(new_key()),
            backlog: Vec::new(),
            backlog_extents: Vec::new(),
            last_generation: 0,
            low_space_until: 0,
            compact_after: 0,
            tail_unknown: false,
        };
        // Before any frame with this mark is written.
        if copied_mark != Some(journal.mark)
            && let Err(e) =
                mark_copy::store(&journal.lock, journal.mark, options.durability == Durability::Disk)
        {
            tracing::warn!("journal: cannot copy the file head to {}: {e}", lock_path.display());
        }
        let mut recovered = Recovered::default();
        let mut replay = Replay::default();
        let damaged_path = journal.path.with_extension("damaged");
        while let Some(entry) = entries.next_entry()? {
            match &entry {
                Entry::Record { record, at, size } => {
                    let extent = Extent { offset: *at as u64, len: *size as u32 };
                    if let Some(key) = journal.track(record, extent.len, now) {
                        journal.add_extent(key, extent);
                    } else if *record == Record::Gap {
                        journal.gaps.push(extent);
                    }
                }
                Entry::Damaged { at, size } => {
                    recovered.damage.push(Damage { offset: *at as u64, len: *size as u64 });
                    tracing::error!(
                        file = %journal.path.display(),
                        "journal: {size} unreadable bytes at offset {at}, saving them in {}",
                        damaged_path.display()
                    );
                    save_damaged_bytes(
                        &damaged_path,
                        &journal.file,
                        *at as u64,
                        *size,
                        options.max_bytes / DAMAGED_FILE_DIVISOR,
                    );
                }
                Entry::Torn { at, size } => {
                    recovered.torn_bytes = *size as u64;
                    tracing::warn!(file = %journal.path.display(), "journal: cut off a torn tail of {size} bytes at offset {at}");
                    journal.len = *at as u64;
                    journal.file.set_len(journal.len)?;
                }
            }
            replay.apply_entry(entry);
        }
        (recovered.open, recovered.orphans) = replay.finish();
        let damaged_len = fs::metadata(&damaged_path).map_or(0, |m| m.len());
        journal.limit = journal.limit.saturating_sub(damaged_len);
        // Notices for orphans must be on record before the gap that reveals the orphans is dropped by a
        // compaction.
        for (id, end) in &recovered.orphans {
            journal.enqueue(&Record::NoticePending(id.clone(), *end, now), now);
        }
        if journal.len == 0 {
            journal.file.write_all(&frame::encode_file_head(journal.mark))?;
            journal.len = FILE_HEAD_BYTES as u64;
        } else if mark.is_none() || !recovered.damage.is_empty() {
            // Rewrites the file in the current format, with gap records in place of the damage.
            match journal.rewrite(now, Journal::copy_entries) {
                Err(StoreError::Full) if mark.is_some() => {
                    tracing::error!(
                        file = %journal.path.display(),
                        "journal: no space to rewrite the file without its damaged parts: {} of {} bytes used",
                        journal.len,
                        journal.limit
                    );
                }
                other => other?,
            }
        }
        if journal.durability == Durability::Disk {
            journal.file.sync_all()?;
            File::open(folder)?.sync_all()?;
        }
        Ok((journal, recovered))
    }

    /// Adds a record to the backlog, which is written with the next turn, or as soon as writing succeeds
    /// again.
    pub fn enqueue(&mut self, record: &Record, now: u64) {
        let extent = self.append_to_backlog(record);
        if let Some(key) = self.track(record, extent.len, now) {
            self.backlog_extents.push((key, extent));
        }
    }

    /// Encodes a record at the end of the backlog and returns its position there.
    fn append_to_backlog(&mut self, record: &Record) -> Extent {
        let start = self.backlog.len();
        frame::encode(self.mark, record, &mut self.backlog);
        Extent { offset: start as u64, len: (self.backlog.len() - start) as u32 }
    }

    /// Returns the end of a message and its expiry time (Unix ms), if the message ended and the end is still
    /// in the table.
    pub fn end_of(&self, id: &str) -> Option<(End, u64)> {
        self.ends.get(self.ends.hash(id))
    }

    /// Returns whether all enqueued records have been written.
    pub fn is_flushed(&self) -> bool {
        self.backlog.is_empty()
    }

    /// Returns the size of the file in bytes.
    pub fn size(&self) -> u64 {
        self.len
    }

    /// Returns whether this many messages, of this many bytes in total, can be accepted. Compacts the file if
    /// that makes enough space.
    pub fn has_room(&mut self, messages: usize, bytes: usize, now: u64) -> bool {
        // Records are short except for the body; the lengths of names and keys are limited at the intake.
        let needed = bytes as u64 + messages as u64 * RESERVE_BYTES;
        if now < self.low_space_until {
            return false;
        }
        if self.fits(self.len, needed) {
            return true;
        }
        self.ends.sweep(SWEEP_SLOTS, now);
        // Limits CPU use: near the size limit compaction frees next to nothing, and a compaction for each
        // message would take too much time just when the journal is largest.
        let freed = self.len.saturating_sub(self.compacted_len());
        freed >= self.limit / MIN_FREED_DIVISOR
            && self.fits(self.compacted_len(), needed)
            && self.compact(now).is_ok()
            && self.fits(self.len, needed)
    }

    /// Returns whether a file of this length and its compacted copy fit within the size limit, with `needed`
    /// more bytes in both.
    fn fits(&self, len: u64, needed: u64) -> bool {
        let reserve = self.live.len() as u64 * RESERVE_BYTES;
        len + self.compacted_len() + self.backlog.len() as u64 + 2 * (reserve + needed) <= self.limit
    }

    /// Returns the length that the file would have after a compaction.
    fn compacted_len(&self) -> u64 {
        let ends = self.ends.len();
        let records = ends.div_ceil(MAX_ENDS_PER_RECORD).max(1) as u64 * ENDS_OVERHEAD_BYTES;
        FILE_HEAD_BYTES as u64 + self.live_bytes + records + (ends * ends::SLOT_BYTES) as u64
    }

    /// Writes the backlog and these records, all or nothing.
    ///
    /// # Errors
    ///
    /// None of these records is in the file then; the backlog is kept for the next write.
    pub fn commit(&mut self, records: &[Record], now: u64) -> Result<(), JournalError> {
        self.write_turn(records, now).map_err(|e| {
            let folder = self.path.parent().unwrap_or(&self.path);
            e.at(folder, self.max_bytes)
        })
    }

    /// As for [`Journal::commit`].
    fn write_turn(&mut self, records: &[Record], now: u64) -> Result<(), StoreError> {
        let backlog_len = self.backlog.len();
        let mut extents = Vec::with_capacity(records.len());
        for record in records {
            extents.push(self.append_to_backlog(record));
        }
        if self.backlog.is_empty() {
            return Ok(());
        }
        match self.append(now).or_else(|e| self.append_compacted(now, e)) {
            Ok(()) => {
                let start = self.len - self.backlog.len() as u64;
                self.backlog.clear();
                for (record, extent) in records.iter().zip(extents) {
                    if let Some(key) = self.track(record, extent.len, now) {
                        self.backlog_extents.push((key, extent));
                    }
                }
                for (key, extent) in std::mem::take(&mut self.backlog_extents) {
                    self.add_extent(key, Extent { offset: start + extent.offset, ..extent });
                }
                if self.len > MIN_COMPACT_BYTES.max(3 * self.compacted_len()) {
                    // A failure is harmless: the old file is complete, and the next turn tries again.
                    if let Err(e) = self.compact(now) {
                        tracing::warn!(file = %self.path.display(), "journal: compaction failed: {e}");
                    }
                }
                Ok(())
            }
            Err(e) => {
                self.backlog.truncate(backlog_len);
                Err(e)
            }
        }
    }

    fn append(&mut self, now: u64) -> Result<(), StoreError> {
        if self.tail_unknown {
            self.repair_tail(now)?;
        }
        if self.len + self.backlog.len() as u64 > self.limit {
            return Err(StoreError::Full);
        }
        let written = self.file.write_all(&self.backlog).and_then(|()| self.sync());
        if let Err(e) = written {
            // A part of the turn may have been written, and after a failed sync the state of the file is
            // unknown.
            self.tail_unknown = true;
            if self.durability == Durability::Process {
                self.repair_tail(now)?;
            }
            return Err(e.into());
        }
        self.len += self.backlog.len() as u64;
        Ok(())
    }

    /// Compacts the file after a failed write and tries the write again. With this the ends of messages can
    /// be written even if the disk has less free space than the size limit assumes.
    fn append_compacted(&mut self, now: u64, error: StoreError) -> Result<(), StoreError> {
        self.low_space_until = now + LOW_SPACE_MS;
        let freed = self.len.saturating_sub(self.compacted_len());
        // A copy is expensive: it is not made for every turn while it frees next to nothing.
        let frees_enough = freed >= (self.len / MIN_FREED_DIVISOR).max(self.backlog.len() as u64);
        if freed == 0 || !(frees_enough || now >= self.compact_after) {
            return Err(error);
        }
        self.compact_after = now + COMPACT_RETRY_MS;
        if self.compact(now).is_err() {
            return Err(error);
        }
        tracing::warn!(file = %self.path.display(), "journal: compacted after a failed write: {error}");
        self.append(now)
    }

    fn sync(&self) -> io::Result<()> {
        match self.durability {
            Durability::Process => Ok(()),
            Durability::Disk => self.file.sync_data(),
        }
    }

    /// Restores the file to the last turn that was written completely.
    fn repair_tail(&mut self, now: u64) -> Result<(), StoreError> {
        self.file.set_len(self.len)?;
        if self.durability == Durability::Disk {
            // Pages whose sync failed may be lost on disk although reads still return them: the file is
            // rewritten.
            self.compact(now)?;
        }
        self.tail_unknown = false;
        Ok(())
    }

    /// Updates the live messages and the ends for a record. Returns the key of the message if a compaction
    /// has to keep the record.
    fn track(&mut self, record: &Record, size: u32, now: u64) -> Option<MessageKey> {
        if let Record::Ends(ends) = record {
            self.load_ends(ends, now);
        }
        let hash = self.ends.hash(record.id()?);
        match record {
            Record::Closed(_, end, until) => {
                self.live_bytes -= self.live.remove(&hash).map_or(0, |live| live.bytes);
                self.ends.insert(hash, *end, *until, now);
                return None;
            }
            Record::NoticePending(_, end, until) => self.ends.insert(hash, (*end).into(), *until, now),
            _ => {}
        }
        let last_generation = &mut self.last_generation;
        let live = self.live.entry(hash).or_insert_with(|| {
            *last_generation += 1;
            LiveMessage { generation: *last_generation, ..LiveMessage::default() }
        });
        live.bytes += u64::from(size);
        self.live_bytes += u64::from(size);
        Some((hash, live.generation))
    }

    /// Adds the position in the file of a record of an open message.
    fn add_extent(&mut self, (hash, generation): MessageKey, extent: Extent) {
        if let Some(live) = self.live.get_mut(&hash).filter(|live| live.generation == generation) {
            live.extents.push(extent);
        }
    }

    /// Loads a record of ends. All ends of a file have the same hash key, and these records precede all
    /// others, so that the key is set before any id is hashed.
    fn load_ends(&mut self, ends: &record::Ends, now: u64) {
        if ends.key != self.ends.key() {
            if self.ends.len() > 0 || !self.live.is_empty() {
                return tracing::error!(
                    file = %self.path.display(),
                    "journal: ignored {} bytes of ends with another hash key",
                    ends.body.len()
                );
            }
            self.ends = Ends::new(ends.key);
        }
        self.ends.insert_encoded(&ends.body, now);
    }
}

/// Draws the mark of a new file from the standard library's seed for hash tables, which can't be predicted
/// from outside.
fn new_mark() -> Mark {
    let drawn = RandomState::new().hash_one(std::process::id());
    let [a, b, c, d, ..] = drawn.to_le_bytes();
    // With the high bit set in the first byte, the mark can't occur in ASCII text.
    Mark([a | 0x80, b, c, d])
}

/// Draws a hash key in the same way as [`new_mark`].
fn new_key() -> ends::HashKey {
    [1u8, 2].map(|half| RandomState::new().hash_one(half))
}

/// Appends damaged bytes of the journal to a separate file of at most `max` bytes. A failure is only logged.
fn save_damaged_bytes(path: &Path, from: &File, at: u64, size: usize, max: u64) {
    let saved = OpenOptions::new().append(true).create(true).open(path).and_then(|mut file| {
        let room = max.saturating_sub(file.metadata()?.len());
        let (mut at, mut left) = (at, size.min(room as usize));
        let mut buffer = vec![0; left.min(READ_CHUNK_BYTES)];
        while left > 0 {
            let part = left.min(READ_CHUNK_BYTES);
            from.read_exact_at(&mut buffer[..part], at)?;
            file.write_all(&buffer[..part])?;
            (at, left) = (at + part as u64, left - part);
        }
        Ok(())
    });
    if let Err(e) = saved {
        tracing::error!("journal: cannot save damaged bytes to {}: {e}", path.display());
    }
}

#[cfg(test)]
mod tests;
