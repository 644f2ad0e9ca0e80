//! How records stand in the file, and how a damaged file is read past its damage.
//!
//! ```text
//! file   = magic (8)  mark (4)  crc32 of both (4)  frame*
//! frame  = mark (4)  length (4)  crc32 of payload (4)  crc32 of these 12 bytes (4)  payload
//! payload = length of head (4)  head (JSON)  body (as it came)
//! ```
//!
//! The mark is drawn anew for each file. A reader that has lost its place looks for the next whole frame with
//! that mark; bodies come from outside, and none of them can hold a frame that would be taken for one of ours.
//! The head has a checksum of its own, so that a frame whose payload is damaged is skipped by its length, and so
//! that a frame cut off by the end of the file (torn: nothing of its turn was acted upon) is told from one whose
//! length is damaged.

use crate::record::{Accepted, Ends, Record};
use bytes::Bytes;
use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

const MAGIC: &[u8; 8] = b"yhjrnl2\n";
/// Length of the file's head.
pub(crate) const FILE_HEAD: usize = 16;
const FRAME_HEAD: usize = 16;
/// Length and checksum, in the first version.
const FIRST_HEAD: usize = 8;

/// Tells the frames of one file from whatever else may stand in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Mark(pub(crate) [u8; 4]);

/// What stands at one place of a file.
#[derive(Debug, PartialEq)]
pub(crate) enum Piece {
    Record {
        record: Record,
        at: usize,
        size: usize,
    },
    /// It can't be read; what follows can, or nothing does.
    Damaged {
        at: usize,
        size: usize,
    },
    /// The front of a frame, up to the end of the file.
    Torn {
        at: usize,
        size: usize,
    },
}

/// The head of a new file.
pub(crate) fn file_head(mark: Mark) -> [u8; FILE_HEAD] {
    let mut head = [0; FILE_HEAD];
    head[..8].copy_from_slice(MAGIC);
    head[8..12].copy_from_slice(&mark.0);
    let sum = crc32fast::hash(&head[..12]);
    head[12..].copy_from_slice(&sum.to_le_bytes());
    head
}

/// Adds one frame.
pub(crate) fn put(mark: Mark, record: &Record, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; FRAME_HEAD + 4]);
    // A record has no map, and writing to memory does not fail; if it did, the frame would be skipped at replay.
    let _ = serde_json::to_writer(&mut *out, record);
    let head = (out.len() - start - FRAME_HEAD - 4) as u32;
    match record {
        Record::Accepted(Accepted { body, .. }) | Record::Ends(Ends { body, .. }) => {
            out.extend_from_slice(body)
        }
        _ => {}
    }
    let payload = start + FRAME_HEAD;
    out[payload..payload + 4].copy_from_slice(&head.to_le_bytes());
    let (len, sum) = ((out.len() - payload) as u32, crc32fast::hash(&out[payload..]));
    out[start..start + 4].copy_from_slice(&mark.0);
    out[start + 4..start + 8].copy_from_slice(&len.to_le_bytes());
    out[start + 8..start + 12].copy_from_slice(&sum.to_le_bytes());
    let sum = crc32fast::hash(&out[start..start + 12]);
    out[start + 12..payload].copy_from_slice(&sum.to_le_bytes());
}

fn number(text: &[u8], at: usize) -> Option<u32> {
    text.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes)
}

fn payload(payload: &[u8]) -> Option<Record> {
    let head = number(payload, 0)? as usize;
    let (head, body) = payload.get(4..)?.split_at_checked(head)?;
    let mut record: Record = serde_json::from_slice(head).ok()?;
    match record.body() {
        Some(own) => *own = Bytes::copy_from_slice(body),
        None if !body.is_empty() => return None,
        None => {}
    }
    Some(record)
}

/// Where a journal's text stands.
pub(crate) trait Source {
    /// Its length in bytes.
    fn len(&self) -> usize;

