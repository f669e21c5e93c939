//! What a service's tallies are kept apart by.

use geranium_model::{DataCentre, RequestClass};

/// The data centre of the caller's node, and the route's class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TallyKey {
    /// Data centre of the node that gave the final answer.
    pub data_centre: DataCentre,
    /// Class of the route.
    pub class: RequestClass,
}
