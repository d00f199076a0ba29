//! What a core process must not forget, on disk. What was damaged there is found at a start, and is then as good as
//! forgotten: the process starts as one with an empty disk that founds nothing, and the others fill it up.
//!
//! Each record ends in a digest of what is before it; the vow, which each save writes, names the form, the last entry and
//! the number of the save. A mark beside the store names that number, too, written when the save is on disk: a store that
//! is behind its mark has lost what it had brought to disk.
//!
//! A loss of power may tear the save that was under way. Nobody was told of that save, so it is dropped, and all before it
//! stands: [`Store::open`] never takes a torn last save for damage. Damage is what a save that was on disk has lost.

mod journal;
mod mark;
mod pace;

pub use pace::Pace;

use crate::agreement::{Entry, HardState, PersistentState, Save, Snapshot};
use crate::invariants::{self, Invariant};
use crate::state::digest;
use eyre::{bail, Result, WrapErr};
use fjall::{Database, JournalRecoveryError, Keyspace, KeyspaceCreateOptions, PersistMode};
use mark::Mark;
use prost::Message;
use std::cell::Cell;
use std::fs;
use std::io::{self, ErrorKind};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// Bytes of memory that the store may hold for reads.
const CACHE: u64 = 1 << 20;
/// Bytes of its journal at most: the disk is small.
const JOURNAL: u64 = 64 << 20;
/// Bytes of what was saved that are held in memory until they go from the journal to a table: at a start so much is read
/// again, and the library would hold 64 MiB of the 256 that a process has.
const UNSORTED: u64 = 8 << 20;

/// The form that is written. Fields are only added to it, so that the program before it reads it, too.
const FORM: u32 = 1;
/// The newest form that is read: that of the next program, from which one goes back.
const FORM_READ: u32 = FORM + 1;
/// The field of a record's digest.
const DIGEST: u32 = 15;
/// Bytes of that field: its tag, and eight.
const DIGEST_BYTES: usize = 9;

const VOW: &[u8] = b"vow";
const BASE: &[u8] = b"base";
const ENTRY: u8 = b'e';

/// The disk's form of [`HardState`].
#[derive(Clone, PartialEq, Message)]
struct VowForm {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(string, optional, tag = "2")]
    vote: Option<String>,
    #[prost(bool, tag = "3")]
    counts: bool,
    /// Nought as the first program wrote it, which knew none of what follows.
    #[prost(uint32, tag = "4")]
    form: u32,
    /// The number of the last entry.
    #[prost(uint64, tag = "5")]
    last: u64,
    /// Counts the saves.
    #[prost(uint64, tag = "6")]
    saves: u64,
}

/// The digest of a record.
#[derive(Clone, PartialEq, Message)]
struct Seal {
    #[prost(fixed64, optional, tag = "15")]
    digest: Option<u64>,
}

/// The disk's form of [`Snapshot`].
#[derive(Clone, PartialEq, Message)]
struct BaseForm {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(string, repeated, tag = "3")]
    members: Vec<String>,
    #[prost(bytes = "vec", tag = "4")]
    state: Vec<u8>,
}

/// Where a core process keeps what it must not forget.
pub trait Disk {
    /// Opens what is there, and reads it: nothing where the disk is empty.
    ///
    /// # Errors
    ///
    /// The disk takes nothing now ([`takes_nothing`] says so), or can't be used at all.
    fn open(&self) -> Result<(Box<dyn Saves>, Option<PersistentState>)>;
}

/// An open store.
pub trait Saves {
    /// Brings it to disk. When this returns it is there.
    ///
    /// # Errors
    ///
    /// The disk takes nothing. What is on it is what was there before, or this.
    fn save(&self, save: &Save) -> Result<()>;
}

/// The disk of a machine: a folder.
pub struct Folder(pub PathBuf);

impl Disk for Folder {
    fn open(&self) -> Result<(Box<dyn Saves>, Option<PersistentState>)> {
        let (store, saved) = Store::open(&self.0)?;
        Ok((Box::new(store), saved))
    }
}

