//! What a core process must not forget, on disk.

use crate::agreement::{Base, Entry, Save, Saved, Vow};
use eyre::Result;
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use prost::Message;
use std::path::Path;

/// Bytes of memory that the store may hold for reads.
const CACHE: u64 = 1 << 20;
/// Bytes of its journal at most: the disk is small.
const JOURNAL: u64 = 64 << 20;

const VOW: &[u8] = b"vow";
const BASE: &[u8] = b"base";
const ENTRY: u8 = b'e';

/// The disk's form of [`Vow`].
#[derive(Clone, PartialEq, Message)]
struct VowForm {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(string, optional, tag = "2")]
    vote: Option<String>,
    #[prost(bool, tag = "3")]
    counts: bool,
}

/// The disk's form of [`Base`].
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

/// A disk that took longer than so many times its usual time, in so many saves in a row, and longer than this, in ms, is
/// slow: its owner should not lead, as each change waits for it.
const SLOW: (f64, u32, f64) = (6.0, 3, 5.0);
/// Weight of a save that is not slow, in the usual time; a quicker one shows at once what the disk can do.
const USUAL_GAIN: f64 = 0.1;

/// Whether a disk is slow, by the time that saves take.
#[derive(Debug, Default)]
pub struct Pace {
    usual_ms: Option<f64>,
    slow: u32,
}

impl Pace {
    /// A save took so long, in ms. True if the disk is slow by now.
    pub fn saved(&mut self, took_ms: f64) -> bool {
        let (times, in_a_row, least_ms) = SLOW;
        let usual = *self.usual_ms.get_or_insert(took_ms);
        if took_ms > (usual * times).max(least_ms) {
            self.slow = self.slow.saturating_add(1);
        } else {
            self.slow = 0;
            self.usual_ms = Some(took_ms.min(usual + (took_ms - usual) * USUAL_GAIN));
        }
        self.slow >= in_a_row
    }
}

/// The store of one core process.
pub struct Store {
    database: Database,
    keys: Keyspace,
}

fn entry_key(index: u64) -> [u8; 9] {
    let mut key = [ENTRY; 9];
    key[1..].copy_from_slice(&index.to_be_bytes());
    key
}

impl Store {
    /// Opens the store in a folder, and reads what it holds: nothing where the disk is empty.
    pub fn open(folder: &Path) -> Result<(Self, Option<Saved>)> {
        let database = Database::builder(folder.join("core"))
            .cache_size(CACHE)
            .max_journaling_size(JOURNAL)
            .worker_threads(1)
            .open()?;
        let keys = database.keyspace("agreement", KeyspaceCreateOptions::default)?;
        let store = Store { database, keys };
        let saved = store.read()?;
        Ok((store, saved))
    }

    fn read(&self) -> Result<Option<Saved>> {
        let Some(vow) = self.keys.get(VOW)? else { return Ok(None) };
        let VowForm { term, vote, counts } = VowForm::decode(&*vow)?;
        let base = match self.keys.get(BASE)? {
            Some(base) => BaseForm::decode(&*base)?,
            None => BaseForm::default(),
        };
        let BaseForm { index, term: base_term, members, state } = base;
        let mut entries = Vec::new();
        for pair in self.keys.range(entry_key(index + 1)..=entry_key(u64::MAX)) {
            let entry = Entry::decode(&*pair.value()?)?;
            // A gap can only be what an older log left behind.
            if entry.index != index + 1 + entries.len() as u64 {
                break;
            }
            entries.push(entry);
        }
        let vow = Vow { term, vote, counts };
        Ok(Some(Saved { vow, base: Base { index, term: base_term, members, state }, entries }))
    }

    /// Brings it to disk. When this returns it is there.
    pub fn save(&self, save: &Save) -> Result<()> {
        let mut batch = self.database.batch();
        let Vow { term, vote, counts } = save.vow.clone();
        batch.insert(&self.keys, VOW, VowForm { term, vote, counts }.encode_to_vec());
        if let Some(base) = &save.base {
            let Base { index, term, members, state } = base.clone();
            for pair in self.keys.range(entry_key(0)..=entry_key(index)) {
                batch.remove(&self.keys, pair.key()?);
            }
            batch.insert(&self.keys, BASE, BaseForm { index, term, members, state }.encode_to_vec());
        }
        if let Some((first, entries)) = &save.entries {
            for pair in self.keys.range(entry_key(first + entries.len() as u64)..=entry_key(u64::MAX)) {
                batch.remove(&self.keys, pair.key()?);
            }
            for entry in entries {
                batch.insert(&self.keys, entry_key(entry.index), entry.encode_to_vec());
            }
        }
        batch.commit()?;
        self.database.persist(PersistMode::SyncAll)?;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_disk_is_slow_beside_what_is_usual_for_it() {
        let mut pace = Pace::default();
        let mut after = |times: &[f64]| times.iter().map(|ms| pace.saved(*ms)).last();
        // The first save makes its files, too.
        assert_eq!(after(&[30.0, 0.6, 0.7, 0.5]), Some(false));
        // Thirty times as long, or hanging once.
        assert_eq!(after(&[18.0, 18.0]), Some(false));
        assert_eq!(after(&[18.0]), Some(true));
        assert_eq!(after(&[0.6, 3000.0, 0.6, 0.6]), Some(false));
        // Little more than usual, however long that lasts.
        assert_eq!(after(&[3.0; 50]), Some(false));
        let mut slow_from_the_first = Pace::default();
        assert!(!(0..50).any(|_| slow_from_the_first.saved(12.0)));
    }
}
