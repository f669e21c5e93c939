//! Questions of a node beside a version on trial to the deciding node.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::time::sleep;

use super::{RolloutPhase, RolloutProbe, RolloutRecord, send_probe::send_probe};
use crate::{node_core::NodeCore, store::Revision};

/// Time between checks whether the deciding node is to be asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Asks the deciding node for the state of the rollout whose target version runs beside this node,
/// whenever that node has been silent, until this node ends.
pub async fn ask_decider(core: Rc<NodeCore>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(record) = local_trial(&core) else {
            core.decider_contact.borrow_mut().clear();
            continue;
        };
        let now = core.clock.now();
        let due = core
            .decider_contact
            .borrow_mut()
            .is_due(now, &record.service);
        if due {
            ask(&core, record).await;
        }
    }
}

/// Returns the rollout on trial whose target version the local backend server runs, if another node
/// decides about it.
fn local_trial(core: &NodeCore) -> Option<RolloutRecord> {
    let tracker = core.inbound.tracker().borrow();
    let report = &tracker.current()?.report;
    let rollouts = core.rollouts.borrow();
    let record = rollouts.get(&report.service)?;
    let is_on_trial = matches!(record.phase, RolloutPhase::Canary | RolloutPhase::Ramp);
    let is_target = report.version.as_ref() == Some(&record.target);
    let is_decided_elsewhere = record.decided_by != core.settings.peer_addr;
    (is_on_trial && is_target && is_decided_elsewhere).then(|| record.clone())
}

async fn ask(core: &Rc<NodeCore>, record: RolloutRecord) {
    let (service, decided_by) = (record.service.clone(), record.decided_by);
    let revision = core.rollouts.borrow().saved_revision(&service).0;
    let probe = RolloutProbe {
        record,
        revision,
        wants_counts: false,
    };
    let report = send_probe(Rc::clone(core), decided_by, probe).await;
    let now = core.clock.now();
    core.decider_contact
        .borrow_mut()
        .record_contact(now, &service);
    let Some(state) = report.and_then(|report| report.state) else {
        return;
    };
    info!(core.log.logger(), "rollout state asked for";
        "service" => service, "from" => %decided_by, "phase" => %state.record.phase);
    core.record_rollout(state.record, Revision(state.revision));
}
