//! Tests of `frame`.

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
        (id, 0..3usize, any::<u32>()).prop_map(|(id, n, at)| Record::Sent(id, n, at.into(), "hall-a".into())),
        (id, 0..3usize, any::<bool>()).prop_map(|(id, n, ran)| Record::Ended(id, n, ran)),
        id.prop_map(|id| Record::NoticePending(
            id,
            NoticeEnd::HandedBack { retry_in_ms: Some(5) },
            NOW + 1000
        )),
        id.prop_map(|id| Record::Closed(id, End::Delivered, NOW + 1000)),
    ]
}

fn encode_file(records: &[Record]) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = encode_file_head(MARK).to_vec();
    let mut ends = vec![bytes.len()];
    for record in records {
        encode(MARK, record, &mut bytes);
        ends.push(bytes.len());
    }
    (bytes, ends)
}

pub(crate) fn read_all(source: impl Source) -> (Option<Mark>, Vec<Entry>) {
    let (mark, mut entries) = read(source, None).expect("the source can be read");
    let entries = std::iter::from_fn(move || entries.next_entry().expect("the source can be read"));
    (mark, entries.collect())
}

fn records(entries: &[Entry]) -> Vec<Record> {
    let record = |entry: &Entry| match entry {
        Entry::Record { record, .. } => Some(record.clone()),
        _ => None,
    };
    entries.iter().filter_map(record).collect()
}

proptest! {
    /// A file cut at any byte: the complete frames before the cut are read, and the rest is torn, not
    /// damaged.
    #[test]
    fn reads_all_complete_frames_of_a_truncated_file(
        list in proptest::collection::vec(record(), 0..12), cut in any::<prop::sample::Index>()
    ) {
        let (mut bytes, ends) = encode_file(&list);
        let at = cut.index(bytes.len() + 1);
        bytes.truncate(at);
        let complete = ends.iter().filter(|end| **end <= at).count().saturating_sub(1);
        let (_, entries) = read_all(&bytes[..]);
        prop_assert_eq!(records(&entries), &list[..complete]);
        prop_assert!(!entries.iter().any(|p| matches!(p, Entry::Damaged { .. })), "{:?}", entries);
    }

    /// A damaged byte loses only the frame that contains it, and is reported as damage.
    #[test]
    fn a_damaged_byte_loses_only_its_frame(
        list in proptest::collection::vec(record(), 1..12), at in any::<prop::sample::Index>(), flip in 1..=255u8
    ) {
        let (mut bytes, ends) = encode_file(&list);
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        let (mark, entries) = read_all(&bytes[..]);
        let hit = ends.iter().filter(|end| **end <= at).count();
        let kept: Vec<Record> = list.iter().enumerate().filter(|(n, _)| hit != n + 1).map(|(_, r)| r.clone()).collect();
        prop_assert_eq!(records(&entries), kept.clone());
        // The mark is unknown if neither the file head nor any frame is intact.
        prop_assert_eq!(mark, (!kept.is_empty() || hit > 0).then_some(MARK));
        let reported = entries.iter().any(|p| matches!(p, Entry::Damaged { at: from, size } if (*from..from + size).contains(&at)));
        prop_assert!(reported, "{} {:?}", at, entries);
    }

    /// Bytes inserted into or removed from one frame lose only that frame.
    #[test]
    fn inserted_or_missing_bytes_lose_only_their_frame(
        list in proptest::collection::vec(record(), 3..12), noise in proptest::collection::vec(any::<u8>(), 0..40)
    ) {
        let (bytes, ends) = encode_file(&list);
        let (from, to) = (ends[1] + 3, ends[2] - 3);
        let damaged: Vec<u8> = [&bytes[..from], &noise, &bytes[to..]].concat();
        let (_, entries) = read_all(&damaged[..]);
        let kept: Vec<Record> = [&list[..1], &list[2..]].concat();
        prop_assert_eq!(records(&entries), kept);
    }

    /// Frames inside a body, whether of this file or another one, are never read as records.
    #[test]
    fn frames_in_a_body_are_not_read_as_records(inner in proptest::collection::vec(record(), 1..4), hit in any::<bool>()) {
        let (mut forged, _) = encode_file(&inner);
        if !hit { forged[8] ^= 1; }
        let other = Mark(*b"othr");
        let mut own = encode_file_head(other).to_vec();
        encode(other, &accepted("outer", forged), &mut own);
        encode(other, &Record::Gap, &mut own);
        let head = own.len() - 1;
        // Also if the frame around the body or the file head is damaged.
        for at in [0, FILE_HEAD_BYTES + 1, FILE_HEAD_BYTES + FRAME_HEAD_BYTES + 3, head] {
            let mut damaged = own.clone();
            damaged[at] ^= 0x55;
            let got = records(&read_all(&damaged[..]).1);
            prop_assert!(got.iter().all(|r| matches!(r, Record::Gap) || r.id() == Some("outer")), "{} {:?}", at, got);
        }
    }

    /// A file reads the same through a window of any size as from memory, and the window buffers no more
    /// than a chunk and the longest frame.
    #[test]
    fn a_window_reads_the_same_as_memory(
        list in proptest::collection::vec(record(), 0..12), chunk in 1..200usize,
        hits in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..3)
    ) {
        let (mut bytes, ends) = encode_file(&list);
        for (at, byte) in hits {
            let at = at.index(bytes.len());
            bytes[at] ^= byte;
        }
        let mut file = tempfile::tempfile().expect("a temporary file");
        std::io::Write::write_all(&mut file, &bytes).expect("the file is writable");
        let window = || Window::new(file.try_clone().expect("a descriptor"), bytes.len() as u64, chunk);
        prop_assert_eq!(read_all(window()), read_all(&bytes[..]));
        let longest = ends.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(0);
        let (_, mut entries) = read(window(), None).expect("the file can be read");
        while entries.next_entry().expect("the file can be read").is_some() {
            let damage = 2 * bytes.len() * usize::from(read_all(&bytes[..]).1.iter().any(|p| !matches!(p, Entry::Record { .. })));
            let max = chunk.max(longest).max(FILE_HEAD_BYTES) + damage;
            prop_assert!(entries.source.buffer.len() <= max, "{} bytes buffered", entries.source.buffer.len());
        }
    }

    /// Random bytes never cause a failure, and every byte belongs to an entry.
    #[test]
    fn accounts_for_every_byte_of_any_input(bytes in proptest::collection::vec(any::<u8>(), 0..300), head in any::<bool>()) {
        let bytes = if head { [&encode_file_head(MARK)[..], &bytes].concat() } else { bytes };
        let (_, entries) = read_all(&bytes[..]);
        let sum: usize = entries.iter().map(|p| match p {
            Entry::Record { size, .. } | Entry::Damaged { size, .. } | Entry::Torn { size, .. } => *size,
        }).sum();
        prop_assert_eq!(sum, bytes.len() - if head { FILE_HEAD_BYTES } else { 0 });
    }
}

#[test]
fn reads_a_file_of_the_first_version() {
    let mut old = Vec::new();
    for record in [accepted("a", vec![1, 2]), Record::Closed("a".into(), End::Delivered, NOW)] {
        let mut frame = Vec::new();
        encode(MARK, &record, &mut frame);
        let payload = &frame[FRAME_HEAD_BYTES..];
        old.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        old.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
        old.extend_from_slice(payload);
    }
    old.extend_from_slice(&[9, 0, 0]);
    let (mark, entries) = read_all(&old[..]);
    assert_eq!((mark, records(&entries).len()), (None, 2));
    assert!(matches!(entries.last(), Some(Entry::Torn { size: 3, .. })));
}
