//! The boot number in the state folder. It is on disk before the first packet that carries it is sent.

use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Name of the file in the state folder.
const FILE_NAME: &str = "identity";
/// Maximum length of the file; a longer one is damaged.
const MAX_FILE_BYTES: u64 = 4096;

/// A failure to write the boot number.
#[derive(Debug, thiserror::Error)]
#[error("cannot write boot number to {path}: {source}")]
pub struct IdentityError {
    path: PathBuf,
    source: io::Error,
}

#[derive(Serialize, Deserialize)]
struct Stored {
    version: u32,
    name: String,
    boot: u64,
    #[serde(rename = "sum")]
    checksum: u32,
}

impl Stored {
    fn checksum(name: &str, boot: u64) -> u32 {
        crc32fast::hash(format!("{name} {boot}").as_bytes())
    }
}

/// The file that holds the boot number.
#[derive(Clone, Debug)]
pub struct IdentityFile {
    path: PathBuf,
    name: String,
}

impl IdentityFile {
    /// Reads the boot number of the previous start, and writes and returns the next one. A file that is
    /// damaged or belongs to another name is renamed to `identity.damaged`; this start then begins with a low
    /// boot number and raises it above any that other members report for this name.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn open_next_boot(folder: &Path, name: &str) -> Result<(Self, u64), IdentityError> {
        let file = IdentityFile { path: folder.join(FILE_NAME), name: name.to_owned() };
        let last = match file.read() {
            Ok(last) => last,
            Err(reason) => {
                let aside = file.path.with_extension("damaged");
                tracing::error!(
                    "identity: cannot use the stored boot number: {reason}; file renamed to {}, counting \
                     from 1",
                    aside.display()
                );
                let _ = fs::rename(&file.path, &aside);
                0
            }
        };
        let boot = last.saturating_add(1);
        file.write(boot)?;
        Ok((file, boot))
    }

    /// Returns the stored boot number; 0 if there is no file.
    fn read(&self) -> Result<u64, String> {
        match fs::metadata(&self.path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(0),
            Ok(metadata) if metadata.len() > MAX_FILE_BYTES => {
                return Err(format!("file of {} bytes is too long", metadata.len()));
            }
            _ => {}
        }
        let text = fs::read(&self.path).map_err(|e| e.to_string())?;
        let stored: Stored = serde_json::from_slice(&text).map_err(|e| e.to_string())?;
        let Stored { version, name, boot, checksum } = stored;
        if version != 1 || checksum != Stored::checksum(&name, boot) {
            return Err("wrong checksum or version".to_owned());
        }
        if name != self.name { Err(format!("it belongs to member {name:?}")) } else { Ok(boot) }
    }

    /// Replaces the boot number atomically: writes a temporary file, syncs it and renames it over the old
    /// one, so that a crash leaves either the old or the new number.
    ///
    /// # Errors
    ///
    /// The disk is full, or the folder is not writable.
    pub fn write(&self, boot: u64) -> Result<(), IdentityError> {
        let (name, checksum) = (self.name.clone(), Stored::checksum(&self.name, boot));
        let text = serde_json::to_vec(&Stored { version: 1, name, boot, checksum }).unwrap_or_default();
        let temporary = self.path.with_extension("new");
        let replace = || -> io::Result<()> {
            let mut file = File::create(&temporary)?;
            file.write_all(&text)?;
            file.sync_all()?;
            fs::rename(&temporary, &self.path)?;
            File::open(self.path.parent().unwrap_or(Path::new(".")))?.sync_all()
        };
        replace().map_err(|source| IdentityError { path: self.path.clone(), source })
    }
}

#[cfg(test)]
mod tests;
