//! Confirmation of the local backend server after a restart of the node alone.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::time::timeout;

use super::{EndpointReport, ReportState};
use crate::{config::MeshConfig, member::MemberRecord, node_core::NodeCore};

/// Interval between checks for the first configuration. The configuration names the path of the
/// health check.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Confirms a backend server that an earlier process of this node announced.
///
/// When node processes are killed and restarted while their backend servers keep running, inbound
/// proxies would refuse everything until the next heartbeat. The announcement in the store says
/// which start was ready, and the health check says whether the backend server is still that start
/// and isn't leaving. The inbound proxy accepts requests only if both agree: the announcement may
/// be old, and health checks may be wrong.
pub async fn confirm_endpoint(core: Rc<NodeCore>) {
    loop {
        core.earlier_record_received.notified().await;
        let record = core.earlier_record.borrow_mut().take();
        if let Some(record) = record {
            confirm(&core, record).await;
        }
    }
}

async fn confirm(core: &NodeCore, record: MemberRecord) {
    let config = first_config(core).await;
    let Some(path) = config.health_path(&record.service) else {
        return;
    };
    let healthy = core.inbound.healthy_instance(path).await;
    let is_same_start = healthy.as_deref() == Some(record.start.instance());
    info!(core.log.logger(), "backend server asked";
        "instance" => %record.start, "healthy" => healthy, "opened" => is_same_start);
    if is_same_start && core.inbound.tracker().borrow().current().is_none() {
        core.report(EndpointReport {
            start: record.start,
            service: record.service,
            data_centre: record.data_centre,
            version: record.version,
            slots: record.slots,
            state: ReportState::Ready,
            cold: Duration::ZERO,
            sequence: record.sequence,
        });
    }
}

async fn first_config(core: &NodeCore) -> Rc<MeshConfig> {
    loop {
        let next_update = core.update_arrived.notified();
        let config = core.config.borrow().clone();
        if let Some(config) = config {
            return config;
        }
        let _woken = timeout(CONFIG_CHECK_INTERVAL, next_update).await;
    }
}
