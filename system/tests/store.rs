//! The store of a core process: at start-up it returns the last completed save or reports corruption.

use oakfall_system::invariants::violations_on_this_thread;
use oakfall_system::raft::{Entry, HardState, PersistentState, Save, Snapshot};
use oakfall_system::store::{DurableStore, SaveLatency, Store};
use prost::Message;
use std::fs;
use std::path::{Path, PathBuf};

/// Makes a store like a member's, with appended entries and a compacted log, and returns its contents.
fn fill_store(dir: &Path, saves: u64) -> PersistentState {
    let (store, contents) = Store::open(dir).expect("opens an empty directory");
    assert!(contents.is_none());
    let members = vec!["a".to_owned(), "b".to_owned(), "c".to_owned()];
    let mut saved = PersistentState::default();
    let mut save = |store: &Store, save: Save| {
        store.save(&save).expect("saves");
        saved.hard_state = save.hard_state;
        if let Some(snapshot) = save.snapshot {
            saved.entries.retain(|entry| entry.index > snapshot.index);
            saved.snapshot = snapshot;
        }
        if let Some((first, entries)) = save.entries {
            saved.entries.retain(|entry| entry.index < first);
            saved.entries.extend(entries);
        }
    };
    let hard_state = |term| HardState { term, vote: Some("a".into()), voting: true };
    let snapshot = |index| Snapshot { index, term: 1, members: members.clone(), state: vec![7; 300] };
    save(&store, Save { hard_state: hard_state(1), entries: None, snapshot: Some(snapshot(1)) });
    for index in 2..saves {
        let entry = Entry { index, term: 1, data: vec![index as u8; 40], ..Entry::default() };
        save(
            &store,
            Save { hard_state: hard_state(index), entries: Some((index, vec![entry])), snapshot: None },
        );
        if index == saves / 2 {
            save(
                &store,
                Save { hard_state: hard_state(index), entries: None, snapshot: Some(snapshot(index - 3)) },
            );
        }
    }
    saved
}

fn copy_dir(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("creates a directory");
    for entry in fs::read_dir(from).expect("reads a directory").flatten() {
        let (path, to) = (entry.path(), to.join(entry.file_name()));
        if path.is_dir() {
            copy_dir(&path, &to);
        } else {
            fs::copy(&path, &to).expect("copies a file");
        }
    }
}

fn files_in(dir: &Path) -> Vec<PathBuf> {
    let mut all = Vec::new();
    for entry in fs::read_dir(dir).expect("reads a directory").flatten() {
        if entry.path().is_dir() {
            all.extend(files_in(&entry.path()));
        } else {
            all.push(entry.path());
        }
    }
    all.sort();
    all
}

/// Corrupts a random file in each of `runs` copies of a store; opening one must give its contents or report
/// it as corrupt. Returns how often it was reported.
fn corrupt_copies(runs: u64, corrupt: impl Fn(&mut fastrand::Rng, &Path) -> bool) -> u64 {
    let dir = tempfile::tempdir().expect("a directory");
    let saved = fill_store(dir.path(), 60);
    let mut reported = 0;
    for seed in 0..runs {
        let mut rng = fastrand::Rng::with_seed(seed);
        let copy = tempfile::tempdir().expect("a directory");
        copy_dir(dir.path(), copy.path());
        let all = files_in(copy.path());
        let file = &all[rng.usize(0..all.len())];
        if !corrupt(&mut rng, file) {
            continue;
        }
        let (store, contents) = Store::open(copy.path()).expect("opens");
        let contents = contents.expect("not empty");
        let lost = contents == PersistentState::default();
        assert!(lost || contents == saved, "seed {seed}: {}: read neither save nor default", file.display());
        reported += u64::from(lost);
        drop(store);
        let (_, reopened) = Store::open(copy.path()).expect("opens again");
        assert_eq!(reopened, Some(contents), "seed {seed}: {}", file.display());
    }
    reported
}

