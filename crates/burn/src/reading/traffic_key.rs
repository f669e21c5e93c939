//! What counts are kept apart by.

use geranium_model::{RequestClass, ServiceName};
use serde::{Deserialize, Serialize};

/// A service and a class of callers' requests to it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TrafficKey {
    /// Service.
    pub service: ServiceName,
    /// Class of the route.
    pub class: RequestClass,
}