    /// `want` bytes from `at` on; fewer only at its end.
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

/// A file, of which never more is in memory than a chunk and one frame.
#[derive(Debug)]
pub(crate) struct Window {
    file: File,
    len: usize,
    chunk: usize,
    /// Where in the file the buffer begins.
    from: usize,
    buffer: Vec<u8>,
}

impl Window {
    /// The first `len` bytes of a file, read a chunk at a time.
    pub(crate) fn new(file: File, len: u64, chunk: usize) -> Self {
        Window { file, len: len as usize, chunk: chunk.max(1), from: 0, buffer: Vec::new() }
    }
}

impl Source for Window {
    fn len(&self) -> usize {
        self.len
    }

    fn bytes(&mut self, at: usize, want: usize) -> io::Result<&[u8]> {
        let (at, to) = (at.min(self.len), at.saturating_add(want).min(self.len));
        let held = self.from..self.from + self.buffer.len();
        if at < held.start || to > held.end {
            // What is held of it stays, and what is before it goes.
            let kept = if held.contains(&at) { self.buffer.split_off(at - held.start) } else { Vec::new() };
            (self.from, self.buffer) = (at, kept);
            let (had, end) = (self.buffer.len(), to.max(at + self.chunk).min(self.len));
            self.buffer.resize(end - at, 0);
            self.file.read_exact_at(&mut self.buffer[had..], (at + had) as u64)?;
        }
        Ok(&self.buffer[at - self.from..to - self.from])
    }
}

/// What one look at the front of a text finds.
enum Front {
    Whole(Record, usize),
    /// The head is whole, the payload can't be read: its size.
    Spoilt(usize),
    Torn,
    Nothing,
}

fn front(mark: Mark, text: &mut impl Source, at: usize) -> io::Result<Front> {
    let left = text.len() - at;
    let head = text.bytes(at, FRAME_HEAD)?;
    if head.len() < FRAME_HEAD {
        let known = head.len().min(4);
        return Ok(if head[..known] == mark.0[..known] { Front::Torn } else { Front::Nothing });
    }
    if head[..4] != mark.0 || number(head, 12) != Some(crc32fast::hash(&head[..12])) {
        return Ok(Front::Nothing);
    }
    let (size, sum) = (FRAME_HEAD + number(head, 4).unwrap_or(0) as usize, number(head, 8));
    if size > left {
        return Ok(Front::Torn);
    }
    let bytes = &text.bytes(at, size)?[FRAME_HEAD..];
    Ok(match payload(bytes) {
        Some(record) if sum == Some(crc32fast::hash(bytes)) => Front::Whole(record, size),
        _ => Front::Spoilt(size),
    })
}

/// Reads a text: the mark of its frames (none for one of the first version or without any frame), and its pieces one
/// by one, so that never more than one record of a long file is in memory.
pub(crate) fn read<S: Source>(mut text: S) -> io::Result<(Option<Mark>, Pieces<S>)> {
    let head = text.bytes(0, FILE_HEAD)?;
    let named = head.get(8..12).and_then(|m| m.try_into().ok()).map(Mark);
    if let Some(mark) = named.filter(|mark| head == file_head(*mark)) {
        return Ok((Some(mark), Pieces::new(Form::Marked(mark), text, FILE_HEAD)));
    }
    let mut first = Pieces::new(Form::First, text, 0);
    if matches!(first.piece()?, Some(Piece::Record { .. })) {
        return Ok((None, Pieces::new(Form::First, first.text, 0)));
    }
    let mut text = first.text;
    match likeliest(&mut text)? {
        Some(mark) => Ok((Some(mark), Pieces::new(Form::Marked(mark), text, 0))),
        // The head of a new file may be torn as well.
        None if text.len() < FILE_HEAD => Ok((None, Pieces::new(Form::First, text, 0))),
        None => Ok((None, Pieces::new(Form::Unknown, text, 0))),
    }
}

#[derive(Clone, Copy)]
enum Form {
    Marked(Mark),
    /// The first version.
    First,
    /// Nothing in it can be read.
    Unknown,
}

/// The pieces of a text, in their order; every byte behind the file's head belongs to one.
pub(crate) struct Pieces<S> {
    form: Form,
    text: S,
    at: usize,
    /// Found behind a stretch of damage, which is told first.
    held: Option<Piece>,
}

impl<S: Source> Pieces<S> {
    fn new(form: Form, text: S, at: usize) -> Self {
        Pieces { form, text, at, held: None }
    }

