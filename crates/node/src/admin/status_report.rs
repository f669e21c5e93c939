//! What a node says of itself to operators.

use std::sync::{Mutex, PoisonError};

use geranium_model::{InForce, MemberRow, MemberState, Preset, ServiceName};
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
    /// Page of the preset in force; empty before the first.
    preset: Mutex<Vec<u8>>,
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

    /// Replaces the preset in force.
    pub fn set_preset(&self, in_force: &InForce, preset: &Preset) {
        let page = serde_json::json!({
            "version": in_force.version,
            "preset": in_force.preset,
            "document": preset.document(),
        });
        *self.preset.lock().unwrap_or_else(PoisonError::into_inner) = page.to_string().into_bytes();
    }

    /// Returns the preset in force as JSON; `None` before the first.
    pub fn preset_json(&self) -> Option<Vec<u8>> {
        let page = self.preset.lock().unwrap_or_else(PoisonError::into_inner);
        (!page.is_empty()).then(|| page.clone())
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
