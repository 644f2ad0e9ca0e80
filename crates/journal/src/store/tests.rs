//! Tests of `store`.

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
    Journal::open(&folder.0, options, NOW).expect("the journal opens")
}

fn open_messages(records: &[Record]) -> Vec<OpenMessage> {
    let mut replay = Replay::default();
    records.iter().for_each(|r| replay.apply(r.clone()));
    replay.finish().0
}

fn closed(id: &str) -> Record {
    Record::Closed(id.into(), End::Delivered, NOW + 1000)
}

/// Records as an engine writes them: each message is accepted once, and its attempts are sent one after
/// another.
fn history() -> impl Strategy<Value = Vec<Record>> {
    let steps = proptest::collection::vec((0..4usize, 0..4u8, any::<bool>()), 1..30);
    steps.prop_map(|steps| {
        // By message: number of attempts, whether one is in flight, whether the message is closed.
        let mut messages: [Option<(usize, bool, bool)>; 4] = [None; 4];
        let mut records = Vec::new();
        for (n, step, flag) in steps {
            let id = format!("m{n}");
            match (&mut messages[n], step) {
                (unknown @ None, _) => {
                    *unknown = Some((0, false, false));
                    records.push(accepted(&id, vec![n as u8; 10]));
                }
                (Some((.., true)), _) => {}
                (Some((attempts, in_flight @ false, _)), 0 | 1) => {
                    records.push(Record::Sent(id, *attempts, NOW, "hall-a".into()));
                    (*attempts, *in_flight) = (*attempts + 1, true);
                }
                (Some((attempts, in_flight @ true, _)), 0 | 1) => {
                    records.push(Record::Ended(id, *attempts - 1, flag));
                    *in_flight = false;
                }
                (Some((_, _, is_closed)), 2) => {
                    *is_closed = true;
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

    /// Reopening a journal, with or without a compaction before, recovers the same open messages.
    #[test]
    fn replays_all_written_records(
        records in proptest::collection::vec(record(), 0..20), compact in any::<bool>(), disk in any::<bool>()
    ) {
        let folder = Folder::new();
        let durability = if disk { Durability::Disk } else { Durability::Process };
        let options = Options { max_bytes: LIMIT, durability };
        let (mut journal, _) = Journal::open(&folder.0, options, NOW).expect("the journal opens");
        for part in records.chunks(3) {
            journal.commit(part, NOW).expect("there is space");
        }
        if compact {
            journal.compact(NOW).expect("there is space");
        }
        drop(journal);
        let (_, recovered) = open(&folder, LIMIT);
        prop_assert_eq!(recovered.open, open_messages(&records));
        prop_assert!(recovered.damage.is_empty());
    }

    /// Damages a file at a random position. The first open reports the damage, a second one finds the
    /// same messages and no damage, and a message that may have lost a record is never treated as one
    /// that did not run.
    #[test]
    fn reports_damage_once_and_keeps_affected_messages_in_doubt(
        records in history(), at in any::<prop::sample::Index>(), len in 1..30usize
    ) {
        let folder = Folder::new();
        let (mut journal, _) = open(&folder, LIMIT);
        journal.commit(&records, NOW).expect("there is space");
        drop(journal);
        let mut bytes = fs::read(folder.file()).expect("the file exists");
        let at = at.index(bytes.len());
        let to = bytes.len().min(at + len);
        bytes[at..to].iter_mut().for_each(|b| *b ^= 0xff);
        fs::write(folder.file(), &bytes).expect("the file is writable");
        let (journal, first) = open(&folder, LIMIT);
        prop_assert!(!first.damage.is_empty());
        drop(journal);
        let (_, second) = open(&folder, LIMIT);
        prop_assert_eq!(&second.damage, &[]);
        let ids = |r: &Recovered| r.open.iter().map(|o| (o.accepted.id.clone(), o.in_doubt)).collect::<Vec<_>>();
        prop_assert_eq!(ids(&first), ids(&second));
        // A message that was open before the damage and lost a record is in doubt, an orphan, or unknown.
        let is_orphan = |id: &String| first.orphans.iter().any(|(o, _)| o == id);
        for before in open_messages(&records) {
            let id = &before.accepted.id;
            let Some(after) = first.open.iter().find(|o| o.accepted.id == *id) else {
                let named = records.iter().filter(|r| r.id() == Some(id)).count();
                // A later record of the message may be damaged as well.
                prop_assert!(is_orphan(id) || named <= 2, "{:?}", before);
                continue;
            };
            let risks = |o: &OpenMessage| o.attempts.iter().filter(|a| a.may_have_run).count();
            prop_assert!(risks(&before) <= risks(after) || after.in_doubt, "{:?} {:?}", before, after);
            prop_assert!(
                before.pending_notice == after.pending_notice || after.in_doubt,
                "{:?} {:?}", before, after
            );
        }
        // A closed message that appears open again is in doubt, so that an unsafe message is not
        // repeated.
        let was_closed = |id: &str| !open_messages(&records).iter().any(|o| o.accepted.id == id);
        prop_assert!(first.open.iter().all(|o| !was_closed(&o.accepted.id) || o.in_doubt));
    }

    /// A compaction interrupted at any byte leaves the old file in force and unchanged.
    #[test]
    fn an_interrupted_compaction_changes_nothing(
        records in proptest::collection::vec(record(), 0..12), cut in any::<prop::sample::Index>()
    ) {
        let folder = Folder::new();
        let (mut journal, _) = open(&folder, LIMIT);
        journal.commit(&records, NOW).expect("there is space");
        let before = fs::read(folder.file()).expect("the file exists");
        journal.compact(NOW).expect("there is space");
        drop(journal);
        let mut new = fs::read(folder.file()).expect("the file exists");
        new.truncate(cut.index(new.len() + 1));
        fs::write(folder.file(), before).expect("the file is writable");
        fs::write(folder.0.join("journal.new"), new).expect("the file is writable");
        let (_, recovered) = open(&folder, LIMIT);
        prop_assert_eq!(recovered.open, open_messages(&records));
        prop_assert!(!folder.0.join("journal.new").exists());
    }
}

#[test]
fn compaction_bounds_the_file_size_and_drops_closed_messages() {
    let folder = Folder::new();
    let (mut journal, _) = open(&folder, LIMIT);
    journal.commit(&[accepted("kept", vec![1; 100])], NOW).expect("there is space");
    for n in 0..2000u64 {
        let id = format!("m{n}");
        journal.commit(&[accepted(&id, vec![0; 400])], NOW + n).expect("there is space");
        journal.enqueue(&Record::Closed(id, End::Delivered, NOW + n + 10), NOW + n);
        assert!(journal.len <= MIN_COMPACT_BYTES + 1024);
    }
    journal.commit(&[], NOW).expect("there is space");
    let size = fs::metadata(&journal.path).expect("the file exists").len();
    assert_eq!(size, journal.len);
    drop(journal);
    let options = Options { max_bytes: LIMIT, durability: Durability::Process };
    let (reopened, recovered) = Journal::open(&folder.0, options, NOW + 2005).expect("the journal opens");
    assert_eq!(recovered.open.iter().map(|o| o.accepted.id.as_str()).collect::<Vec<_>>(), ["kept"]);
    assert!(reopened.end_of("m1999").is_some() && reopened.end_of("m1000").is_none());
}

#[test]
fn a_full_journal_has_space_for_the_ends_of_accepted_messages() {
    let folder = Folder::new();
    let (mut journal, _) = open(&folder, 40_000);
    let mut ids = Vec::new();
    while journal.has_room(1, 500, NOW) {
        let id = format!("m{}", ids.len());
        journal.commit(&[accepted(&id, vec![0; 500])], NOW).expect("has_room returned true");
        ids.push(id);
    }
    assert!(ids.len() > 2);
    for id in ids {
        for attempt in 0..3 {
            journal
                .commit(&[Record::Sent(id.clone(), attempt, NOW, "hall-a".into())], NOW)
                .expect("space is reserved");
            journal.enqueue(&Record::Ended(id.clone(), attempt, false), NOW);
        }
        journal.enqueue(&Record::Closed(id, End::Failed, 0), NOW);
        journal.commit(&[], NOW).expect("space is reserved");
    }
    assert!(journal.has_room(1, 500, NOW));
}

#[test]
fn is_not_compacted_for_each_message_near_the_size_limit() {
    let folder = Folder::new();
    let (mut journal, _) = open(&folder, 400_000);
    let (mut compacted, mut refused) = (0, 0);
    for n in 0..2000 {
        let (id, len) = (format!("m{n}"), journal.len);
        if journal.has_room(1, 500, NOW) {
            journal.commit(&[accepted(&id, vec![0; 500])], NOW).expect("has_room returned true");
        } else {
            refused += 1;
            // One message ends for each one refused, so that compaction could always free a little.
            journal.enqueue(&Record::Closed(format!("m{refused}"), End::Failed, 0), NOW);
            journal.commit(&[], NOW).expect("space is reserved");
        }
        compacted += usize::from(journal.len < len);
    }
    assert!(refused > 100 && compacted > 0 && compacted < 100, "{refused} refused, {compacted} compacted");
}

#[test]
fn a_failed_write_keeps_only_the_backlog() {
    let folder = Folder::new();
    let (mut journal, _) = open(&folder, LIMIT);
    journal.commit(&[accepted("a", vec![])], NOW).expect("there is space");
    journal.limit = journal.len;
    journal.enqueue(&closed("a"), NOW);
    assert!(journal.commit(&[accepted("b", vec![])], NOW).is_err());
    assert!(!journal.is_flushed());
    journal.limit = LIMIT;
    journal.commit(&[], NOW).expect("there is space again");
    assert!(journal.is_flushed());
    drop(journal);
    let (reopened, recovered) = open(&folder, LIMIT);
    assert!(recovered.open.is_empty() && reopened.end_of("a").is_some());
}

/// After a short write whose remains could not be truncated at once, they must be cut off before the next
/// turn is written: otherwise its records would follow a torn frame.
#[test]
fn cuts_off_the_remains_of_a_short_write_before_the_next_one() {
    let folder = Folder::new();
    let (mut journal, _) = open(&folder, LIMIT);
    journal.commit(&[accepted("a", vec![])], NOW).expect("there is space");
    // The state after a short write that has not been truncated yet.
    let mut frame_bytes = Vec::new();
    frame::encode(journal.mark, &accepted("b", vec![0; 50]), &mut frame_bytes);
    journal.file.write_all(&frame_bytes[..frame_bytes.len() / 2]).expect("the file is writable");
    journal.tail_unknown = true;
    journal.commit(&[accepted("c", vec![])], NOW).expect("there is space");
    drop(journal);
    let (_, recovered) = open(&folder, LIMIT);
    let ids: Vec<&str> = recovered.open.iter().map(|o| o.accepted.id.as_str()).collect();
    assert_eq!((ids, recovered.damage.len(), recovered.torn_bytes), (vec!["a", "c"], 0, 0));
}

#[test]
fn refuses_to_open_a_locked_journal() {
    let folder = Folder::new();
    let (journal, _) = open(&folder, LIMIT);
    let options = Options { max_bytes: LIMIT, durability: Durability::Process };
    assert!(matches!(Journal::open(&folder.0, options, NOW), Err(JournalError::Locked(_))));
    drop(journal);
    assert!(Journal::open(&folder.0, options, NOW).is_ok());
}

/// If an `Accepted` record is lost and a later record names the message, a notice is due for it, over all
/// restarts until the message is closed.
#[test]
fn keeps_a_notice_pending_for_a_message_whose_content_is_lost() {
    let folder = Folder::new();
    let (mut journal, _) = open(&folder, LIMIT);
    journal.commit(&[accepted("a", vec![7; 200]), accepted("b", vec![])], NOW).expect("there is space");
    journal.commit(&[Record::Sent("a".into(), 0, NOW, "hall-a".into())], NOW).expect("there is space");
    drop(journal);
    let mut bytes = fs::read(folder.file()).expect("the file exists");
    let body = bytes.windows(20).position(|w| w == [7; 20]).expect("the body is in the file");
    bytes[body] = 8;
    fs::write(folder.file(), bytes).expect("the file is writable");
    for _ in 0..3 {
        let (journal, recovered) = open(&folder, LIMIT);
        let pending = |r: &Recovered| -> Vec<String> {
            let open = r.open.iter().filter(|o| o.pending_notice.is_some()).map(|o| o.accepted.id.clone());
            r.orphans.iter().map(|(id, _)| id.clone()).chain(open).collect()
        };
        assert_eq!(pending(&recovered), ["a"]);
        assert_eq!(journal.end_of("a"), None);
    }
    let (mut journal, _) = open(&folder, LIMIT);
    journal.enqueue(&Record::Closed("a".into(), End::Failed, 0), NOW);
    journal.commit(&[], NOW).expect("there is space");
    drop(journal);
    let (_, recovered) = open(&folder, LIMIT);
    assert!(recovered.orphans.is_empty() && recovered.open.len() == 1);
}

/// Guards against the loss of every record where the file head and a record of more than half of the file
/// are damaged together.
#[test]
fn reads_the_records_behind_a_damaged_head_and_a_large_damaged_record() {
    let folder = Folder::new();
    let (mut journal, _) = open(&folder, LIMIT);
    let records = [
        accepted("large", vec![7; 4000]),
        accepted("small", vec![]),
        Record::Sent("large".into(), 0, NOW, "hall-a".into()),
    ];
    journal.commit(&records, NOW).expect("there is space");
    drop(journal);
    let mut bytes = fs::read(folder.file()).expect("the file exists");
    bytes[..FILE_HEAD_BYTES + 1].fill(0);
    fs::write(folder.file(), bytes).expect("the file is writable");
    let (_, recovered) = open(&folder, LIMIT);
    assert_eq!(recovered.open.iter().map(|o| o.accepted.id.as_str()).collect::<Vec<_>>(), ["small"]);
    assert_eq!(recovered.orphans, [("large".to_owned(), NoticeEnd::GivenUp)]);
}

/// A lock file without a copy of the head, or with that of another journal, is no worse than none.
#[test]
fn a_missing_or_foreign_copy_of_the_head_does_not_hide_records() {
    for copy in [Vec::new(), frame::encode_file_head(Mark(*b"\x80foe")).to_vec()] {
        let folder = Folder::new();
        let (mut journal, _) = open(&folder, LIMIT);
        journal.commit(&[accepted("a", vec![]), accepted("b", vec![])], NOW).expect("there is space");
        drop(journal);
        let mut bytes = fs::read(folder.file()).expect("the file exists");
        bytes[..FILE_HEAD_BYTES].fill(0);
        fs::write(folder.file(), bytes).expect("the file is writable");
        fs::write(folder.0.join("journal.lock"), copy).expect("the file is writable");
        let (_, recovered) = open(&folder, LIMIT);
        assert_eq!(recovered.open.len(), 2);
    }
}

/// An operator with several forwarders on a machine has to know which folder an error is about.
#[test]
fn errors_name_the_folder_and_the_limit() {
    let folder = Folder::new();
    let name = folder.0.display().to_string();
    let (mut journal, _) = open(&folder, 20_000);
    let full = journal.commit(&[accepted("large", vec![0; 30_000])], NOW).expect_err("there is no space");
    assert!(full.to_string().contains(&name) && full.to_string().contains("20000"), "{full}");
    let options = Options { max_bytes: LIMIT, durability: Durability::Process };
    let missing = folder.0.join("missing");
    let unreadable = Journal::open(&missing, options, NOW).expect_err("the folder does not exist");
    assert!(unreadable.to_string().contains(&missing.display().to_string()), "{unreadable}");
}
