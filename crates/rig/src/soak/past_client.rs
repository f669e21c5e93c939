//! Writes to the platform past the operators' client.

use std::net::SocketAddr;

use geranium_model::{
    ContentDigest, InForce, OperationId, PresetDocument, PresetVersion, platform_keys,
};
use geranium_platform::{Endpoint, GatewaySettings, GatewayStore, PlatformStore, Revision};

use super::soak_fleet::preset_text;

/// Connects to the platform.
pub(super) fn open_store(platform: SocketAddr) -> GatewayStore {
    let endpoint: Endpoint = platform.to_string().parse().expect("a socket address");
    GatewayStore::try_from(GatewaySettings::new([endpoint])).expect("one endpoint")
}

/// Reads what is in force, if the platform answers.
pub(super) fn read_in_force(store: &GatewayStore) -> Option<(InForce, Revision)> {
    let entry = store.get(platform_keys::IN_FORCE).ok()??;
    let record = serde_json::from_slice(&entry.value).ok()?;
    Some((record, entry.revision))
}

/// Puts a preset in force whose routes point nowhere; reports whether the
/// platform took it.
pub(super) fn write_bad_preset(store: &GatewayStore, number: u16) -> bool {
    let Some((current, revision)) = read_in_force(store) else {
        return false;
    };
    let parsed = PresetDocument::parse(preset_text(100 + number).as_bytes());
    let mut bad = parsed.expect("a good document");
    bad.services.clear();
    let content = bad.canonical_bytes();
    let digest = ContentDigest::of(&content);
    let key = platform_keys::content(digest);
    let stored = store.compare_and_swap(&key, Revision::NONE, &content, None);
    let record = InForce {
        version: PresetVersion::new(current.version.get() + 1),
        preset: "bad".parse().expect("a good name"),
        digest,
        operation: OperationId::from_random(rand::random()),
        operator: "intruder".to_owned(),
        ..current
    };
    let value = serde_json::to_vec(&record).expect("a record serializes");
    let swapped = store.compare_and_swap(platform_keys::IN_FORCE, revision, &value, None);
    stored.is_ok() && swapped.is_ok()
}
