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

/// What one look at the front of a text finds.
enum Front {
    Whole(Record, usize),
    /// The head is whole, the payload can't be read: its size.
    Spoilt(usize),
    Torn,
    Nothing,
}

fn front(mark: Mark, text: &[u8]) -> Front {
    if text.len() < FRAME_HEAD {
        let known = text.len().min(4);
        return if text[..known] == mark.0[..known] { Front::Torn } else { Front::Nothing };
    }
    let head = &text[..FRAME_HEAD];
    if head[..4] != mark.0 || number(head, 12) != Some(crc32fast::hash(&head[..12])) {
        return Front::Nothing;
    }
    let size = FRAME_HEAD + number(head, 4).unwrap_or(0) as usize;
    let Some(bytes) = text.get(FRAME_HEAD..size) else { return Front::Torn };
    match payload(bytes) {
        Some(record) if number(head, 8) == Some(crc32fast::hash(bytes)) => Front::Whole(record, size),
        _ => Front::Spoilt(size),
    }
}

/// Reads a file: the mark of its frames (none for a file of the first version or without any frame), and its
/// pieces one by one, so that never more than one record of a long file is in memory beside it.
pub(crate) fn read(text: &[u8]) -> (Option<Mark>, Pieces<'_>) {
    let named = text.get(8..12).and_then(|m| m.try_into().ok()).map(Mark);
    if let Some(mark) = named.filter(|mark| text.starts_with(&file_head(*mark))) {
        return (Some(mark), Pieces::new(Form::Marked(mark), text, FILE_HEAD));
    }
    let mut first = Pieces::new(Form::First, text, 0);
    if matches!(first.next(), Some(Piece::Record { .. })) {
        return (None, Pieces::new(Form::First, text, 0));
    }
    match likeliest(text) {
        Some(mark) => (Some(mark), Pieces::new(Form::Marked(mark), text, 0)),
        // The head of a new file may be torn as well.
        None if text.len() < FILE_HEAD => (None, Pieces::new(Form::First, text, 0)),
        None => (None, Pieces::new(Form::Unknown, text, 0)),
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

/// The pieces of a file, in their order; every byte behind the file's head belongs to one.
pub(crate) struct Pieces<'a> {
    form: Form,
    text: &'a [u8],
    at: usize,
    /// Found behind a stretch of damage, which is told first.
    held: Option<Piece>,
}

impl<'a> Pieces<'a> {
    fn new(form: Form, text: &'a [u8], at: usize) -> Self {
        Pieces { form, text, at, held: None }
    }

    fn rest(&mut self) -> (usize, usize) {
        let at = std::mem::replace(&mut self.at, self.text.len());
        (at, self.text.len() - at)
    }

    fn marked(&mut self, mark: Mark) -> Option<Piece> {
        let from = self.at;
        while self.at < self.text.len() {
            let at = self.at;
            match front(mark, &self.text[at..]) {
                Front::Whole(record, size) => {
                    self.at = at + size;
                    let piece = Piece::Record { record, at, size };
                    if at == from {
                        return Some(piece);
                    }
                    self.held = Some(piece);
                    return Some(Piece::Damaged { at: from, size: at - from });
                }
                Front::Torn if at == from => {
                    let (at, size) = self.rest();
                    return Some(Piece::Torn { at, size });
                }
                Front::Spoilt(size) => self.at = at + size,
                Front::Nothing | Front::Torn => self.at = next_mark(mark, self.text, at + 1),
            }
        }
        (from < self.at).then_some(Piece::Damaged { at: from, size: self.at - from })
    }

    /// Length, checksum, payload; what is behind the first that is not whole is lost.
    fn first(&mut self) -> Piece {
        let (at, rest) = (self.at, &self.text[self.at..]);
        let record = number(rest, 0).zip(number(rest, 4)).and_then(|(len, sum)| {
            let bytes = rest.get(FIRST_HEAD..FIRST_HEAD.checked_add(len as usize)?)?;
            (crc32fast::hash(bytes) == sum).then(|| payload(bytes)).flatten().map(|r| (r, bytes.len()))
        });
        match record {
            Some((record, len)) => {
                let size = FIRST_HEAD + len;
                self.at += size;
                Piece::Record { record, at, size }
            }
            None => {
                let (at, size) = self.rest();
                Piece::Torn { at, size }
            }
        }
    }
}

impl Iterator for Pieces<'_> {
    type Item = Piece;

    fn next(&mut self) -> Option<Piece> {
        if let Some(held) = self.held.take() {
            return Some(held);
        }
        if self.at >= self.text.len() {
            return None;
        }
        match self.form {
            Form::Marked(mark) => self.marked(mark),
            Form::First => Some(self.first()),
            Form::Unknown => {
                let (at, size) = self.rest();
                Some(Piece::Damaged { at, size })
            }
        }
    }
}

fn next_mark(mark: Mark, text: &[u8], from: usize) -> usize {
    let rest = text.get(from..).unwrap_or_default();
    rest.windows(4).position(|w| w == mark.0).map_or(text.len(), |n| from + n)
}

/// With the file's head lost, the mark whose frames cover the most: a body that holds frames of its own is
/// always shorter than the frame around it. Under half of the file is no proof.
fn likeliest(text: &[u8]) -> Option<Mark> {
    let mut covered: HashMap<[u8; 4], usize> = HashMap::new();
    let mut at = 0;
    while at + FRAME_HEAD <= text.len() {
        let mark = [text[at], text[at + 1], text[at + 2], text[at + 3]];
        match front(Mark(mark), &text[at..]) {
            Front::Whole(_, size) => {
                *covered.entry(mark).or_default() += size;
                at += size;
            }
            _ => at += 1,
        }
    }
    let (mark, size) = covered.into_iter().max_by_key(|(mark, size)| (*size, *mark))?;
    (size * 2 >= text.len()).then_some(Mark(mark))
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
            id.prop_map(|id| Record::Owed(id, NoticeEnd::HandedBack { retry_in_ms: Some(5) }, NOW + 1000)),
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

    fn all(text: &[u8]) -> (Option<Mark>, Vec<Piece>) {
        let (mark, pieces) = read(text);
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
            let (_, pieces) = all(&text);
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
            let (mark, pieces) = all(&text);
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
            let (_, pieces) = all(&damaged);
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
                let got = records(&all(&damaged).1);
                prop_assert!(got.iter().all(|r| matches!(r, Record::Gap) || r.id() == Some("outer")), "{} {:?}", at, got);
            }
        }

        /// Random bytes are never fatal, and every byte is accounted for.
        #[test]
        fn any_bytes_can_be_read(text in proptest::collection::vec(any::<u8>(), 0..300), head in any::<bool>()) {
            let text = if head { [&file_head(MARK)[..], &text].concat() } else { text };
            let (_, pieces) = all(&text);
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
        let (mark, pieces) = all(&old);
        assert_eq!((mark, records(&pieces).len()), (None, 2));
        assert!(matches!(pieces.last(), Some(Piece::Torn { size: 3, .. })));
    }
}
