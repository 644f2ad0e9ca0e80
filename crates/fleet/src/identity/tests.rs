//! Tests of `identity`.

use super::*;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("yarrowhill-identity-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn counts_boots_and_renames_a_damaged_file() {
    let folder = folder("boots");
    let boot = |name: &str| IdentityFile::open_next_boot(&folder, name).expect("written").1;
    assert_eq!((boot("n0"), boot("n0")), (1, 2));
    let path = folder.join(FILE_NAME);
    let mut bytes = fs::read(&path).expect("the file exists");
    let at = bytes.iter().position(|b| *b == b'2').expect("the boot number");
    bytes[at] = b'7';
    fs::write(&path, bytes).expect("written");
    assert_eq!(boot("n0"), 1, "a boot number with a wrong checksum is not used");
    assert!(path.with_extension("damaged").exists());
    assert_eq!(boot("n1"), 1, "another member's boot number is not used");
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn fails_without_a_state_folder() {
    assert!(IdentityFile::open_next_boot(Path::new("/nowhere/at/all"), "n0").is_err());
}