/// The store of one core process.
pub struct Store {
    database: Database,
    keys: Keyspace,
    mark: Mark,
    saves: Cell<u64>,
    last: Cell<u64>,
}

/// What came of opening the library's files.
enum Opened {
    /// They can be read.
    Files(Database, Keyspace),
    /// The disk takes nothing; another start may find it otherwise.
    Passes(fjall::Error),
    /// The journal holds a batch that is whole by its ends and not what was written, and why.
    Torn(String),
    /// They can't be read, and why.
    Damaged(String),
}

/// What was read of a disk.
enum Read {
    Nothing,
    /// What it holds, the number of its last save, and that of its last entry.
    Held(PersistentState, u64, u64),
    /// It can't go by what it holds, and why.
    Damaged(String),
}

fn entry_key(index: u64) -> [u8; 9] {
    let mut key = [ENTRY; 9];
    key[1..].copy_from_slice(&index.to_be_bytes());
    key
}

/// A record with its digest behind it.
fn sealed(message: &impl Message) -> Vec<u8> {
    let mut bytes = message.encode_to_vec();
    let digest = digest(&bytes);
    prost::encoding::fixed64::encode(DIGEST, &digest, &mut bytes);
    bytes
}

/// A record that is what was written. One without a digest is of the first program.
fn opened<M: Message + Default>(bytes: &[u8]) -> Result<M> {
    if let Some(digest) = Seal::decode(bytes)?.digest {
        let before = bytes.len().checked_sub(DIGEST_BYTES).and_then(|end| bytes.get(..end));
        if before.map(self::digest) != Some(digest) {
            bail!("a record is not what was written");
        }
    }
    Ok(M::decode(bytes)?)
}

/// An error that says nothing of what is on the disk: another start may find it gone.
fn passing(error: &io::Error) -> bool {
    /// Too many open files.
    const FILES: [i32; 2] = [23, 24];
    let kinds = [
        ErrorKind::StorageFull,
        ErrorKind::QuotaExceeded,
        ErrorKind::ReadOnlyFilesystem,
        ErrorKind::PermissionDenied,
        ErrorKind::OutOfMemory,
    ];
    kinds.contains(&error.kind()) || error.raw_os_error().is_some_and(|code| FILES.contains(&code))
}

fn passes(error: &fjall::Error) -> bool {
    match error {
        fjall::Error::Io(error) => passing(error),
        fjall::Error::Storage(fjall::LsmError::Io(error)) => passing(error),
        fjall::Error::Locked => true,
        _ => false,
    }
}

/// Whether an error only says that the disk takes nothing now: there may be room later.
pub fn takes_nothing(error: &eyre::Report) -> bool {
    error.chain().any(|cause| {
        let library = cause.downcast_ref::<fjall::Error>();
        // An open store takes nothing any more once a write has failed.
        let library = library.is_some_and(|error| passes(error) || matches!(error, fjall::Error::Poisoned));
        library || cause.downcast_ref::<io::Error>().is_some_and(passing)
    })
}

impl Store {
    /// Opens the store in a folder, and reads what it holds: nothing where the disk is empty, and the vow of a process that
    /// counts for nothing where it was damaged. The damaged store is set aside beside the new one.
    ///
    /// # Errors
    ///
    /// The disk takes nothing (it is full, or may not be written), or holds a form of a later program.
    pub fn open(folder: &Path) -> Result<(Self, Option<PersistentState>)> {
        fs::create_dir_all(folder)?;
        let (path, aside) = (folder.join("core"), folder.join("core.damaged"));
        let marked = Mark::read(folder)?;
        // A start that ended right after it had set a damaged store aside finds that alone.
        let held = marked.is_some() || aside.exists();
        let why = match Self::open_at(&path, folder)? {
            Ok((_, Read::Held(_, saves, _))) if saves > 0 && marked.is_some_and(|mark| mark > saves) => {
                format!("save {saves} is its last, and {} were made", marked.unwrap_or(0))
            }
            Ok((store, Read::Held(saved, saves, last))) => {
                store.saves.set(saves.max(marked.unwrap_or(0)));
                store.last.set(last);
                // A disk that takes nothing more is found before anybody goes by what it will hold.
                let vow = saved.hard_state.clone();
                store
                    .save(&Save { hard_state: vow, entries: None, snapshot: None })
                    .wrap_err("the disk takes nothing")?;
                return Ok((store, Some(saved)));
            }
            Ok((store, Read::Nothing)) if !held => return Ok((store, None)),
            Ok((_, Read::Nothing)) => "it is empty, and was not".to_owned(),
            Ok((_, Read::Damaged(why))) | Err(why) => why,
        };
        invariants::violated(Invariant::DiskHoldsWhatWasSaved, &why);
        log::error!("store: the disk is damaged: {why}: it is set aside and filled up from the others");
        Self::begin_anew(&path, &aside, folder, marked.unwrap_or(0))
    }