/// The number of runs: that in the environment variable `HISTORIES`, if set.
fn runs(default: u64) -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn flipped_bit_is_detected_or_harmless() {
    let reported = corrupt_copies(runs(12), |rng, file| {
        let mut bytes = fs::read(file).expect("reads a file");
        // A journal is preallocated with zeros; flip a bit in its written part.
        let end = bytes.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 1);
        if end == 0 {
            return false;
        }
        bytes[rng.usize(0..end)] ^= 1 << rng.u32(0..8);
        fs::write(file, bytes).is_ok()
    });
    assert!(reported > 0, "no corruption was detected");
}

#[test]
fn truncated_file_is_detected_or_harmless() {
    let reported = corrupt_copies(runs(8), |rng, file| {
        let bytes = fs::read(file).expect("reads a file");
        let end = bytes.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 1);
        end > 0 && fs::write(file, &bytes[..rng.usize(0..end)]).is_ok()
    });
    assert!(reported > 0, "no corruption was detected");
}

#[test]
fn missing_store_beside_a_watermark_is_corruption() {
    let dir = tempfile::tempdir().expect("a directory");
    fill_store(dir.path(), 10);
    fs::remove_dir_all(dir.path().join("core")).expect("removes the store");
    let (_, contents) = Store::open(dir.path()).expect("opens");
    assert_eq!(contents, Some(PersistentState::default()));
}

/// Appends a long log with a snapshot every 512 entries: the store stays small and opens quickly.
#[test]
fn compacted_log_stays_small_on_disk() {
    let entries = if std::env::var("HISTORIES").is_ok() { 100_000 } else { 3000 };
    let dir = tempfile::tempdir().expect("a directory");
    let (store, _) = Store::open(dir.path()).expect("opens an empty directory");
    let hard_state = HardState { term: 1, vote: None, voting: true };
    let snapshot = |index| Snapshot { index, term: 1, members: vec!["a".into()], state: vec![3; 300_000] };
    store
        .save(&Save { hard_state: hard_state.clone(), entries: None, snapshot: Some(snapshot(1)) })
        .expect("saves");
    let mut first = 2;
    while first < entries {
        let entry = |index: u64| Entry { index, term: 1, data: vec![index as u8; 120], ..Entry::default() };
        // About as many entries as arrive during one save.
        let entries = (first..first + 64).map(entry).collect::<Vec<_>>();
        store
            .save(&Save { hard_state: hard_state.clone(), entries: Some((first, entries)), snapshot: None })
            .expect("saves");
        first += 64;
        if first % 512 < 64 {
            let snapshot = Some(snapshot(first - 1));
            store.save(&Save { hard_state: hard_state.clone(), entries: None, snapshot }).expect("saves");
        }
    }
    drop(store);
    let bytes: u64 = files_in(dir.path()).iter().map(|file| fs::metadata(file).expect("a file").len()).sum();
    let before = std::time::Instant::now();
    let (_, contents) = Store::open(dir.path()).expect("opens");
    eprintln!("{entries} entries: {} KiB on disk, opened in {:?}", bytes / 1024, before.elapsed());
    let contents = contents.expect("not empty");
    assert_eq!(contents.snapshot.index + contents.entries.len() as u64, first - 1);
    assert!(bytes < 160 << 20, "{bytes} bytes on disk");
}

/// The stored hard state of the first release, plus fields of later ones.
#[derive(Clone, PartialEq, Message)]
struct StoredHardState {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(bool, tag = "3")]
    voting: bool,
    #[prost(uint32, tag = "4")]
    format_version: u32,
    #[prost(uint64, tag = "5")]
    last_index: u64,
    #[prost(uint64, tag = "6")]
    save_number: u64,
    #[prost(uint64, tag = "9")]
    unknown_field: u64,
}

/// Opens a store that another release wrote, without digests: this hard state, a snapshot at index 4, and one
/// entry.
fn open_written_by_other_release(hard_state: StoredHardState) -> eyre::Result<Option<PersistentState>> {
    let dir = tempfile::tempdir().expect("a directory");
    let database = fjall::Database::builder(dir.path().join("core")).open().expect("creates a store");
    let keyspace =
        database.keyspace("agreement", fjall::KeyspaceCreateOptions::default).expect("creates a keyspace");
    let entry = Entry { index: 5, term: 1, data: vec![1], ..Entry::default() };
    keyspace.insert("vow", hard_state.encode_to_vec()).expect("writes");
    // Index 4, term 1, one member, no state.
    keyspace.insert("base", [8, 4, 16, 1, 26, 1, b'a']).expect("writes");
    keyspace.insert([b"e", &5u64.to_be_bytes()[..]].concat(), entry.encode_to_vec()).expect("writes");
    database.persist(fjall::PersistMode::SyncAll).expect("syncs");
    drop((keyspace, database));
    Store::open(dir.path()).map(|(_, contents)| contents)
}

