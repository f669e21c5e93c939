//! How far the fleet follows the version in force.

use std::{collections::BTreeMap, fmt};

use geranium_model::{InForce, PresetVersion};
use serde::Serialize;

use super::FleetSurvey;

/// Versions across the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// Newest version that the platform or any node names.
    pub version: PresetVersion,
    /// Preset of that version, where it is known.
    pub preset: Option<String>,
    /// Why the platform wasn't asked, or what it failed with.
    pub platform: Option<String>,
    /// Nodes that answered.
    pub nodes: usize,
    /// Nodes that follow `version`.
    pub following: usize,
    /// Nodes by version, newest first.
    pub versions: Vec<VersionShare>,
    /// Nodes that follow an older version.
    pub lagging: Vec<LaggingNode>,
    /// Nodes that refused a configuration.
    pub refusing: Vec<RefusingNode>,
    /// Nodes that didn't answer.
    pub silent: Vec<SilentNode>,
}

/// Nodes that follow one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VersionShare {
    /// Version; 0 before a node's first.
    pub version: PresetVersion,
    /// Nodes.
    pub nodes: usize,
}

/// A node behind the newest version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LaggingNode {
    /// Instance.
    pub instance: String,
    /// Data centre.
    pub data_centre: String,
    /// Version that it follows.
    pub version: PresetVersion,
    /// Versions that it lacks.
    pub behind: u64,
}

/// A node that refused a configuration and kept the one it had.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusingNode {
    /// Instance.
    pub instance: String,
    /// What it refused, with the numbered code.
    pub reason: String,
}

/// A node that didn't answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SilentNode {
    /// Admin address.
    pub admin_addr: String,
    /// What the call ended with.
    pub reason: String,
}

impl FleetStatus {
    /// Compares the nodes with the record in force.
    ///
    /// `in_force` is the platform's record, or why there is none; a read of it
    /// may be stale, so a node with a newer version counts more.
    pub fn new(survey: &FleetSurvey, in_force: Result<Option<InForce>, String>) -> Self {
        let (record, platform) = match in_force {
            Ok(record) => (record, None),
            Err(reason) => (None, Some(reason)),
        };
        let answers = &survey.answers;
        let newest_node = answers.iter().max_by_key(|status| status.followed());
        let mut version = record
            .as_ref()
            .map_or(PresetVersion::NONE, |record| record.version);
        let mut preset = record.map(|record| record.preset.to_string());
        if let Some(status) = newest_node.filter(|status| status.followed() > version) {
            version = status.followed();
            preset = status.preset.as_ref().map(ToString::to_string);
        }
        let mut counts = BTreeMap::new();
        for status in answers {
            *counts.entry(status.followed()).or_default() += 1;
        }
        let share = |(version, nodes)| VersionShare { version, nodes };
        Self {
            version,
            preset,
            platform,
            nodes: answers.len(),
            following: counts.get(&version).copied().unwrap_or(0),
            versions: counts.into_iter().rev().map(share).collect(),
            lagging: lagging(survey, version),
            refusing: refusing(survey),
            silent: silent(survey),
        }
    }
}

fn lagging(survey: &FleetSurvey, version: PresetVersion) -> Vec<LaggingNode> {
    let behind = survey
        .answers
        .iter()
        .filter(|status| status.followed() < version);
    behind
        .map(|status| LaggingNode {
            instance: status.instance.to_string(),
            data_centre: status.data_centre.to_string(),
            version: status.followed(),
            behind: version.get() - status.followed().get(),
        })
        .collect()
}

fn refusing(survey: &FleetSurvey) -> Vec<RefusingNode> {
    let nodes = survey.answers.iter();
    nodes
        .filter_map(|status| {
            let reason = status.refused.clone()?;
            let instance = status.instance.to_string();
            Some(RefusingNode { instance, reason })
        })
        .collect()
}

fn silent(survey: &FleetSurvey) -> Vec<SilentNode> {
    let nodes = survey.silent.iter();
    nodes
        .map(|(addr, reason)| SilentNode {
            admin_addr: addr.to_string(),
            reason: reason.clone(),
        })
        .collect()
}

impl fmt::Display for FleetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let preset = self.preset.as_deref().unwrap_or("unknown");
        writeln!(f, "version {} in force, preset {preset}", self.version)?;
        if let Some(reason) = &self.platform {
            writeln!(f, "by the nodes alone: {reason}")?;
        }
        let (following, nodes) = (self.following, self.nodes);
        writeln!(f, "{following} of {nodes} nodes follow it")?;
        for share in &self.versions {
            writeln!(f, "  version {}: {} nodes", share.version, share.nodes)?;
        }
        for node in &self.lagging {
            let LaggingNode {
                instance,
                data_centre,
                version,
                behind,
            } = node;
            writeln!(
                f,
                "lagging {instance} ({data_centre}): version {version}, {behind} behind"
            )?;
        }
        for node in &self.refusing {
            writeln!(f, "refused by {}: {}", node.instance, node.reason)?;
        }
        for node in &self.silent {
            writeln!(f, "silent {}: {}", node.admin_addr, node.reason)?;
        }
        Ok(())
    }
}
