//! A rollout about which this node decides.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use slog::info;

use super::{
    ComparisonSide, ComparisonVerdict, RolloutInputs, RolloutRecord, RolloutReport, RolloutStage,
    RunCounts, VersionComparison, WaitReason, first_targets,
};
use crate::{member::EndpointStart, node_clock::NodeClock, node_core::NodeCore};

/// A report with the version and the address of the node that sent it.
pub(super) type SidedReport = (ComparisonSide, SocketAddr, RolloutReport);

/// A rollout about which this node decides.
#[derive(Debug)]
pub(super) struct DecidedRollout {
    pub(super) stage: RolloutStage,
    /// Record in the store when the stage was entered.
    pub(super) entered: RolloutRecord,
    comparison: VersionComparison,
    /// Why the rollout last stayed in its stage.
    waits_for: Option<WaitReason>,
    /// Counts of runs in the last report of each node.
    counts: HashMap<SocketAddr, (Option<EndpointStart>, HashMap<u64, RunCounts>)>,
}

impl DecidedRollout {
    /// Returns the rollout that this node decides about from now on; none if it has ended.
    ///
    /// `seen_at` is the time at which this node saw the order, if it did.
    pub(super) fn resume(
        now: Duration,
        seen_at: Option<Duration>,
        record: &RolloutRecord,
    ) -> Option<Self> {
        let seen = seen_at.map_or(Duration::ZERO, |seen_at| now.saturating_sub(seen_at));
        let elapsed = record.elapsed(NodeClock::unix_ms()).max(seen);
        let stage = RolloutStage::resume(now, elapsed, record)?;
        Some(Self {
            stage,
            entered: record.clone(),
            comparison: VersionComparison::default(),
            waits_for: None,
            counts: HashMap::new(),
        })
    }

    /// Returns the result of the comparison so far.
    pub(super) fn verdict(&self, core: &NodeCore, record: &RolloutRecord) -> ComparisonVerdict {
        let fleet = core.fleet.borrow();
        let targets = || fleet.ready_members(&record.service, &record.target);
        let on_trial = first_targets(targets(), record.share, record.first);
        let is_on_trial = |server: &SocketAddr| {
            let key = fleet.key_of(*server);
            key.is_some_and(|key| on_trial.contains(&key))
        };
        self.comparison.verdict(targets().count(), is_on_trial)
    }

    /// Logs why the rollout stays in its stage, when that changes.
    pub(super) fn record_wait(
        &mut self,
        core: &NodeCore,
        record: &RolloutRecord,
        reason: WaitReason,
        inputs: &RolloutInputs,
    ) {
        if self.waits_for.replace(reason) == Some(reason) {
            return;
        }
        info!(core.log.logger(), "rollout waits";
            "service" => &*record.service,
            "phase" => %record.phase,
            "reason" => %reason,
            "elapsed_ms" => record.elapsed(NodeClock::unix_ms()).as_millis() as u64,
            "runs" => inputs.verdict.target_runs,
            "warm_target_slots" => inputs.warm_target_slots,
            "current_slots" => inputs.current_slots);
    }

    /// Compares the runs since the last round.
    pub(super) fn compare(
        &mut self,
        core: &NodeCore,
        record: &RolloutRecord,
        reports: &[SidedReport],
    ) {
        self.comparison.start_round();
        // The current version comes first, so that the target version is compared with it in
        // the first round, too.
        let (current, target): (Vec<_>, Vec<_>) = reports
            .iter()
            .partition(|(side, _, _)| *side == ComparisonSide::Current);
        for (side, peer_addr, report) in current.into_iter().chain(target) {
            let (start, known) = self.counts.entry(*peer_addr).or_default();
            if *start != report.start {
                start.clone_from(&report.start);
                known.clear();
            }
            for (route_hash, counts) in &report.counts {
                let earlier = known
                    .insert(*route_hash, counts.clone())
                    .unwrap_or_default();
                let since = counts.since(&earlier);
                self.comparison
                    .observe(*side, *peer_addr, *route_hash, &since);
            }
        }
        let verdict = self.verdict(core, record);
        if verdict.is_suspicious {
            info!(core.log.logger(), "rollout suspicious";
                "service" => &*record.service,
                "target" => %record.target,
                "runs" => verdict.target_runs,
                "bad" => verdict.target_bad,
                "failing" => verdict.failing,
                "judged" => verdict.judged,
                "evidence" => %self.comparison);
        }
    }
}