    /// Sets a damaged store aside and begins one that counts for nothing. Its saves are counted on from those of the damaged
    /// one: behind a loss of power the mark may be that one's again.
    fn begin_anew(
        path: &Path, aside: &Path, folder: &Path, marked: u64,
    ) -> Result<(Self, Option<PersistentState>)> {
        if aside.exists() && path.exists() {
            fs::remove_dir_all(aside)?;
        }
        if path.exists() {
            fs::rename(path, aside)?;
        }
        // No loss of power brings the damaged store back in the new one's place.
        mark::sync_folder(folder)?;
        let (store, _) = Self::open_at(path, folder)?.map_err(|why| eyre::eyre!("a new store: {why}"))?;
        store.saves.set(marked);
        let saved = PersistentState::default();
        store.save(&Save {
            hard_state: saved.hard_state.clone(),
            entries: Some((0, Vec::new())),
            snapshot: Some(saved.snapshot.clone()),
        })?;
        Ok((store, Some(saved)))
    }

    /// Opens and reads what is there; why it can't be gone by, where it can't.
    fn open_at(path: &Path, folder: &Path) -> Result<std::result::Result<(Self, Read), String>> {
        let (database, keys) = match Self::open_library(path)? {
            Ok(opened) => opened,
            Err(why) => return Ok(Err(why)),
        };
        let mark = Mark::open(folder)?;
        let store = Store { database, keys, mark, saves: Cell::new(0), last: Cell::new(0) };
        // What a later program wrote is not damage.
        let form = match catch_unwind(AssertUnwindSafe(|| store.form())) {
            Ok(form) => form.unwrap_or(0),
            Err(_) => 0,
        };
        if form > FORM_READ {
            bail!("the disk is of form {form}, and this program reads up to {FORM_READ}");
        }
        let read = match catch_unwind(AssertUnwindSafe(|| store.read())) {
            Ok(Ok(read)) => read,
            Ok(Err(error)) => Read::Damaged(error.to_string()),
            Err(_) => Read::Damaged("its files can't be read".to_owned()),
        };
        Ok(Ok((store, read)))
    }

    /// Opens the library's files. Where its journal ends in a batch that it does not read, that batch is dropped and the
    /// files are opened once more: whether that was more than the save under way, the number of the last save tells.
    fn open_library(path: &Path) -> Result<std::result::Result<(Database, Keyspace), String>> {
        match Self::try_library(path) {
            Opened::Files(database, keys) => Ok(Ok((database, keys))),
            Opened::Passes(error) => Err(error).wrap_err("the disk takes nothing"),
            Opened::Torn(why) => {
                if !journal::drop_torn_batch(path)? {
                    return Ok(Err(why));
                }
                log::warn!("store: the save that was under way is torn and dropped: {why}");
                match Self::try_library(path) {
                    Opened::Files(database, keys) => Ok(Ok((database, keys))),
                    Opened::Passes(error) => Err(error).wrap_err("the disk takes nothing"),
                    Opened::Torn(why) | Opened::Damaged(why) => Ok(Err(why)),
                }
            }
            Opened::Damaged(why) => Ok(Err(why)),
        }
    }

