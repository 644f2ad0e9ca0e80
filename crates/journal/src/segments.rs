//! Segments: one journal for each shard of a process, and migration from one number of shards to another.
//!
//! ```text
//! state/journal                     one shard: generation 0
//! state/layout-G-N/shard-K/journal  N shards, generation G
//! state/layout.new                  an unfinished layout
//! ```
//!
//! A start with another number of shards writes a complete new layout beside the old one and renames it into
//! place. Until the rename the old layout is in force; after it the new one is, since its generation is
//! higher, and the old one is removed. An open message goes to the shard of its destination. An end is stored
//! only under the hash of the message id, so its destination is unknown and it is copied to all shards until
//! it expires.

use crate::replay::OpenMessage;
use crate::store::{self, Durability, JournalError, Options, SegmentContents};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// A layout found in a state folder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Layout {
    generation: u64,
    shards: usize,
    /// Folder of the layout; `None` for generation 0, whose journal is in the state folder itself.
    folder: Option<PathBuf>,
}

impl Layout {
    fn segments(&self, state: &Path) -> Vec<PathBuf> {
        match &self.folder {
            None => vec![state.to_path_buf()],
            Some(folder) => (0..self.shards).map(|shard| folder.join(format!("shard-{shard}"))).collect(),
        }
    }
}

/// Returns the folders of the journals of `shards` shards, in order, after migrating the contents of a layout
/// with another number of shards. `shard_of` returns the shard of a destination; `options` apply to each
/// segment.
///
/// # Errors
///
/// As for [`crate::Journal::open`]; also [`JournalError::Full`] if the migrated contents do not fit. The old
/// layout then stays in force.
pub fn prepare_segments(
    state: &Path,
    shards: usize,
    options: Options,
    now: u64,
    shard_of: impl Fn(u64) -> usize,
) -> Result<Vec<PathBuf>, JournalError> {
    let state_error = |source| JournalError::Io { folder: state.to_owned(), source };
    let unfinished = state.join("layout.new");
    if unfinished.exists() {
        fs::remove_dir_all(&unfinished).map_err(state_error)?;
    }
    let mut found = layouts(state).map_err(state_error)?;
    found.sort();
    let Some(old) = found.pop() else { return Ok(vec![state.to_path_buf()]) };
    // Left by a process that ended between the rename and the removal: the newest layout holds all of their
    // contents.
    for layout in &found {
        remove_layout(state, layout).map_err(state_error)?;
    }
    if old.shards == shards.max(1) {
        return Ok(old.segments(state));
    }
    // Each stays locked until the new layout is in force.
    let contents: Vec<SegmentContents> = old
        .segments(state)
        .iter()
        .map(|folder| store::read_segment(folder, options, now).map_err(|e| e.at(folder, options.max_bytes)))
        .collect::<Result<_, _>>()?;
    let new = Layout {
        generation: old.generation + 1,
        shards: shards.max(1),
        folder: Some(state.join(format!("layout-{}-{}", old.generation + 1, shards.max(1)))),
    };
    let unfinished_layout = Layout { folder: Some(unfinished.clone()), ..new.clone() };
    for (number, folder) in unfinished_layout.segments(state).iter().enumerate() {
        let belongs_here = |open: &&OpenMessage| shard_of(open.accepted.dest) == number;
        let open: Vec<&OpenMessage> = contents.iter().flat_map(|c| &c.open).filter(belongs_here).collect();
        // The destination of an orphan is lost: the first shard sends its notice.
        let orphans = contents.iter().filter(|_| number == 0).flat_map(|c| &c.orphans);
        store::create_segment(folder, options, now, &contents, &open, orphans)
            .map_err(|e| e.at(folder, options.max_bytes))?;
    }
    let sync = |folder: &Path| match options.durability {
        Durability::Process => Ok(()),
        Durability::Disk => File::open(folder)?.sync_all(),
    };
    sync(&unfinished).map_err(state_error)?;
    if let Some(folder) = &new.folder {
        fs::rename(&unfinished, folder).map_err(state_error)?;
    }
    sync(state).map_err(state_error)?;
    // Still locked: no other process may accept messages there meanwhile.
    remove_layout(state, &old).map_err(state_error)?;
    drop(contents);
    Ok(new.segments(state))
}

/// Returns whether a state folder has, or has had, the journals of several shards. [`prepare_segments`] finds
/// them there, [`crate::Journal::open`] alone does not.
///
/// # Errors
///
/// The folder can't be read.
pub fn has_sharded_layout(state: &Path) -> io::Result<bool> {
    Ok(layouts(state)?.iter().any(|layout| layout.folder.is_some()))
}

/// Returns the layouts in a state folder. Generation 0 is one of them if its journal exists or no other
/// layout does.
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

/// Removes the journals of a layout.
fn remove_layout(state: &Path, layout: &Layout) -> io::Result<()> {
    match &layout.folder {
        Some(folder) => fs::remove_dir_all(folder),
        None => match fs::remove_file(state.join("journal")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        },
    }
}

#[cfg(test)]
mod tests;
