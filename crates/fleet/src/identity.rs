//! The boot number in the folder: on disk before a packet under it leaves.

use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file's name in the state folder.
const NAME: &str = "identity";
/// A file that is longer than this is none of ours (bytes).
const LONGEST: u64 = 4096;

/// Why the boot number is not on disk.
#[derive(Debug, thiserror::Error)]
#[error("identity: {path}: {source}")]
pub struct IdentityError {
    path: PathBuf,
    source: io::Error,
}

#[derive(Serialize, Deserialize)]
struct Stored {
    version: u32,
    name: String,
    boot: u64,
    sum: u32,
}

impl Stored {
    fn sum(name: &str, boot: u64) -> u32 {
        crc32fast::hash(format!("{name} {boot}").as_bytes())
    }
}

/// The file with the boot number.
#[derive(Clone, Debug)]
pub struct IdentityFile {
    path: PathBuf,
    name: String,
}

impl IdentityFile {
    /// Reads the boot number of the last start and writes that of this one. A damaged file, or one of another name, is
    /// kept aside: what follows is that this start speaks under a low boot, and goes above whatever it hears.
    ///
    /// # Errors
    ///
    /// The file can't be written.
    pub fn open_next_boot(folder: &Path, name: &str) -> Result<(Self, u64), IdentityError> {
        let file = IdentityFile { path: folder.join(NAME), name: name.to_owned() };
        let last = match file.read() {
            Ok(last) => last,
            Err(why) => {
                let aside = file.path.with_extension("damaged");
                tracing::error!("identity: {why}; kept as {}, the boots are counted anew", aside.display());
                let _ = fs::rename(&file.path, &aside);
                0
            }
        };
        let boot = last.saturating_add(1);
        file.write(boot)?;
        Ok((file, boot))
    }

    /// The boot number that the file holds; 0 where there is none.
    fn read(&self) -> Result<u64, String> {
        match fs::metadata(&self.path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(0),
            Ok(data) if data.len() > LONGEST => return Err(format!("{} bytes are too many", data.len())),
            _ => {}
        }
        let text = fs::read(&self.path).map_err(|e| e.to_string())?;
        let stored: Stored = serde_json::from_slice(&text).map_err(|e| e.to_string())?;
        let Stored { version, name, boot, sum } = stored;
        if version != 1 || sum != Stored::sum(&name, boot) {
            return Err("its checksum or version is wrong".to_owned());
        }
        if name != self.name { Err(format!("it is {name:?}'s")) } else { Ok(boot) }
    }

    /// Writes a boot number: beside the file, to disk, then over it, so that a crash leaves the one or the other.
    ///
    /// # Errors
    ///
    /// The disk is full, or the folder can't be written.
    pub fn write(&self, boot: u64) -> Result<(), IdentityError> {
        let (name, sum) = (self.name.clone(), Stored::sum(&self.name, boot));
        let text = serde_json::to_vec(&Stored { version: 1, name, boot, sum }).unwrap_or_default();
        let beside = self.path.with_extension("new");
        let written = || -> io::Result<()> {
            let mut file = File::create(&beside)?;
            file.write_all(&text)?;
            file.sync_all()?;
            fs::rename(&beside, &self.path)?;
            File::open(self.path.parent().unwrap_or(Path::new(".")))?.sync_all()
        };
        written().map_err(|source| IdentityError { path: self.path.clone(), source })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("yarrowhill-identity-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    #[test]
    fn boots_are_counted_and_a_damaged_file_is_kept_aside() {
        let folder = folder("counted");
        let boot = |name: &str| IdentityFile::open_next_boot(&folder, name).expect("written").1;
        assert_eq!((boot("n0"), boot("n0")), (1, 2));
        let path = folder.join(NAME);
        let mut bytes = fs::read(&path).expect("there");
        let at = bytes.iter().position(|b| *b == b'2').expect("the boot");
        bytes[at] = b'7';
        fs::write(&path, bytes).expect("written");
        assert_eq!(boot("n0"), 1, "a changed boot is not believed");
        assert!(path.with_extension("damaged").exists());
        assert_eq!(boot("n1"), 1, "another's boots are not this one's");
        let _ = fs::remove_dir_all(&folder);
    }

    #[test]
    fn without_a_folder_nothing_is_started() {
        assert!(IdentityFile::open_next_boot(Path::new("/nowhere/at/all"), "n0").is_err());
    }
}
