//! The fleet's rows as this node knows them, with hashes over buckets of them.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use geranium_model::{InstanceName, MemberRow, MemberState};

use crate::{
    RowMark,
    hash::{mix, name_key},
};

/// Buckets over which hashes are compared: at 1,600 members a lost row costs
/// marks of 25 rows to find, and the hashes themselves half a kilobyte.
pub const BUCKETS: usize = 64;

/// Members by name, the higher incarnation and then the later state winning.
///
/// Rows in state `gone` stay as tombstones, so that a late or repeated row
/// can't bring the member back. They are left out of the hashes: nodes drop
/// them at different moments, which must not look like a difference.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_spread::{MemberTable, example_row};
///
/// let mut table = MemberTable::default();
/// assert!(table.merge(Duration::ZERO, &example_row("a-1", 5)));
/// assert!(!table.merge(Duration::ZERO, &example_row("a-1", 4)));
/// ```
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<InstanceName, MemberEntry>,
    names: HashMap<u64, InstanceName>,
    buckets: Vec<u64>,
}

/// A row and what this node noted about it.
#[derive(Debug)]
pub struct MemberEntry {
    /// The row.
    pub row: MemberRow,
    /// Key of its name.
    pub key: u64,
    /// When the row came here.
    pub changed_at: Duration,
}

impl MemberTable {
    /// Takes `row` in, unless the table has as good a one; reports whether.
    pub fn merge(&mut self, now: Duration, row: &MemberRow) -> bool {
        if self.buckets.is_empty() {
            self.buckets = vec![0; BUCKETS];
        }
        let key = name_key(row.instance.as_str());
        if let Some(entry) = self.entries.get(&row.instance) {
            if !row.supersedes(&entry.row) {
                return false;
            }
            let former = row_hash(key, &entry.row);
            self.buckets[bucket_of(key)] ^= former;
        }
        self.buckets[bucket_of(key)] ^= row_hash(key, row);
        self.names.insert(key, row.instance.clone());
        let entry = MemberEntry {
            row: row.clone(),
            key,
            changed_at: now,
        };
        self.entries.insert(row.instance.clone(), entry);
        true
    }

    /// Drops tombstones that came here before `limit`.
    pub fn drop_tombstones(&mut self, limit: Duration) {
        let names = &mut self.names;
        self.entries.retain(|_, entry| {
            let keep = entry.row.state != MemberState::Gone || entry.changed_at >= limit;
            if !keep {
                names.remove(&entry.key);
            }
            keep
        });
    }

    /// Returns the row of `instance`.
    pub fn get(&self, instance: &InstanceName) -> Option<&MemberRow> {
        self.entries.get(instance).map(|entry| &entry.row)
    }

    /// Returns the row whose name has `key`.
    pub fn by_key(&self, key: u64) -> Option<&MemberRow> {
        self.names.get(&key).and_then(|name| self.get(name))
    }

    /// Returns every entry, tombstones included, sorted by name.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Returns every row that isn't a tombstone, sorted by name.
    pub fn rows(&self) -> impl Iterator<Item = &MemberRow> {
        let rows = self.entries.values().map(|entry| &entry.row);
        rows.filter(|row| row.state != MemberState::Gone)
    }

    /// Returns the hash over all buckets.
    pub fn root(&self) -> u64 {
        let places = self.buckets.iter().zip(0u64..);
        places.fold(0, |root, (hash, place)| root ^ mix(hash ^ mix(place + 1)))
    }

    /// Returns the hash of each bucket.
    pub fn bucket_hashes(&self) -> Vec<u64> {
        let mut hashes = self.buckets.clone();
        hashes.resize(BUCKETS, 0);
        hashes
    }

    /// Returns the buckets whose hash differs from `theirs`.
    pub fn differing(&self, theirs: &[u64]) -> Vec<u8> {
        let ours = self.bucket_hashes();
        let pairs = (0u8..).zip(ours.iter().zip(theirs));
        pairs
            .filter(|(_, (our, their))| our != their)
            .map(|(bucket, _)| bucket)
            .collect()
    }

    /// Returns a mark for each row in `bucket`, tombstones included.
    pub fn marks(&self, buckets: &[u8]) -> Vec<RowMark> {
        self.in_buckets(buckets).map(row_mark).collect()
    }

    /// Returns the rows in `buckets` that aren't tombstones.
    pub fn rows_in(&self, buckets: &[u8]) -> Vec<MemberRow> {
        let entries = self.in_buckets(buckets);
        let rows = entries.map(|entry| entry.row.clone());
        rows.filter(|row| row.state != MemberState::Gone).collect()
    }

    fn in_buckets(&self, buckets: &[u8]) -> impl Iterator<Item = &MemberEntry> {
        let mut chosen = [false; BUCKETS];
        for bucket in buckets {
            if let Some(place) = chosen.get_mut(usize::from(*bucket)) {
                *place = true;
            }
        }
        let entries = self.entries.values();
        entries.filter(move |entry| chosen[bucket_of(entry.key)])
    }

    /// Compares `marks`, all the other side has in `buckets`, with the table.
    pub fn compare(&self, buckets: &[u8], marks: &[RowMark]) -> MarkComparison {
        let mut comparison = MarkComparison::default();
        let theirs: HashMap<u64, &RowMark> = marks.iter().map(|mark| (mark.key, mark)).collect();
        for entry in self.in_buckets(buckets) {
            let newer_here = match theirs.get(&entry.key) {
                Some(mark) => rank(&row_mark(entry)) > rank(mark),
                // A tombstone is of no use to who never knew the member, and
                // passing it on would keep it alive for good.
                None => entry.row.state != MemberState::Gone,
            };
            if newer_here {
                comparison.newer_here.push(entry.row.clone());
            }
        }
        for mark in marks {
            let newer_there = match self.by_key(mark.key) {
                Some(row) => rank(mark) > (row.incarnation, row.state),
                None => mark.state != MemberState::Gone,
            };
            if newer_there {
                comparison.newer_there.push(mark.key);
            }
        }
        comparison
    }
}

/// What two tables can give each other.
#[derive(Debug, Default)]
pub struct MarkComparison {
    /// Rows that are newer here, or missing there.
    pub newer_here: Vec<MemberRow>,
    /// Keys of rows that are newer there, or missing here.
    pub newer_there: Vec<u64>,
}

fn rank(mark: &RowMark) -> (geranium_model::Incarnation, MemberState) {
    (mark.incarnation, mark.state)
}

fn row_mark(entry: &MemberEntry) -> RowMark {
    RowMark {
        key: entry.key,
        incarnation: entry.row.incarnation,
        state: entry.row.state,
    }
}

fn bucket_of(key: u64) -> usize {
    (key % BUCKETS as u64) as usize
}

fn row_hash(key: u64, row: &MemberRow) -> u64 {
    match row.state {
        MemberState::Gone => 0,
        state => mix(key ^ mix(row.incarnation.get() ^ (state as u64) << 60)),
    }
}