    /// The next piece, or nothing at the end.
    ///
    /// # Errors
    ///
    /// The text can't be had.
    pub(crate) fn piece(&mut self) -> io::Result<Option<Piece>> {
        if let Some(held) = self.held.take() {
            return Ok(Some(held));
        }
        if self.at >= self.text.len() {
            return Ok(None);
        }
        match self.form {
            Form::Marked(mark) => self.marked(mark),
            Form::First => self.first().map(Some),
            Form::Unknown => {
                let (at, size) = self.rest();
                Ok(Some(Piece::Damaged { at, size }))
            }
        }
    }

    fn rest(&mut self) -> (usize, usize) {
        let at = std::mem::replace(&mut self.at, self.text.len());
        (at, self.text.len() - at)
    }

    fn marked(&mut self, mark: Mark) -> io::Result<Option<Piece>> {
        let from = self.at;
        while self.at < self.text.len() {
            let at = self.at;
            match front(mark, &mut self.text, at)? {
                Front::Whole(record, size) => {
                    self.at = at + size;
                    let piece = Piece::Record { record, at, size };
                    if at == from {
                        return Ok(Some(piece));
                    }
                    self.held = Some(piece);
                    return Ok(Some(Piece::Damaged { at: from, size: at - from }));
                }
                Front::Torn if at == from => {
                    let (at, size) = self.rest();
                    return Ok(Some(Piece::Torn { at, size }));
                }
                Front::Spoilt(size) => self.at = at + size,
                Front::Nothing | Front::Torn => self.at = next_mark(mark, &mut self.text, at + 1)?,
            }
        }
        Ok((from < self.at).then_some(Piece::Damaged { at: from, size: self.at - from }))
    }

