//! Tests of `segments`.

use super::*;
use crate::frame::tests::NOW;
use crate::record::{Accepted, End, NoticeEnd, Record};
use crate::store::Journal;
use proptest::prelude::*;
use std::collections::BTreeMap;

const OPTIONS: Options = Options { max_bytes: 4 << 20, durability: Durability::Process };

fn shard_of(shards: usize) -> impl Fn(u64) -> usize {
    move |dest| dest as usize % shards
}

fn message(n: u64) -> Record {
    Record::Accepted(Accepted {
        id: format!("m{n}"),
        class: "settle-order".into(),
        tenant: None,
        dest: n,
        key: None,
        deadline: NOW + 5000,
        body: vec![n as u8; 20].into(),
    })
}

/// Returns all open messages with their shards, and checks that none is in two shards.
fn open_messages(folders: &[PathBuf]) -> BTreeMap<String, (usize, OpenMessage)> {
    let mut all = BTreeMap::new();
    for (number, folder) in folders.iter().enumerate() {
        let (_, recovered) = Journal::open(folder, OPTIONS, NOW).expect("the journal opens");
        for open in recovered.open {
            assert!(all.insert(open.accepted.id.clone(), (number, open)).is_none(), "open in two shards");
        }
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Migrates through random shard counts, optionally with an unfinished layout left by a crash. Each
    /// open message must be in its own shard only, unchanged, and every unexpired end must be known to
    /// each shard.
    #[test]
    fn migration_neither_loses_nor_duplicates_messages(
        counts in proptest::collection::vec(1..5usize, 1..5), crash in any::<bool>()
    ) {
        let state = tempfile::tempdir().expect("a temporary folder");
        let state = state.path();
        let first = prepare_segments(state, 1, OPTIONS, NOW, shard_of(1)).expect("the folder is new");
        let (mut journal, _) = Journal::open(&first[0], OPTIONS, NOW).expect("the journal opens");
        let records: Vec<Record> = (0..20).map(message).collect();
        journal.commit(&records, NOW).expect("there is space");
        for n in 0..20u64 {
            let id = format!("m{n}");
            match n % 5 {
                0 => journal.enqueue(&Record::Closed(id, End::Delivered, NOW + 5000), NOW),
                1 => journal.enqueue(&Record::Sent(id, 0, NOW - 7, "a".into()), NOW),
                2 => {
                    journal.enqueue(&Record::Sent(id.clone(), 0, NOW - 7, "a".into()), NOW);
                    journal.enqueue(&Record::Ended(id, 0, false), NOW);
                }
                3 => journal.enqueue(&Record::NoticePending(id, NoticeEnd::GivenUp, NOW + 5000), NOW),
                _ => {}
            }
        }
        journal.commit(&[], NOW).expect("there is space");
        drop(journal);
        let before = open_messages(&first);
        prop_assert_eq!(before.len(), 16);
        for shards in counts {
            if crash {
                // An unfinished layout.
                fs::create_dir_all(state.join("layout.new/shard-0")).expect("the folder is writable");
                fs::write(state.join("layout.new/shard-0/journal"), b"half").expect("the file is writable");
            }
            let folders = prepare_segments(state, shards, OPTIONS, NOW, shard_of(shards)).expect("there is space");
            prop_assert_eq!(folders.len(), shards);
            let now = open_messages(&folders);
            prop_assert_eq!(now.len(), before.len());
            for (id, (number, open)) in &now {
                prop_assert_eq!(*number, open.accepted.dest as usize % shards);
                prop_assert_eq!(open, &before[id].1);
            }
            for folder in &folders {
                let (journal, _) = Journal::open(folder, OPTIONS, NOW).expect("the journal opens");
                for n in (0..20).step_by(5) {
                    prop_assert_eq!(journal.end_of(&format!("m{n}")), Some((End::Delivered, NOW + 5000)));
                }
            }
            let remaining = layouts(state).expect("the folder can be read");
            prop_assert_eq!(remaining.len(), 1, "{:?}", remaining);
        }
    }
}

/// The process ended after the new layout came into force and before the old one was removed.
#[test]
fn uses_the_newer_of_two_layouts() {
    let state = tempfile::tempdir().expect("a temporary folder");
    let state = state.path();
    let first = prepare_segments(state, 1, OPTIONS, NOW, shard_of(1)).expect("the folder is new");
    let (mut journal, _) = Journal::open(&first[0], OPTIONS, NOW).expect("the journal opens");
    journal.commit(&[message(1), message(2)], NOW).expect("there is space");
    drop(journal);
    let old = fs::read(state.join("journal")).expect("the journal exists");
    let folders = prepare_segments(state, 2, OPTIONS, NOW, shard_of(2)).expect("there is space");
    let (mut journal, _) = Journal::open(&folders[1], OPTIONS, NOW).expect("the journal opens");
    journal.enqueue(&Record::Closed("m1".into(), End::Delivered, NOW + 5000), NOW);
    journal.commit(&[], NOW).expect("there is space");
    drop(journal);
    fs::write(state.join("journal"), old).expect("the file is writable");
    let reopened = prepare_segments(state, 2, OPTIONS, NOW, shard_of(2)).expect("there is space");
    assert_eq!(reopened, folders);
    assert_eq!(open_messages(&reopened).keys().collect::<Vec<_>>(), ["m2"]);
    assert!(!state.join("journal").exists());
}

/// Segments that start empty, and files compacted after all their ends had expired, must keep the hash
/// key: otherwise the segments would have different keys, and their ends could not be merged in a later
/// migration.
#[test]
fn migrates_segments_that_held_no_ends() {
    let state = tempfile::tempdir().expect("a temporary folder");
    let state = state.path();
    let mut now = NOW;
    for shards in [4, 2, 3, 1] {
        let folders =
            prepare_segments(state, shards, OPTIONS, now, shard_of(shards)).expect("there is space");
        for (number, folder) in folders.iter().enumerate() {
            let (mut journal, _) = Journal::open(folder, OPTIONS, now).expect("the journal opens");
            // Enough records to cause a compaction; the ends of the previous round have expired by then.
            for _ in 0..100 {
                journal.commit(&vec![Record::Gap; 200], now).expect("there is space");
            }
            let until = now + 5000;
            journal.enqueue(&Record::Closed(format!("{shards}-{number}"), End::Failed, until), now);
            journal.commit(&[], now).expect("there is space");
        }
        now += 10_000;
    }
}

/// Another process has the old segments open: they must not be migrated.
#[test]
fn does_not_migrate_locked_segments() {
    let state = tempfile::tempdir().expect("a temporary folder");
    let first = prepare_segments(state.path(), 1, OPTIONS, NOW, shard_of(1)).expect("the folder is new");
    let (journal, _) = Journal::open(&first[0], OPTIONS, NOW).expect("the journal opens");
    let result = prepare_segments(state.path(), 3, OPTIONS, NOW, shard_of(3));
    assert!(matches!(result, Err(JournalError::Locked(_))), "{result:?}");
    drop(journal);
    assert!(prepare_segments(state.path(), 3, OPTIONS, NOW, shard_of(3)).is_ok());
}
