//! A platform in memory, and presets to put into it.

use std::{collections::BTreeMap, sync::Arc};

use geranium_model::{ContentDigest, InForce, OperationId, Preset, PresetDocument, PresetVersion};
use geranium_spread::{InForceRead, PlatformReport};

/// What the platform stores, and how it misbehaves.
#[derive(Default)]
pub struct FakePlatform {
    pub away: bool,
    pub revision: u64,
    pub in_force: Option<InForce>,
    /// What reads return instead, as a replica that lags would.
    pub stale: Option<InForce>,
    pub malformed: bool,
    /// Reads of content still to be garbled.
    pub garbled_reads: u32,
    pub contents: BTreeMap<ContentDigest, Vec<u8>>,
    pub seeds: BTreeMap<String, Vec<u8>>,
    /// Calls by whole second.
    pub calls: BTreeMap<u64, u64>,
}

impl FakePlatform {
    pub fn content(&mut self, digest: &ContentDigest) -> Option<Vec<u8>> {
        let mut bytes = self.contents.get(digest)?.clone();
        if self.garbled_reads > 0 {
            self.garbled_reads -= 1;
            bytes[0] = b'?';
        }
        Some(bytes)
    }

    pub fn read(&self, watched: bool) -> PlatformReport {
        let record = self.stale.as_ref().or(self.in_force.as_ref());
        let record = match record {
            _ if self.malformed => InForceRead::Malformed {
                reason: "not a record".to_owned(),
            },
            Some(record) => InForceRead::Record(record.clone()),
            None => InForceRead::Absent,
        };
        PlatformReport::InForce {
            watched,
            revision: self.revision,
            record,
        }
    }
}

pub fn in_force(version: u64, digest: ContentDigest) -> InForce {
    InForce {
        version: PresetVersion::new(version),
        preset: "everyday".parse().unwrap(),
        digest,
        operation: OperationId::from_random(u128::from(version)),
        operator: "sigrun".to_owned(),
        written_at_ms: 0,
    }
}

/// Makes a preset of `services` services that differs with `edition`.
pub fn preset(services: usize, edition: u32) -> Arc<Preset> {
    let service = |index: usize| format!(r#"{{"name": "service-{index}"}}"#);
    let route = |index: usize| {
        let deadline = if index == 0 { 1_000 + edition } else { 1_000 };
        format!(
            r#"{{"name": "route-{index}", "path_prefix": "/service-{index}/",
                "service": "service-{index}", "class": "short", "deadline_ms": {deadline}}}"#
        )
    };
    let list =
        |entry: &dyn Fn(usize) -> String| (0..services).map(entry).collect::<Vec<_>>().join(",");
    let text = format!(
        r#"{{"services": [{}], "routes": [{}]}}"#,
        list(&service),
        list(&route)
    );
    let document = PresetDocument::parse(text.as_bytes()).unwrap();
    Arc::new(Preset::try_from(document).unwrap())
}
