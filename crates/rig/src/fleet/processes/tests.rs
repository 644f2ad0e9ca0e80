//! Tests of `processes`.

use super::*;

/// Guards against scenes that cannot be played: a file that was being written when the disk became full.
#[test]
fn a_folder_takes_the_place_of_a_file_that_is_being_written() {
    let folder = std::env::temp_dir().join(format!("yarrowhill-rig-folder-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("duties.duties-new");
    replace_by_folder(&path).expect("made");
    replace_by_folder(&path).expect("it is one already");
    fs::remove_dir(&path).expect("it is a folder");
    fs::write(&path, b"half of it").expect("written");
    replace_by_folder(&path).expect("made in place of the file");
    assert!(path.is_dir());
    let _ = fs::remove_dir_all(folder);
}
