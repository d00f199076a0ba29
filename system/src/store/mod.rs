//! The durable store of a core process, on fjall. Corruption is detected at start-up; the process then starts
//! with an empty store, does not bootstrap a cluster, and is caught up by the other members.
//!
//! Each record ends in a digest of the bytes before it. Each save also writes the [`HardState`] with the
//! format version, the last log index and the number of the save. The watermark file beside the store holds
//! the number of the last durable save: a store behind its watermark has lost data.
//!
//! A power loss may tear the save in progress. No save is acknowledged before it is durable, so a torn last
//! save is dropped and everything before it is kept. [`Store::open`] reports corruption only if a durable
//! save is lost.

mod journal_repair;
mod save_latency;
mod watermark;

pub use save_latency::SaveLatency;

use crate::invariants::{self, Invariant};
use crate::raft::{Entry, HardState, PersistentState, Save, Snapshot};
use crate::state::digest;
use eyre::{bail, Result, WrapErr};
use fjall::{Database, JournalRecoveryError, Keyspace, KeyspaceCreateOptions, PersistMode};
use prost::Message;
use std::cell::Cell;
use std::fs;
use std::io::{self, ErrorKind};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use watermark::Watermark;

const CACHE_BYTES: u64 = 1 << 20;
/// Small, as the process has little disk space.
const MAX_JOURNAL_BYTES: u64 = 64 << 20;
/// The memtable is rebuilt from the journal at start-up. fjall's default of 64 MiB is too much for a process
/// limited to 256 MiB.
const MEMTABLE_BYTES: u64 = 8 << 20;

/// The format version that is written. Fields are only ever added, so that the previous release can read it.
const FORMAT_VERSION: u32 = 1;
/// The newest format version that is read: that of the next release, for downgrades.
const MAX_READABLE_VERSION: u32 = FORMAT_VERSION + 1;
/// The protobuf tag of a record's digest.
const DIGEST_TAG: u32 = 15;
/// The encoded digest field: one byte of tag and eight of value.
const DIGEST_FIELD_BYTES: usize = 9;

const HARD_STATE_KEY: &[u8] = b"vow";
const SNAPSHOT_KEY: &[u8] = b"base";
const ENTRY_KEY_PREFIX: u8 = b'e';

/// [`HardState`] as stored.
#[derive(Clone, PartialEq, Message)]
struct StoredHardState {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(string, optional, tag = "2")]
    vote: Option<String>,
    #[prost(bool, tag = "3")]
    voting: bool,
    /// Zero if written by the first release, which had none of the fields below.
    #[prost(uint32, tag = "4")]
    format_version: u32,
    #[prost(uint64, tag = "5")]
    last_index: u64,
    #[prost(uint64, tag = "6")]
    save_number: u64,
}

/// The digest that ends each record.
#[derive(Clone, PartialEq, Message)]
struct StoredDigest {
    #[prost(fixed64, optional, tag = "15")]
    digest: Option<u64>,
}

/// [`Snapshot`] as stored.
#[derive(Clone, PartialEq, Message)]
struct StoredSnapshot {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(string, repeated, tag = "3")]
    members: Vec<String>,
    #[prost(bytes = "vec", tag = "4")]
    state: Vec<u8>,
}

/// The durable storage of a core process.
pub trait Disk {
    /// Opens the storage and reads its contents: none if it is empty.
    ///
    /// # Errors
    ///
    /// The disk is unavailable for now ([`disk_unavailable`] returns true), or can't be used at all.
    fn open(&self) -> Result<(Box<dyn DurableStore>, Option<PersistentState>)>;
}

/// Opened storage.
pub trait DurableStore {
    /// Writes atomically; the data is durable on return.
    ///
    /// # Errors
    ///
    /// The disk is unavailable. It holds either its previous contents or the new ones.
    fn save(&self, save: &Save) -> Result<()>;
}

/// Storage in a directory of the local file system.
pub struct DirectoryDisk(pub PathBuf);

impl Disk for DirectoryDisk {
    fn open(&self) -> Result<(Box<dyn DurableStore>, Option<PersistentState>)> {
        let (store, saved) = Store::open(&self.0)?;
        Ok((Box::new(store), saved))
    }
}

/// The fjall store of one core process.
pub struct Store {
    database: Database,
    keyspace: Keyspace,
    watermark: Watermark,
    /// The number of the last save.
    save_number: Cell<u64>,
    last_index: Cell<u64>,
}

