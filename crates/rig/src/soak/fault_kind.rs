//! What fails.

use serde::Serialize;
use strum::{Display, VariantArray};

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Node processes are killed and come back.
    NodeKill,
    /// Node processes are asked to end, and come back.
    NodeTerminate,
    /// Node processes stand still.
    NodePause,
    /// Nodes are told that their settings have changed.
    NodeHangup,
    /// Every node process is killed at once.
    HerdKill,
    /// Links between nodes are slow.
    HopDelay,
    /// Links between nodes are reset.
    HopReset,
    /// Links between nodes lose everything.
    HopCut,
    /// Links to nodes lose what goes there.
    HopCutTowards,
    /// Links to nodes lose what comes from there.
    HopCutFrom,
    /// Open connections between nodes go silent for good.
    HopMute,
    /// Connections between node and backend server are reset.
    EndpointReset,
    /// Open connections between node and backend server go silent for good.
    EndpointMute,
    /// Nodes are cut off from the store.
    StoreCut,
    /// Open connections to the store go silent for good.
    StoreMute,
    /// The store turns every node away.
    StoreBusy,
    /// The store turns some nodes away.
    StoreTurnsAway,
    /// The store doesn't answer, and its leases run out.
    StoreSilent,
    /// The store does writes without answering.
    StoreLost,
    /// The store does writes a second later, without answering.
    StoreLate,
    /// The store is slow.
    StoreSlow,
    /// Watches hear nothing, then the history is gone.
    StoreForgets,
    /// The store answers with bytes that mean nothing.
    StoreGarbles,
    /// The store drops announcements without a word.
    StoreRevokes,
    /// Backend servers crash and come back as other starts.
    EndpointCrash,
    /// Backend servers leave in order and are replaced.
    EndpointLeave,
    /// Backend servers are slow.
    EndpointSlow,
    /// Backend servers refuse everything.
    EndpointSheds,
    /// Backend servers fail everything.
    EndpointFails,
    /// Backend servers run requests and lose the answers.
    EndpointLosesAnswers,
    /// Backend servers answer to other requests.
    EndpointCrossesAnswers,
    /// The configuration changes several times a second.
    ConfigStorm,
    /// Backend servers crash and come back under the identifier that they had.
    EndpointReturn,
    /// Something else writes unreadable announcements to the store, in the place
    /// of members' and beside them, and posts heartbeats.
    ForeignWriter,
    /// The store is away and comes back from a copy some seconds old.
    StoreCopy,
}

impl FaultKind {
    /// Kinds that are laid over a plan of the others. They are drawn for
    /// themselves: among the others they would change what each seed plays, and
    /// seeds that once found a fault are played again as they were.
    pub const LAID_OVER: [Self; 2] = [Self::EndpointReturn, Self::ForeignWriter];

    /// Kinds that are laid over both, drawn for themselves for the same reason.
    pub const LAID_LAST: [Self; 1] = [Self::StoreCopy];

    /// Kinds of which a plan is drawn.
    pub fn drawn() -> &'static [Self] {
        let laid = Self::LAID_OVER.len() + Self::LAID_LAST.len();
        &Self::VARIANTS[..Self::VARIANTS.len() - laid]
    }

    /// Whether it concerns single instances, not the whole fleet.
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

    /// Whether nodes may not hear of a crash of a backend server while it lasts, or may
    /// forget it.
    pub const fn hides_crashes(self) -> bool {
        let restarts = matches!(
            self,
            Self::NodeKill | Self::NodeTerminate | Self::HerdKill | Self::EndpointReset
        );
        restarts || self.hides_leaving() || matches!(self, Self::HopReset)
    }

    /// Whether a caller's leaving may go unheard while it lasts.
    pub const fn hides_leaving(self) -> bool {
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