#[test]
fn formats_of_the_previous_and_next_release_are_read_and_later_ones_rejected() {
    let first = StoredHardState { term: 7, voting: true, ..StoredHardState::default() };
    let next = StoredHardState {
        format_version: 2,
        last_index: 5,
        save_number: 9,
        unknown_field: 3,
        ..first.clone()
    };
    for hard_state in [first, next.clone()] {
        let contents = open_written_by_other_release(hard_state).expect("opens").expect("not empty");
        let read = (
            contents.hard_state.term,
            contents.hard_state.voting,
            contents.snapshot.index,
            contents.entries.len(),
        );
        assert_eq!(read, (7, true, 4, 1));
    }
    // An error, and not corruption: the store is left as it is for the release that wrote it.
    assert!(open_written_by_other_release(StoredHardState { format_version: 3, ..next }).is_err());
}

/// The range of bytes that differ; the new part of a file that grew counts as zeros before.
fn changed_range(before: &[u8], after: &[u8]) -> Option<(usize, usize)> {
    let differs = |at: &usize| before.get(*at).copied().unwrap_or(0) != after[*at];
    let first = (0..after.len()).find(differs)?;
    let last = (0..after.len()).rfind(differs)?;
    Some((first, last + 1))
}

/// Simulates a power loss during the last save: a random subset of the sectors that it wrote is reverted. The
/// watermark is reverted, too, as it is written only after the save is durable.
fn lose_power(rng: &mut fastrand::Rng, before: &Path, after: &Path) {
    let sector = [64, 512, 4096][rng.usize(0..3)];
    let kept_share = rng.f64();
    let watermark = |dir: &Path| dir.join("core.mark");
    fs::copy(watermark(before), watermark(after)).expect("copies the watermark");
    for path in files_in(after) {
        let old = before.join(path.strip_prefix(after).expect("a file of the store"));
        let old = fs::read(old).unwrap_or_default();
        let mut bytes = fs::read(&path).expect("reads a file");
        let Some((first, end)) = changed_range(&old, &bytes) else { continue };
        for start in (first..end).step_by(sector) {
            if rng.f64() >= kept_share {
                let sector_end = (start + sector).min(end);
                let old_byte = |offset: usize| old.get(offset).copied().unwrap_or(0);
                let sector_bytes = bytes[start..sector_end].iter_mut();
                sector_bytes.zip(start..).for_each(|(byte, offset)| *byte = old_byte(offset));
            }
        }
        fs::write(&path, bytes).expect("writes a file");
    }
}

/// After a power loss during a save the store holds that save or the previous one, and is not reported as
/// corrupt.
#[test]
fn power_loss_keeps_every_completed_save() {
    for seed in 0..runs(40) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let dir = tempfile::tempdir().expect("a directory");
        let mut saved = fill_store(dir.path(), rng.u64(8..30));
        let (store, contents) = Store::open(dir.path()).expect("opens");
        assert_eq!(contents, Some(saved.clone()));
        let before = tempfile::tempdir().expect("a directory");
        copy_dir(dir.path(), before.path());
        let first = saved.snapshot.index + saved.entries.len() as u64 + 1;
        let data = |index: u64| vec![index as u8 | 1; 1 << rng.u32(4..13)];
        let entries: Vec<_> = (first..first + 1 + seed % 3).map(data).collect();
        let entry = |(at, data): (usize, Vec<u8>)| Entry {
            index: first + at as u64,
            term: 2,
            data,
            ..Entry::default()
        };
        let entries: Vec<_> = entries.into_iter().enumerate().map(entry).collect();
        let previous = saved.clone();
        saved.entries.extend(entries.clone());
        saved.hard_state.term += 1;
        store
            .save(&Save {
                hard_state: saved.hard_state.clone(),
                entries: Some((first, entries)),
                snapshot: None,
            })
            .expect("saves");
        for _ in 0..8 {
            let copy = tempfile::tempdir().expect("a directory");
            copy_dir(dir.path(), copy.path());
            lose_power(&mut rng, before.path(), copy.path());
            let (store, contents) = Store::open(copy.path()).expect("opens");
            let contents = contents.expect("not empty");
            let kept = contents == saved || contents == previous;
            assert!(kept, "seed {seed}: a completed save is lost: {:?}", contents.hard_state);
            let hard_state = HardState { term: 99, ..contents.hard_state.clone() };
            store
                .save(&Save { hard_state: hard_state.clone(), entries: None, snapshot: None })
                .expect("saves");
            drop(store);
            let (_, reopened) = Store::open(copy.path()).expect("opens again");
            assert_eq!(reopened, Some(PersistentState { hard_state, ..contents }), "seed {seed}");
        }
    }
}

