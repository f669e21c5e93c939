//! What several subjects share.

use std::{
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

use geranium_ctl::{
    Activation, ActivationRequest, CtlError, Patience, PresetCatalogue, WriteStamp, activate,
};
use geranium_model::{ContentDigest, InForce, Preset, PresetDocument, PresetName, platform_keys};
use geranium_platform::{
    CasAnswer, Entry, LeaseAnswer, LeaseId, MemoryStore, PlatformError, PlatformStore, Revision,
    WatchAnswer,
};

pub const PATIENCE: u32 = 3;

pub fn name(text: &str) -> PresetName {
    text.parse().unwrap()
}

/// A small preset that differs by `queue`.
pub fn preset(queue: u16) -> Preset {
    let text = format!(r#"{{"services":[{{"name":"verdskra","queue":{queue}}}],"routes":[]}}"#);
    Preset::try_from(PresetDocument::parse(text.as_bytes()).unwrap()).unwrap()
}

pub fn put(store: &dyn PlatformStore, preset_name: &str, queue: u16) -> Result<(), CtlError> {
    let catalogue = PresetCatalogue::new(store, Patience::without_pause(PATIENCE));
    let stamp = WriteStamp::now("anna");
    catalogue
        .put(&name(preset_name), &preset(queue), None, &stamp)
        .map(drop)
}

pub fn request(preset_name: &str, operator: &str) -> ActivationRequest {
    ActivationRequest {
        preset: name(preset_name),
        expect_version: None,
        stamp: WriteStamp::now(operator),
    }
}

pub fn put_in_force(store: &dyn PlatformStore, preset_name: &str) -> Result<Activation, CtlError> {
    activate(
        store,
        &request(preset_name, "anna"),
        Patience::without_pause(PATIENCE),
    )
}

/// A store with `ordinary-day` in force as version 1, and `peak` beside it.
pub fn prepared() -> MemoryStore {
    let store = MemoryStore::default();
    put(&store, "ordinary-day", 10).unwrap();
    put(&store, "peak", 20).unwrap();
    put_in_force(&store, "ordinary-day").unwrap();
    store
}

pub fn in_force(store: &dyn PlatformStore) -> InForce {
    let entry = store.get_latest(platform_keys::IN_FORCE).unwrap().unwrap();
    serde_json::from_slice(&entry.value).unwrap()
}

/// Checks that the platform holds the whole content under `digest`.
pub fn assert_content(store: &dyn PlatformStore, digest: ContentDigest) {
    let entry = store.get_latest(&platform_keys::content(digest)).unwrap();
    let content = entry.expect("the content is there").value;
    assert_eq!(ContentDigest::of(&content), digest);
}

/// A directory for one test's files.
pub fn directory(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&path).unwrap();
    path
}

type Action = Box<dyn FnOnce(&MemoryStore) + Send>;

/// A store that lets something happen just before one of its writes.
pub struct InterposedStore {
    pub inner: Arc<MemoryStore>,
    before_write: Mutex<(u32, Option<Action>)>,
}

impl std::fmt::Debug for InterposedStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.inner.fmt(f)
    }
}

impl InterposedStore {
    /// Runs `action` before the write number `nth` to the in-force record.
    pub fn new(
        inner: MemoryStore,
        nth: u32,
        action: impl FnOnce(&MemoryStore) + Send + 'static,
    ) -> Self {
        Self {
            inner: Arc::new(inner),
            before_write: Mutex::new((nth, Some(Box::new(action)))),
        }
    }
}

impl PlatformStore for InterposedStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        self.inner.get(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>, PlatformError> {
        self.inner.list(prefix)
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<CasAnswer, PlatformError> {
        let guarded = [platform_keys::IN_FORCE, platform_keys::PRESETS_PREFIX];
        let is_move = guarded.iter().any(|prefix| key.starts_with(prefix))
            && expected != Revision::UNREACHABLE;
        if is_move {
            let mut before = self.before_write.lock().unwrap();
            let due = before.0 == 0;
            before.0 = before.0.saturating_sub(1);
            if let Some(action) = due.then(|| before.1.take()).flatten() {
                action(&self.inner);
            }
        }
        self.inner.compare_and_swap(key, expected, value, lease)
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        self.inner.grant_lease(ttl)
    }

    fn keep_lease(&self, lease: LeaseId) -> Result<LeaseAnswer, PlatformError> {
        self.inner.keep_lease(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.inner.revoke_lease(lease)
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchAnswer, PlatformError> {
        self.inner.watch(key, after, wait)
    }
}
