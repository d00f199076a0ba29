//! The mark beside a store: the number of its last save. What a store lacks of it, it has lost.

use super::digest;
use std::cell::Cell;
use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const NAME: &str = "core.mark";

/// Brings the names in a folder to disk: what was made, renamed or removed there.
pub(super) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// The number of the last save, beside the store. It is brought to disk with the first save of a start only: after a loss of
/// power it may be older than the store, never newer.
pub(super) struct Mark {
    file: File,
    folder: PathBuf,
    confirmed: Cell<bool>,
}

impl Mark {
    pub(super) fn open(folder: &Path) -> io::Result<Self> {
        let file =
            File::options().read(true).write(true).create(true).truncate(false).open(folder.join(NAME))?;
        Ok(Mark { file, folder: folder.to_owned(), confirmed: Cell::new(false) })
    }

    /// None where there is none, or none that can be read: the store stands for itself then.
    pub(super) fn read(folder: &Path) -> io::Result<Option<u64>> {
        let bytes = match fs::read(folder.join(NAME)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let word = |at: usize| bytes.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
        let (saves, known) = (word(0), word(8));
        Ok(saves.filter(|saves| known == Some(digest(&saves.to_le_bytes()))))
    }

    /// To be called when the save of this number is on disk.
    pub(super) fn write(&self, saves: u64) -> io::Result<()> {
        let mut bytes = saves.to_le_bytes().to_vec();
        bytes.extend(digest(&saves.to_le_bytes()).to_le_bytes());
        self.file.write_all_at(&bytes, 0)?;
        if !self.confirmed.replace(true) {
            self.file.sync_all()?;
            sync_folder(&self.folder)?;
        }
        Ok(())
    }
}
