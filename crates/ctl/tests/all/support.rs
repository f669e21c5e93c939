//! What several subjects share.

use std::path::{Path, PathBuf};

use geranium_ctl::{
    Activation, ActivationRequest, CtlError, Patience, PresetCatalogue, WriteStamp, activate,
};
use geranium_model::{ContentDigest, InForce, Preset, PresetDocument, PresetName, platform_keys};
use geranium_platform::{MemoryStore, PlatformStore};

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
