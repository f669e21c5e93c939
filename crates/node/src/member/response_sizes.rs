//! Mean response sizes of routes.

use std::{collections::HashMap, time::Duration};

use super::{MovingMean, probe_schedule::ProbeSchedule};

/// Weight of one response in the mean size of a route's responses.
const SIZE_WEIGHT: f64 = 0.1;

#[derive(Debug)]
struct RouteSize {
    mean: MovingMean,
    probes: ProbeSchedule,
}

/// Mean response size of each route, by route hash.
///
/// The first response is the mean until others follow. Where the mean refuses all requests of a
/// route, so that none follow, probes show whether it still holds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_node::member::ResponseSizes;
///
/// let at = Duration::from_secs;
/// let mut sizes = ResponseSizes::default();
/// sizes.observe(at(1), 7, 540_000);
/// assert_eq!(sizes.begin_probe(at(2), 7), Err(at(1)));
/// assert_eq!(sizes.begin_probe(at(3), 7), Ok(()));
/// sizes.observe_probe(at(3), 7, Some(4));
/// assert_eq!(sizes.get(7), 4);
/// ```
#[derive(Debug, Default)]
pub struct ResponseSizes {
    sizes: HashMap<u64, RouteSize>,
}

impl ResponseSizes {
    /// Records at `now` the size of a response of the route with this hash.
    pub fn observe(&mut self, now: Duration, route_hash: u64, bytes: u64) {
        let size = self.sizes.entry(route_hash).or_insert_with(|| RouteSize {
            mean: MovingMean::default(),
            probes: ProbeSchedule::new(now),
        });
        size.mean.observe(bytes as f64, SIZE_WEIGHT);
        size.probes = ProbeSchedule::new(now);
    }

    /// Records at `now` the size of the response to a probe; `None` if it has no stated length.
    ///
    /// A response that is smaller than the mean, or has no length, replaces the mean.
    pub fn observe_probe(&mut self, now: Duration, route_hash: u64, bytes: Option<u64>) {
        let confirmed = bytes.filter(|bytes| *bytes >= self.get(route_hash));
        if let (Some(bytes), Some(size)) = (confirmed, self.sizes.get_mut(&route_hash)) {
            size.mean.observe(bytes as f64, SIZE_WEIGHT);
            return;
        }
        self.sizes.remove(&route_hash);
        if let Some(bytes) = bytes {
            self.observe(now, route_hash, bytes);
        }
    }

    /// Begins a probe: a request of the route that runs although the mean speaks against it.
    ///
    /// Without a mean there is nothing to probe.
    ///
    /// # Errors
    ///
    /// Returns the time until the next probe if it isn't due yet.
    pub fn begin_probe(&mut self, now: Duration, route_hash: u64) -> Result<(), Duration> {
        let size = self.sizes.get_mut(&route_hash);
        size.map_or(Ok(()), |size| size.probes.begin(now))
    }

    /// Returns the mean response size of a route in bytes; 0 if unknown.
    pub fn get(&self, route_hash: u64) -> u64 {
        let size = self.sizes.get(&route_hash);
        size.and_then(|size| size.mean.get()).unwrap_or(0.0) as u64
    }
}
