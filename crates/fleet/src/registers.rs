//! A voter's registers in the state folder. They are on disk before the voter sends what they promise.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use yarrowhill_duties::StoredVoter;

/// Name of the file in the state folder.
const FILE_NAME: &str = "duties";
/// Magic bytes and format version at the start of the file.
const MARK: [u8; 4] = *b"yd\x00\x01";
/// Maximum length of the file; a longer one is damaged.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The file that holds the registers.
#[derive(Clone, Debug)]
pub(crate) struct RegisterFile(PathBuf);

impl RegisterFile {
    /// Reads the stored registers. Returns `None` if there is no file or it is damaged. A damaged file is
    /// renamed to `duties.damaged`, and the voter recovers from the other voters.
    pub(crate) fn open(folder: &Path) -> (Self, Option<StoredVoter>) {
        let file = RegisterFile(folder.join(FILE_NAME));
        let found = match file.read() {
            Ok(found) => found,
            Err(reason) => {
                let aside = file.0.with_extension("damaged");
                tracing::error!(
                    "duties: cannot use the stored registers: {reason}; file renamed to {}, recovering \
                     from other voters",
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
            Ok(metadata) if metadata.len() > MAX_FILE_BYTES => {
                return Err(format!("file of {} bytes is too long", metadata.len()));
            }
            _ => {}
        }
        let bytes = fs::read(&self.0).map_err(|e| e.to_string())?;
        let body = bytes.strip_prefix(&MARK).ok_or("unknown format or version")?;
        let (checksum, body) = body.split_at_checked(4).ok_or("file truncated in its checksum")?;
        if crc32fast::hash(body).to_be_bytes() != *checksum {
            return Err("wrong checksum".to_owned());
        }
        postcard::from_bytes(body).map(Some).map_err(|e| e.to_string())
    }

    /// Deletes the file, if there is one.
    pub(crate) fn delete(&self) -> io::Result<()> {
        match fs::remove_file(&self.0) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => File::open(self.0.parent().unwrap_or(Path::new(".")))?.sync_all(),
        }
    }

    /// Replaces the registers atomically: writes a temporary file, syncs it and renames it over the old one,
    /// so that a crash leaves either the old or the new registers.
    pub(crate) fn write(&self, stored: &StoredVoter) -> io::Result<()> {
        let body = postcard::to_allocvec(stored).map_err(io::Error::other)?;
        let checksum = crc32fast::hash(&body).to_be_bytes();
        let temporary = self.0.with_extension("duties-new");
        let mut file = File::create(&temporary)?;
        file.write_all(&[&MARK[..], &checksum, &body].concat())?;
        file.sync_all()?;
        fs::rename(&temporary, &self.0)?;
        File::open(self.0.parent().unwrap_or(Path::new(".")))?.sync_all()
    }
}

#[cfg(test)]
mod tests;
