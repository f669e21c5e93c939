//! Which members were asked for a sign of life, and which gave none.

use std::{collections::BTreeMap, time::Duration};

use geranium_model::InstanceName;

/// Wait for a direct answer: a hundred times a region's round trip, so that a
/// busy instance isn't asked after by its neighbours for nothing.
pub const DIRECT_WAIT: Duration = Duration::from_secs(1);
/// Wait for the answers to a second direct check and to indirect ones.
pub const INDIRECT_WAIT: Duration = Duration::from_millis(1_500);
/// Time after which a member that gave no sign is checked again.
pub const RECHECK_AFTER: Duration = Duration::from_secs(10);
/// Checks on others' behalf that may be under way.
const RELAYS_MAX: usize = 64;

/// Progress of one check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// Asked directly.
    Direct,
    /// Asked again, also through others.
    Indirect {
        /// Whether silence proves nothing: another member reached it, or this
        /// node was itself alone when it asked.
        excused: bool,
    },
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Probe {
    pub stage: ProbeStage,
    pub since: Duration,
    /// Whether another member asked for it, and this node keeps no link to it.
    pub requested: bool,
}

/// A check on another's behalf.
#[derive(Debug)]
struct Relay {
    target: InstanceName,
    origin: InstanceName,
    since: Duration,
}

/// What a check came to.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// No direct answer: ask again, and ask others to.
    AskOthers(InstanceName),
    /// No answer at all; see [`ProbeStage::Indirect`].
    Silent { target: InstanceName, excused: bool },
}

/// Checks under way and members that gave no sign.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    probes: BTreeMap<InstanceName, Probe>,
    relays: Vec<Relay>,
    silent: BTreeMap<InstanceName, Duration>,
}

impl FailureDetector {
    /// Notes that `target` was asked directly.
    pub fn asked(&mut self, now: Duration, target: &InstanceName) {
        let probe = Probe {
            stage: ProbeStage::Direct,
            since: now,
            requested: false,
        };
        self.probes.entry(target.clone()).or_insert(probe);
    }

    /// Notes a sign of life; returns who asked for it, and whether the member
    /// was silent before.
    pub fn heard(&mut self, from: &InstanceName) -> (Vec<InstanceName>, bool) {
        self.probes.remove(from);
        let returned = self.silent.remove(from).is_some();
        let mut origins = Vec::new();
        self.relays.retain(|relay| {
            let met = relay.target == *from;
            if met {
                origins.push(relay.origin.clone());
            }
            !met
        });
        (origins, returned)
    }

    /// Notes that another member reached `target`.
    pub fn vouched(&mut self, target: &InstanceName) {
        if let Some(probe) = self.probes.get_mut(target)
            && let ProbeStage::Indirect { excused } = &mut probe.stage
        {
            *excused = true;
        }
    }

    /// Takes on a check for `origin`; reports whether there is room for it.
    pub fn relay(&mut self, now: Duration, target: InstanceName, origin: InstanceName) -> bool {
        let room = self.relays.len() < RELAYS_MAX;
        if room {
            let relay = Relay {
                target,
                origin,
                since: now,
            };
            self.relays.push(relay);
        }
        room
    }

    /// Starts a check of a member that another found silent, without asking
    /// others: each would ask more in turn.
    pub fn check(&mut self, now: Duration, target: &InstanceName, alone: bool) {
        // Silent before: the path from here is known to be broken.
        if !self.silent.contains_key(target) {
            let stage = ProbeStage::Indirect { excused: alone };
            let probe = Probe {
                stage,
                since: now,
                requested: true,
            };
            self.probes.entry(target.clone()).or_insert(probe);
        }
    }

    /// Returns the checks that came to something. `alone`: this node heard
    /// nobody of late.
    pub fn advance(&mut self, now: Duration, alone: bool) -> Vec<ProbeOutcome> {
        self.relays
            .retain(|relay| now.saturating_sub(relay.since) < INDIRECT_WAIT);
        let mut outcomes = Vec::new();
        for (target, probe) in &mut self.probes {
            let waited = now.saturating_sub(probe.since);
            match probe.stage {
                ProbeStage::Direct if waited >= DIRECT_WAIT => {
                    probe.stage = ProbeStage::Indirect { excused: alone };
                    probe.since = now;
                    outcomes.push(ProbeOutcome::AskOthers(target.clone()));
                }
                ProbeStage::Indirect { excused } if waited >= INDIRECT_WAIT => {
                    let target = target.clone();
                    outcomes.push(ProbeOutcome::Silent { target, excused });
                }
                _ => {}
            }
        }
        for outcome in &outcomes {
            if let ProbeOutcome::Silent { target, .. } = outcome {
                let probe = self.probes.remove(target);
                // Checked again by who keeps the link: if each that was asked
                // did so too, one split would set all against all.
                if probe.is_some_and(|probe| !probe.requested) {
                    self.silent.insert(target.clone(), now);
                }
            }
        }
        outcomes
    }

    /// Starts the next check of members that were silent at their last.
    pub fn recheck(&mut self, now: Duration) {
        for (target, checked_at) in &mut self.silent {
            if now.saturating_sub(*checked_at) >= RECHECK_AFTER {
                *checked_at = now;
                let probe = Probe {
                    stage: ProbeStage::Direct,
                    // Overdue at once: it was asked directly long ago.
                    since: now.saturating_sub(DIRECT_WAIT),
                    requested: false,
                };
                self.probes.entry(target.clone()).or_insert(probe);
            }
        }
    }

    /// Reports whether `member` gave no sign at its last check.
    pub fn is_silent(&self, member: &InstanceName) -> bool {
        self.silent.contains_key(member)
    }

    /// Forgets a member.
    pub fn forget(&mut self, member: &InstanceName) {
        self.probes.remove(member);
        self.silent.remove(member);
    }

    /// Drops checks under way, after this node itself stood still.
    pub fn restart(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }
}
