//! The file: appending, compacting, room, and what is done about damage.

use crate::ends::{self, Ends, Name};
use crate::frame::{self, FILE_HEAD, Mark, Piece, Window};
use crate::record::{self, End, NoticeEnd, Record};
use crate::replay::{OpenMessage, Replay};
use bytes::Bytes;
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, BufWriter, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use yarrowhill_faults::{Point, crash_point};

/// Room kept for each open message, so that its attempts and its end still fit when the disk is full.
const RESERVE: u64 = 1024;
/// A file is not compacted while it is shorter than this.
const COMPACT_FROM: u64 = 256 << 10;
/// To make room, a file is compacted where that frees this part of the bound.
const WORTH_COMPACTING: u64 = 16;
/// Ends in one record of a compacted file, and what such a record takes beside them.
const ENDS_A_RECORD: usize = 1024;
const ENDS_HEAD: u64 = 96;
/// Slots that are looked at for ends that are past, each time that room is short.
const SWEEP: usize = 256;
/// After a write that failed, nothing new is taken on for so long (ms): what is left of the disk is for ends.
const SCARCE: u64 = 1000;
/// After a write that failed, the file is written anew so often (ms) even where that frees little.
const COMPACT_AGAIN: u64 = 50;
/// What is read of the file at a time when it is opened.
const CHUNK: usize = 64 << 10;
/// Records in one write of a segment that is laid out anew.
const RECORDS_A_WRITE: usize = 1024;
/// What is gathered of a compacted copy before it is written.
const COPY_BUFFER: usize = 16 << 10;
/// Bytes that can't be read are kept aside up to this part of the bound.
const ASIDE_PART: u64 = 16;

/// What a written record outlasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The process, however it ends: a turn is one `write(2)`.
    Process,
    /// The machine's power too: each turn's write is followed by one `fdatasync(2)`.
    Disk,
}

/// How a journal is kept.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes that its files may take together.
    pub max_bytes: u64,
    /// What a written record outlasts.
    pub durability: Durability,
}

/// Why the journal can't be opened, or a turn can't be written. Nothing of such a turn stands in the file.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The bound is reached.
    #[error("the journal is full")]
    Full,
    /// Another process holds the folder.
    #[error("the journal in {0} is held by another process")]
    Locked(PathBuf),
    /// The file can't be read or written.
    #[error("the journal can't be read or written: {0}")]
    Io(#[from] io::Error),
}

/// A stretch of the file that could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Where it begins, in bytes from the front of the file.
    pub offset: u64,
    /// Its length in bytes.
    pub len: u64,
}

/// What a journal held when it was opened.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Messages that still owe their end, in the order taken.
    pub open: Vec<OpenMessage>,
    /// Messages whose content is lost; this end is owed for each.
    pub orphans: Vec<(String, NoticeEnd)>,
    /// Where the file could not be read. Its bytes are in `journal.damaged`, as far as there is room.
    pub damage: Vec<Damage>,
    /// Bytes at the end that a dying process had not written whole. Nothing in them had been acted upon.
    pub torn_bytes: u64,
}

/// A record's place in the file.
#[derive(Clone, Copy, Debug)]
struct Span {
    at: u64,
    len: u32,
}

/// An open message: the name and the turn of its being open, since an id may come again when its end binds no longer.
type Open = (Name, u64);

/// What the file holds of a message that is open.
#[derive(Debug, Default)]
struct Live {
    turn: u64,
    /// Bytes of its records, those that are still to be written with them.
    bytes: u64,
    /// Where they stand.
    spans: Vec<Span>,
}

/// The open journal.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    /// Held as long as the journal is open.
    _lock: File,
    file: File,
    mark: Mark,
    len: u64,
    limit: u64,
    durability: Durability,
    /// The open messages, and the bytes of the records of all of them.
    live: HashMap<Name, Live>,
    live_bytes: u64,
    /// Where gaps are noted.
    gaps: Vec<Span>,
    /// Ends that still bind.
    ends: Ends,
    /// Frames that have no choice but to be written: ends of attempts and messages.
    backlog: Vec<u8>,
    /// Where in the backlog the records of open messages stand.
    placed: Vec<(Open, Span)>,
    /// Messages that were open so far.
    turns: u64,
    /// A write failed; until then (Unix ms) room is kept for what must be written.
    scarce_until: u64,
    /// Where little is freed, the file is not written anew before this (Unix ms).
    compact_after: u64,
    /// The file may hold a part of a turn, or what a failed sync has left in doubt.
    unclean: bool,
}

