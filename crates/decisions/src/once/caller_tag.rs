//! Short hashes of caller names.

use xxhash_rust::xxh3::xxh3_64;

/// Hash of a caller's name, by which records are shared out.
///
/// Two callers with one hash share a share; nothing else depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct CallerTag(pub(super) u32);

impl CallerTag {
    pub(super) fn of(caller: &str) -> Self {
        Self(xxh3_64(caller.as_bytes()) as u32)
    }
}
