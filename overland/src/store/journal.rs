//! The library's journal, where a loss of power tore its last batch.
//!
//! The library drops a last batch that has no end. One that has its end and not all that was written before it (the
//! sectors of one write reach the disk in any order) it takes for damage, and opens nothing. Here such a batch loses its
//! end, too, so that the library drops it by its own rule.

use std::ffi::OsStr;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Bytes that are read at a time.
const CHUNK: u64 = 64 * 1024;

/// The newest journal in a store's folder: they are numbered.
fn newest(folder: &Path) -> io::Result<Option<PathBuf>> {
    let mut newest: Option<(u64, PathBuf)> = None;
    for file in fs::read_dir(folder)? {
        let path = file?.path();
        if path.extension() != Some(OsStr::new("jnl")) {
            continue;
        }
        let number = path.file_stem().and_then(OsStr::to_str).and_then(|stem| stem.parse().ok());
        newest = newest.max(number.map(|number| (number, path)));
    }
    Ok(newest.map(|(_, path)| path))
}

/// Where what was written ends: a journal is made of noughts, and written from its start.
fn written(file: &File) -> io::Result<u64> {
    let mut end = file.metadata()?.len();
    while end > 0 {
        let start = end.saturating_sub(CHUNK);
        let mut bytes = vec![0; (end - start) as usize];
        file.read_exact_at(&mut bytes, start)?;
        if let Some(last) = bytes.iter().rposition(|byte| *byte != 0) {
            return Ok(start + last as u64 + 1);
        }
        end = start;
    }
    Ok(0)
}

/// Takes the end off the last batch of the newest journal. False where there is none.
///
/// # Errors
///
/// The disk takes nothing.
pub(super) fn drop_torn_batch(folder: &Path) -> io::Result<bool> {
    let Some(path) = newest(folder)? else { return Ok(false) };
    let file = File::options().read(true).write(true).open(path)?;
    let end = written(&file)?;
    if end > 0 {
        file.set_len(end - 1)?;
        file.sync_all()?;
    }
    Ok(end > 0)
}
