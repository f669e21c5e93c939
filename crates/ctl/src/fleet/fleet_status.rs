//! Configuration versions that the fleet's nodes use.

use std::{collections::BTreeMap, fmt};

use geranium_node::config::ConfigVersion;
use serde::Serialize;

use super::{FleetSurvey, SilentNode};

/// How many nodes use the version in force, and which don't.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// Version in force: the store's, or the nodes' newest if that is higher.
    pub version: ConfigVersion,
    /// Error of the store; `None` if it was read.
    #[serde(rename = "store")]
    pub store_error: Option<String>,
    /// Number of nodes that responded.
    #[serde(rename = "nodes")]
    pub responded: usize,
    /// Number of these nodes that use the version in force.
    #[serde(rename = "following")]
    pub up_to_date: usize,
    /// Number of nodes that use each version, newest version first.
    pub versions: Vec<VersionCount>,
    /// Nodes that use an older version.
    pub lagging: Vec<LaggingNode>,
    /// Instances of the nodes that don't accept callers' requests.
    pub unready: Vec<String>,
    /// Nodes whose status couldn't be read.
    pub silent: Vec<SilentNode>,
}

/// Number of nodes that use one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct VersionCount {
    /// Version that the nodes use; 0 for nodes without a configuration.
    pub version: u64,
    /// Number of nodes that use it.
    pub nodes: usize,
}

/// Node that uses an older version than the one in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LaggingNode {
    /// Instance on which the node runs.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Version that the node uses; 0 if it has no configuration.
    pub version: u64,
    /// Milliseconds since the store's last response to the node.
    pub store_age_ms: u64,
}

impl FleetStatus {
    /// Compares the nodes' versions with `version`, the one read from the store.
    ///
    /// A node never has a newer version than the store. A newer version at a node therefore
    /// means that the read from the store was stale or that the store is unavailable, so the
    /// nodes' newest version counts. `store_error` is the store's error if it couldn't be read.
    pub fn new(survey: FleetSurvey, version: ConfigVersion, store_error: Option<String>) -> Self {
        let statuses = &survey.statuses;
        let newest = statuses.iter().map(|status| status.version).max();
        let version = version.max(ConfigVersion(newest.unwrap_or(0)));
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for status in statuses {
            *counts.entry(status.version).or_default() += 1;
        }
        let lagging = statuses.iter().filter(|status| status.version < version.0);
        let lagging = lagging.map(|status| LaggingNode {
            instance: status.instance.clone(),
            data_centre: status.data_centre.clone(),
            version: status.version,
            store_age_ms: status.store_age_ms,
        });
        let unready = statuses.iter().filter(|status| !status.ready);
        let version_count = |(&version, &nodes): (&u64, &usize)| VersionCount { version, nodes };
        Self {
            version,
            store_error,
            responded: statuses.len(),
            up_to_date: counts.range(version.0..).map(|(_, nodes)| nodes).sum(),
            versions: counts.iter().rev().map(version_count).collect(),
            lagging: lagging.collect(),
            unready: unready.map(|status| status.instance.clone()).collect(),
            silent: survey.silent,
        }
    }
}

impl fmt::Display for FleetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "version {} in force", self.version)?;
        if let Some(reason) = &self.store_error {
            writeln!(
                f,
                "from the nodes only, as the store couldn't be read: {reason}"
            )?;
        }
        writeln!(
            f,
            "{} of {} nodes follow it",
            self.up_to_date, self.responded
        )?;
        for version_count in &self.versions {
            writeln!(
                f,
                "  version {}: {} nodes",
                version_count.version, version_count.nodes
            )?;
        }
        for node in &self.lagging {
            writeln!(
                f,
                "lagging {} ({}): version {}, last response from the store {} ms ago",
                node.instance, node.data_centre, node.version, node.store_age_ms
            )?;
        }
        for instance in &self.unready {
            writeln!(f, "not ready {instance}")?;
        }
        for node in &self.silent {
            writeln!(f, "no response from {}: {}", node.addr, node.reason)?;
        }
        Ok(())
    }
}
