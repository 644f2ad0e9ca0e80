//! Rewriting the file: a compacted copy with the ends and the records of open messages, or a copy without the
//! damaged parts.

use super::{Durability, Extent, Journal, LiveMessage, MessageKey, READ_CHUNK_BYTES, StoreError};
use crate::ends::{self, IdHash};
use crate::frame::{self, Entry, Window};
use crate::record::{self, Record};
use bytes::Bytes;
use std::fs::{self, File, OpenOptions};
use std::io::{BufWriter, Write};
use std::os::unix::fs::FileExt;
use yarrowhill_faults::{Point, crash_point};

/// Maximum number of ends in one record of a compacted file.
pub(super) const MAX_ENDS_PER_RECORD: usize = 1024;
/// Size of the write buffer for a compacted copy.
const COPY_BUFFER_BYTES: usize = 16 << 10;

impl Journal {
    /// Compacts the file: copies the live records into a new file that replaces the old one.
    pub(super) fn compact(&mut self, now: u64) -> Result<(), StoreError> {
        self.rewrite(now, |journal, out| journal.copy_extents(out))
    }

    /// Writes a new file with the ends first and then the output of `copy`, and renames it over the old file.
    pub(super) fn rewrite(
        &mut self,
        now: u64,
        copy: impl FnOnce(&Self, &mut CopyWriter) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let new = self.path.with_extension("new");
        let file = OpenOptions::new().read(true).append(true).create(true).truncate(false).open(&new)?;
        file.set_len(0)?;
        let out = BufWriter::with_capacity(COPY_BUFFER_BYTES, &file);
        let mut out = CopyWriter {
            out,
            len: 0,
            max_len: self.limit.saturating_sub(self.len),
            extents: Vec::new(),
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
        let (len, extents, gaps) = out.finish();
        if let Err(e) = copied {
            fs::remove_file(&new)?;
            return Err(e);
        }
        (self.file, self.len, self.gaps) = (file, len, gaps);
        self.live.values_mut().for_each(|live| live.extents.clear());
        extents.into_iter().for_each(|(key, extent)| self.add_extent(key, extent));
        if self.durability == Durability::Disk
            && let Some(folder) = self.path.parent()
        {
            File::open(folder)?.sync_all()?;
        }
        Ok(())
    }

    /// Writes the file head and the unexpired ends. At least one record of ends is written, even an empty
    /// one: the hash key must be kept, because the ends of several segments can be merged only if they have
    /// the same key.
    fn copy_ends(&self, out: &mut CopyWriter, now: u64) -> Result<(), StoreError> {
        out.write(&frame::encode_file_head(self.mark))?;
        let mut body = Vec::with_capacity(MAX_ENDS_PER_RECORD * ends::SLOT_BYTES);
        let mut unexpired = self.ends.encode_unexpired(now).peekable();
        let mut encoded = Vec::new();
        let mut first = true;
        while std::mem::take(&mut first) || unexpired.peek().is_some() {
            body.clear();
            unexpired.by_ref().take(MAX_ENDS_PER_RECORD).for_each(|end| body.extend_from_slice(&end));
            let record =
                Record::Ends(record::Ends { key: self.ends.key(), body: Bytes::copy_from_slice(&body) });
            encoded.clear();
            frame::encode(self.mark, &record, &mut encoded);
            out.write(&encoded)?;
        }
        Ok(())
    }

    /// Copies the live records by their positions. The rest of the file is not read, and only a few
    /// kilobytes at a time are in memory.
    fn copy_extents(&self, out: &mut CopyWriter) -> Result<(), StoreError> {
        let extents_of = |(hash, live): (&IdHash, &LiveMessage)| {
            live.extents.iter().map(|extent| (Some((*hash, live.generation)), *extent)).collect::<Vec<_>>()
        };
        let mut kept: Vec<(Option<MessageKey>, Extent)> = self.live.iter().flat_map(extents_of).collect();
        let first = kept.iter().map(|(_, extent)| extent.offset).min();
        // A gap concerns only messages that were open before it; it is dropped once all of them are closed.
        let gaps = self.gaps.iter().filter(|gap| first.is_some_and(|first| first < gap.offset));
        kept.extend(gaps.map(|gap| (None, *gap)));
        kept.sort_unstable_by_key(|(_, extent)| extent.offset);
        let mut buffer = vec![0; COPY_BUFFER_BYTES];
        for (key, extent) in kept {
            out.start_record(key, extent.len);
            let (mut at, mut left) = (extent.offset, extent.len as usize);
            while left > 0 {
                let part = left.min(COPY_BUFFER_BYTES);
                self.file.read_exact_at(&mut buffer[..part], at)?;
                out.write(&buffer[..part])?;
                (at, left) = (at + part as u64, left - part);
            }
        }
        Ok(())
    }

    /// Copies the live records of a file that is damaged or has the first format version, by reading all of
    /// its entries.
    pub(super) fn copy_entries(&self, out: &mut CopyWriter) -> Result<(), StoreError> {
        let (_, mut entries) =
            frame::read(Window::new(self.file.try_clone()?, self.len, READ_CHUNK_BYTES), Some(self.mark))?;
        // Whether a live message has been copied so far. A gap that is already on record concerns no message
        // if not.
        let mut has_open = false;
        let mut encoded = Vec::new();
        while let Some(entry) = entries.next_entry()? {
            let (record, is_new_gap) = match entry {
                Entry::Record { record, .. } => (record, false),
                Entry::Damaged { .. } => (Record::Gap, true),
                Entry::Torn { .. } => continue,
            };
            let key = record.id().and_then(|id| {
                let hash = self.ends.hash(id);
                self.live.get(&hash).map(|live| (hash, live.generation))
            });
            let keep = match &record {
                Record::Closed(..) | Record::Ends(_) => false,
                Record::Gap => has_open || is_new_gap,
                _ => key.is_some(),
            };
            if !keep {
                continue;
            }
            has_open |= matches!(record, Record::Accepted(_));
            encoded.clear();
            frame::encode(self.mark, &record, &mut encoded);
            out.start_record(key, encoded.len() as u32);
            out.write(&encoded)?;
        }
        Ok(())
    }
}

/// Writer of a new file during a rewrite.
pub(super) struct CopyWriter<'a> {
    out: BufWriter<&'a File>,
    len: u64,
    /// Maximum length that fits within the size limit beside the old file.
    max_len: u64,
    /// Positions of records of open messages.
    extents: Vec<(MessageKey, Extent)>,
    /// Positions of gap records.
    gaps: Vec<Extent>,
}

impl CopyWriter<'_> {
    /// Returns the length, and the positions of records and gaps. After a failure some output may still be
    /// buffered; the file is removed then.
    fn finish(self) -> (u64, Vec<(MessageKey, Extent)>, Vec<Extent>) {
        (self.len, self.extents, self.gaps)
    }

    /// Registers the position of the record written next: a record of the message with this key, or a gap.
    fn start_record(&mut self, key: Option<MessageKey>, len: u32) {
        let extent = Extent { offset: self.len, len };
        match key {
            Some(key) => self.extents.push((key, extent)),
            None => self.gaps.push(extent),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        self.len += bytes.len() as u64;
        if self.len > self.max_len {
            return Err(StoreError::Full);
        }
        Ok(self.out.write_all(bytes)?)
    }
}