/// A member that saved a term but was killed before it was sent a snapshot is not corrupt.
#[test]
fn store_without_a_snapshot_yet_is_not_corrupt() {
    let dir = tempfile::tempdir().expect("a directory");
    let (store, contents) = Store::open(dir.path()).expect("opens an empty directory");
    assert_eq!(contents, None);
    let hard_state = HardState { term: 7, vote: None, voting: false };
    store.save(&Save { hard_state: hard_state.clone(), entries: None, snapshot: None }).expect("saves");
    drop(store);
    let violations_before = violations_on_this_thread();
    let (_, contents) = Store::open(dir.path()).expect("opens");
    assert_eq!(contents, Some(PersistentState { hard_state, ..PersistentState::default() }));
    assert_eq!(violations_on_this_thread(), violations_before);
    assert!(!dir.path().join("core.damaged").exists(), "it was reported as corrupt");
}

/// The watermark is not synced at each save: after a power loss it may be that of the replaced corrupt store.
#[test]
fn watermark_of_the_replaced_store_is_not_corruption() {
    let dir = tempfile::tempdir().expect("a directory");
    fill_store(dir.path(), 60);
    let watermark = fs::read(dir.path().join("core.mark")).expect("reads the watermark");
    let journal = files_in(dir.path())
        .into_iter()
        .find(|path| path.extension().is_some_and(|extension| extension == "jnl"));
    fs::write(journal.expect("a journal"), [1; 100]).expect("corrupts the journal");
    let (store, contents) = Store::open(dir.path()).expect("opens");
    assert_eq!(contents, Some(PersistentState::default()));
    let saved = PersistentState {
        hard_state: HardState { term: 7, vote: None, voting: true },
        ..PersistentState::default()
    };
    for _ in 0..3 {
        store
            .save(&Save { hard_state: saved.hard_state.clone(), entries: None, snapshot: None })
            .expect("saves");
    }
    drop(store);
    fs::write(dir.path().join("core.mark"), watermark).expect("writes the watermark");
    let (_, contents) = Store::open(dir.path()).expect("opens");
    assert_eq!(contents, Some(saved));
}

#[test]
fn disk_is_slow_only_compared_with_its_usual_latency() {
    let mut latency = SaveLatency::default();
    let mut slow_after = |latencies: &[f64]| latencies.iter().map(|ms| latency.record(*ms)).last();
    // The first save also creates files.
    assert_eq!(slow_after(&[30.0, 0.6, 0.7, 0.5]), Some(false));
    // Slow after three saves in a row, and not after a single stall.
    assert_eq!(slow_after(&[18.0, 18.0]), Some(false));
    assert_eq!(slow_after(&[18.0]), Some(true));
    assert_eq!(slow_after(&[0.6, 3000.0, 0.6, 0.6]), Some(false));
    // Saves below the minimum latency of a slow save never count as slow.
    assert_eq!(slow_after(&[3.0; 50]), Some(false));
    let mut always_slow = SaveLatency::default();
    assert!(!(0..50).any(|_| always_slow.record(12.0)));
}
