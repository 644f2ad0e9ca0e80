//! The journal: what the forwarder has taken on, in the folder that outlasts its process.
//!
//! One append-only file of frames (length, checksum, payload). Each turn of the node is one write, made
//! before anything of that turn is answered or sent. No sync is needed: what was written outlasts the process.

use crate::net::notices::NoticeEnd;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Length and checksum.
const FRAME_HEAD: usize = 8;
/// Room kept for each open message, so that its attempts and its end still fit when the disk is full.
const RESERVE: u64 = 1024;
/// A file is not compacted while it is shorter than this.
const COMPACT_FROM: u64 = 256 << 10;
/// To make room, a file is compacted where that frees this part of the bound.
const WORTH_COMPACTING: u64 = 16;
/// Ends that are remembered at the most, so that a message handed in again finds its answer.
const ENDS_MOST: usize = 4096;

/// Ends that are past are dropped this often (ms).
const SWEEP: u64 = 1000;

/// A message as it was taken on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Taken {
    pub(crate) id: String,
    pub(crate) class: String,
    pub(crate) tenant: Option<String>,
    pub(crate) dest: u64,
    pub(crate) key: Option<String>,
    /// Unix time, in milliseconds.
    pub(crate) deadline: u64,
    #[serde(skip)]
    pub(crate) body: Bytes,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// Taken on.
    Taken(Taken),
    /// An attempt goes out: message, attempt, Unix time (ms) and zone of the endpoint.
    Sent(String, usize, u64, String),
    /// It ended: message, attempt and whether it may have run.
    Ended(String, usize, bool),
    /// The module gave the message up and a notice is owed; until when (Unix ms) that is worth remembering.
    Owed(String, NoticeEnd, u64),
    /// Nothing more is owed: message, its end, and until when (Unix ms) that is worth remembering.
    Over(String, End, u64),
}

impl Record {
    fn id(&self) -> &str {
        match self {
            Record::Taken(Taken { id, .. })
            | Record::Sent(id, ..)
            | Record::Ended(id, ..)
            | Record::Owed(id, ..)
            | Record::Over(id, ..) => id,
        }
    }
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum End {
    Delivered,
    Failed,
    Refused,
}

impl From<NoticeEnd> for End {
    fn from(end: NoticeEnd) -> Self {
        match end {
            NoticeEnd::GivenUp => End::Failed,
            NoticeEnd::HandedBack { .. } => End::Refused,
        }
    }
}

/// An attempt found in the journal.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attempt {
    pub(crate) sent: u64,
    pub(crate) zone: String,
    /// False only where it is known that it never ran.
    pub(crate) may_have_run: bool,
}

/// An open message found in the journal.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Open {
    pub(crate) taken: Taken,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) owed: Option<NoticeEnd>,
}

/// Why a turn could not be written. Nothing of it stands in the file.
#[derive(Debug, thiserror::Error)]
pub(crate) enum JournalError {
    #[error("the journal is full")]
    Full,
    #[error("the journal cannot be written: {0}")]
    Io(#[from] io::Error),
}

/// The open journal.
pub(crate) struct Journal {
    path: PathBuf,
    file: File,
    len: u64,
    limit: u64,
    /// Bytes of the records of each open message, and of all of them.
    live: HashMap<String, u64>,
    live_bytes: u64,
    /// Ends still remembered, and until when (Unix ms).
    ends: HashMap<String, (End, u64)>,
    /// When ends that are past were last dropped (Unix ms).
    swept: u64,
    /// Frames that have no choice but to be written: ends of attempts and messages.
    backlog: Vec<u8>,
}

impl Journal {
    /// Opens the journal of the folder, cuts off a torn tail, and replays the rest: the open messages, in the
    /// order taken.
    pub(crate) fn open(folder: &Path, limit: u64, now: u64) -> Result<(Self, Vec<Open>), JournalError> {
        let path = folder.join("journal");
        // Left by a process that ended while it compacted; the old file still holds all.
        match fs::remove_file(folder.join("journal.new")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e.into()),
            _ => {}
        }
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let mut text = Vec::new();
        file.read_to_end(&mut text)?;
        let mut journal = Journal {
            path,
            file,
            len: 0,
            limit,
            live: HashMap::new(),
            live_bytes: 0,
            ends: HashMap::new(),
            swept: now,
            backlog: Vec::new(),
        };
        let mut replay = Replay::default();
        for (record, size) in Frames(&text) {
            journal.len += size as u64;
            journal.book(&record, size as u64, now);
            replay.apply(record);
        }
        if journal.len < text.len() as u64 {
            eprintln!("journal: cut off {} bytes of a torn tail", text.len() as u64 - journal.len);
            journal.file.set_len(journal.len)?;
        }
        Ok((journal, replay.open()))
    }

