//! How fit a backend server is for the next request.

/// Fitness, best first; a pick falls back grade by grade.
///
/// A warm backend server farther away is better than a cold one nearby. The
/// order also states the floor of ejection: with nobody fit, a slow backend
/// server is better than a full one, and a full one, which refuses without
/// running, is better than one that breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum MemberGrade {
    /// Takes its share of draws; a cold one's is small.
    Fit,
    /// Fit, and taken beyond its share though it is cold.
    Cold,
    /// Ejected because its answers are slow.
    Slow,
    /// Refused work, and its retry-after hasn't passed.
    Refusing,
    /// Ejected because it breaks.
    Broken,
}

impl MemberGrade {
    /// Every grade, best first.
    pub(super) const ALL: [Self; 5] = [
        Self::Fit,
        Self::Cold,
        Self::Slow,
        Self::Refusing,
        Self::Broken,
    ];
}
