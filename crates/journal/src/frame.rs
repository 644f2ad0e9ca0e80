//! Framing of records in the file, and reading past damaged parts of a file.
//!
//! ```text
//! file   = magic (8)  mark (4)  crc32 of both (4)  frame*
//! frame  = mark (4)  length (4)  crc32 of payload (4)  crc32 of these 12 bytes (4)  payload
//! payload = length of head (4)  head (JSON)  body (unencoded)
//! ```
//!
//! The mark is a random synchronization marker, drawn for each file. A reader that has lost its position
//! looks for the next intact frame with that mark. Bodies come from outside; since no sender can know the
//! mark, none of them can hold a frame that would be read as a record. The lock file has a copy of the file
//! head, for the case that the head itself is damaged. The frame head has a checksum of its
//! own. With it, a frame whose payload is damaged can be skipped by its length, and a frame cut off by the
//! end of the file (torn: its turn had no effect outside the process) can be distinguished from one whose
//! length is damaged.

use crate::record::{Accepted, Ends, Record};
use bytes::Bytes;
use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

/// First bytes of a file; the digit is the format version. Files of the first version have no head.
const MAGIC: &[u8; 8] = b"yhjrnl2\n";
/// Length of the file head in bytes.
pub(crate) const FILE_HEAD_BYTES: usize = 16;
/// Length of a frame head in bytes.
const FRAME_HEAD_BYTES: usize = 16;
/// Length of a frame head in the first format version, which had only payload length and checksum.
const V1_FRAME_HEAD_BYTES: usize = 8;

/// Random marker that identifies the frames of one file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Mark(pub(crate) [u8; 4]);

/// A part of a file, as found by the reader.
#[derive(Debug, PartialEq)]
pub(crate) enum Entry {
    /// An intact record.
    Record { record: Record, at: usize, size: usize },
    /// Unreadable bytes, up to the next intact record or the end of the file.
    Damaged { at: usize, size: usize },
    /// The beginning of a frame that is cut off by the end of the file.
    Torn { at: usize, size: usize },
}

/// Encodes the head of a file.
pub(crate) fn encode_file_head(mark: Mark) -> [u8; FILE_HEAD_BYTES] {
    let mut head = [0; FILE_HEAD_BYTES];
    head[..8].copy_from_slice(MAGIC);
    head[8..12].copy_from_slice(&mark.0);
    let sum = crc32fast::hash(&head[..12]);
    head[12..].copy_from_slice(&sum.to_le_bytes());
    head
}

/// Returns the mark of a file head, or `None` if the head is damaged.
pub(crate) fn decode_file_head(head: &[u8]) -> Option<Mark> {
    let mark = Mark(head.get(8..12)?.try_into().ok()?);
    (head == encode_file_head(mark)).then_some(mark)
}

/// Appends the frame of a record to `out`.
pub(crate) fn encode(mark: Mark, record: &Record, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; FRAME_HEAD_BYTES + 4]);
    // Can't fail: a record contains no map, and the output is in memory. If it did fail, replay would skip
    // the frame.
    let _ = serde_json::to_writer(&mut *out, record);
    let head = (out.len() - start - FRAME_HEAD_BYTES - 4) as u32;
    match record {
        Record::Accepted(Accepted { body, .. }) | Record::Ends(Ends { body, .. }) => {
            out.extend_from_slice(body)
        }
        _ => {}
    }
    let payload = start + FRAME_HEAD_BYTES;
    out[payload..payload + 4].copy_from_slice(&head.to_le_bytes());
    let (len, sum) = ((out.len() - payload) as u32, crc32fast::hash(&out[payload..]));
    out[start..start + 4].copy_from_slice(&mark.0);
    out[start + 4..start + 8].copy_from_slice(&len.to_le_bytes());
    out[start + 8..start + 12].copy_from_slice(&sum.to_le_bytes());
    let sum = crc32fast::hash(&out[start..start + 12]);
    out[start + 12..payload].copy_from_slice(&sum.to_le_bytes());
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes)
}

fn decode_payload(payload: &[u8]) -> Option<Record> {
    let head = read_u32(payload, 0)? as usize;
    let (head, body) = payload.get(4..)?.split_at_checked(head)?;
    let mut record: Record = serde_json::from_slice(head).ok()?;
    match record.body() {
        Some(target) => *target = Bytes::copy_from_slice(body),
        None if !body.is_empty() => return None,
        None => {}
    }
    Some(record)
}

/// The bytes of a journal file, in memory or on disk.
pub(crate) trait Source {
    /// Returns the length in bytes.
    fn len(&self) -> usize;

    /// Returns `want` bytes starting at `at`, fewer only at the end.
    fn bytes(&mut self, at: usize, want: usize) -> io::Result<&[u8]>;
}

impl Source for &[u8] {
    fn len(&self) -> usize {
        <[u8]>::len(self)
    }

