//! Nodes around one store.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use geranium_standins::{CONFIG_KEY, KvServer, RouteEntry, route_document};
use snafu::ResultExt;
use tempfile::TempDir;
use tokio::time::sleep;

use crate::{NodePlan, ProgramPaths, RigError, RigNode, rig_error::FileSnafu};

/// Service of lookups.
pub const PRICES: &str = "prices";
/// Service of orders.
pub const ORDERS: &str = "orders";
/// Service of files.
pub const FILES: &str = "files";
/// Services, by the number of an instance: half of them look up prices.
const SERVICES: [&str; 4] = [PRICES, ORDERS, PRICES, FILES];
/// Data centres, in turn for each four instances.
const DATA_CENTRES: [&str; 3] = ["hofdi", "sundahofn", "kopavogur"];
/// Versions whose marker routes a configuration holds.
const MARKERS_KEPT: u64 = 40;
/// Time between looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Nodes around one store, each with a port of the store of its own.
#[derive(Debug)]
pub struct RigFleet {
    /// The store.
    pub store: KvServer,
    /// The nodes.
    pub nodes: Vec<RigNode>,
    version: u64,
    directory: TempDir,
}

impl RigFleet {
    /// Starts so many nodes with their backend servers, with the first
    /// configuration in force.
    ///
    /// # Errors
    ///
    /// When a program, file or address can't be had.
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

    /// Puts the next version in force and returns it. Each version adds a
    /// route of its own, by which a node shows that it follows.
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

    /// Puts a version in force that follows `last`, which somebody else put in
    /// force.
    pub fn publish_after(&mut self, last: u64) -> u64 {
        self.version = self.version.max(last);
        self.publish()
    }

    /// Returns the version in force.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the directory of settings and logs.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Keeps the directory of settings and logs, and returns its path.
    pub fn keep_directory(&mut self) -> std::path::PathBuf {
        self.directory.disable_cleanup(true);
        self.directory.path().to_owned()
    }

    /// Waits until every node is ready and every backend server announced.
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
        let what = "every node ready and announced".to_owned();
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

/// Returns the prefix of the route that only `version` and later ones have.
pub fn marker_path(version: u64) -> String {
    format!("/v/{version}/")
}
