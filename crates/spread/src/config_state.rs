//! The configuration a node has and the one it is after.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use geranium_model::{ContentDigest, InForce, InstanceName, Preset, PresetDocument, ResultCode};

use crate::{ChunkAssembly, ConfigMark, StartGate, preset_shelf::PresetShelf};

/// Refused versions remembered, so that none is fetched again and again.
const REFUSED_KEPT: usize = 16;
/// Time after which refused content is read once more: it may have been garbled
/// on the way. At 1,600 nodes that costs the platform 27 reads a second.
const REFUSED_FOR: Duration = Duration::from_secs(60);

/// A version whose content isn't here yet.
#[derive(Debug)]
pub(crate) struct WantedConfig {
    pub in_force: InForce,
    pub peers: Vec<InstanceName>,
    pub from_platform: bool,
    pub assembly: ChunkAssembly,
    pub asked_at: Duration,
    pub attempts: u32,
    pub missing_reported: bool,
}

/// Where a version was heard.
#[derive(Debug, Clone)]
pub(crate) enum ConfigSource {
    Platform,
    Peer(InstanceName),
}

/// How a version that was heard stands to what the node has.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum VersionStanding {
    /// Higher than anything here.
    Newer,
    /// The one being fetched already.
    Wanted,
    /// In force or verified already.
    Held,
    /// Lower than what is here.
    Stale,
    /// Higher than what is in force, lower than the one being fetched.
    Between,
    /// Same version, other content.
    Split,
}

/// Configuration in force, staged and wanted.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    pub current: Option<(InForce, Arc<Preset>)>,
    /// Checked, and waiting for the start gate.
    pub staged: Option<(InForce, Arc<Preset>)>,
    pub wanted: Option<WantedConfig>,
    pub shelf: PresetShelf,
    pub gate: StartGate,
    refused: VecDeque<(ConfigMark, Duration)>,
    reported: VecDeque<ConfigMark>,
}

impl ConfigState {
    pub fn mark(&self) -> Option<ConfigMark> {
        self.current.as_ref().map(|(in_force, _)| in_force.into())
    }

    /// Compares a version with what is here, highest first.
    pub fn standing(&self, mark: ConfigMark) -> VersionStanding {
        let wanted = self.wanted.as_ref();
        let wanted = wanted.map(|wanted| ConfigMark::from(&wanted.in_force));
        let held = self.staged.as_ref().or(self.current.as_ref());
        let held = held.map(|(in_force, _)| ConfigMark::from(in_force));
        let version = Some(mark.version);
        let wanted_version = wanted.map(|wanted| wanted.version);
        let held_version = held.map(|held| held.version);
        if wanted == Some(mark) {
            VersionStanding::Wanted
        } else if held == Some(mark) {
            VersionStanding::Held
        } else if version == wanted_version || version == held_version {
            VersionStanding::Split
        } else if version < held_version {
            VersionStanding::Stale
        } else if version < wanted_version {
            VersionStanding::Between
        } else {
            VersionStanding::Newer
        }
    }

    /// Remembers that the platform's content for a version was bad.
    pub fn refuse(&mut self, now: Duration, mark: ConfigMark) {
        self.refused.push_front((mark, now + REFUSED_FOR));
        self.refused.truncate(REFUSED_KEPT);
    }

    /// Reports whether the platform's content for a version was bad of late.
    ///
    /// A peer that has the version in force has its content whole, so this
    /// doesn't stand against peers.
    pub fn was_refused(&self, now: Duration, mark: ConfigMark) -> bool {
        let mut refused = self.refused.iter();
        refused.any(|(held, until)| *held == mark && now < *until)
    }

    /// Reports whether operators haven't been told of `mark` yet.
    pub fn first_report(&mut self, mark: ConfigMark) -> bool {
        let first = !self.reported.contains(&mark);
        if first {
            self.reported.push_front(mark);
            self.reported.truncate(REFUSED_KEPT);
        }
        first
    }
}

/// Checks a whole document against the digest it should have.
///
/// Failure guarded against: content written to the platform past the client,
/// or garbled on the way. It shows as another digest or a failed check, and
/// nothing of it may come into force.
pub(crate) fn checked_preset(
    digest: ContentDigest,
    bytes: &[u8],
) -> Result<Preset, (ResultCode, String)> {
    let mismatch = |found: ContentDigest| {
        let reason = format!("content stored under {digest} has the digest {found}");
        (ResultCode::PresetDigestMismatch, reason)
    };
    let found = ContentDigest::of(bytes);
    if found != digest {
        return Err(mismatch(found));
    }
    let document =
        PresetDocument::parse(bytes).map_err(|error| (error.code(), error.to_string()))?;
    let preset = Preset::try_from(document).map_err(|error| (error.code(), error.to_string()))?;
    if preset.digest() != digest {
        return Err(mismatch(preset.digest()));
    }
    Ok(preset)
}
