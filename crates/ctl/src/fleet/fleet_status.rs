//! How far the fleet follows.

use std::{collections::BTreeMap, fmt};

use geranium_node::config::ConfigVersion;
use serde::Serialize;

use super::{FleetSurvey, SilentNode};

/// How far the fleet follows the version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// Version in force, as the store says or, when newer, the nodes.
    pub version: ConfigVersion,
    /// Why the store could not be asked.
    pub store: Option<String>,
    /// Nodes that answered.
    pub nodes: usize,
    /// Those of them that follow it.
    pub following: usize,
    /// Nodes by the version that they follow, newest first.
    pub versions: Vec<VersionShare>,
    /// Nodes that follow an older version.
    pub lagging: Vec<LaggingNode>,
    /// Nodes that take no callers.
    pub unready: Vec<String>,
    /// Nodes that didn't answer.
    pub silent: Vec<SilentNode>,
}

/// Nodes that follow one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct VersionShare {
    /// The version; 0 for none yet.
    pub version: u64,
    /// How many.
    pub nodes: usize,
}

/// A node that follows an older version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LaggingNode {
    /// Instance.
    pub instance: String,
    /// Data centre.
    pub data_centre: String,
    /// Version that it follows.
    pub version: u64,
    /// Milliseconds since the store last answered it.
    pub store_age_ms: u64,
}

impl FleetStatus {
    /// Holds what the nodes answered against the version in force.
    ///
    /// A node is never ahead of the store, so a newer version at a node shows
    /// that what was read of the store is old, or that it is away.
    pub fn new(survey: FleetSurvey, version: ConfigVersion, store: Option<String>) -> Self {
        let answers = &survey.answers;
        let newest = answers.iter().map(|status| status.version).max();
        let version = version.max(ConfigVersion(newest.unwrap_or(0)));
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for status in answers {
            *counts.entry(status.version).or_default() += 1;
        }
        let lagging = answers.iter().filter(|status| status.version < version.0);
        let lagging = lagging.map(|status| LaggingNode {
            instance: status.instance.clone(),
            data_centre: status.data_centre.clone(),
            version: status.version,
            store_age_ms: status.store_age_ms,
        });
        let unready = answers.iter().filter(|status| !status.ready);
        let share = |(&version, &nodes): (&u64, &usize)| VersionShare { version, nodes };
        Self {
            version,
            store,
            nodes: answers.len(),
            following: counts.range(version.0..).map(|(_, nodes)| nodes).sum(),
            versions: counts.iter().rev().map(share).collect(),
            lagging: lagging.collect(),
            unready: unready.map(|status| status.instance.clone()).collect(),
            silent: survey.silent,
        }
    }
}

impl fmt::Display for FleetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "version {} in force", self.version)?;
        if let Some(reason) = &self.store {
            writeln!(f, "by the nodes alone: {reason}")?;
        }
        writeln!(f, "{} of {} nodes follow it", self.following, self.nodes)?;
        for share in &self.versions {
            writeln!(f, "  version {}: {} nodes", share.version, share.nodes)?;
        }
        for node in &self.lagging {
            writeln!(
                f,
                "lagging {} ({}): version {}, store heard {} ms ago",
                node.instance, node.data_centre, node.version, node.store_age_ms
            )?;
        }
        for instance in &self.unready {
            writeln!(f, "not ready {instance}")?;
        }
        for node in &self.silent {
            writeln!(f, "silent {}: {}", node.addr, node.reason)?;
        }
        Ok(())
    }
}
