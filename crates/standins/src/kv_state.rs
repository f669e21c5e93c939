//! Contents of the store, with leases and history.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::{Value, json};

/// Age that serializable reads may have.
const SERIALIZABLE_AGE: Duration = Duration::from_millis(800);
/// Most entries of a transaction: preconditions, writes and removals.
const TXN_ENTRIES_MAX: usize = 32;
/// Most items in one page of a range.
const PAGE_ITEMS_MAX: usize = 500;

#[derive(Debug, Clone)]
struct KvItem {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct KvLease {
    ttl: Duration,
    ends_at: Instant,
}

/// A copy of the store's contents, to restore from.
#[derive(Debug, Clone)]
pub struct KvCopy {
    revision: u64,
    items: BTreeMap<String, KvItem>,
    leases: HashMap<u64, KvLease>,
    last_lease: u64,
}

/// Contents and history of the store.
#[derive(Debug)]
pub struct KvState {
    /// Number of restores from a copy, counted from 1.
    era: u32,
    revision: u64,
    items: BTreeMap<String, KvItem>,
    /// Older snapshot of the items, for serializable reads.
    snapshot_items: BTreeMap<String, KvItem>,
    snapshot_at: Instant,
    events: Vec<(u64, String, Option<KvItem>)>,
    /// Revision up to which the history is compacted.
    compacted: u64,
    leases: HashMap<u64, KvLease>,
    last_lease: u64,
    /// Identifiers of leases that were granted in this era.
    granted: HashSet<u64>,
    /// Number of renewals of leases that weren't granted in this era.
    stale_renewals: u32,
    /// Number of calls by kind.
    calls: BTreeMap<String, u64>,
}

impl Default for KvState {
    fn default() -> Self {
        Self {
            era: 1,
            // The real store's revisions don't start at 0 either.
            revision: 7,
            items: BTreeMap::new(),
            snapshot_items: BTreeMap::new(),
            snapshot_at: Instant::now(),
            events: Vec::new(),
            compacted: 0,
            leases: HashMap::new(),
            last_lease: 70_000,
            granted: HashSet::new(),
            stale_renewals: 0,
            calls: BTreeMap::new(),
        }
    }
}

/// Start of a value that stands for JSON text.
const RAW_VALUE_PREFIX: &str = "RAW:";

/// Puts JSON text into a response where its values stand for it.
pub(crate) fn with_raw_values(response: String) -> String {
    let marker = format!("\"{RAW_VALUE_PREFIX}");
    let mut response = response;
    while let Some(start) = response.find(&marker) {
        let encoded_at = start + marker.len();
        let length = response[encoded_at..].find('"').unwrap_or_default();
        let encoded = &response[encoded_at..encoded_at + length];
        let raw = BASE64_STANDARD.decode(encoded).unwrap_or_default();
        let raw = String::from_utf8_lossy(&raw).into_owned();
        response.replace_range(start..=encoded_at + length, &raw);
    }
    response
}

impl KvState {
    /// Writes a key without a lease, as an operator does. Returns the new revision.
    pub fn operator_put(&mut self, key: &str, value: &[u8]) -> u64 {
        self.write(key, BASE64_STANDARD.encode(value), 0)
    }

    /// Writes a key with a value that isn't valid base64.
    pub fn put_malformed(&mut self, key: &str) {
        self.write(key, "%%% no base64".to_owned(), 0);
    }

    /// Writes a key with JSON text in place of its value, which responses contain as it is.
    pub fn put_raw_value(&mut self, key: &str, json_text: &str) {
        let value = format!("{RAW_VALUE_PREFIX}{}", BASE64_STANDARD.encode(json_text));
        self.write(key, value, 0);
    }

    /// Removes a key, which only watches report.
    pub fn remove_key(&mut self, key: &str) {
        self.delete(key);
    }

    /// Expires every lease, as a long outage of the store would.
    pub fn expire_leases(&mut self) {
        for lease in self.leases.values_mut() {
            lease.ends_at = Instant::now();
        }
        self.expire();
    }

    /// Returns how many renewals in this era named a lease of an earlier era.
    pub const fn stale_renewals(&self) -> u32 {
        self.stale_renewals
    }

