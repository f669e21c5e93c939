//! Where the picking node stands.

use geranium_model::{DataCentre, MemberRow, RegionName};

/// Distances told apart: own data centre, own region, anywhere.
pub(super) const TIERS: usize = 3;

/// Data centre and region of the node that picks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickerHome {
    /// Data centre from the node's settings.
    pub data_centre: DataCentre,
    /// Region from the node's settings.
    pub region: RegionName,
}

impl PickerHome {
    /// Returns the distance of `row`: 0 is the own data centre.
    pub(super) fn tier_of(&self, row: &MemberRow) -> usize {
        if row.data_centre == self.data_centre {
            0
        } else if row.region == self.region {
            1
        } else {
            2
        }
    }
}
