//! A voter's registers in the state folder: on disk before what they promise is said.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use yarrowhill_duties::StoredVoter;

/// The file's name in the state folder.
const NAME: &str = "duties";
/// What it begins with: the form of what follows.
const MARK: [u8; 4] = *b"yd\x00\x01";
/// A file that is longer than this is none of ours (bytes).
const LONGEST: u64 = 1 << 20;

/// The file with the registers.
#[derive(Clone, Debug)]
pub(crate) struct RegisterFile(PathBuf);

impl RegisterFile {
    /// Reads what stands there. None where there is nothing, or nothing that can be believed: that is kept aside, and the voter learns
    /// from the others.
    pub(crate) fn open(folder: &Path) -> (Self, Option<StoredVoter>) {
        let file = RegisterFile(folder.join(NAME));
        let found = match file.read() {
            Ok(found) => found,
            Err(why) => {
                let aside = file.0.with_extension("damaged");
                tracing::error!(
                    "duties: {why}; kept as {}, this voter learns from the others",
                    aside.display()
                );
                let _ = fs::rename(&file.0, &aside);
                None
            }
        };
        (file, found)
    }

    fn read(&self) -> Result<Option<StoredVoter>, String> {
        match fs::metadata(&self.0) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Ok(data) if data.len() > LONGEST => return Err(format!("{} bytes are too many", data.len())),
            _ => {}
        }
        let bytes = fs::read(&self.0).map_err(|e| e.to_string())?;
        let body = bytes.strip_prefix(&MARK).ok_or("not of this version")?;
        let (sum, body) = body.split_at_checked(4).ok_or("cut off")?;
        if crc32fast::hash(body).to_be_bytes() != *sum {
            return Err("its checksum is wrong".to_owned());
        }
        postcard::from_bytes(body).map(Some).map_err(|e| e.to_string())
    }

    /// Takes out what stands there.
    pub(crate) fn forget(&self) -> io::Result<()> {
        match fs::remove_file(&self.0) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => File::open(self.0.parent().unwrap_or(Path::new(".")))?.sync_all(),
        }
    }

    /// Writes them beside the file, to disk, and then over it, so that a crash leaves the ones or the others.
    pub(crate) fn write(&self, stored: &StoredVoter) -> io::Result<()> {
        let body = postcard::to_allocvec(stored).map_err(io::Error::other)?;
        let sum = crc32fast::hash(&body).to_be_bytes();
        let beside = self.0.with_extension("duties-new");
        let mut file = File::create(&beside)?;
        file.write_all(&[&MARK[..], &sum, &body].concat())?;
        file.sync_all()?;
        fs::rename(&beside, &self.0)?;
        File::open(self.0.parent().unwrap_or(Path::new(".")))?.sync_all()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;
    use yarrowhill_duties::Register;

    #[test]
    fn what_was_written_is_read_and_what_is_damaged_kept_aside() {
        let folder = std::env::temp_dir().join(format!("yarrowhill-registers-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        let (file, found) = RegisterFile::open(&folder);
        assert!(found.is_none());
        let stored = StoredVoter { write_count: 7, registers: BTreeMap::from([(7, Register::default())]) };
        file.write(&stored).expect("written");
        assert_eq!(RegisterFile::open(&folder).1, Some(stored.clone()));
        file.forget().expect("taken out");
        file.forget().expect("nothing to take out");
        assert_eq!(RegisterFile::open(&folder).1, None);
        file.write(&stored).expect("written");
        let path = folder.join(NAME);
        let mut bytes = fs::read(&path).expect("there");
        let last = bytes.len() - 1;
        bytes[last] ^= 1;
        fs::write(&path, bytes).expect("written");
        assert_eq!(RegisterFile::open(&folder).1, None);
        assert!(path.with_extension("damaged").exists());
        assert!(RegisterFile(PathBuf::from("/nowhere/duties")).write(&StoredVoter::default()).is_err());
        let _ = fs::remove_dir_all(folder);
    }
}
