//! Crash rows of the whole fleet, until they expire.

use std::{collections::BTreeMap, time::Duration};

use geranium_model::CrashRow;

use crate::{
    CrashNote,
    hash::{mix, name_key},
};

/// Rows kept at most: a thousand crashing requests at once would stop the fleet
/// anyway, and a faulty node must not fill every node's memory.
const ROWS_MAX: usize = 4_096;

/// Set of crash rows with expiry.
///
/// Remaining times travel with the rows, so every node drops a row within a
/// message's travel of the others.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_model::{CrashRow, Incarnation};
/// use geranium_spread::CrashSet;
///
/// let row = CrashRow {
///     fingerprint: 1,
///     instance: "a-1".parse().unwrap(),
///     announced: Incarnation::new(1),
/// };
/// let mut set = CrashSet::default();
/// assert!(set.insert(row.clone(), Duration::from_secs(600)));
/// assert!(!set.insert(row, Duration::from_secs(600)));
/// ```
#[derive(Debug, Default)]
pub struct CrashSet {
    rows: BTreeMap<CrashKey, (CrashRow, Duration)>,
    root: u64,
}

type CrashKey = (u64, String, u64);

impl CrashSet {
    /// Adds a row that lasts until `expires_at`; reports whether it is new.
    pub fn insert(&mut self, row: CrashRow, expires_at: Duration) -> bool {
        let key = key_of(&row);
        if self.rows.contains_key(&key) || self.rows.len() >= ROWS_MAX {
            return false;
        }
        self.root ^= row_hash(&row);
        self.rows.insert(key, (row, expires_at));
        true
    }

    /// Drops rows that have expired.
    pub fn expire(&mut self, now: Duration) {
        let root = &mut self.root;
        self.rows.retain(|_, (row, expires_at)| {
            let keep = *expires_at > now;
            if !keep {
                *root ^= row_hash(row);
            }
            keep
        });
    }

    /// Returns the hash over all rows.
    pub const fn root(&self) -> u64 {
        self.root
    }

    /// Reports whether the set holds `row`.
    pub fn contains(&self, row: &CrashRow) -> bool {
        self.rows.contains_key(&key_of(row))
    }

    /// Returns every row with the time it has left.
    pub fn notes(&self, now: Duration) -> impl Iterator<Item = CrashNote> {
        self.rows
            .values()
            .map(move |(row, expires_at)| note(row, *expires_at, now))
    }
}

fn note(row: &CrashRow, expires_at: Duration, now: Duration) -> CrashNote {
    CrashNote {
        row: row.clone(),
        ms_left: expires_at.saturating_sub(now).as_millis() as u32,
    }
}

fn key_of(row: &CrashRow) -> CrashKey {
    (
        row.fingerprint,
        row.instance.as_str().to_owned(),
        row.announced.get(),
    )
}

fn row_hash(row: &CrashRow) -> u64 {
    let owner = name_key(row.instance.as_str()) ^ mix(row.announced.get());
    mix(row.fingerprint ^ mix(owner))
}
