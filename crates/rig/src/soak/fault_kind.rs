//! Kinds of faults.

use serde::Serialize;
use strum::{Display, VariantArray};

/// Kind of a fault, named by what fails and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Node processes are killed and restarted.
    NodeKill,
    /// Node processes are asked to terminate and are restarted.
    NodeTerminate,
    /// Node processes are stopped with `SIGSTOP` and continued later.
    NodePause,
    /// Nodes are told to reload their settings.
    NodeHangup,
    /// Every node process is killed at once.
    HerdKill,
    /// Links between nodes are slow.
    HopDelay,
    /// Connections between nodes are reset.
    HopReset,
    /// Links between nodes lose all bytes.
    HopCut,
    /// Links to nodes lose the bytes sent to the node.
    HopCutTowards,
    /// Links to nodes lose the bytes sent by the node.
    HopCutFrom,
    /// Open connections between nodes lose all bytes for good.
    HopMute,
    /// Connections between a node and its backend server are reset.
    EndpointReset,
    /// Open connections between a node and its backend server lose all bytes for good.
    EndpointMute,
    /// Links from nodes to the store lose all bytes.
    StoreCut,
    /// Open connections to the store lose all bytes for good.
    StoreMute,
    /// The store rejects every node with 503.
    StoreBusy,
    /// The store rejects some nodes with 429.
    StoreTurnsAway,
    /// The store doesn't respond, and all leases expire.
    StoreSilent,
    /// The store executes writes without responding.
    StoreLost,
    /// The store executes writes about a second late, without responding.
    StoreLate,
    /// The store is slow.
    StoreSlow,
    /// Watches report no changes, then the history is compacted.
    StoreForgets,
    /// The store responds with bytes that aren't JSON.
    StoreGarbles,
    /// The store deletes announcements of nodes.
    StoreRevokes,
    /// Backend servers crash and restart under another identifier.
    EndpointCrash,
    /// Backend servers drain, deregister and are replaced.
    EndpointLeave,
    /// Backend servers take longer to run requests.
    EndpointSlow,
    /// Backend servers reject every request without running it.
    EndpointSheds,
    /// Backend servers answer every request with 500.
    EndpointFails,
    /// Backend servers run requests and lose the responses.
    EndpointLosesAnswers,
    /// Backend servers respond with the identifier of another request.
    EndpointCrossesAnswers,
    /// The configuration changes several times a second.
    ConfigStorm,
    /// Backend servers crash and restart under the same identifier.
    EndpointReturn,
    /// Another program writes unreadable announcements to the store, in place of
    /// members' announcements and beside them, and posts heartbeats.
    ForeignWriter,
    /// The store is unavailable and is then restored from a copy some seconds old.
    StoreCopy,
    /// Backend servers name in their responses how many requests they take.
    EndpointLimits,
    /// Backend servers say in their responses that they leave, report that they are ready, and are
    /// replaced.
    EndpointSaysLeaving,
    /// Backend servers deregister and serve on, while heartbeats from before arrive late and health
    /// checks say that they are well. Their nodes are killed meanwhile.
    EndpointLeavesMisleadingly,
}

impl FaultKind {
    /// Kinds of faults that are overlaid on a plan. They are drawn separately: as base kinds
    /// they would change the plan of every seed, and seeds that once found a fault must
    /// replay the same plan.
    pub const OVERLAY_KINDS: [Self; 2] = [Self::EndpointReturn, Self::ForeignWriter];

    /// Kinds of the last overlay, on top of [`Self::OVERLAY_KINDS`] and drawn separately for
    /// the same reason.
    pub const LAST_OVERLAY_KINDS: [Self; 1] = [Self::StoreCopy];

    /// Kinds of the overlay of what backend servers say in responses, drawn separately for the same
    /// reason.
    pub const NOTICE_OVERLAY_KINDS: [Self; 2] = [Self::EndpointLimits, Self::EndpointSaysLeaving];

    /// Kinds of the overlay of leavings, drawn separately for the same reason.
    pub const LEAVING_OVERLAY_KINDS: [Self; 1] = [Self::EndpointLeavesMisleadingly];

    /// Returns the kinds from which a plan without overlaid faults is drawn.
    pub fn base_kinds() -> &'static [Self] {
        let overlay_count = Self::OVERLAY_KINDS.len()
            + Self::LAST_OVERLAY_KINDS.len()
            + Self::NOTICE_OVERLAY_KINDS.len()
            + Self::LEAVING_OVERLAY_KINDS.len();
        &Self::VARIANTS[..Self::VARIANTS.len() - overlay_count]
    }

    /// Whether the fault affects single instances rather than the whole fleet.
    pub const fn has_targets(self) -> bool {
        !matches!(
            self,
            Self::HerdKill
                | Self::StoreBusy
                | Self::StoreSilent
                | Self::StoreLost
                | Self::StoreLate
                | Self::StoreSlow
                | Self::StoreForgets
                | Self::StoreGarbles
                | Self::ConfigStorm
                | Self::StoreCopy
        )
    }

    /// Whether nodes may miss or forget a crash of a backend server during the fault.
    pub const fn hides_crashes(self) -> bool {
        let restarts = matches!(
            self,
            Self::NodeKill
                | Self::NodeTerminate
                | Self::HerdKill
                | Self::EndpointReset
                | Self::EndpointLeavesMisleadingly
        );
        restarts || self.hides_departed_callers() || matches!(self, Self::HopReset)
    }

    /// Whether nodes may miss that a caller has disconnected during the fault.
    pub const fn hides_departed_callers(self) -> bool {
        matches!(
            self,
            Self::NodePause
                | Self::HopDelay
                | Self::HopCut
                | Self::HopCutTowards
                | Self::HopCutFrom
                | Self::HopMute
                | Self::EndpointMute
        )
    }
}