    fn bytes(&mut self, at: usize, want: usize) -> io::Result<&[u8]> {
        let at = at.min(<[u8]>::len(self));
        Ok(&self[at..at.saturating_add(want).min(<[u8]>::len(self))])
    }
}

/// Buffered access to a file that keeps no more in memory than a chunk and one frame.
#[derive(Debug)]
pub(crate) struct Window {
    file: File,
    len: usize,
    chunk: usize,
    /// File offset of the first byte in the buffer.
    start: usize,
    buffer: Vec<u8>,
}

impl Window {
    /// Creates a window on the first `len` bytes of a file, which are read in chunks.
    pub(crate) fn new(file: File, len: u64, chunk: usize) -> Self {
        Window { file, len: len as usize, chunk: chunk.max(1), start: 0, buffer: Vec::new() }
    }
}

impl Source for Window {
    fn len(&self) -> usize {
        self.len
    }

    fn bytes(&mut self, at: usize, want: usize) -> io::Result<&[u8]> {
        let (at, to) = (at.min(self.len), at.saturating_add(want).min(self.len));
        let buffered = self.start..self.start + self.buffer.len();
        if at < buffered.start || to > buffered.end {
            // Keeps the buffered part of the requested range and discards what precedes it.
            let kept =
                if buffered.contains(&at) { self.buffer.split_off(at - buffered.start) } else { Vec::new() };
            (self.start, self.buffer) = (at, kept);
            let (kept_len, end) = (self.buffer.len(), to.max(at + self.chunk).min(self.len));
            self.buffer.resize(end - at, 0);
            self.file.read_exact_at(&mut self.buffer[kept_len..], (at + kept_len) as u64)?;
        }
        Ok(&self.buffer[at - self.start..to - self.start])
    }
}

/// The result of reading a frame at one position.
enum FrameRead {
    /// An intact frame: its record and size.
    Intact(Record, usize),
    /// A frame of this size with an intact head and an unreadable payload.
    BadPayload(usize),
    /// The beginning of a frame, cut off by the end of the file.
    Torn,
    /// No frame of this file.
    NoFrame,
}

fn read_frame(mark: Mark, source: &mut impl Source, at: usize) -> io::Result<FrameRead> {
    let remaining = source.len() - at;
    let head = source.bytes(at, FRAME_HEAD_BYTES)?;
    if head.len() < FRAME_HEAD_BYTES {
        let available = head.len().min(4);
        return Ok(if head[..available] == mark.0[..available] {
            FrameRead::Torn
        } else {
            FrameRead::NoFrame
        });
    }
    if head[..4] != mark.0 || read_u32(head, 12) != Some(crc32fast::hash(&head[..12])) {
        return Ok(FrameRead::NoFrame);
    }
    let (size, sum) = (FRAME_HEAD_BYTES + read_u32(head, 4).unwrap_or(0) as usize, read_u32(head, 8));
    if size > remaining {
        return Ok(FrameRead::Torn);
    }
    let bytes = &source.bytes(at, size)?[FRAME_HEAD_BYTES..];
    Ok(match decode_payload(bytes) {
        Some(record) if sum == Some(crc32fast::hash(bytes)) => FrameRead::Intact(record, size),
        _ => FrameRead::BadPayload(size),
    })
}

/// Starts reading a file. Returns the mark of its frames (`None` for the first format version, and if it
/// can't be determined) and an iterator over its entries, which keeps only one record of a long file in
/// memory. `copied` is the mark in the copy of the file head, which is used if the head is damaged.
pub(crate) fn read<S: Source>(mut source: S, copied: Option<Mark>) -> io::Result<(Option<Mark>, Entries<S>)> {
    if let Some(mark) = decode_file_head(source.bytes(0, FILE_HEAD_BYTES)?) {
        return Ok((Some(mark), Entries::new(Format::Marked(mark), source, FILE_HEAD_BYTES)));
    }
    let mut v1 = Entries::new(Format::V1, source, 0);
    if matches!(v1.next_entry()?, Some(Entry::Record { .. })) {
        return Ok((None, Entries::new(Format::V1, v1.source, 0)));
    }
    let mut source = v1.source;
    match find_lost_mark(&mut source, copied)? {
        Some(mark) => Ok((Some(mark), Entries::new(Format::Marked(mark), source, 0))),
        // A new file whose head is torn. Read as the first version, it is a torn tail.
        None if source.len() < FILE_HEAD_BYTES => Ok((None, Entries::new(Format::V1, source, 0))),
        None => Ok((None, Entries::new(Format::Unknown, source, 0))),
    }
}

#[derive(Clone, Copy)]
enum Format {
    /// Frames with this mark.
    Marked(Mark),
    /// The first format version.
    V1,
    /// No part of the file can be read.
    Unknown,
}

/// The entries of a file in order. Every byte after the file head belongs to one of them.
pub(crate) struct Entries<S> {
    format: Format,
    source: S,
    at: usize,
    /// Record found after damaged bytes, which are returned first.
    next: Option<Entry>,
}

