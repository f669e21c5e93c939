//! Questions of the deciding node to the nodes beside a service's backend servers.

use std::{collections::HashSet, net::SocketAddr, rc::Rc};

use tokio::task::JoinSet;

use super::{
    ComparisonSide, RolloutPhase, RolloutProbe, RolloutRecord, RolloutReport,
    decide_rollouts::RolloutTask, decided_rollout::SidedReport, send_probe::send_probe,
};

/// Largest number of backend servers of the current version whose runs are compared.
const BASELINE_SERVERS_MAX: usize = 12;
/// Largest number of backend servers of the target version that are asked in one round.
const TARGET_SERVERS_MAX: usize = 64;

impl<S> RolloutTask<S> {
    pub(super) fn probe_of(&self, record: &RolloutRecord, wants_counts: bool) -> RolloutProbe {
        RolloutProbe {
            record: record.clone(),
            revision: self
                .core
                .rollouts
                .borrow()
                .saved_revision(&record.service)
                .0,
            wants_counts,
        }
    }

    /// Asks nodes beside backend servers of the service for their runs.
    pub(super) async fn gather(&self, record: &RolloutRecord) -> Vec<SidedReport> {
        if record.phase == RolloutPhase::Ordered {
            return Vec::new();
        }
        let mut targets = self.members(record, ComparisonSide::Target);
        targets.truncate(TARGET_SERVERS_MAX);
        let mut current = self.members(record, ComparisonSide::Current);
        if record.phase != RolloutPhase::Drain {
            current.truncate(BASELINE_SERVERS_MAX);
        }
        let probe = self.probe_of(record, true);
        let asked: HashSet<SocketAddr> = targets.iter().copied().collect();
        targets.extend(current);
        let reports = self.ask(targets, &probe).await;
        let with_sides = reports.into_iter().map(|(peer_addr, report)| {
            let side = if asked.contains(&peer_addr) {
                ComparisonSide::Target
            } else {
                ComparisonSide::Current
            };
            (side, peer_addr, report)
        });
        with_sides.collect()
    }

    pub(super) async fn ask(
        &self,
        peers: Vec<SocketAddr>,
        probe: &RolloutProbe,
    ) -> Vec<(SocketAddr, RolloutReport)> {
        let mut calls = JoinSet::new();
        for peer_addr in peers {
            let (core, probe) = (Rc::clone(&self.core), probe.clone());
            calls.spawn_local(async move {
                let report = send_probe(core, peer_addr, probe).await;
                (peer_addr, report)
            });
        }
        let reports = calls.join_all().await;
        let answered = reports
            .into_iter()
            .filter_map(|(peer_addr, report)| Some((peer_addr, report?)));
        answered.collect()
    }

    /// Returns the nodes beside backend servers of one version, always in the same order.
    pub(super) fn members(&self, record: &RolloutRecord, side: ComparisonSide) -> Vec<SocketAddr> {
        let fleet = self.core.fleet.borrow();
        fleet.peers_by_version(
            &record.service,
            &record.target,
            side == ComparisonSide::Target,
        )
    }
}
