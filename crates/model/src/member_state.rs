//! Life cycle states of a member.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// State of a backend server instance, in life cycle order.
///
/// For one incarnation the later state wins over the earlier one.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The node is up; its backend server hasn't announced itself.
    Starting,
    /// The backend server announced itself and has a cold start behind it
    /// only in part: it takes a reduced share.
    Warming,
    /// Takes its full share of work.
    Live,
    /// A neighbour hears nothing from it; it may refute this.
    Suspect,
    /// Takes no new work; work in flight goes on.
    Draining,
    /// Left, or failed and was not heard of again.
    Gone,
}

impl MemberState {
    /// Reports whether new work may be sent to a member in this state.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_model::MemberState;
    ///
    /// assert!(MemberState::Live.takes_work());
    /// assert!(!MemberState::Draining.takes_work());
    /// ```
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Warming | Self::Live)
    }
}
