//! Mean response sizes of routes.

use std::collections::HashMap;

use super::MovingMean;

/// Weight of one response in the mean size of a route's responses.
const SIZE_WEIGHT: f64 = 0.1;

/// Mean response size of each route, by route hash.
#[derive(Debug, Default)]
pub struct ResponseSizes {
    sizes: HashMap<u64, MovingMean>,
}

impl ResponseSizes {
    /// Records the size of a response of the route with this hash.
    pub fn observe(&mut self, route_hash: u64, bytes: u64) {
        let size = self.sizes.entry(route_hash).or_default();
        size.observe(bytes as f64, SIZE_WEIGHT);
    }

    /// Returns the mean response size of a route in bytes; 0 if unknown.
    pub fn get(&self, route_hash: u64) -> u64 {
        let size = self.sizes.get(&route_hash).and_then(MovingMean::get);
        size.unwrap_or(0.0) as u64
    }
}