/// The result of opening fjall's files.
enum OpenedFiles {
    Readable(Database, Keyspace),
    /// The disk is unavailable for now; a later attempt may succeed.
    Unavailable(fjall::Error),
    /// The last batch of the journal is torn, and why.
    TornJournal(String),
    /// The files can't be read, and why.
    Corrupt(String),
}

enum Contents {
    Empty,
    Valid {
        saved: PersistentState,
        save_number: u64,
        last_index: u64,
    },
    /// Why the contents can't be used.
    Corrupt(String),
}

fn entry_key(index: u64) -> [u8; 9] {
    let mut key = [ENTRY_KEY_PREFIX; 9];
    key[1..].copy_from_slice(&index.to_be_bytes());
    key
}

fn encode_with_digest(message: &impl Message) -> Vec<u8> {
    let mut bytes = message.encode_to_vec();
    let digest = digest(&bytes);
    prost::encoding::fixed64::encode(DIGEST_TAG, &digest, &mut bytes);
    bytes
}

/// Decodes a record and verifies its digest. Records of the first release have none.
fn decode_verified<M: Message + Default>(bytes: &[u8]) -> Result<M> {
    if let Some(digest) = StoredDigest::decode(bytes)?.digest {
        let digested = bytes.len().checked_sub(DIGEST_FIELD_BYTES).and_then(|end| bytes.get(..end));
        if digested.map(self::digest) != Some(digest) {
            bail!("a record has a wrong digest");
        }
    }
    Ok(M::decode(bytes)?)
}

/// Whether an error says nothing about what is stored, and may be gone at a later attempt.
fn is_transient_io(error: &io::Error) -> bool {
    /// ENFILE and EMFILE.
    const TOO_MANY_OPEN_FILES: [i32; 2] = [23, 24];
    let kinds = [
        ErrorKind::StorageFull,
        ErrorKind::QuotaExceeded,
        ErrorKind::ReadOnlyFilesystem,
        ErrorKind::PermissionDenied,
        ErrorKind::OutOfMemory,
    ];
    kinds.contains(&error.kind())
        || error.raw_os_error().is_some_and(|code| TOO_MANY_OPEN_FILES.contains(&code))
}

fn is_transient(error: &fjall::Error) -> bool {
    match error {
        fjall::Error::Io(error) => is_transient_io(error),
        fjall::Error::Storage(fjall::LsmError::Io(error)) => is_transient_io(error),
        fjall::Error::Locked => true,
        _ => false,
    }
}

/// Whether an error only means that the disk is unavailable for now, for example because it is full.
pub fn disk_unavailable(error: &eyre::Report) -> bool {
    error.chain().any(|cause| {
        let fjall_error = cause.downcast_ref::<fjall::Error>();
        // An open store rejects all writes once one has failed.
        let fjall_error =
            fjall_error.is_some_and(|error| is_transient(error) || matches!(error, fjall::Error::Poisoned));
        fjall_error || cause.downcast_ref::<io::Error>().is_some_and(is_transient_io)
    })
}

impl Store {
    /// Opens the store in a directory and reads its contents: none if it is empty, and the default if it was
    /// corrupt, so that the process has no vote until it is caught up. A corrupt store is kept as
    /// `core.damaged` beside the new one.
    ///
    /// # Errors
    ///
    /// The disk is unavailable (full, or not writable), or the store has the format of a later release.
    pub fn open(dir: &Path) -> Result<(Self, Option<PersistentState>)> {
        fs::create_dir_all(dir)?;
        let (path, corrupt_path) = (dir.join("core"), dir.join("core.damaged"));
        let watermark = Watermark::read(dir)?;
        // A process killed right after it renamed a corrupt store leaves only `core.damaged`.
        let existed = watermark.is_some() || corrupt_path.exists();
        let why = match Self::open_at(&path, dir)? {
            Ok((_, Contents::Valid { save_number, .. }))
                if save_number > 0 && watermark.is_some_and(|watermark| watermark > save_number) =>
            {
                format!("its last save is {save_number}, behind the watermark {}", watermark.unwrap_or(0))
            }
            Ok((store, Contents::Valid { saved, save_number, last_index })) => {
                store.save_number.set(save_number.max(watermark.unwrap_or(0)));
                store.last_index.set(last_index);
                // Detects a disk that is not writable before the process takes part in the consensus.
                let hard_state = saved.hard_state.clone();
                store
                    .save(&Save { hard_state, entries: None, snapshot: None })
                    .wrap_err("failed to write to the store")?;
                return Ok((store, Some(saved)));
            }
            Ok((store, Contents::Empty)) if !existed => return Ok((store, None)),
            Ok((_, Contents::Empty)) => "it is empty, but was written to before".to_owned(),
            Ok((_, Contents::Corrupt(why))) | Err(why) => why,
        };
        invariants::record_violation(Invariant::SavedDataIsDurable, &why);
        log::error!("store: the disk is damaged: {why}: it is set aside and filled up from the others");
        Self::replace_corrupt(&path, &corrupt_path, dir, watermark.unwrap_or(0))
    }