    /// Returns the era, which every response carries.
    pub const fn era(&self) -> u32 {
        self.era
    }

    /// Copies the items and leases, for a later restore.
    pub fn copy(&self) -> KvCopy {
        KvCopy {
            revision: self.revision,
            items: self.items.clone(),
            leases: self.leases.clone(),
            last_lease: self.last_lease,
        }
    }

    /// Restores the contents from a copy, in a new era. Leases of the copy restart with
    /// their full time to live; revisions and lease identifiers granted since the copy
    /// are assigned again. Returns the keys and values that operators wrote since the
    /// copy, which they then write again.
    pub fn restore_from(&mut self, copy: KvCopy) -> Vec<(String, Vec<u8>)> {
        let lost = self.items.iter().filter(|(key, item)| {
            let before = copy.items.get(*key);
            key.starts_with("op/") && before.map(|before| before.revision) != Some(item.revision)
        });
        let lost = lost.filter_map(|(key, _)| Some((key.clone(), self.value(key)?)));
        let lost = lost.collect();
        self.era += 1;
        self.revision = copy.revision;
        self.items = copy.items;
        self.snapshot_items = self.items.clone();
        self.leases = copy.leases;
        for lease in self.leases.values_mut() {
            lease.ends_at = Instant::now() + lease.ttl;
        }
        self.last_lease = copy.last_lease;
        self.granted.clear();
        self.stale_renewals = 0;
        let kept = copy.revision;
        self.events.retain(|(revision, _, _)| *revision <= kept);
        lost
    }

    /// Lets every lease expire after `left` unless it is renewed.
    pub fn shorten_leases(&mut self, left: Duration) {
        for lease in self.leases.values_mut() {
            lease.ends_at = Instant::now() + left;
        }
    }

    /// Lets the lease of a key last for `ttl` from now on, and from each renewal.
    ///
    /// Does nothing if the key is missing or has no lease.
    pub fn extend_lease(&mut self, key: &str, ttl: Duration) {
        let lease = self.items.get(key).map(|item| item.lease);
        if let Some(lease) = lease.and_then(|lease| self.leases.get_mut(&lease)) {
            lease.ttl = ttl;
            lease.ends_at = Instant::now() + ttl;
        }
    }

    /// Compacts the whole history: watches from an earlier revision get status 410.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.events.clear();
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns the decoded value of a key; `None` if it is missing or not base64.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let item = self.items.get(key)?;
        BASE64_STANDARD.decode(&item.value).ok()
    }

    /// Returns the number of calls by kind.
    pub const fn calls(&self) -> &BTreeMap<String, u64> {
        &self.calls
    }

    pub(crate) fn count(&mut self, kind: &str) {
        *self.calls.entry(kind.to_owned()).or_default() += 1;
    }

    pub(crate) fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    /// Returns the current items, or an older snapshot for a serializable read. The
    /// store revision in the response is current either way.
    fn items(&mut self, serializable: bool) -> &BTreeMap<String, KvItem> {
        if !serializable {
            return &self.items;
        }
        if self.snapshot_at.elapsed() > SERIALIZABLE_AGE {
            self.snapshot_items = self.items.clone();
            self.snapshot_at = Instant::now();
        }
        &self.snapshot_items
    }

    pub(crate) fn read(&mut self, key: &str, serializable: bool) -> (u16, Value) {
        match self.items(serializable).get(key).cloned() {
            Some(item) => (200, self.with_revision(item_json(key, &item))),
            None => (404, json!({"StoreRevision": self.revision})),
        }
    }

    pub(crate) fn range(&mut self, prefix: &str, after: &str, serializable: bool) -> (u16, Value) {
        let all = self.items(serializable).iter();
        let rest = all.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<Value> = rest.map(|(key, item)| item_json(key, item)).collect();
        let more = items.len() > PAGE_ITEMS_MAX;
        items.truncate(PAGE_ITEMS_MAX);
        let page = json!({"items": items, "HasMore": more});
        (200, self.with_revision(page))
    }

