//! Segments: one journal for each shard of a process, and the way from one number of shards to another.
//!
//! ```text
//! state/journal                     one shard, as it always was: generation 0
//! state/layout-G-N/shard-K/journal  N shards, generation G
//! state/layout.new                  a layout that was not finished
//! ```
//!
//! A start with another number of shards writes a whole new layout beside the old one and renames it into its place.
//! Until then the old one is in force; from then on the new one is, being of a higher generation, and the old one is
//! taken away. An open message goes to the shard of its destination. An end is known by the hash of its message's id
//! alone, so it goes to all shards until it is past.

use crate::replay::OpenMessage;
use crate::store::{self, Carried, Durability, JournalError, Options};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// A layout that stands in a folder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Layout {
    generation: u64,
    shards: usize,
    /// Where it stands; none for generation 0, whose journal stands in the state folder itself.
    folder: Option<PathBuf>,
}

impl Layout {
    fn segments(&self, state: &Path) -> Vec<PathBuf> {
        match &self.folder {
            None => vec![state.to_path_buf()],
            Some(folder) => (0..self.shards).map(|k| folder.join(format!("shard-{k}"))).collect(),
        }
    }
}

/// The folders of the journals of so many shards, in their order. What the journals of another number of shards
/// hold has been taken over; `shard_of` tells the shard of a destination. `options` are those of each segment.
///
/// # Errors
///
/// As for [`crate::Journal::open`]; also [`JournalError::Full`] if what is to be taken over has no room. The old
/// layout is in force then.
pub fn prepare_segments(
    state: &Path,
    shards: usize,
    options: Options,
    now: u64,
    shard_of: impl Fn(u64) -> usize,
) -> Result<Vec<PathBuf>, JournalError> {
    let unfinished = state.join("layout.new");
    if unfinished.exists() {
        fs::remove_dir_all(&unfinished)?;
    }
    let mut found = layouts(state)?;
    found.sort();
    let Some(old) = found.pop() else { return Ok(vec![state.to_path_buf()]) };
    // Left by a process that ended between the two steps: whatever stands in them stands in the newest too.
    for layout in &found {
        take_away(state, layout)?;
    }
    if old.shards == shards.max(1) {
        return Ok(old.segments(state));
    }
    // Held until the new layout is in force.
    let held: Vec<Carried> = old
        .segments(state)
        .iter()
        .map(|folder| store::carry(folder, options, now))
        .collect::<Result<_, _>>()?;
    let new = Layout {
        generation: old.generation + 1,
        shards: shards.max(1),
        folder: Some(state.join(format!("layout-{}-{}", old.generation + 1, shards.max(1)))),
    };
    let parts = Layout { folder: Some(unfinished.clone()), ..new.clone() };
    for (number, folder) in parts.segments(state).iter().enumerate() {
        let own = |open: &&OpenMessage| shard_of(open.accepted.dest) == number;
        let open: Vec<&OpenMessage> = held.iter().flat_map(|c| &c.open).filter(own).collect();
        // Whose content is lost is of no known destination: the first shard owes those their end.
        let orphans = held.iter().filter(|_| number == 0).flat_map(|c| &c.orphans);
        store::plant(folder, options, now, &held, &open, orphans)?;
    }
    let synced = |folder: &Path| match options.durability {
        Durability::Process => Ok(()),
        Durability::Disk => File::open(folder)?.sync_all(),
    };
    synced(&unfinished)?;
    if let Some(folder) = &new.folder {
        fs::rename(&unfinished, folder)?;
    }
    synced(state)?;
    // Still held: nobody else may take on anything there meanwhile.
    take_away(state, &old)?;
    drop(held);
    Ok(new.segments(state))
}

/// Whether the journals of several shards stand in a folder, or have stood there: [`prepare_segments`] finds its way there,
/// [`crate::Journal::open`] alone does not.
///
/// # Errors
///
/// The folder can't be read.
pub fn has_sharded_layout(state: &Path) -> io::Result<bool> {
    Ok(layouts(state)?.iter().any(|layout| layout.folder.is_some()))
}

/// The layouts of a state folder; generation 0 is one of them as long as nothing has come after it.
fn layouts(state: &Path) -> io::Result<Vec<Layout>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(state)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|n| n.to_str()).unwrap_or_default();
        let numbers = name.strip_prefix("layout-").and_then(|rest| rest.split_once('-'));
        if let Some((generation, shards)) = numbers.and_then(|(g, n)| g.parse().ok().zip(n.parse().ok())) {
            found.push(Layout { generation, shards, folder: Some(path) });
        }
    }
    if found.is_empty() || state.join("journal").exists() {
        found.push(Layout { generation: 0, shards: 1, folder: None });
    }
    Ok(found)
}