    /// Renames a corrupt store and creates a new one without a vote. Save numbers continue from those of the
    /// corrupt store, as a power loss may bring back its watermark.
    fn replace_corrupt(
        path: &Path, corrupt_path: &Path, dir: &Path, watermark: u64,
    ) -> Result<(Self, Option<PersistentState>)> {
        if corrupt_path.exists() && path.exists() {
            fs::remove_dir_all(corrupt_path)?;
        }
        if path.exists() {
            fs::rename(path, corrupt_path)?;
        }
        // Otherwise a power loss could undo the rename.
        watermark::sync_dir(dir)?;
        let (store, _) =
            Self::open_at(path, dir)?.map_err(|why| eyre::eyre!("failed to create a new store: {why}"))?;
        store.save_number.set(watermark);
        let saved = PersistentState::default();
        store.save(&Save {
            hard_state: saved.hard_state.clone(),
            entries: Some((0, Vec::new())),
            snapshot: Some(saved.snapshot.clone()),
        })?;
        Ok((store, Some(saved)))
    }

    /// Opens and reads the store; the inner error says why its files can't be opened.
    fn open_at(path: &Path, dir: &Path) -> Result<std::result::Result<(Self, Contents), String>> {
        let (database, keyspace) = match Self::open_database(path)? {
            Ok(opened) => opened,
            Err(why) => return Ok(Err(why)),
        };
        let watermark = Watermark::open(dir)?;
        let store =
            Store { database, keyspace, watermark, save_number: Cell::new(0), last_index: Cell::new(0) };
        // The format of a later release is not corruption.
        let version = match catch_unwind(AssertUnwindSafe(|| store.format_version())) {
            Ok(version) => version.unwrap_or(0),
            Err(_) => 0,
        };
        if version > MAX_READABLE_VERSION {
            bail!("the store has format version {version}, newer than the supported {MAX_READABLE_VERSION}");
        }
        let contents = match catch_unwind(AssertUnwindSafe(|| store.read())) {
            Ok(Ok(contents)) => contents,
            Ok(Err(error)) => Contents::Corrupt(error.to_string()),
            Err(_) => Contents::Corrupt("its files can't be read".to_owned()),
        };
        Ok(Ok((store, contents)))
    }

    /// Opens fjall's files. If the last batch of the journal is torn, drops it and opens them again; the save
    /// number later shows whether that lost more than the save in progress.
    fn open_database(path: &Path) -> Result<std::result::Result<(Database, Keyspace), String>> {
        match Self::try_open_database(path) {
            OpenedFiles::Readable(database, keyspace) => Ok(Ok((database, keyspace))),
            OpenedFiles::Unavailable(error) => Err(error).wrap_err("the disk is unavailable"),
            OpenedFiles::TornJournal(why) => {
                if !journal_repair::invalidate_last_batch(path)? {
                    return Ok(Err(why));
                }
                log::warn!("store: the save that was under way is torn and dropped: {why}");
                match Self::try_open_database(path) {
                    OpenedFiles::Readable(database, keyspace) => Ok(Ok((database, keyspace))),
                    OpenedFiles::Unavailable(error) => Err(error).wrap_err("the disk is unavailable"),
                    OpenedFiles::TornJournal(why) | OpenedFiles::Corrupt(why) => Ok(Err(why)),
                }
            }
            OpenedFiles::Corrupt(why) => Ok(Err(why)),
        }
    }

