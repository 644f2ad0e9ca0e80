//! Tests of `register_writer`.

use super::*;
use std::fs;
use std::path::{Path, PathBuf};

fn new_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("yarrowhill-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn writer(folder: &Path) -> RegisterWriter {
    RegisterWriter::new(RegisterFile::open(folder).0)
}

#[tokio::test]
async fn tells_which_write_has_ended_and_whether_it_succeeded() {
    let folder = new_folder("register-writer");
    let stored = StoredVoter { write_count: 7, ..StoredVoter::default() };
    let mut writer = writer(&folder);
    writer.start(stored.clone());
    let ended = writer.ended().await;
    assert!(ended.write_count == 7 && ended.result.is_ok(), "{ended:?}");
    assert_eq!(RegisterFile::open(&folder).1, Some(stored.clone()));
    fs::remove_dir_all(folder).expect("deleted");
    writer.start(stored);
    let ended = writer.ended().await;
    assert!(ended.result.is_err() && !writer.is_writing(), "{ended:?}");
}

/// Guards against outdated registers that a write brings back after they were deleted.
#[tokio::test]
async fn a_write_in_progress_does_not_bring_a_deleted_file_back() {
    let folder = new_folder("register-writer-delete");
    let mut writer = writer(&folder);
    writer.start(StoredVoter::default());
    writer.delete().await.expect("deleted");
    assert!(!writer.is_writing());
    assert_eq!(RegisterFile::open(&folder).1, None);
    let _ = fs::remove_dir_all(folder);
}
