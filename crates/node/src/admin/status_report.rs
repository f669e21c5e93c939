//! What a node says of itself to operators.

use std::sync::{Mutex, PoisonError};

use geranium_model::{MemberRow, MemberState, ServiceName};
use serde::Serialize;

/// State of a node at one moment.
#[derive(Debug, Clone, Serialize)]
pub struct StatusReport {
    /// Own instance.
    pub instance: String,
    /// Own data centre.
    pub data_centre: String,
    /// Own region.
    pub region: String,
    /// Own state.
    pub state: MemberState,
    /// Service of the own backend server.
    pub service: Option<ServiceName>,
    /// Version in force here; 0 before the first.
    pub version: u64,
    /// Preset in force here.
    pub preset: Option<String>,
    /// Wall clock in milliseconds since the Unix epoch at which it came into
    /// force here, for people and experiments: nothing decides by it.
    pub in_force_since_ms: u64,
    /// Digest of the preset.
    pub digest: Option<String>,
    /// Start of this process.
    pub started: u64,
    /// Own incarnation.
    pub incarnation: u64,
    /// Members known, this one included.
    pub members: usize,
    /// Members that take work.
    pub takers: usize,
    /// Neighbours.
    pub links: Vec<String>,
    /// Whether it reads the platform for its data centre.
    pub is_watcher: bool,
    /// Last refused configuration, and why.
    pub refused: Option<String>,
    /// Counters of the control plane.
    pub counters: serde_json::Value,
}

/// The newest report, written by the control thread and read by the admin
/// port, so that a question by an operator costs the control thread nothing.
#[derive(Debug, Default)]
pub struct StatusCell {
    inner: Mutex<(Option<StatusReport>, Vec<MemberRow>)>,
}

impl StatusCell {
    /// Replaces the report, and the members when they changed.
    pub fn set(&self, report: StatusReport, members: Option<Vec<MemberRow>>) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.0 = Some(report);
        if let Some(members) = members {
            inner.1 = members;
        }
    }

    /// Returns the report as JSON.
    pub fn report_json(&self) -> Vec<u8> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        serde_json::to_vec(&inner.0).unwrap_or_default()
    }

    /// Returns every member as JSON.
    pub fn members_json(&self) -> Vec<u8> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        serde_json::to_vec(&inner.1).unwrap_or_default()
    }
}