    fn try_open_database(path: &Path) -> OpenedFiles {
        let open = || -> std::result::Result<(Database, Keyspace), fjall::Error> {
            let database = Database::builder(path)
                .cache_size(CACHE_BYTES)
                .max_journaling_size(MAX_JOURNAL_BYTES)
                .worker_threads(1)
                .open()?;
            let keyspace = database.keyspace("agreement", || {
                KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE_BYTES)
            })?;
            Ok((database, keyspace))
        };
        // fjall panics on some corrupt files.
        match catch_unwind(AssertUnwindSafe(open)) {
            Ok(Ok((database, keyspace))) => OpenedFiles::Readable(database, keyspace),
            Ok(Err(error)) if is_transient(&error) => OpenedFiles::Unavailable(error),
            Ok(Err(fjall::Error::JournalRecovery(error)))
                if error != JournalRecoveryError::InvalidFileName =>
            {
                OpenedFiles::TornJournal(error.to_string())
            }
            Ok(Err(error)) => OpenedFiles::Corrupt(error.to_string()),
            Err(_) => OpenedFiles::Corrupt("its files can't be read".to_owned()),
        }
    }

    fn format_version(&self) -> Result<u32> {
        let hard_state = self
            .keyspace
            .get(HARD_STATE_KEY)?
            .map(|hard_state| decode_verified::<StoredHardState>(&hard_state))
            .transpose()?;
        Ok(hard_state.map_or(0, |hard_state| hard_state.format_version))
    }

    fn read(&self) -> Result<Contents> {
        let Some(hard_state) = self.keyspace.get(HARD_STATE_KEY)? else {
            let has_records = self.keyspace.iter().next().is_some();
            return Ok(if has_records {
                Contents::Corrupt("the hard state is missing".into())
            } else {
                Contents::Empty
            });
        };
        let StoredHardState { term, vote, voting, format_version, last_index, save_number } =
            decode_verified(&hard_state)?;
        let snapshot = match self.keyspace.get(SNAPSHOT_KEY)? {
            Some(snapshot) => decode_verified(&snapshot)?,
            // A member with an empty disk saves the terms it sees before it is sent a snapshot.
            None if !voting => StoredSnapshot::default(),
            None => bail!("the snapshot is missing"),
        };
        let StoredSnapshot { index, term: snapshot_term, members, state } = snapshot;
        let mut entries = Vec::new();
        for pair in self.keyspace.range(entry_key(index + 1)..=entry_key(u64::MAX)) {
            let (key, value) = pair.into_inner()?;
            let entry: Entry = decode_verified(&value)?;
            // Each save removes the entries that are no longer part of the log.
            if entry.index != index + 1 + entries.len() as u64 || *key != entry_key(entry.index) {
                bail!("the log has a gap before index {}", entry.index);
            }
            entries.push(entry);
        }
        let log_end = index + entries.len() as u64;
        if format_version > 0 && log_end != last_index {
            bail!("the log ends at index {log_end} instead of {last_index}");
        }
        let hard_state = HardState { term, vote, voting };
        let saved = PersistentState {
            hard_state,
            snapshot: Snapshot { index, term: snapshot_term, members, state },
            entries,
        };
        Ok(Contents::Valid { saved, save_number, last_index: log_end })
    }
}

impl DurableStore for Store {
    fn save(&self, save: &Save) -> Result<()> {
        let mut batch = self.database.batch();
        let (mut last_index, save_number) = (self.last_index.get(), self.save_number.get() + 1);
        if let Some(snapshot) = &save.snapshot {
            let Snapshot { index, term, members, state } = snapshot.clone();
            for pair in self.keyspace.range(entry_key(0)..=entry_key(index)) {
                batch.remove(&self.keyspace, pair.key()?);
            }
            let stored = StoredSnapshot { index, term, members, state };
            batch.insert(&self.keyspace, SNAPSHOT_KEY, encode_with_digest(&stored));
            last_index = last_index.max(index);
        }
        if let Some((first, entries)) = &save.entries {
            let after_entries = entry_key(first + entries.len() as u64)..=entry_key(u64::MAX);
            for pair in self.keyspace.range(after_entries) {
                batch.remove(&self.keyspace, pair.key()?);
            }
            for entry in entries {
                batch.insert(&self.keyspace, entry_key(entry.index), encode_with_digest(entry));
            }
            last_index = (first + entries.len() as u64).saturating_sub(1);
        }
        let HardState { term, vote, voting } = save.hard_state.clone();
        let stored =
            StoredHardState { term, vote, voting, format_version: FORMAT_VERSION, last_index, save_number };
        batch.insert(&self.keyspace, HARD_STATE_KEY, encode_with_digest(&stored));
        batch.commit()?;
        self.database.persist(PersistMode::SyncAll)?;
        self.last_index.set(last_index);
        self.save_number.set(save_number);
        self.watermark.write(save_number)?;
        Ok(())
    }
}
