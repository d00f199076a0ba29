//! The watermark file beside a store: the number of its last durable save. A store behind its watermark has
//! lost data.

use super::digest;
use std::cell::Cell;
use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "core.mark";

/// Syncs a directory, so that files created, renamed or removed in it stay so after a power loss.
pub(super) fn sync_dir(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

/// The watermark file. Only the first save after a start syncs it, so that the file exists after a power
/// loss. Its number may then be older than the store's, which hides a loss at worst, but never newer, which
/// would report a loss that did not happen.
pub(super) struct Watermark {
    file: File,
    dir: PathBuf,
    synced: Cell<bool>,
}

impl Watermark {
    pub(super) fn open(dir: &Path) -> io::Result<Self> {
        let file =
            File::options().read(true).write(true).create(true).truncate(false).open(dir.join(FILE_NAME))?;
        Ok(Watermark { file, dir: dir.to_owned(), synced: Cell::new(false) })
    }

    /// The number in the file; none if the file is missing or its digest is wrong, and the store is then used
    /// unchecked.
    pub(super) fn read(dir: &Path) -> io::Result<Option<u64>> {
        let bytes = match fs::read(dir.join(FILE_NAME)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let u64_at = |offset: usize| bytes.get(offset..offset + 8)?.try_into().ok().map(u64::from_le_bytes);
        let (save_number, stored_digest) = (u64_at(0), u64_at(8));
        Ok(save_number.filter(|number| stored_digest == Some(digest(&number.to_le_bytes()))))
    }

    /// Writes the watermark. Call it only after the save with this number is durable.
    pub(super) fn write(&self, save_number: u64) -> io::Result<()> {
        let mut bytes = save_number.to_le_bytes().to_vec();
        bytes.extend(digest(&save_number.to_le_bytes()).to_le_bytes());
        self.file.write_all_at(&bytes, 0)?;
        if !self.synced.replace(true) {
            self.file.sync_all()?;
            sync_dir(&self.dir)?;
        }
        Ok(())
    }
}
