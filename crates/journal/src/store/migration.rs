//! Reading a whole segment and creating one from the contents of others, when the number of segments changes.

use super::{Durability, Journal, Options, StoreError};
use crate::ends::{self, Ends};
use crate::record::{NoticeEnd, Record};
use crate::replay::OpenMessage;
use std::fs::{self, File};
use std::io;
use std::path::Path;

/// Number of records after which a new segment is written to during migration.
const RECORDS_PER_WRITE: usize = 1024;

/// The contents of a segment that is migrated.
pub(crate) struct SegmentContents {
    pub(crate) open: Vec<OpenMessage>,
    pub(crate) orphans: Vec<(String, NoticeEnd)>,
    /// Unexpired ends as encoded on disk.
    ends: Vec<u8>,
    /// Hash key of the ends.
    key: ends::HashKey,
    /// Keeps the segment locked until its contents are stored elsewhere.
    _journal: Journal,
}

/// Reads the contents of a segment, which stays locked until they are dropped.
pub(crate) fn read_segment(folder: &Path, options: Options, now: u64) -> Result<SegmentContents, StoreError> {
    // The segment may have been written with another size limit. Only repairs of damage write to it here.
    let (journal, recovered) = Journal::open_folder(folder, options, now)?;
    let ends = journal.ends.encode_unexpired(now).flatten().collect();
    let key = journal.ends.key();
    Ok(SegmentContents { open: recovered.open, orphans: recovered.orphans, ends, key, _journal: journal })
}

/// Creates a segment with these messages, and with the ends of all migrated segments. All of them have the
/// same hash key unless a layout was assembled by hand.
pub(crate) fn create_segment<'a>(
    folder: &Path,
    options: Options,
    now: u64,
    sources: &[SegmentContents],
    open: &[&OpenMessage],
    orphans: impl Iterator<Item = &'a (String, NoticeEnd)>,
) -> Result<(), StoreError> {
    fs::create_dir_all(folder)?;
    let (mut journal, _) = Journal::open_folder(folder, options, now)?;
    if let Some(first) = sources.first() {
        journal.ends = Ends::new(first.key);
    }
    for source in sources {
        if source.key != journal.ends.key() {
            return Err(io::Error::other("the ends of the segments have different hash keys").into());
        }
        journal.ends.insert_encoded(&source.ends, now);
    }
    // Written before anything else: the ends precede all records whose ids are hashed with their key.
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
            // The message may have run at an unknown time.
            records.push(Record::Sent(id.clone(), message.attempts.len(), 0, String::new()));
        }
        records.extend(
            message
                .pending_notice
                .map(|end| Record::NoticePending(id.clone(), end, message.accepted.deadline)),
        );
        if records.len() >= RECORDS_PER_WRITE {
            journal.write_turn(&records, now)?;
            records.clear();
        }
    }
    for (id, end) in orphans {
        journal.enqueue(&Record::NoticePending(id.clone(), *end, now), now);
    }
    journal.write_turn(&records, now)?;
    if options.durability == Durability::Disk {
        journal.file.sync_all()?;
        File::open(folder)?.sync_all()?;
    }
    Ok(())
}