impl<S: Source> Entries<S> {
    fn new(format: Format, source: S, at: usize) -> Self {
        Entries { format, source, at, next: None }
    }

    /// Returns the next entry, or `None` at the end.
    ///
    /// # Errors
    ///
    /// The source can't be read.
    pub(crate) fn next_entry(&mut self) -> io::Result<Option<Entry>> {
        if let Some(next) = self.next.take() {
            return Ok(Some(next));
        }
        if self.at >= self.source.len() {
            return Ok(None);
        }
        match self.format {
            Format::Marked(mark) => self.next_marked(mark),
            Format::V1 => self.next_v1().map(Some),
            Format::Unknown => {
                let (at, size) = self.take_rest();
                Ok(Some(Entry::Damaged { at, size }))
            }
        }
    }

    /// Advances to the end and returns the position and size of the bytes skipped.
    fn take_rest(&mut self) -> (usize, usize) {
        let at = std::mem::replace(&mut self.at, self.source.len());
        (at, self.source.len() - at)
    }

    fn next_marked(&mut self, mark: Mark) -> io::Result<Option<Entry>> {
        let from = self.at;
        while self.at < self.source.len() {
            let at = self.at;
            match read_frame(mark, &mut self.source, at)? {
                FrameRead::Intact(record, size) => {
                    self.at = at + size;
                    let entry = Entry::Record { record, at, size };
                    if at == from {
                        return Ok(Some(entry));
                    }
                    self.next = Some(entry);
                    return Ok(Some(Entry::Damaged { at: from, size: at - from }));
                }
                FrameRead::Torn if at == from => {
                    let (at, size) = self.take_rest();
                    return Ok(Some(Entry::Torn { at, size }));
                }
                FrameRead::BadPayload(size) => self.at = at + size,
                FrameRead::NoFrame | FrameRead::Torn => self.at = find_mark(mark, &mut self.source, at + 1)?,
            }
        }
        Ok((from < self.at).then_some(Entry::Damaged { at: from, size: self.at - from }))
    }

    /// Reads a frame of the first version: length, checksum, payload. Everything from the first incomplete
    /// frame on is lost.
    fn next_v1(&mut self) -> io::Result<Entry> {
        let at = self.at;
        let head = self.source.bytes(at, V1_FRAME_HEAD_BYTES)?;
        if let Some((len, sum)) = read_u32(head, 0).zip(read_u32(head, 4)) {
            let size = V1_FRAME_HEAD_BYTES.saturating_add(len as usize);
            let bytes = self.source.bytes(at, size)?;
            if bytes.len() == size
                && crc32fast::hash(&bytes[V1_FRAME_HEAD_BYTES..]) == sum
                && let Some(record) = decode_payload(&bytes[V1_FRAME_HEAD_BYTES..])
            {
                self.at += size;
                return Ok(Entry::Record { record, at, size });
            }
        }
        let (at, size) = self.take_rest();
        Ok(Entry::Torn { at, size })
    }
}

fn find_mark(mark: Mark, source: &mut impl Source, mut from: usize) -> io::Result<usize> {
    const STEP_BYTES: usize = 4096;
    while from < source.len() {
        let bytes = source.bytes(from, STEP_BYTES)?;
        if let Some(n) = bytes.windows(4).position(|w| w == mark.0) {
            return Ok(from + n);
        }
        // The mark may begin in the last three bytes.
        from += bytes.len().saturating_sub(3).max(1);
    }
    Ok(source.len())
}

/// Determines the mark of a file whose head is lost: the copied one if any intact frame has it, since a copy
/// may belong to another file; else the one whose frames cover the largest part of the file. A body that
/// contains frames of its own is always shorter than the frame around it. Returns `None` if no mark covers
/// half of the file, since that would not be conclusive.
fn find_lost_mark(source: &mut impl Source, copied: Option<Mark>) -> io::Result<Option<Mark>> {
    let covered = bytes_by_mark(source)?;
    if let Some(mark) = copied.filter(|mark| covered.contains_key(&mark.0)) {
        return Ok(Some(mark));
    }
    let best = covered.into_iter().max_by_key(|(mark, size)| (*size, *mark));
    Ok(best.filter(|(_, size)| size * 2 >= source.len()).map(|(mark, _)| Mark(mark)))
}

/// Returns the total size of the intact frames of each mark.
fn bytes_by_mark(source: &mut impl Source) -> io::Result<HashMap<[u8; 4], usize>> {
    let mut covered = HashMap::new();
    let mut at = 0;
    while at + FRAME_HEAD_BYTES <= source.len() {
        let Ok(mark) = <[u8; 4]>::try_from(source.bytes(at, 4)?) else { break };
        match read_frame(Mark(mark), source, at)? {
            FrameRead::Intact(_, size) => {
                *covered.entry(mark).or_default() += size;
                at += size;
            }
            _ => at += 1,
        }
    }
    Ok(covered)
}

#[cfg(test)]
pub(crate) mod tests;
