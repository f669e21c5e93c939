//! Latency that a node adds to a call.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use ureq::{Agent, Error};

use crate::{PairReport, SpreadReport, address_resolver::address_agent};

/// A call that takes longer than this counts as failed.
const PATIENCE: Duration = Duration::from_secs(5);

/// Calls to be compared.
#[derive(Debug, Clone)]
pub struct AddedPlan {
    /// A backend server.
    pub direct: SocketAddr,
    /// Callers' address of a node.
    pub node: SocketAddr,
    /// Path and query of the call.
    pub path: String,
    /// Pairs of calls over kept-alive connections, and as many over new ones.
    pub pairs: u32,
    /// Time between pairs.
    pub pause: Duration,
}

/// Result of [`measure_added`].
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct AddedReport {
    /// Over kept-alive connections.
    pub kept_alive: PairReport,
    /// Over a new connection for each call.
    pub new_connection: PairReport,
    /// Calls that failed.
    pub failed: u32,
}

/// Calls a backend server directly and through a node, in turns.
///
/// The calls of a pair follow each other at once and the order changes from
/// pair to pair, so that a busy machine slows both kinds alike.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_load::{AddedPlan, measure_added};
///
/// let nowhere = ([127, 0, 0, 1], 1).into();
/// let plan = AddedPlan {
///     direct: nowhere,
///     node: nowhere,
///     path: "/a".to_owned(),
///     pairs: 1,
///     pause: Duration::ZERO,
/// };
/// assert_eq!(measure_added(&plan).failed, 2);
/// ```
pub fn measure_added(plan: &AddedPlan) -> AddedReport {
    let (direct, node) = (address_agent(), address_agent());
    let mut kept = PairSamples::default();
    let mut new = PairSamples::default();
    // The first calls open the kept-alive connections and aren't counted.
    timed_call(&direct, plan.direct, &plan.path).ok();
    timed_call(&node, plan.node, &plan.path).ok();
    for number in 0..plan.pairs {
        let direct_first = number % 2 == 0;
        kept.add_pair(direct_first, plan, &direct, &node);
        new.add_pair(direct_first, plan, &address_agent(), &address_agent());
        std::thread::sleep(plan.pause);
    }
    AddedReport {
        failed: kept.failed + new.failed,
        kept_alive: kept.report(),
        new_connection: new.report(),
    }
}

#[derive(Debug, Default)]
struct PairSamples {
    direct_us: Vec<i64>,
    node_us: Vec<i64>,
    added_us: Vec<i64>,
    failed: u32,
}

impl PairSamples {
    fn add_pair(&mut self, direct_first: bool, plan: &AddedPlan, direct: &Agent, node: &Agent) {
        let call_direct = || timed_call(direct, plan.direct, &plan.path);
        let call_node = || timed_call(node, plan.node, &plan.path);
        let (direct, node) = if direct_first {
            let direct = call_direct();
            (direct, call_node())
        } else {
            let node = call_node();
            (call_direct(), node)
        };
        let (Ok(direct), Ok(node)) = (direct, node) else {
            self.failed += 1;
            return;
        };
        self.direct_us.push(direct);
        self.node_us.push(node);
        self.added_us.push(node - direct);
    }

    fn report(self) -> PairReport {
        let pairs = self.added_us.len();
        let (direct, through_node) = (
            SpreadReport::of(self.direct_us),
            SpreadReport::of(self.node_us),
        );
        PairReport {
            direct,
            through_node,
            added: SpreadReport::of(self.added_us),
            p99_shift_ms: through_node.p99_ms - direct.p99_ms,
            pairs,
        }
    }
}

/// Calls once, reads the whole answer and returns the microseconds taken.
fn timed_call(agent: &Agent, address: SocketAddr, path: &str) -> Result<i64, Error> {
    let started = Instant::now();
    let request = agent.get(format!("http://{address}{path}"));
    let mut answer = request
        .config()
        .timeout_global(Some(PATIENCE))
        .build()
        .call()?;
    answer.body_mut().read_to_vec()?;
    if !answer.status().is_success() {
        return Err(Error::StatusCode(answer.status().as_u16()));
    }
    Ok(started.elapsed().as_micros() as i64)
}