    /// Returns the events under a prefix after a revision, or `None` if there are none yet.
    ///
    /// The result is status 410 if that part of the history is gone or the revision is newer
    /// than the store's.
    pub(crate) fn watch(&self, prefix: &str, after: u64) -> Option<(u16, Value)> {
        if after < self.compacted || after > self.revision {
            return Some((410, json!({"Error": "history gone"})));
        }
        let events = self.events.iter();
        let events =
            events.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let events: Vec<Value> = events
            .map(|(revision, key, item)| match item {
                Some(item) => item_json(key, item),
                None => json!({"Key": key, "Revision": revision, "Deleted": true}),
            })
            .collect();
        (!events.is_empty()).then(|| (200, self.with_revision(json!({"events": events}))))
    }

    pub(crate) fn watch_ended(&self) -> (u16, Value) {
        (200, self.with_revision(json!({"events": []})))
    }

    pub(crate) fn transact(&mut self, txn: &Value, operator: bool) -> (u16, Value) {
        let rows = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
        let conditions = rows("Precondition");
        if conditions.len() + rows("Puts").len() + rows("Remove").len() > TXN_ENTRIES_MAX {
            return (400, json!({"Error": "too many entries"}));
        }
        let holds = |row: &Value| {
            let key = row["Key"].as_str().unwrap_or_default();
            let current = self.items.get(key).map_or(0, |item| item.revision);
            row["Revision"].as_u64() == Some(current)
        };
        if !conditions.iter().all(holds) {
            let items = conditions.iter().filter_map(|row| {
                let key = row["Key"].as_str()?;
                Some(item_json(key, self.items.get(key)?))
            });
            let items: Vec<Value> = items.collect();
            return (412, json!({"items": items}));
        }
        let puts = rows("Puts");
        let leases = puts.iter().map(|put| put["Lease"].as_u64().unwrap_or(0));
        if leases
            .into_iter()
            .any(|lease| lease != 0 && !self.leases.contains_key(&lease))
        {
            return (404, json!({"Error": "no such lease"}));
        }
        let keys = puts.iter().filter_map(|put| put["Key"].as_str());
        if keys
            .into_iter()
            .any(|key| !operator && (key.starts_with("op/") || key.starts_with("servers/")))
        {
            return (403, json!({"Error": "not yours"}));
        }
        for put in &puts {
            let key = put["Key"].as_str().unwrap_or_default();
            let value = put["Value"].as_str().unwrap_or_default();
            self.write(key, value.to_owned(), put["Lease"].as_u64().unwrap_or(0));
        }
        for key in rows("Remove") {
            self.delete(key.as_str().unwrap_or_default());
        }
        (200, json!({"Revision": self.revision}))
    }

    pub(crate) fn grant(&mut self, ttl_s: f64) -> (u16, Value) {
        self.last_lease += 1;
        self.granted.insert(self.last_lease);
        let ttl = Duration::from_secs_f64(ttl_s.max(0.1));
        let ends_at = Instant::now() + ttl;
        self.leases
            .insert(self.last_lease, KvLease { ttl, ends_at });
        (200, json!({"Lease": self.last_lease, "TtlS": ttl_s}))
    }

    pub(crate) fn keep(&mut self, id: u64) -> (u16, Value) {
        self.stale_renewals += u32::from(!self.granted.contains(&id));
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, json!({"TtlS": lease.ttl.as_secs_f64()}))
            }
            None => (404, json!({"Error": "no such lease"})),
        }
    }

    pub(crate) fn end_lease(&mut self, id: u64) -> (u16, Value) {
        if self.leases.remove(&id).is_none() {
            return (404, json!({"Error": "no such lease"}));
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            self.delete(&key);
        }
        (200, json!({}))
    }

    fn write(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = KvItem {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events
            .push((self.revision, key.to_owned(), Some(item)));
        self.revision
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn with_revision(&self, mut value: Value) -> Value {
        value["StoreRevision"] = json!(self.revision);
        value
    }
}

fn item_json(key: &str, item: &KvItem) -> Value {
    json!({
        "Key": key,
        "Value": item.value,
        "Revision": item.revision,
        "CreatedAt": item.created,
        "Lease": item.lease,
    })
}