    /// Notes what must be written with the next turn, or whenever writing succeeds again.
    pub(crate) fn note(&mut self, record: &Record, now: u64) {
        let start = self.backlog.len();
        put(record, &mut self.backlog);
        let size = (self.backlog.len() - start) as u64;
        self.book(record, size, now);
    }

    /// How a message ended, if it did not long ago, and until when (Unix ms) that is worth remembering.
    pub(crate) fn end_of(&self, id: &str) -> Option<(End, u64)> {
        self.ends.get(id).copied()
    }

    /// Whether all that was noted stands in the file.
    pub(crate) fn is_settled(&self) -> bool {
        self.backlog.is_empty()
    }

    /// Whether messages of this many bytes in all could still be taken on.
    pub(crate) fn has_room(&mut self, messages: usize, bytes: usize, now: u64) -> bool {
        // Records are short but for the body; names and keys are bounded where messages come in.
        let more = bytes as u64 + messages as u64 * RESERVE;
        if self.fits(self.len, more) {
            return true;
        }
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
        self.live_bytes + self.ends.len() as u64 * 128
    }

    /// Writes what was noted and these records, all or nothing.
    pub(crate) fn commit(&mut self, records: &[Record], now: u64) -> Result<(), JournalError> {
        let noted = self.backlog.len();
        let mut sizes = Vec::with_capacity(records.len());
        for record in records {
            let start = self.backlog.len();
            put(record, &mut self.backlog);
            sizes.push((self.backlog.len() - start) as u64);
        }
        if self.backlog.is_empty() {
            return Ok(());
        }
        match self.append() {
            Ok(()) => {
                self.backlog.clear();
                for (record, size) in records.iter().zip(sizes) {
                    self.book(record, size, now);
                }
                if self.len > COMPACT_FROM.max(3 * self.compacted_len()) {
                    // The long file still holds all: it is tried again after the next turn.
                    if let Err(e) = self.compact(now) {
                        eprintln!("journal: not compacted: {e}");
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

    fn append(&mut self) -> Result<(), JournalError> {
        if self.len + self.backlog.len() as u64 > self.limit {
            return Err(JournalError::Full);
        }
        if let Err(e) = self.file.write_all(&self.backlog) {
            // A part of it may stand there, and would hide whatever is written after it.
            self.file.set_len(self.len)?;
            return Err(e.into());
        }
        self.len += self.backlog.len() as u64;
        Ok(())
    }

    /// Keeps count of what a compacted file would hold.
    fn book(&mut self, record: &Record, size: u64, now: u64) {
        match record {
            Record::Over(id, end, until) => {
                self.live_bytes -= self.live.remove(id).unwrap_or(0);
                self.remember(id, *end, *until, now);
                return;
            }
            Record::Owed(id, end, until) => self.remember(id, (*end).into(), *until, now),
            _ => {}
        }
        *self.live.entry(record.id().to_owned()).or_default() += size;
        self.live_bytes += size;
    }

    fn remember(&mut self, id: &str, end: End, until: u64, now: u64) {
        // What is past would make the memory, and the file with it, grow up to the bound.
        if now >= self.swept + SWEEP || self.ends.len() >= ENDS_MOST {
            self.ends.retain(|_, (_, until)| *until > now);
            self.swept = now;
        }
        if self.ends.len() < ENDS_MOST && until > now {
            self.ends.insert(id.to_owned(), (end, until));
        }
    }

    /// Copies what is still of use into a new file and puts that in the old one's place.
    fn compact(&mut self, now: u64) -> Result<(), JournalError> {
        self.ends.retain(|_, (_, until)| *until > now);
        let text = fs::read(&self.path)?;
        let mut kept = Vec::with_capacity(self.compacted_len() as usize);
        let mut at = 0;
        for (record, size) in Frames(&text[..text.len().min(self.len as usize)]) {
            let keep = match &record {
                Record::Over(id, ..) => self.ends.contains_key(id),
                other => self.live.contains_key(other.id()),
            };
            if keep {
                kept.extend_from_slice(&text[at..at + size]);
            }
            at += size;
        }
        if self.len + kept.len() as u64 > self.limit {
            return Err(JournalError::Full);
        }
        let new = self.path.with_extension("new");
        let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
        if let Err(e) = file.write_all(&kept).and_then(|()| fs::rename(&new, &self.path)) {
            fs::remove_file(&new)?;
            return Err(e.into());
        }
        (self.file, self.len) = (file, kept.len() as u64);
        Ok(())
    }
}

/// Adds one frame: the payload is the length of its head, the head as JSON, and the body as it is.
fn put(record: &Record, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; FRAME_HEAD + 4]);
    serde_json::to_writer(&mut *out, record).expect("a record has no map and writing to memory cannot fail");
    let head = (out.len() - start - FRAME_HEAD - 4) as u32;
    if let Record::Taken(taken) = record {
        out.extend_from_slice(&taken.body);
    }
    let payload = start + FRAME_HEAD;
    out[payload..payload + 4].copy_from_slice(&head.to_le_bytes());
    let (len, sum) = ((out.len() - payload) as u32, crc32fast::hash(&out[payload..]));
    out[start..start + 4].copy_from_slice(&len.to_le_bytes());
    out[start + 4..payload].copy_from_slice(&sum.to_le_bytes());
}

/// Reads whole frames from the front, each with its size, and ends at the first that is not whole.
struct Frames<'a>(&'a [u8]);

impl Iterator for Frames<'_> {
    type Item = (Record, usize);

    fn next(&mut self) -> Option<Self::Item> {
        let number = |at: usize| -> Option<u32> {
            self.0.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes)
        };
        let size = FRAME_HEAD + number(0)? as usize;
        let payload = self.0.get(FRAME_HEAD..size)?;
        if crc32fast::hash(payload) != number(4)? {
            return None;
        }
        let head = number(FRAME_HEAD)? as usize;
        let (head, body) = payload.get(4..)?.split_at_checked(head)?;
        let mut record = serde_json::from_slice(head).ok()?;
        if let Record::Taken(taken) = &mut record {
            taken.body = Bytes::copy_from_slice(body);
        }
        self.0 = &self.0[size..];
        Some((record, size))
    }
}

