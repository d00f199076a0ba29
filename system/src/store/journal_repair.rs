//! Makes fjall's journal readable after a power loss during its last write.
//!
//! fjall drops a last batch that has no end marker. But the sectors of one write reach the disk in any order:
//! if the end marker is there and earlier sectors are missing, fjall reports corruption and does not open.
//! Invalidating the end marker makes fjall drop such a batch as well.

use std::ffi::OsStr;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

const READ_CHUNK_BYTES: u64 = 64 * 1024;

/// The journal file with the highest number in a store's directory.
fn newest_journal(dir: &Path) -> io::Result<Option<PathBuf>> {
    let mut newest: Option<(u64, PathBuf)> = None;
    for file in fs::read_dir(dir)? {
        let path = file?.path();
        if path.extension() != Some(OsStr::new("jnl")) {
            continue;
        }
        let number = path.file_stem().and_then(OsStr::to_str).and_then(|stem| stem.parse().ok());
        newest = newest.max(number.map(|number| (number, path)));
    }
    Ok(newest.map(|(_, path)| path))
}

/// The length of the written part: a journal file is preallocated with zeros and written from its start.
fn written_length(file: &File) -> io::Result<u64> {
    let mut end = file.metadata()?.len();
    while end > 0 {
        let start = end.saturating_sub(READ_CHUNK_BYTES);
        let mut bytes = vec![0; (end - start) as usize];
        file.read_exact_at(&mut bytes, start)?;
        if let Some(last) = bytes.iter().rposition(|byte| *byte != 0) {
            return Ok(start + last as u64 + 1);
        }
        end = start;
    }
    Ok(0)
}

/// Removes the last byte of the newest journal's last batch, which invalidates its end marker. Call only
/// after fjall has reported the journal as corrupt: whether the batch is torn is not checked. False if there
/// is no journal or nothing is written to it.
///
/// # Errors
///
/// The journal can't be read or written.
pub(super) fn invalidate_last_batch(dir: &Path) -> io::Result<bool> {
    let Some(path) = newest_journal(dir)? else { return Ok(false) };
    let file = File::options().read(true).write(true).open(path)?;
    let length = written_length(&file)?;
    // An end marker ends with fjall's magic bytes, `FJL\x03`, of which the last is not zero.
    if length > 0 {
        file.set_len(length - 1)?;
        file.sync_all()?;
    }
    Ok(length > 0)
}