fn take_away(state: &Path, layout: &Layout) -> io::Result<()> {
    match &layout.folder {
        Some(folder) => fs::remove_dir_all(folder),
        None => match fs::remove_file(state.join("journal")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::frame::tests::NOW;
    use crate::record::{Accepted, End, NoticeEnd, Record};
    use crate::store::Journal;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    const OPTIONS: Options = Options { max_bytes: 4 << 20, durability: Durability::Process };

    fn shard(shards: usize) -> impl Fn(u64) -> usize {
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

    /// Every message that is open anywhere, with the shard that has it.
    fn open(folders: &[PathBuf]) -> BTreeMap<String, (usize, OpenMessage)> {
        let mut all = BTreeMap::new();
        for (number, folder) in folders.iter().enumerate() {
            let (_, recovered) = Journal::open(folder, OPTIONS, NOW).expect("it opens");
            for open in recovered.open {
                assert!(all.insert(open.accepted.id.clone(), (number, open)).is_none(), "taken up twice");
            }
        }
        all
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(24))]

        /// Over any sequence of shard counts, with a process that ends before or after the last step: each open
        /// message is taken up once, by its own shard, as it was, and every end that binds is known to each shard.
        #[test]
        fn nothing_is_lost_or_doubled_between_two_numbers_of_shards(
            counts in proptest::collection::vec(1..5usize, 1..5), cut in any::<bool>()
        ) {
            let state = tempfile::tempdir().expect("a folder");
            let state = state.path();
            let first = prepare_segments(state, 1, OPTIONS, NOW, shard(1)).expect("it is new");
            let (mut journal, _) = Journal::open(&first[0], OPTIONS, NOW).expect("it opens");
            let records: Vec<Record> = (0..20).map(message).collect();
            journal.commit(&records, NOW).expect("there is room");
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
            journal.commit(&[], NOW).expect("there is room");
            drop(journal);
            let before = open(&first);
            prop_assert_eq!(before.len(), 16);
            for shards in counts {
                if cut {
                    // A layout that was not finished.
                    fs::create_dir_all(state.join("layout.new/shard-0")).expect("a folder");
                    fs::write(state.join("layout.new/shard-0/journal"), b"half").expect("it is writable");
                }
                let folders = prepare_segments(state, shards, OPTIONS, NOW, shard(shards)).expect("there is room");
                prop_assert_eq!(folders.len(), shards);
                let now = open(&folders);
                prop_assert_eq!(now.len(), before.len());
                for (id, (number, open)) in &now {
                    prop_assert_eq!(*number, open.accepted.dest as usize % shards);
                    prop_assert_eq!(open, &before[id].1);
                }
                for folder in &folders {
                    let (journal, _) = Journal::open(folder, OPTIONS, NOW).expect("it opens");
                    for n in (0..20).step_by(5) {
                        prop_assert_eq!(journal.end_of(&format!("m{n}")), Some((End::Delivered, NOW + 5000)));
                    }
                }
                let kept = layouts(state).expect("it can be read");
                prop_assert_eq!(kept.len(), 1, "{:?}", kept);
            }
        }
    }

    /// A process that ended after the new layout was in force and before the old one was gone.
    #[test]
    fn of_two_layouts_the_newer_is_in_force() {
        let state = tempfile::tempdir().expect("a folder");
        let state = state.path();
        let first = prepare_segments(state, 1, OPTIONS, NOW, shard(1)).expect("it is new");
        let (mut journal, _) = Journal::open(&first[0], OPTIONS, NOW).expect("it opens");
        journal.commit(&[message(1), message(2)], NOW).expect("there is room");
        drop(journal);
        let old = fs::read(state.join("journal")).expect("it is there");
        let folders = prepare_segments(state, 2, OPTIONS, NOW, shard(2)).expect("there is room");
        let (mut journal, _) = Journal::open(&folders[1], OPTIONS, NOW).expect("it opens");
        journal.enqueue(&Record::Closed("m1".into(), End::Delivered, NOW + 5000), NOW);
        journal.commit(&[], NOW).expect("there is room");
        drop(journal);
        fs::write(state.join("journal"), old).expect("it is writable");
        let again = prepare_segments(state, 2, OPTIONS, NOW, shard(2)).expect("there is room");
        assert_eq!(again, folders);
        assert_eq!(open(&again).keys().collect::<Vec<_>>(), ["m2"]);
        assert!(!state.join("journal").exists());
    }

    /// Segments that began with nothing, and files written anew once all their ends were past: the key of their hashes
    /// must outlast that, or the ends of two segments could not be told apart from then on.
    #[test]
    fn segments_that_held_no_ends_can_be_laid_out_anew() {
        let state = tempfile::tempdir().expect("a folder");
        let state = state.path();
        let mut now = NOW;
        for shards in [4, 2, 3, 1] {
            let folders =
                prepare_segments(state, shards, OPTIONS, now, shard(shards)).expect("there is room");
            for (number, folder) in folders.iter().enumerate() {
                let (mut journal, _) = Journal::open(folder, OPTIONS, now).expect("it opens");
                // Long enough to be written anew, with no end in it: those of the round before are past.
                for _ in 0..100 {
                    journal.commit(&vec![Record::Gap; 200], now).expect("there is room");
                }
                let until = now + 5000;
                journal.enqueue(&Record::Closed(format!("{shards}-{number}"), End::Failed, until), now);
                journal.commit(&[], now).expect("there is room");
            }
            now += 10_000;
        }
    }

    /// Another process has the old segments: nothing is taken from under it.
    #[test]
    fn segments_that_are_held_are_left_alone() {
        let state = tempfile::tempdir().expect("a folder");
        let first = prepare_segments(state.path(), 1, OPTIONS, NOW, shard(1)).expect("it is new");
        let (held, _) = Journal::open(&first[0], OPTIONS, NOW).expect("it opens");
        let taken = prepare_segments(state.path(), 3, OPTIONS, NOW, shard(3));
        assert!(matches!(taken, Err(JournalError::Locked(_))), "{taken:?}");
        drop(held);
        assert!(prepare_segments(state.path(), 3, OPTIONS, NOW, shard(3)).is_ok());
    }
}
