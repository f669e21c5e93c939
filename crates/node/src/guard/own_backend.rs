//! The own backend server as it announced itself.

use geranium_decisions::admission::{AdmissionInput, AdmissionSettings};
use geranium_model::{Preset, ServiceName};

use super::BackendClient;

/// Slots before the backend server announced any; nothing runs by them.
const SLOTS_UNKNOWN: u16 = 1;
/// Queue before a preset named one.
const QUEUE_DEFAULT: u16 = 64;
/// Longest queue: each request that waits holds a context of the data port,
/// of which more must stay free to refuse at once.
const QUEUE_MAX: u16 = 512;
/// Bulk share before a preset named one.
const BULK_SHARE_DEFAULT: f64 = 0.5;

/// A backend server that takes connections.
#[derive(Debug)]
pub struct OwnBackend {
    /// Connections to it.
    pub client: BackendClient,
    /// Service that it gives.
    pub service: ServiceName,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Number that differs between two starts of it.
    pub announced: u64,
}

impl OwnBackend {
    /// Returns what admission goes by: the preset's word, then the
    /// announcement's.
    pub fn settings(&self, preset: Option<&Preset>) -> AdmissionSettings {
        let policy = preset.and_then(|preset| preset.service(&self.service));
        let slots = policy.and_then(|policy| policy.slots).unwrap_or(self.slots);
        checked(AdmissionInput {
            slots: slots.max(1),
            queue: policy
                .map_or(QUEUE_DEFAULT, |policy| policy.queue)
                .min(QUEUE_MAX),
            bulk_share: policy.map_or(BULK_SHARE_DEFAULT, |policy| policy.bulk_share),
        })
    }
}

/// Returns the settings of a gate whose backend server isn't up yet.
pub fn settings_before_any() -> AdmissionSettings {
    checked(AdmissionInput {
        slots: SLOTS_UNKNOWN,
        queue: QUEUE_DEFAULT,
        bulk_share: BULK_SHARE_DEFAULT,
    })
}

fn checked(input: AdmissionInput) -> AdmissionSettings {
    AdmissionSettings::try_from(input).expect("a checked policy has slots and a bulk share")
}