impl Journal {
    /// Opens the journal of the folder and replays it. Damage in it is told of, kept aside and taken into account
    /// (see [`Recovered`]); a torn end is cut off. The folder is held until the journal is dropped.
    ///
    /// # Errors
    ///
    /// [`JournalError::Locked`] if another process has it open, [`JournalError::Io`] if a file can't be had.
    pub fn open(folder: &Path, options: Options, now: u64) -> Result<(Self, Recovered), JournalError> {
        let path = folder.join("journal");
        let lock =
            OpenOptions::new().write(true).create(true).truncate(false).open(folder.join("journal.lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(JournalError::Locked(folder.into())),
            Err(TryLockError::Error(e)) => return Err(e.into()),
        }
        // Left by a process that ended while it compacted; the old file still holds all.
        match fs::remove_file(folder.join("journal.new")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e.into()),
            _ => {}
        }
        let file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let len = file.metadata()?.len();
        let (mark, mut pieces) = frame::read(Window::new(file.try_clone()?, len, CHUNK))?;
        let mut journal = Journal {
            path,
            _lock: lock,
            file,
            mark: mark.unwrap_or_else(new_mark),
            len,
            limit: options.max_bytes,
            durability: options.durability,
            live: HashMap::new(),
            live_bytes: 0,
            gaps: Vec::new(),
            ends: Ends::new(new_key()),
            backlog: Vec::new(),
            placed: Vec::new(),
            turns: 0,
            scarce_until: 0,
            compact_after: 0,
            unclean: false,
        };
        let mut recovered = Recovered::default();
        let mut replay = Replay::default();
        let aside = journal.path.with_extension("damaged");
        while let Some(piece) = pieces.piece()? {
            match &piece {
                Piece::Record { record, at, size } => {
                    let span = Span { at: *at as u64, len: *size as u32 };
                    if let Some(open) = journal.book(record, span.len, now) {
                        journal.place(open, span);
                    } else if *record == Record::Gap {
                        journal.gaps.push(span);
                    }
                }
                Piece::Damaged { at, size } => {
                    recovered.damage.push(Damage { offset: *at as u64, len: *size as u64 });
                    tracing::error!(
                        "journal: {size} bytes at {at} can't be read; kept in {}",
                        aside.display()
                    );
                    keep_aside(&aside, &journal.file, *at as u64, *size, options.max_bytes / ASIDE_PART);
                }
                Piece::Torn { at, size } => {
                    recovered.torn_bytes = *size as u64;
                    tracing::warn!("journal: cut off {size} bytes of a torn tail at {at}");
                    journal.len = *at as u64;
                    journal.file.set_len(journal.len)?;
                }
            }
            replay.take(piece);
        }
        (recovered.open, recovered.orphans) = replay.finish();
        let kept_aside = fs::metadata(&aside).map_or(0, |m| m.len());
        journal.limit = journal.limit.saturating_sub(kept_aside);
        // The ends of orphans are owed as firmly as others: they must be on record before the gap is forgotten.
        for (id, end) in &recovered.orphans {
            journal.enqueue(&Record::NoticePending(id.clone(), *end, now), now);
        }
        if journal.len == 0 {
            journal.file.write_all(&frame::file_head(journal.mark))?;
            journal.len = FILE_HEAD as u64;
        } else if mark.is_none() || !recovered.damage.is_empty() {
            // Written anew: in the present form, and with the damage noted in its place.
            match journal.write_anew(now, Journal::copy_pieces) {
                Err(JournalError::Full) if mark.is_some() => {
                    tracing::error!("journal: no room to write it anew without its damage");
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

    /// Notes what must be written with the next turn, or whenever writing succeeds again.
    pub fn enqueue(&mut self, record: &Record, now: u64) {
        let span = self.put(record);
        if let Some(open) = self.book(record, span.len, now) {
            self.placed.push((open, span));
        }
    }

    /// Adds a record to the backlog; its place there.
    fn put(&mut self, record: &Record) -> Span {
        let start = self.backlog.len();
        frame::put(self.mark, record, &mut self.backlog);
        Span { at: start as u64, len: (self.backlog.len() - start) as u32 }
    }

    /// How a message ended, if it did not long ago, and until when (Unix ms) that is worth remembering.
    pub fn end_of(&self, id: &str) -> Option<(End, u64)> {
        self.ends.get(self.ends.name(id))
    }

    /// Whether all that was noted stands in the file.
    pub fn is_flushed(&self) -> bool {
        self.backlog.is_empty()
    }

    /// Bytes in the file.
    pub fn size(&self) -> u64 {
        self.len
    }

    /// Whether messages of this many bytes in all could still be taken on.
    pub fn has_room(&mut self, messages: usize, bytes: usize, now: u64) -> bool {
        // Records are short but for the body; names and keys are bounded where messages come in.
        let more = bytes as u64 + messages as u64 * RESERVE;
        if now < self.scarce_until {
            return false;
        }
        if self.fits(self.len, more) {
            return true;
        }
        self.ends.sweep(SWEEP, now);
        // Guards the processor: near the bound, where compacting frees next to nothing, doing it for each message
        // would take more time than there is, just when the most is held.
        let freed = self.len.saturating_sub(self.compacted_len());
        freed >= self.limit / WORTH_COMPACTING
            && self.fits(self.compacted_len(), more)
            && self.compact(now).is_ok()
            && self.fits(self.len, more)
    }

    /// Room for a file of this length, its compacted copy, and `more` in both.
    fn fits(&self, len: u64, more: u64) -> bool {
        let reserve = self.live.len() as u64 * RESERVE;
        len + self.compacted_len() + self.backlog.len() as u64 + 2 * (reserve + more) <= self.limit
    }

    fn compacted_len(&self) -> u64 {
        let ends = self.ends.len();
        let records = ends.div_ceil(ENDS_A_RECORD).max(1) as u64 * ENDS_HEAD;
        FILE_HEAD as u64 + self.live_bytes + records + (ends * ends::SLOT) as u64
    }

    /// Writes what was noted and these records, all or nothing.
    ///
    /// # Errors
    ///
    /// None of these records stands in the file then; what was noted stays noted.
    pub fn commit(&mut self, records: &[Record], now: u64) -> Result<(), JournalError> {
        let noted = self.backlog.len();
        let mut spans = Vec::with_capacity(records.len());
        for record in records {
            spans.push(self.put(record));
        }
        if self.backlog.is_empty() {
            return Ok(());
        }
        match self.append(now).or_else(|e| self.append_compacted(now, e)) {
            Ok(()) => {
                let start = self.len - self.backlog.len() as u64;
                self.backlog.clear();
                for (record, span) in records.iter().zip(spans) {
                    if let Some(open) = self.book(record, span.len, now) {
                        self.placed.push((open, span));
                    }
                }
                for (open, span) in std::mem::take(&mut self.placed) {
                    self.place(open, Span { at: start + span.at, ..span });
                }
                if self.len > COMPACT_FROM.max(3 * self.compacted_len()) {
                    // The long file still holds all: it is tried again after the next turn.
                    if let Err(e) = self.compact(now) {
                        tracing::warn!("journal: not compacted: {e}");
                    }
                }
                Ok(())
            }
            Err(e) => {
                self.backlog.truncate(noted);
                Err(e)
            }
        }
    }

    fn append(&mut self, now: u64) -> Result<(), JournalError> {
        if self.unclean {
            self.clean(now)?;
        }
        if self.len + self.backlog.len() as u64 > self.limit {
            return Err(JournalError::Full);
        }
        let written = self.file.write_all(&self.backlog).and_then(|()| self.sync());
        if let Err(e) = written {
            // A part of it may stand there, and after a failed sync nobody knows what does.
            self.unclean = true;
            if self.durability == Durability::Process {
                self.clean(now)?;
            }
            return Err(e.into());
        }
        self.len += self.backlog.len() as u64;
        Ok(())
    }

    /// Tries it again with a file that holds only what is of use. Guards what is owed: a disk that is fuller than
    /// the bound says must not keep the ends of messages from being written.
    fn append_compacted(&mut self, now: u64, failed: JournalError) -> Result<(), JournalError> {
        self.scarce_until = now + SCARCE;
        let freed = self.len.saturating_sub(self.compacted_len());
        // A copy has its price: not for every turn while next to nothing is freed.
        let worth = freed >= (self.len / WORTH_COMPACTING).max(self.backlog.len() as u64);
        if freed == 0 || !(worth || now >= self.compact_after) {
            return Err(failed);
        }
        self.compact_after = now + COMPACT_AGAIN;
        if self.compact(now).is_err() {
            return Err(failed);
        }
        tracing::warn!("journal: written anew after a failure: {failed}");
        self.append(now)
    }

    fn sync(&self) -> io::Result<()> {
        match self.durability {
            Durability::Process => Ok(()),
            Durability::Disk => self.file.sync_data(),
        }
    }

    /// Brings the file back to its last whole turn.
    fn clean(&mut self, now: u64) -> Result<(), JournalError> {
        self.file.set_len(self.len)?;
        if self.durability == Durability::Disk {
            // Pages whose sync has failed may be gone although they are read back: the file is written anew.
            self.compact(now)?;
        }
        self.unclean = false;
        Ok(())
    }

    /// Keeps count of what a compacted file would hold. Gives the message whose record is to be kept in it.
    fn book(&mut self, record: &Record, size: u32, now: u64) -> Option<Open> {
        if let Record::Ends(ends) = record {
            self.take_up(ends, now);
        }
        let name = self.ends.name(record.id()?);
        match record {
            Record::Closed(_, end, until) => {
                self.live_bytes -= self.live.remove(&name).map_or(0, |live| live.bytes);
                self.ends.insert(name, *end, *until, now);
                return None;
            }
            Record::NoticePending(_, end, until) => self.ends.insert(name, (*end).into(), *until, now),
            _ => {}
        }
        let turns = &mut self.turns;
        let live = self.live.entry(name).or_insert_with(|| {
            *turns += 1;
            Live { turn: *turns, ..Live::default() }
        });
        live.bytes += u64::from(size);
        self.live_bytes += u64::from(size);
        Some((name, live.turn))
    }

    /// A record of a message stands there in the file.
    fn place(&mut self, (name, turn): Open, span: Span) {
        if let Some(live) = self.live.get_mut(&name).filter(|live| live.turn == turn) {
            live.spans.push(span);
        }
    }

    /// The ends of the file: all of them are hashed with one key, and stand before whatever is hashed here.
    fn take_up(&mut self, ends: &record::Ends, now: u64) {
        if ends.key != self.ends.key() {
            if self.ends.len() > 0 || !self.live.is_empty() {
                return tracing::error!("journal: {} bytes of ends under a foreign key", ends.body.len());
            }
            self.ends = Ends::new(ends.key);
        }
        self.ends.take_up(&ends.body, now);
    }

    /// Copies what is still of use into a new file and puts that in the old one's place.
    fn compact(&mut self, now: u64) -> Result<(), JournalError> {
        self.write_anew(now, |journal, out| journal.copy_spans(out))
    }

    /// Writes a new file, its ends first, then what `copy` writes, and puts it in the old one's place.
    fn write_anew(
        &mut self,
        now: u64,
        copy: impl FnOnce(&Self, &mut Copy) -> Result<(), JournalError>,
    ) -> Result<(), JournalError> {
        let new = self.path.with_extension("new");
        let file = OpenOptions::new().read(true).append(true).create(true).truncate(false).open(&new)?;
        file.set_len(0)?;
        let out = BufWriter::with_capacity(COPY_BUFFER, &file);
        let mut out = Copy {
            out,
            len: 0,
            most: self.limit.saturating_sub(self.len),
            placed: Vec::new(),
            gaps: Vec::new(),
        };
        let copied = self.copy_ends(&mut out, now).and_then(|()| copy(self, &mut out)).and_then(|()| {
            out.out.flush()?;
            if self.durability == Durability::Disk {
                file.sync_all()?;
            }
            crash_point(Point::BeforeRename);
            Ok(fs::rename(&new, &self.path)?)
        });
        let (len, placed, gaps) = out.end();
        if let Err(e) = copied {
            fs::remove_file(&new)?;
            return Err(e);
        }
        (self.file, self.len, self.gaps) = (file, len, gaps);
        self.live.values_mut().for_each(|live| live.spans.clear());
        placed.into_iter().for_each(|(open, span)| self.place(open, span));
        if self.durability == Durability::Disk
            && let Some(folder) = self.path.parent()
        {
            File::open(folder)?.sync_all()?;
        }
        Ok(())
    }

    /// The file's head and the ends that still bind. One record of them at least, also of none: the key of their
    /// hashes must outlast the file, since segments are told apart by nothing else.
    fn copy_ends(&self, out: &mut Copy, now: u64) -> Result<(), JournalError> {
        out.write(&frame::file_head(self.mark))?;
        let mut body = Vec::with_capacity(ENDS_A_RECORD * ends::SLOT);
        let mut binding = self.ends.binding(now).peekable();
        let mut made = Vec::new();
        let mut first = true;
        while std::mem::take(&mut first) || binding.peek().is_some() {
            body.clear();
            binding.by_ref().take(ENDS_A_RECORD).for_each(|end| body.extend_from_slice(&end));
            let record =
                Record::Ends(record::Ends { key: self.ends.key(), body: Bytes::copy_from_slice(&body) });
            made.clear();
            frame::put(self.mark, &record, &mut made);
            out.write(&made)?;
        }
        Ok(())
    }

    /// What is still of use of the file, by the places of it: nothing else of it is read, and of that a few
    /// kilobytes at a time.
    fn copy_spans(&self, out: &mut Copy) -> Result<(), JournalError> {
        let of = |(name, live): (&Name, &Live)| {
            live.spans.iter().map(|span| (Some((*name, live.turn)), *span)).collect::<Vec<_>>()
        };
        let mut kept: Vec<(Option<Open>, Span)> = self.live.iter().flat_map(of).collect();
        let first = kept.iter().map(|(_, span)| span.at).min();
        // What a gap means for messages that are over is past.
        let gaps = self.gaps.iter().filter(|gap| first.is_some_and(|first| first < gap.at));
        kept.extend(gaps.map(|gap| (None, *gap)));
        kept.sort_unstable_by_key(|(_, span)| span.at);
        let mut buffer = vec![0; COPY_BUFFER];
        for (open, span) in kept {
            out.begin(open, span.len);
            let (mut at, mut left) = (span.at, span.len as usize);
            while left > 0 {
                let part = left.min(COPY_BUFFER);
                self.file.read_exact_at(&mut buffer[..part], at)?;
                out.write(&buffer[..part])?;
                (at, left) = (at + part as u64, left - part);
            }
        }
        Ok(())
    }

    /// What is still of use of a text that is damaged, or of the first version.
    fn copy_pieces(&self, out: &mut Copy) -> Result<(), JournalError> {
        let (_, mut pieces) = frame::read(Window::new(self.file.try_clone()?, self.len, CHUNK))?;
        // Whether a message that is still open has been kept so far: what a gap means for others is past.
        let mut open = false;
        let mut made = Vec::new();
        while let Some(piece) = pieces.piece()? {
            let (record, fresh) = match piece {
                Piece::Record { record, .. } => (record, false),
                Piece::Damaged { .. } => (Record::Gap, true),
                Piece::Torn { .. } => continue,
            };
            let of = record.id().and_then(|id| {
                let name = self.ends.name(id);
                self.live.get(&name).map(|live| (name, live.turn))
            });
            let keep = match &record {
                Record::Closed(..) | Record::Ends(_) => false,
                Record::Gap => open || fresh,
                _ => of.is_some(),
            };
            if !keep {
                continue;
            }
            open |= matches!(record, Record::Accepted(_));
            made.clear();
            frame::put(self.mark, &record, &mut made);
            out.begin(of, made.len() as u32);
            out.write(&made)?;
        }
        Ok(())
    }
}

/// What a journal hands on to others.
pub(crate) struct Carried {
    pub(crate) open: Vec<OpenMessage>,
    pub(crate) orphans: Vec<(String, NoticeEnd)>,
    /// Ends that bind, as they stand on disk, and the key of their hashes.
    ends: Vec<u8>,
    key: ends::Key,
    /// Held until what it holds stands elsewhere.
    _journal: Journal,
}

/// Takes out all that a journal holds.
pub(crate) fn carry(folder: &Path, options: Options, now: u64) -> Result<Carried, JournalError> {
    // Its own bound may be another: nothing is written to it here but what damage demands.
    let (journal, recovered) = Journal::open(folder, options, now)?;
    let ends = journal.ends.binding(now).flatten().collect();
    let key = journal.ends.key();
    Ok(Carried { open: recovered.open, orphans: recovered.orphans, ends, key, _journal: journal })
}

/// Makes a journal that holds these messages, and the ends of all that are handed on. Those have one key, except
/// where a layout was made by hand.
pub(crate) fn plant<'a>(
    folder: &Path,
    options: Options,
    now: u64,
    from: &[Carried],
    open: &[&OpenMessage],
    orphans: impl Iterator<Item = &'a (String, NoticeEnd)>,
) -> Result<(), JournalError> {
    fs::create_dir_all(folder)?;
    let (mut journal, _) = Journal::open(folder, options, now)?;
    if let Some(first) = from.first() {
        journal.ends = Ends::new(first.key);
    }
    for carried in from {
        if carried.key != journal.ends.key() {
            return Err(io::Error::other("segments whose ends are hashed under different keys").into());
        }
        journal.ends.take_up(&carried.ends, now);
    }
    // First of all: the ends stand before whatever is hashed with their key.
    journal.compact(now)?;
    let mut records = Vec::new();
    for message in open {
        let id = &message.accepted.id;
        records.push(Record::Accepted(message.accepted.clone()));
        for (n, attempt) in message.attempts.iter().enumerate() {
            records.push(Record::Sent(id.clone(), n, attempt.sent_ms, attempt.zone.clone()));
            if !attempt.may_have_run {
                records.push(Record::Ended(id.clone(), n, false));
            }
        }
        if message.in_doubt {
            // It may have run at no known time.
            records.push(Record::Sent(id.clone(), message.attempts.len(), 0, String::new()));
        }
        records.extend(
            message
                .pending_notice
                .map(|end| Record::NoticePending(id.clone(), end, message.accepted.deadline)),
        );
        if records.len() >= RECORDS_A_WRITE {
            journal.commit(&records, now)?;
            records.clear();
        }
    }
    for (id, end) in orphans {
        journal.enqueue(&Record::NoticePending(id.clone(), *end, now), now);
    }
    journal.commit(&records, now)?;
    if options.durability == Durability::Disk {
        journal.file.sync_all()?;
        File::open(folder)?.sync_all()?;
    }
    Ok(())
}

/// A new file that is being written.
struct Copy<'a> {
    out: BufWriter<&'a File>,
    len: u64,
    /// Bytes that it may take beside the old one.
    most: u64,
    placed: Vec<(Open, Span)>,
    gaps: Vec<Span>,
}

impl Copy<'_> {
    /// Its length, and where its records stand. What is not written through after a failure goes with the file.
    fn end(self) -> (u64, Vec<(Open, Span)>, Vec<Span>) {
        (self.len, self.placed, self.gaps)
    }

    /// What is written next is a record of this message, or a gap.
    fn begin(&mut self, open: Option<Open>, len: u32) {
        let span = Span { at: self.len, len };
        match open {
            Some(open) => self.placed.push((open, span)),
            None => self.gaps.push(span),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        self.len += bytes.len() as u64;
        if self.len > self.most {
            return Err(JournalError::Full);
        }
        Ok(self.out.write_all(bytes)?)
    }
}

/// Drawn by the standard library's seed for hash tables, which nobody outside can foretell.
fn new_mark() -> Mark {
    let drawn = RandomState::new().hash_one(std::process::id());
    let [a, b, c, d, ..] = drawn.to_le_bytes();
    // The high bit keeps it apart from any text.
    Mark([a | 0x80, b, c, d])
}

/// Drawn in the same way.
fn new_key() -> ends::Key {
    [1u8, 2].map(|half| RandomState::new().hash_one(half))
}

/// Adds bytes that can't be read to a file beside the journal. They are worth no failure.
fn keep_aside(path: &Path, from: &File, at: u64, size: usize, most: u64) {
    let kept = OpenOptions::new().append(true).create(true).open(path).and_then(|mut file| {
        let room = most.saturating_sub(file.metadata()?.len());
        let (mut at, mut left) = (at, size.min(room as usize));
        let mut buffer = vec![0; left.min(CHUNK)];
        while left > 0 {
            let part = left.min(CHUNK);
            from.read_exact_at(&mut buffer[..part], at)?;
            file.write_all(&buffer[..part])?;
            (at, left) = (at + part as u64, left - part);
        }
        Ok(())
    });
    if let Err(e) = kept {
        tracing::error!("journal: damaged bytes are not kept aside: {e}");
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::frame::tests::{NOW, accepted, record};
    use proptest::prelude::*;
    use std::env;
    use std::sync::atomic::{AtomicUsize, Ordering};

    struct Folder(PathBuf);

    impl Folder {
        fn new() -> Self {
            static MADE: AtomicUsize = AtomicUsize::new(0);
            let name =
                format!("yarrowhill-journal-{}-{}", std::process::id(), MADE.fetch_add(1, Ordering::Relaxed));
            let path = env::temp_dir().join(name);
            fs::create_dir_all(&path).expect("a temporary folder");
            Folder(path)
        }

        fn file(&self) -> PathBuf {
            self.0.join("journal")
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    const LIMIT: u64 = 3 << 20;

    fn open(folder: &Folder, limit: u64) -> (Journal, Recovered) {
        let options = Options { max_bytes: limit, durability: Durability::Process };
        Journal::open(&folder.0, options, NOW).expect("it opens")
    }

    fn open_of(records: &[Record]) -> Vec<OpenMessage> {
        let mut replay = Replay::default();
        records.iter().for_each(|r| replay.apply(r.clone()));
        replay.finish().0
    }

    fn closed(id: &str) -> Record {
        Record::Closed(id.into(), End::Delivered, NOW + 1000)
    }

    /// Records as an engine writes them: each message is taken on once, its attempts go out one after another.
    fn history() -> impl Strategy<Value = Vec<Record>> {
        let steps = proptest::collection::vec((0..4usize, 0..4u8, any::<bool>()), 1..30);
        steps.prop_map(|steps| {
            // By message: attempts so far, whether one is out, whether it is over.
            let mut known: [Option<(usize, bool, bool)>; 4] = [None; 4];
            let mut records = Vec::new();
            for (n, step, flag) in steps {
                let id = format!("m{n}");
                match (&mut known[n], step) {
                    (unknown @ None, _) => {
                        *unknown = Some((0, false, false));
                        records.push(accepted(&id, vec![n as u8; 10]));
                    }
                    (Some((.., true)), _) => {}
                    (Some((attempts, out @ false, _)), 0 | 1) => {
                        records.push(Record::Sent(id, *attempts, NOW, "hall-a".into()));
                        (*attempts, *out) = (*attempts + 1, true);
                    }
                    (Some((attempts, out @ true, _)), 0 | 1) => {
                        records.push(Record::Ended(id, *attempts - 1, flag));
                        *out = false;
                    }
                    (Some((_, _, over)), 2) => {
                        *over = true;
                        records.push(closed(&id));
                    }
                    (Some(_), _) => records.push(Record::NoticePending(id, NoticeEnd::GivenUp, NOW + 1000)),
                }
            }
            records
        })
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(128))]

        /// Opening again, with or without compacting, changes nothing of what is open.
        #[test]
        fn what_was_written_is_replayed(
            records in proptest::collection::vec(record(), 0..20), compact in any::<bool>(), disk in any::<bool>()
        ) {
            let folder = Folder::new();
            let durability = if disk { Durability::Disk } else { Durability::Process };
            let options = Options { max_bytes: LIMIT, durability };
            let (mut journal, _) = Journal::open(&folder.0, options, NOW).expect("it opens");
            for part in records.chunks(3) {
                journal.commit(part, NOW).expect("there is room");
            }
            if compact {
                journal.compact(NOW).expect("there is room");
            }
            drop(journal);
            let (_, recovered) = open(&folder, LIMIT);
            prop_assert_eq!(recovered.open, open_of(&records));
            prop_assert!(recovered.damage.is_empty());
        }

        /// However a file is damaged: what opens it says so, twice opened is as once, and a message of which a
        /// record may be lost is never taken for one that never ran.
        #[test]
        fn damage_is_told_once_and_leaves_no_certainty(
            records in history(), at in any::<prop::sample::Index>(), len in 1..30usize
        ) {
            let folder = Folder::new();
            let (mut journal, _) = open(&folder, LIMIT);
            journal.commit(&records, NOW).expect("there is room");
            drop(journal);
            let mut text = fs::read(folder.file()).expect("it is there");
            let at = at.index(text.len());
            let to = text.len().min(at + len);
            text[at..to].iter_mut().for_each(|b| *b ^= 0xff);
            fs::write(folder.file(), &text).expect("it is writable");
            let (journal, first) = open(&folder, LIMIT);
            prop_assert!(!first.damage.is_empty());
            drop(journal);
            let (_, second) = open(&folder, LIMIT);
            prop_assert_eq!(&second.damage, &[]);
            let ids = |r: &Recovered| r.open.iter().map(|o| (o.accepted.id.clone(), o.in_doubt)).collect::<Vec<_>>();
            prop_assert_eq!(ids(&first), ids(&second));
            // Whoever was open before the file's end and lost a record to the damage is in doubt, owed an end, or
            // was never heard of.
            let told = |id: &String| first.orphans.iter().any(|(o, _)| o == id);
            for whole in open_of(&records) {
                let id = &whole.accepted.id;
                let Some(now) = first.open.iter().find(|o| o.accepted.id == *id) else {
                    let named = records.iter().filter(|r| r.id() == Some(id)).count();
                    // One later record may be damaged too.
                    prop_assert!(told(id) || named <= 2, "{:?}", whole);
                    continue;
                };
                let risks = |o: &OpenMessage| o.attempts.iter().filter(|a| a.may_have_run).count();
                prop_assert!(risks(&whole) <= risks(now) || now.in_doubt, "{:?} {:?}", whole, now);
                prop_assert!(whole.pending_notice == now.pending_notice || now.in_doubt, "{:?} {:?}", whole, now);
            }
            // One that was over and seems open again is in doubt: nothing unsafe is sent again for it.
            let over = |id: &str| !open_of(&records).iter().any(|o| o.accepted.id == id);
            prop_assert!(first.open.iter().all(|o| !over(&o.accepted.id) || o.in_doubt));
        }

        /// A compaction that was cut off at any byte leaves the old file as it was.
        #[test]
        fn a_compaction_cut_off_anywhere_changes_nothing(
            records in proptest::collection::vec(record(), 0..12), cut in any::<prop::sample::Index>()
        ) {
            let folder = Folder::new();
            let (mut journal, _) = open(&folder, LIMIT);
            journal.commit(&records, NOW).expect("there is room");
            let before = fs::read(folder.file()).expect("it is there");
            journal.compact(NOW).expect("there is room");
            drop(journal);
            let mut new = fs::read(folder.file()).expect("it is there");
            new.truncate(cut.index(new.len() + 1));
            fs::write(folder.file(), before).expect("it is writable");
            fs::write(folder.0.join("journal.new"), new).expect("it is writable");
            let (_, recovered) = open(&folder, LIMIT);
            prop_assert_eq!(recovered.open, open_of(&records));
            prop_assert!(!folder.0.join("journal.new").exists());
        }
    }

    #[test]
    fn compacting_keeps_the_files_small_and_drops_what_is_over() {
        let folder = Folder::new();
        let (mut journal, _) = open(&folder, LIMIT);
        journal.commit(&[accepted("kept", vec![1; 100])], NOW).expect("there is room");
        for n in 0..2000u64 {
            let id = format!("m{n}");
            journal.commit(&[accepted(&id, vec![0; 400])], NOW + n).expect("there is room");
            journal.enqueue(&Record::Closed(id, End::Delivered, NOW + n + 10), NOW + n);
            assert!(journal.len <= COMPACT_FROM + 1024);
        }
        journal.commit(&[], NOW).expect("there is room");
        let size = fs::metadata(&journal.path).expect("it is there").len();
        assert_eq!(size, journal.len);
        drop(journal);
        let options = Options { max_bytes: LIMIT, durability: Durability::Process };
        let (again, recovered) = Journal::open(&folder.0, options, NOW + 2005).expect("it opens");
        assert_eq!(recovered.open.iter().map(|o| o.accepted.id.as_str()).collect::<Vec<_>>(), ["kept"]);
        assert!(again.end_of("m1999").is_some() && again.end_of("m1000").is_none());
    }

    #[test]
    fn a_full_journal_keeps_room_for_the_ends_of_what_it_took() {
        let folder = Folder::new();
        let (mut journal, _) = open(&folder, 40_000);
        let mut held = Vec::new();
        while journal.has_room(1, 500, NOW) {
            let id = format!("m{}", held.len());
            journal.commit(&[accepted(&id, vec![0; 500])], NOW).expect("it said that there is room");
            held.push(id);
        }
        assert!(held.len() > 2);
        for id in held {
            for attempt in 0..3 {
                journal
                    .commit(&[Record::Sent(id.clone(), attempt, NOW, "hall-a".into())], NOW)
                    .expect("kept room");
                journal.enqueue(&Record::Ended(id.clone(), attempt, false), NOW);
            }
            journal.enqueue(&Record::Closed(id, End::Failed, 0), NOW);
            journal.commit(&[], NOW).expect("kept room");
        }
        assert!(journal.has_room(1, 500, NOW));
    }

    #[test]
    fn near_the_bound_it_is_not_compacted_for_each_message() {
        let folder = Folder::new();
        let (mut journal, _) = open(&folder, 400_000);
        let (mut compacted, mut refused) = (0, 0);
        for n in 0..2000 {
            let (id, len) = (format!("m{n}"), journal.len);
            if journal.has_room(1, 500, NOW) {
                journal.commit(&[accepted(&id, vec![0; 500])], NOW).expect("it said that there is room");
            } else {
                refused += 1;
                // One ends for each that is refused: there is always a little to free.
                journal.enqueue(&Record::Closed(format!("m{refused}"), End::Failed, 0), NOW);
                journal.commit(&[], NOW).expect("kept room");
            }
            compacted += usize::from(journal.len < len);
        }
        assert!(
            refused > 100 && compacted > 0 && compacted < 100,
            "{refused} refused, {compacted} compacted"
        );
    }

    #[test]
    fn a_failed_write_leaves_nothing_behind_but_the_backlog() {
        let folder = Folder::new();
        let (mut journal, _) = open(&folder, LIMIT);
        journal.commit(&[accepted("a", vec![])], NOW).expect("there is room");
        journal.limit = journal.len;
        journal.enqueue(&closed("a"), NOW);
        assert!(journal.commit(&[accepted("b", vec![])], NOW).is_err());
        assert!(!journal.is_flushed());
        journal.limit = LIMIT;
        journal.commit(&[], NOW).expect("there is room again");
        assert!(journal.is_flushed());
        drop(journal);
        let (again, recovered) = open(&folder, LIMIT);
        assert!(recovered.open.is_empty() && again.end_of("a").is_some());
    }

    /// A write that stops short, and a file that can't be cut back at once: nothing later hides behind the rest.
    #[test]
    fn the_rest_of_a_short_write_is_cut_off_before_the_next_one() {
        let folder = Folder::new();
        let (mut journal, _) = open(&folder, LIMIT);
        journal.commit(&[accepted("a", vec![])], NOW).expect("there is room");
        // What a short write leaves behind, with the cutting back still to be done.
        let mut half = Vec::new();
        frame::put(journal.mark, &accepted("b", vec![0; 50]), &mut half);
        journal.file.write_all(&half[..half.len() / 2]).expect("it is writable");
        journal.unclean = true;
        journal.commit(&[accepted("c", vec![])], NOW).expect("there is room");
        drop(journal);
        let (_, recovered) = open(&folder, LIMIT);
        let ids: Vec<&str> = recovered.open.iter().map(|o| o.accepted.id.as_str()).collect();
        assert_eq!((ids, recovered.damage.len(), recovered.torn_bytes), (vec!["a", "c"], 0, 0));
    }

    #[test]
    fn a_second_process_is_kept_out() {
        let folder = Folder::new();
        let (journal, _) = open(&folder, LIMIT);
        let options = Options { max_bytes: LIMIT, durability: Durability::Process };
        assert!(matches!(Journal::open(&folder.0, options, NOW), Err(JournalError::Locked(_))));
        drop(journal);
        assert!(Journal::open(&folder.0, options, NOW).is_ok());
    }

    /// A lost `Accepted` whose id a later record names is owed its end, and stays so over restarts until told.
    #[test]
    fn a_message_whose_content_is_lost_is_owed_its_end() {
        let folder = Folder::new();
        let (mut journal, _) = open(&folder, LIMIT);
        journal.commit(&[accepted("a", vec![7; 200]), accepted("b", vec![])], NOW).expect("there is room");
        journal.commit(&[Record::Sent("a".into(), 0, NOW, "hall-a".into())], NOW).expect("there is room");
        drop(journal);
        let mut text = fs::read(folder.file()).expect("it is there");
        let body = text.windows(20).position(|w| w == [7; 20]).expect("the body stands there");
        text[body] = 8;
        fs::write(folder.file(), text).expect("it is writable");
        for _ in 0..3 {
            let (journal, recovered) = open(&folder, LIMIT);
            let told = |r: &Recovered| -> Vec<String> {
                let open =
                    r.open.iter().filter(|o| o.pending_notice.is_some()).map(|o| o.accepted.id.clone());
                r.orphans.iter().map(|(id, _)| id.clone()).chain(open).collect()
            };
            assert_eq!(told(&recovered), ["a"]);
            assert_eq!(journal.end_of("a"), None);
        }
        let (mut journal, _) = open(&folder, LIMIT);
        journal.enqueue(&Record::Closed("a".into(), End::Failed, 0), NOW);
        journal.commit(&[], NOW).expect("there is room");
        drop(journal);
        let (_, recovered) = open(&folder, LIMIT);
        assert!(recovered.orphans.is_empty() && recovered.open.len() == 1);
    }
}
