//! Preset deltas in the form that goes between nodes.

use geranium_model::{
    ContentDigest, FleetPolicy, PresetDelta, RouteDocument, ServiceDocument, ServiceObjective,
};
use serde::{Deserialize, Serialize};

/// A [`PresetDelta`] for a codec without field names.
///
/// `ServiceDocument` leaves absent fields out, as people expect in JSON; a
/// codec without field names would then read the next field in their place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WireDelta {
    base: ContentDigest,
    target: ContentDigest,
    put_services: Vec<WireService>,
    removed_services: Vec<String>,
    put_routes: Vec<RouteDocument>,
    removed_routes: Vec<String>,
    fleet: Option<FleetPolicy>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct WireService {
    name: String,
    queue: u16,
    slots: Option<u16>,
    bulk_share: f64,
    retry_share: f64,
    objective: ServiceObjective,
}

impl From<PresetDelta> for WireDelta {
    fn from(delta: PresetDelta) -> Self {
        let put_services = delta.put_services.into_iter().map(WireService::from);
        Self {
            base: delta.base,
            target: delta.target,
            put_services: put_services.collect(),
            removed_services: delta.removed_services,
            put_routes: delta.put_routes,
            removed_routes: delta.removed_routes,
            fleet: delta.fleet,
        }
    }
}

impl From<WireDelta> for PresetDelta {
    fn from(delta: WireDelta) -> Self {
        let put_services = delta.put_services.into_iter().map(ServiceDocument::from);
        Self {
            base: delta.base,
            target: delta.target,
            put_services: put_services.collect(),
            removed_services: delta.removed_services,
            put_routes: delta.put_routes,
            removed_routes: delta.removed_routes,
            fleet: delta.fleet,
        }
    }
}

impl From<ServiceDocument> for WireService {
    fn from(document: ServiceDocument) -> Self {
        Self {
            name: document.name,
            queue: document.queue,
            slots: document.slots,
            bulk_share: document.bulk_share,
            retry_share: document.retry_share,
            objective: document.objective,
        }
    }
}

impl From<WireService> for ServiceDocument {
    fn from(service: WireService) -> Self {
        Self {
            name: service.name,
            queue: service.queue,
            slots: service.slots,
            bulk_share: service.bulk_share,
            retry_share: service.retry_share,
            objective: service.objective,
        }
    }
}
