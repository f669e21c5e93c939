//! Restriction of a pick by the versions of members.

use super::{EndpointVersion, MemberKey, MemberRecord};

/// Members that a request may be sent to, as rollouts restrict them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionFilter<'a> {
    /// Versions that get no requests.
    pub excluded: &'a [EndpointVersion],
    /// The only members that may be picked; none for no such restriction.
    pub only: Option<&'a [MemberKey]>,
}

impl VersionFilter<'_> {
    /// Filter that admits every member.
    pub const ANY: Self = Self {
        excluded: &[],
        only: None,
    };

    /// Whether a request may be sent to the member.
    pub(super) fn admits(&self, key: MemberKey, record: &MemberRecord) -> bool {
        let is_excluded = || {
            let version = record.version.as_ref();
            version.is_some_and(|version| self.excluded.contains(version))
        };
        self.only.is_none_or(|only| only.contains(&key)) && !is_excluded()
    }
}
