//! A fleet of nodes around one store.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use geranium_standins::{CONFIG_KEY, KvServer, RouteEntry, route_document};
use snafu::ResultExt;
use tempfile::TempDir;
use tokio::time::sleep;

use crate::{NodePlan, ProgramPaths, RigError, RigNode, rig_error::FileSnafu};

/// Service that answers lookups.
pub const PRICES: &str = "prices";
/// Service that runs orders.
pub const ORDERS: &str = "orders";
/// Service that sends files.
pub const FILES: &str = "files";
/// Services, assigned to instances in turn: half of them serve prices.
const SERVICES: [&str; 4] = [PRICES, ORDERS, PRICES, FILES];
/// Data centres, assigned in turn to groups of four instances.
const DATA_CENTRES: [&str; 3] = ["hofdi", "sundahofn", "kopavogur"];
/// Number of versions whose marker routes a configuration holds.
const MARKERS_KEPT: u64 = 40;
/// Interval between checks of whether the fleet is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Nodes around one store; each node has its own port of the store.
#[derive(Debug)]
pub struct RigFleet {
    /// The store of the fleet.
    pub store: KvServer,
    /// The nodes of the fleet.
    pub nodes: Vec<RigNode>,
    version: u64,
    directory: TempDir,
}

impl RigFleet {
    /// Starts `count` nodes with their backend servers, and publishes the first
    /// configuration.
    ///
    /// # Errors
    ///
    /// Fails if a program is missing, or a file or address can't be opened.
    pub fn start(count: usize, programs: &ProgramPaths) -> Result<Self, RigError> {
        let directory = TempDir::new().context(FileSnafu { path: "temporary" })?;
        let store = KvServer::start(count);
        let mut fleet = Self {
            store,
            nodes: Vec::with_capacity(count),
            version: 0,
            directory,
        };
        fleet.publish();
        for number in 0..count {
            let plan = NodePlan {
                service: SERVICES[number % SERVICES.len()],
                data_centre: DATA_CENTRES[number / SERVICES.len() % DATA_CENTRES.len()],
                store: fleet.store.addr(number),
                directory: fleet.directory.path(),
                programs,
            };
            fleet.nodes.push(RigNode::start(&plan)?);
        }
        Ok(fleet)
    }

    /// Publishes the next version and returns it. Each version adds a marker route, by
    /// which a node shows that it applies the version.
    pub fn publish(&mut self) -> u64 {
        self.version += 1;
        let mut routes = vec![
            RouteEntry::new("/p/", "safe", PRICES),
            RouteEntry::new("/o/", "unsafe", ORDERS),
            RouteEntry::new("/f/", "download", FILES),
        ];
        let first = self.version.saturating_sub(MARKERS_KEPT).max(1);
        let markers = first..=self.version;
        routes.extend(markers.map(|version| RouteEntry::new(marker_path(version), "safe", PRICES)));
        let document = route_document(self.version, &[PRICES, ORDERS, FILES], &routes);
        let mut state = self.store.state();
        state.operator_put(CONFIG_KEY, document.as_bytes());
        self.version
    }

    /// Publishes a version after `last`, which somebody else published.
    pub fn publish_after(&mut self, last: u64) -> u64 {
        self.version = self.version.max(last);
        self.publish()
    }

    /// Returns the active version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the directory of settings and logs.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Keeps the directory of settings and logs when the fleet is dropped, and returns
    /// its path.
    pub fn keep_directory(&mut self) -> std::path::PathBuf {
        self.directory.disable_cleanup(true);
        self.directory.path().to_owned()
    }

    /// Waits until every node is ready and every backend server is announced. Returns
    /// how long that took.
    ///
    /// # Errors
    ///
    /// [`RigError::Timeout`] after `limit`.
    pub async fn settle(&self, limit: Duration) -> Result<Duration, RigError> {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if self.is_settled().await {
                return Ok(begun.elapsed());
            }
            sleep(POLL_INTERVAL).await;
        }
        let what = "not every node is ready and announced".to_owned();
        Err(RigError::Timeout { what, limit })
    }

    async fn is_settled(&self) -> bool {
        let announced = self.store.state().keys("geranium/member/").len();
        if announced < self.nodes.len() {
            return false;
        }
        for node in &self.nodes {
            if !node.is_ready().await {
                return false;
            }
        }
        true
    }
}

/// Returns the marker route's prefix, which only `version` and later versions have.
pub fn marker_path(version: u64) -> String {
    format!("/v/{version}/")
}