    /// Length, checksum, payload; what is behind the first that is not whole is lost.
    fn first(&mut self) -> io::Result<Piece> {
        let at = self.at;
        let head = self.text.bytes(at, FIRST_HEAD)?;
        if let Some((len, sum)) = number(head, 0).zip(number(head, 4)) {
            let size = FIRST_HEAD.saturating_add(len as usize);
            let bytes = self.text.bytes(at, size)?;
            if bytes.len() == size
                && crc32fast::hash(&bytes[FIRST_HEAD..]) == sum
                && let Some(record) = payload(&bytes[FIRST_HEAD..])
            {
                self.at += size;
                return Ok(Piece::Record { record, at, size });
            }
        }
        let (at, size) = self.rest();
        Ok(Piece::Torn { at, size })
    }
}

fn next_mark(mark: Mark, text: &mut impl Source, mut from: usize) -> io::Result<usize> {
    const STEP: usize = 4096;
    while from < text.len() {
        let bytes = text.bytes(from, STEP)?;
        if let Some(n) = bytes.windows(4).position(|w| w == mark.0) {
            return Ok(from + n);
        }
        // A mark may begin in the last three bytes.
        from += bytes.len().saturating_sub(3).max(1);
    }
    Ok(text.len())
}

/// With the file's head lost, the mark whose frames cover the most: a body that holds frames of its own is
/// always shorter than the frame around it. Under half of the file is no proof.
fn likeliest(text: &mut impl Source) -> io::Result<Option<Mark>> {
    let mut covered: HashMap<[u8; 4], usize> = HashMap::new();
    let mut at = 0;
    while at + FRAME_HEAD <= text.len() {
        let Ok(mark) = <[u8; 4]>::try_from(text.bytes(at, 4)?) else { break };
        match front(Mark(mark), text, at)? {
            Front::Whole(_, size) => {
                *covered.entry(mark).or_default() += size;
                at += size;
            }
            _ => at += 1,
        }
    }
    let most = covered.into_iter().max_by_key(|(mark, size)| (*size, *mark));
    Ok(most.filter(|(_, size)| size * 2 >= text.len()).map(|(mark, _)| Mark(mark)))
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::record::{Accepted, End, NoticeEnd};
    use proptest::prelude::*;

    pub(crate) const NOW: u64 = 1_800_000_000_000;
    const MARK: Mark = Mark(*b"\x91mrk");

    pub(crate) fn accepted(id: &str, body: Vec<u8>) -> Record {
        Record::Accepted(Accepted {
            id: id.into(),
            class: "auth-notice".into(),
            tenant: None,
            dest: 7,
            key: Some("k".into()),
            deadline: NOW + 1000,
            body: body.into(),
        })
    }

    pub(crate) fn record() -> impl Strategy<Value = Record> {
        let id = "[a-c]";
        prop_oneof![
            (id, proptest::collection::vec(any::<u8>(), 0..40)).prop_map(|(id, body)| accepted(&id, body)),
            (id, 0..3usize, any::<u32>()).prop_map(|(id, n, at)| Record::Sent(
                id,
                n,
                at.into(),
                "hall-a".into()
            )),
            (id, 0..3usize, any::<bool>()).prop_map(|(id, n, ran)| Record::Ended(id, n, ran)),
            id.prop_map(|id| Record::NoticePending(
                id,
                NoticeEnd::HandedBack { retry_in_ms: Some(5) },
                NOW + 1000
            )),
            id.prop_map(|id| Record::Closed(id, End::Delivered, NOW + 1000)),
        ]
    }

    fn text(records: &[Record]) -> (Vec<u8>, Vec<usize>) {
        let mut text = file_head(MARK).to_vec();
        let mut ends = vec![text.len()];
        for r in records {
            put(MARK, r, &mut text);
            ends.push(text.len());
        }
        (text, ends)
    }

    pub(crate) fn all(text: impl Source) -> (Option<Mark>, Vec<Piece>) {
        let (mark, mut pieces) = read(text).expect("it can be had");
        let pieces = std::iter::from_fn(move || pieces.piece().expect("it can be had"));
        (mark, pieces.collect())
    }

    fn records(pieces: &[Piece]) -> Vec<Record> {
        let record = |p: &Piece| match p {
            Piece::Record { record, .. } => Some(record.clone()),
            _ => None,
        };
        pieces.iter().filter_map(record).collect()
    }

    proptest! {
        /// Cut anywhere, the whole front is read and the rest is torn, not damaged.
        #[test]
        fn a_cut_text_gives_its_whole_front(
            list in proptest::collection::vec(record(), 0..12), cut in any::<prop::sample::Index>()
        ) {
            let (mut text, ends) = text(&list);
            let at = cut.index(text.len() + 1);
            text.truncate(at);
            let whole = ends.iter().filter(|end| **end <= at).count().saturating_sub(1);
            let (_, pieces) = all(&text[..]);
            prop_assert_eq!(records(&pieces), &list[..whole]);
            prop_assert!(!pieces.iter().any(|p| matches!(p, Piece::Damaged { .. })), "{:?}", pieces);
        }

        /// A damaged byte costs the one frame that it stands in, wherever that is, and is told of.
        #[test]
        fn a_damaged_byte_costs_one_frame(
            list in proptest::collection::vec(record(), 1..12), at in any::<prop::sample::Index>(), flip in 1..=255u8
        ) {
            let (mut text, ends) = text(&list);
            let at = at.index(text.len());
            text[at] ^= flip;
            let (mark, pieces) = all(&text[..]);
            let hit = ends.iter().filter(|end| **end <= at).count();
            let kept: Vec<Record> = list.iter().enumerate().filter(|(n, _)| hit != n + 1).map(|(_, r)| r.clone()).collect();
            prop_assert_eq!(records(&pieces), kept.clone());
            // Without a frame that is whole nothing tells the mark.
            prop_assert_eq!(mark, (!kept.is_empty() || hit > 0).then_some(MARK));
            let told = pieces.iter().any(|p| matches!(p, Piece::Damaged { at: from, size } if (*from..from + size).contains(&at)));
            prop_assert!(told, "{} {:?}", at, pieces);
        }

        /// Bytes put in or taken out cost what they touch.
        #[test]
        fn a_hole_or_noise_in_the_midst_hides_nothing_behind_it(
            list in proptest::collection::vec(record(), 3..12), noise in proptest::collection::vec(any::<u8>(), 0..40)
        ) {
            let (text, ends) = text(&list);
            let (from, to) = (ends[1] + 3, ends[2] - 3);
            let damaged: Vec<u8> = [&text[..from], &noise, &text[to..]].concat();
            let (_, pieces) = all(&damaged[..]);
            let kept: Vec<Record> = [&list[..1], &list[2..]].concat();
            prop_assert_eq!(records(&pieces), kept);
        }

        /// A body that holds whole frames of this or another file is never read as records.
        #[test]
        fn a_body_brings_no_records(inner in proptest::collection::vec(record(), 1..4), hit in any::<bool>()) {
            let (mut forged, _) = text(&inner);
            if !hit { forged[8] ^= 1; }
            let other = Mark(*b"othr");
            let mut own = file_head(other).to_vec();
            put(other, &accepted("outer", forged), &mut own);
            put(other, &Record::Gap, &mut own);
            let head = own.len() - 1;
            // Even where the frame around it is damaged, or the file's head.
            for at in [0, FILE_HEAD + 1, FILE_HEAD + FRAME_HEAD + 3, head] {
                let mut damaged = own.clone();
                damaged[at] ^= 0x55;
                let got = records(&all(&damaged[..]).1);
                prop_assert!(got.iter().all(|r| matches!(r, Record::Gap) || r.id() == Some("outer")), "{} {:?}", at, got);
            }
        }

        /// Through a window of any size a file reads as it does from memory, and no more of it is held than a chunk
        /// and the longest frame.
        #[test]
        fn a_window_reads_what_memory_reads(
            list in proptest::collection::vec(record(), 0..12), chunk in 1..200usize,
            hits in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..3)
        ) {
            let (mut text, ends) = text(&list);
            for (at, byte) in hits {
                let at = at.index(text.len());
                text[at] ^= byte;
            }
            let mut file = tempfile::tempfile().expect("a file");
            std::io::Write::write_all(&mut file, &text).expect("it is writable");
            let window = || Window::new(file.try_clone().expect("a descriptor"), text.len() as u64, chunk);
            prop_assert_eq!(all(window()), all(&text[..]));
            let longest = ends.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(0);
            let (_, mut pieces) = read(window()).expect("it can be had");
            while pieces.piece().expect("it can be had").is_some() {
                let damage = 2 * text.len() * usize::from(all(&text[..]).1.iter().any(|p| !matches!(p, Piece::Record { .. })));
                let most = chunk.max(longest).max(FILE_HEAD) + damage;
                prop_assert!(pieces.text.buffer.len() <= most, "{} held", pieces.text.buffer.len());
            }
        }

        /// Random bytes are never fatal, and every byte is accounted for.
        #[test]
        fn any_bytes_can_be_read(text in proptest::collection::vec(any::<u8>(), 0..300), head in any::<bool>()) {
            let text = if head { [&file_head(MARK)[..], &text].concat() } else { text };
            let (_, pieces) = all(&text[..]);
            let sum: usize = pieces.iter().map(|p| match p {
                Piece::Record { size, .. } | Piece::Damaged { size, .. } | Piece::Torn { size, .. } => *size,
            }).sum();
            prop_assert_eq!(sum, text.len() - if head { FILE_HEAD } else { 0 });
        }
    }

    #[test]
    fn a_file_of_the_first_version_is_read() {
        let mut old = Vec::new();
        for record in [accepted("a", vec![1, 2]), Record::Closed("a".into(), End::Delivered, NOW)] {
            let mut frame = Vec::new();
            put(MARK, &record, &mut frame);
            let payload = &frame[FRAME_HEAD..];
            old.extend_from_slice(&(payload.len() as u32).to_le_bytes());
            old.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
            old.extend_from_slice(payload);
        }
        old.extend_from_slice(&[9, 0, 0]);
        let (mark, pieces) = all(&old[..]);
        assert_eq!((mark, records(&pieces).len()), (None, 2));
        assert!(matches!(pieces.last(), Some(Piece::Torn { size: 3, .. })));
    }
}
