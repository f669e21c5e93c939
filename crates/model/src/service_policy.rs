//! Services of a preset.

use serde::{Deserialize, Serialize};

use crate::{DocumentError, NameError, ServiceName, ServiceObjective};

/// Most requests a backend server may run at a time.
const SLOTS_MAX: u16 = 1_024;
/// Most requests that may wait beside one backend server.
const QUEUE_MAX: u16 = 4_096;

/// A service as the operator wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// Service name.
    pub name: String,
    /// Requests that may wait beside each backend server; 64 when absent.
    #[serde(default = "default_queue")]
    pub queue: u16,
    /// Slots to use at each backend server; what it announced when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u16>,
    /// Share of the slots that bulk requests may hold; a half when absent.
    #[serde(default = "default_bulk_share")]
    pub bulk_share: f64,
    /// Retries as a share of successes; a tenth when absent.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
    /// Service-level objective.
    #[serde(default)]
    pub objective: ServiceObjective,
}

const fn default_queue() -> u16 {
    64
}

const fn default_bulk_share() -> f64 {
    0.5
}

const fn default_retry_share() -> f64 {
    0.1
}

/// A checked service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePolicy {
    /// Service name.
    pub name: ServiceName,
    /// Requests that may wait beside each backend server.
    pub queue: u16,
    /// Slots to use at each backend server, or what it announced.
    pub slots: Option<u16>,
    /// Share of the slots that bulk requests may hold, above 0, at most 1.
    pub bulk_share: f64,
    /// Retries as a share of successes, from 0 to 1.
    pub retry_share: f64,
    /// Service-level objective.
    pub objective: ServiceObjective,
}

impl TryFrom<&ServiceDocument> for ServicePolicy {
    type Error = DocumentError;

    fn try_from(document: &ServiceDocument) -> Result<Self, DocumentError> {
        let owner = format!("services.{}", document.name);
        let name: ServiceName =
            document
                .name
                .parse()
                .map_err(|source: NameError| DocumentError::BadName {
                    field: owner.clone(),
                    source,
                })?;
        let in_range = |field: &str, good: bool, rule: &'static str| {
            good.then_some(()).ok_or_else(|| DocumentError::OutOfRange {
                field: format!("{owner}.{field}"),
                rule,
            })
        };
        in_range("queue", document.queue <= QUEUE_MAX, "at most 4096")?;
        let slots_fit = document
            .slots
            .is_none_or(|slots| (1..=SLOTS_MAX).contains(&slots));
        in_range("slots", slots_fit, "from 1 to 1024")?;
        let bulk_fits = document.bulk_share > 0.0 && document.bulk_share <= 1.0;
        in_range("bulk_share", bulk_fits, "above 0 and at most 1")?;
        let retry_fits = (0.0..=1.0).contains(&document.retry_share);
        in_range("retry_share", retry_fits, "from 0 to 1")?;
        let objective = document.objective;
        let between = |share: f64| share > 0.0 && share < 1.0;
        in_range(
            "objective.availability",
            between(objective.availability),
            "above 0 and below 1",
        )?;
        in_range(
            "objective.latency_share",
            between(objective.latency_share),
            "above 0 and below 1",
        )?;
        in_range("objective.latency_ms", objective.latency_ms > 0, "above 0")?;
        Ok(Self {
            name,
            queue: document.queue,
            slots: document.slots,
            bulk_share: document.bulk_share,
            retry_share: document.retry_share,
            objective,
        })
    }
}