    fn try_library(path: &Path) -> Opened {
        let open = || -> std::result::Result<(Database, Keyspace), fjall::Error> {
            let database = Database::builder(path)
                .cache_size(CACHE)
                .max_journaling_size(JOURNAL)
                .worker_threads(1)
                .open()?;
            let keys = database
                .keyspace("agreement", || KeyspaceCreateOptions::default().max_memtable_size(UNSORTED))?;
            Ok((database, keys))
        };
        // The library ends in a panic on some files that it did not write so.
        match catch_unwind(AssertUnwindSafe(open)) {
            Ok(Ok((database, keys))) => Opened::Files(database, keys),
            Ok(Err(error)) if passes(&error) => Opened::Passes(error),
            Ok(Err(fjall::Error::JournalRecovery(error)))
                if error != JournalRecoveryError::InvalidFileName =>
            {
                Opened::Torn(error.to_string())
            }
            Ok(Err(error)) => Opened::Damaged(error.to_string()),
            Err(_) => Opened::Damaged("its files can't be read".to_owned()),
        }
    }

    /// The form that the vow names.
    fn form(&self) -> Result<u32> {
        let vow = self.keys.get(VOW)?.map(|vow| opened::<VowForm>(&vow)).transpose()?;
        Ok(vow.map_or(0, |vow| vow.form))
    }

    fn read(&self) -> Result<Read> {
        let Some(vow) = self.keys.get(VOW)? else {
            let any = self.keys.iter().next().is_some();
            return Ok(if any { Read::Damaged("it holds no vow".into()) } else { Read::Nothing });
        };
        let VowForm { term, vote, counts, form, last, saves } = opened(&vow)?;
        let base = match self.keys.get(BASE)? {
            Some(base) => opened(&base)?,
            // A member with an empty disk keeps the terms that it hears of before it is sent a state.
            None if !counts => BaseForm::default(),
            None => bail!("it holds no state"),
        };
        let BaseForm { index, term: base_term, members, state } = base;
        let mut entries = Vec::new();
        for pair in self.keys.range(entry_key(index + 1)..=entry_key(u64::MAX)) {
            let (key, value) = pair.into_inner()?;
            let entry: Entry = opened(&value)?;
            // Each save takes away what is no longer the log.
            if entry.index != index + 1 + entries.len() as u64 || *key != entry_key(entry.index) {
                bail!("the log has a gap before {}", entry.index);
            }
            entries.push(entry);
        }
        let end = index + entries.len() as u64;
        if form > 0 && end != last {
            bail!("the log ends with {end}, and {last} was its last");
        }
        let vow = HardState { term, vote, voting: counts };
        let saved = PersistentState {
            hard_state: vow,
            snapshot: Snapshot { index, term: base_term, members, state },
            entries,
        };
        Ok(Read::Held(saved, saves, end))
    }
}

impl Saves for Store {
    fn save(&self, save: &Save) -> Result<()> {
        let mut batch = self.database.batch();
        let (mut last, saves) = (self.last.get(), self.saves.get() + 1);
        if let Some(base) = &save.snapshot {
            let Snapshot { index, term, members, state } = base.clone();
            for pair in self.keys.range(entry_key(0)..=entry_key(index)) {
                batch.remove(&self.keys, pair.key()?);
            }
            batch.insert(&self.keys, BASE, sealed(&BaseForm { index, term, members, state }));
            last = last.max(index);
        }
        if let Some((first, entries)) = &save.entries {
            for pair in self.keys.range(entry_key(first + entries.len() as u64)..=entry_key(u64::MAX)) {
                batch.remove(&self.keys, pair.key()?);
            }
            for entry in entries {
                batch.insert(&self.keys, entry_key(entry.index), sealed(entry));
            }
            last = (first + entries.len() as u64).saturating_sub(1);
        }
        let HardState { term, vote, voting: counts } = save.hard_state.clone();
        batch.insert(&self.keys, VOW, sealed(&VowForm { term, vote, counts, form: FORM, last, saves }));
        batch.commit()?;
        self.database.persist(PersistMode::SyncAll)?;
        self.last.set(last);
        self.saves.set(saves);
        self.mark.write(saves)?;
        Ok(())
    }
}
