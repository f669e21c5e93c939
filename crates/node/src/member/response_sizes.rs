//! How long answers usually are.

use std::collections::HashMap;

use super::MovingMean;

/// Weight of one answer in the mean size of a route's answers.
const SIZE_WEIGHT: f64 = 0.1;

/// How long the answers on each route usually are.
#[derive(Debug, Default)]
pub struct ResponseSizes {
    sizes: HashMap<u64, MovingMean>,
}

impl ResponseSizes {
    /// Notes the bytes of an answer on the route with this hash.
    pub fn observe(&mut self, route_hash: u64, bytes: u64) {
        let size = self.sizes.entry(route_hash).or_default();
        size.observe(bytes as f64, SIZE_WEIGHT);
    }

    /// Returns the usual bytes; 0 when unknown.
    pub fn get(&self, route_hash: u64) -> u64 {
        let size = self.sizes.get(&route_hash).and_then(MovingMean::get);
        size.unwrap_or(0.0) as u64
    }
}
