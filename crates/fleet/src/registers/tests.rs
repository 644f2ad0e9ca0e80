//! Tests of `registers`.

use super::*;
use std::collections::BTreeMap;
use yarrowhill_duties::Register;

#[test]
fn reads_what_was_written_and_renames_a_damaged_file() {
    let folder = std::env::temp_dir().join(format!("yarrowhill-registers-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    let (file, found) = RegisterFile::open(&folder);
    assert!(found.is_none());
    let stored = StoredVoter { write_count: 7, registers: BTreeMap::from([(7, Register::default())]) };
    file.write(&stored).expect("written");
    assert_eq!(RegisterFile::open(&folder).1, Some(stored.clone()));
    file.delete().expect("deleted");
    file.delete().expect("deleting a missing file succeeds");
    assert_eq!(RegisterFile::open(&folder).1, None);
    file.write(&stored).expect("written");
    let path = folder.join(FILE_NAME);
    let mut bytes = fs::read(&path).expect("the file exists");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, bytes).expect("written");
    assert_eq!(RegisterFile::open(&folder).1, None);
    assert!(path.with_extension("damaged").exists());
    assert!(RegisterFile(PathBuf::from("/nowhere/duties")).write(&StoredVoter::default()).is_err());
    let _ = fs::remove_dir_all(folder);
}