/// Puts the messages together again from their records.
#[derive(Default)]
struct Replay {
    order: Vec<String>,
    open: HashMap<String, Open>,
}

impl Replay {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Taken(taken) => {
                self.order.push(taken.id.clone());
                self.open.insert(taken.id.clone(), Open { taken, attempts: Vec::new(), owed: None });
            }
            // Without an end it may have run: the process ended while it was out.
            Record::Sent(id, attempt, sent, zone) => {
                if let Some(open) = self.open.get_mut(&id)
                    && open.attempts.len() == attempt
                {
                    open.attempts.push(Attempt { sent, zone, may_have_run: true });
                }
            }
            Record::Ended(id, attempt, may_have_run) => {
                if let Some(a) = self.open.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt)) {
                    a.may_have_run = may_have_run;
                }
            }
            Record::Owed(id, end, _) => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.owed = Some(end);
                }
            }
            Record::Over(id, ..) => drop(self.open.remove(&id)),
        }
    }

    fn open(mut self) -> Vec<Open> {
        self.order.iter().filter_map(|id| self.open.remove(id)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
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
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    const LIMIT: u64 = 3 << 20;
    const NOW: u64 = 1_800_000_000_000;

    fn taken(id: &str, body: Vec<u8>) -> Record {
        Record::Taken(Taken {
            id: id.into(),
            class: "auth-notice".into(),
            tenant: None,
            dest: 7,
            key: Some("k".into()),
            deadline: NOW + 1000,
            body: body.into(),
        })
    }

    fn record() -> impl Strategy<Value = Record> {
        let id = "[a-c]";
        prop_oneof![
            (id, proptest::collection::vec(any::<u8>(), 0..40)).prop_map(|(id, body)| taken(&id, body)),
            (id, 0..3usize, any::<u32>()).prop_map(|(id, n, at)| Record::Sent(
                id,
                n,
                at.into(),
                "hall-a".into()
            )),
            (id, 0..3usize, any::<bool>()).prop_map(|(id, n, ran)| Record::Ended(id, n, ran)),
            id.prop_map(|id| Record::Owed(id, NoticeEnd::HandedBack { retry_in_ms: Some(5) }, NOW + 1000)),
            id.prop_map(|id| Record::Over(id, End::Delivered, NOW + 1000)),
        ]
    }

    fn open_of(records: &[Record]) -> Vec<Open> {
        let mut replay = Replay::default();
        records.iter().for_each(|r| replay.apply(r.clone()));
        replay.open()
    }

    proptest! {
        /// Wherever the text is cut or damaged, what stands whole before that is read, and nothing else.
        #[test]
        fn a_cut_or_damaged_text_gives_its_whole_front(
            records in proptest::collection::vec(record(), 0..12), cut in any::<prop::sample::Index>(), flip in any::<bool>()
        ) {
            let (mut text, mut ends) = (Vec::new(), vec![0]);
            for r in &records {
                put(r, &mut text);
                ends.push(text.len());
            }
            let at = cut.index(text.len() + 1);
            if flip && at < text.len() { text[at] ^= 1 } else { text.truncate(at) }
            let whole = ends.iter().filter(|end| **end <= at).count() - 1;
            let read: Vec<Record> = Frames(&text).map(|(r, _)| r).collect();
            prop_assert_eq!(read, &records[..whole]);
        }

        /// Random bytes are never fatal.
        #[test]
        fn any_bytes_can_be_read(text in proptest::collection::vec(any::<u8>(), 0..200)) {
            prop_assert_eq!(Frames(&text).map(|(_, size)| size).sum::<usize>() <= text.len(), true);
        }

        /// Opening again, with or without compacting, changes nothing of what is open.
        #[test]
        fn what_was_written_is_replayed(
            records in proptest::collection::vec(record(), 0..20), compact in any::<bool>()
        ) {
            let folder = Folder::new();
            let (mut journal, _) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
            for part in records.chunks(3) {
                journal.commit(part, NOW).expect("there is room");
            }
            if compact {
                journal.compact(NOW).expect("there is room");
            }
            let (_, replayed) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
            prop_assert_eq!(replayed, open_of(&records));
        }
    }

    #[test]
    fn compacting_keeps_the_files_small_and_drops_what_is_over() {
        let folder = Folder::new();
        let (mut journal, _) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
        journal.commit(&[taken("kept", vec![1; 100])], NOW).expect("there is room");
        for n in 0..2000u64 {
            let id = format!("m{n}");
            journal.commit(&[taken(&id, vec![0; 400])], NOW + n).expect("there is room");
            journal.note(&Record::Over(id, End::Delivered, NOW + n + 10), NOW + n);
            assert!(journal.len <= COMPACT_FROM + 1024);
        }
        journal.commit(&[], NOW).expect("there is room");
        let size = fs::metadata(&journal.path).expect("it is there").len();
        assert_eq!(size, journal.len);
        let (again, replayed) = Journal::open(&folder.0, LIMIT, NOW + 2005).expect("it opens");
        assert_eq!(replayed.iter().map(|o| o.taken.id.as_str()).collect::<Vec<_>>(), ["kept"]);
        assert!(again.end_of("m1999").is_some() && again.end_of("m1000").is_none());
    }

    #[test]
    fn a_full_journal_keeps_room_for_the_ends_of_what_it_took() {
        let folder = Folder::new();
        let (mut journal, _) = Journal::open(&folder.0, 40_000, NOW).expect("it opens");
        let mut held = Vec::new();
        while journal.has_room(1, 500, NOW) {
            let id = format!("m{}", held.len());
            journal.commit(&[taken(&id, vec![0; 500])], NOW).expect("it said that there is room");
            held.push(id);
        }
        assert!(held.len() > 2);
        for id in held {
            for attempt in 0..3 {
                journal
                    .commit(&[Record::Sent(id.clone(), attempt, NOW, "hall-a".into())], NOW)
                    .expect("kept room");
                journal.note(&Record::Ended(id.clone(), attempt, false), NOW);
            }
            journal.note(&Record::Over(id, End::Failed, 0), NOW);
            journal.commit(&[], NOW).expect("kept room");
        }
        assert!(journal.has_room(1, 500, NOW));
    }

    #[test]
    fn near_the_bound_it_is_not_compacted_for_each_message() {
        let folder = Folder::new();
        let (mut journal, _) = Journal::open(&folder.0, 400_000, NOW).expect("it opens");
        let (mut compacted, mut refused) = (0, 0);
        for n in 0..2000 {
            let (id, len) = (format!("m{n}"), journal.len);
            if journal.has_room(1, 500, NOW) {
                journal.commit(&[taken(&id, vec![0; 500])], NOW).expect("it said that there is room");
            } else {
                refused += 1;
                // One ends for each that is refused: there is always a little to free.
                journal.note(&Record::Over(format!("m{refused}"), End::Failed, 0), NOW);
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
        let (mut journal, _) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
        journal.commit(&[taken("a", vec![])], NOW).expect("there is room");
        journal.limit = journal.len;
        journal.note(&Record::Over("a".into(), End::Delivered, NOW + 1), NOW);
        assert!(journal.commit(&[taken("b", vec![])], NOW).is_err());
        assert!(!journal.is_settled());
        journal.limit = LIMIT;
        journal.commit(&[], NOW).expect("there is room again");
        assert!(journal.is_settled());
        let (again, replayed) = Journal::open(&folder.0, LIMIT, NOW).expect("it opens");
        assert!(replayed.is_empty() && again.end_of("a").is_some());
    }
}
