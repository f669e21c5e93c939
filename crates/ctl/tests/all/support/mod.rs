//! Test support that several modules share.

mod memory_store;

use geranium_ctl::{
    Activation, ActivationRequest, ConfigCodec, CtlError, KeyChange, KeyChangeError,
    PresetCatalogue, PresetDocument, PresetName, PresetRecord, RetrySchedule, WriteStamp, activate,
};
use geranium_node::{
    config::{ConfigError, ConfigInput, ConfigVersion},
    discovery::ConfigSource,
    store::{MetaStore, ReadConsistency},
};

pub use memory_store::{CallFault, MemoryStore};

pub const WRITE_TRIES: u32 = 3;
pub const CONFIG_KEY: &str = "config";

/// Returns a codec that stores configurations as the product's own JSON.
pub fn codec() -> ConfigCodec {
    ConfigCodec {
        source: ConfigSource {
            key: CONFIG_KEY,
            parse: |value| {
                serde_json::from_slice(value).map_err(|error| ConfigError::Malformed {
                    reason: error.to_string(),
                })
            },
            parse_version: |value| {
                let input: ConfigInput = serde_json::from_slice(value).ok()?;
                Some(input.version)
            },
        },
        write: |input, replaced| {
            let mut input = input.clone();
            if let Some(replaced) = replaced {
                let replaced: ConfigInput = serde_json::from_slice(replaced).unwrap();
                input.accounts = replaced.accounts;
            }
            serde_json::to_vec(&input).unwrap()
        },
        change_key: |value, version, change| {
            let mut input: ConfigInput = serde_json::from_slice(value).unwrap();
            input.version = version;
            let mut accounts = input.accounts.iter_mut();
            let account = accounts.find(|known| known.name == change.account());
            let account = account.ok_or(KeyChangeError::NoAccount)?;
            match change {
                KeyChange::Add { .. } => account.digests.push(change.digest()),
                KeyChange::Revoke { digest, .. } => account.digests.retain(|key| key != digest),
            }
            Ok(serde_json::to_vec(&input).unwrap())
        },
    }
}

/// Runs a future to completion.
pub fn wait<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    runtime.unwrap().block_on(future)
}

pub fn name(text: &str) -> PresetName {
    text.parse().unwrap()
}

/// Returns a small preset whose only route has this timeout in seconds.
pub fn document(timeout_s: f64) -> PresetDocument {
    let text = format!(
        r#"{{"services":[{{"name":"verdskra","health_path":"/health","connections":130}}],
            "routes":[{{"name":"prices","host":"till.example","prefix":"/verdskra/","kind":"lookup",
                        "timeout_s":{timeout_s},"target_s":0.4,"rank":2,"attempts":2,
                        "shares":[{{"service":"verdskra","weight":1}}]}}],
            "limits":{{"head_bytes":16384,"body_bytes":100000,"head_s":3,"idle_s":15}}}}"#
    );
    serde_json::from_str(&text).unwrap()
}

pub fn put(store: &MemoryStore, preset: &str, timeout_s: f64) -> Result<PresetRecord, CtlError> {
    let catalogue = PresetCatalogue::new(store, RetrySchedule::without_pause(WRITE_TRIES));
    let stamp = WriteStamp::now("anna");
    wait(catalogue.put(&name(preset), document(timeout_s), stamp))
}

pub fn request(preset: &str, operator: &str) -> ActivationRequest {
    ActivationRequest {
        preset: name(preset),
        expect_version: None,
        stamp: WriteStamp::now(operator),
    }
}

pub fn put_in_force(store: &MemoryStore, preset: &str) -> Result<Activation, CtlError> {
    let request = request(preset, "anna");
    wait(activate(
        store,
        codec(),
        &request,
        RetrySchedule::without_pause(WRITE_TRIES),
    ))
}

/// Returns a store with `ordinary-day` in force as version 1, and the preset `peak`.
pub fn store_with_presets() -> MemoryStore {
    let store = MemoryStore::default();
    put(&store, "ordinary-day", 1.0).unwrap();
    put(&store, "peak", 2.0).unwrap();
    put_in_force(&store, "ordinary-day").unwrap();
    store
}

/// Reads the configuration in force.
pub fn active_config(store: &MemoryStore) -> ConfigInput {
    let read = wait(store.read(CONFIG_KEY, ReadConsistency::Linearizable)).unwrap();
    (codec().source.parse)(&read.item.unwrap().value).unwrap()
}

pub fn version(store: &MemoryStore) -> ConfigVersion {
    active_config(store).version
}
