//! Key of an account in the table of one configuration.

/// Key of an account in the [`AccountTable`](super::AccountTable) of one configuration.
///
/// It means nothing in the table of another configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountId(pub(super) u32);

impl AccountId {
    /// Returns the position of the account in its table.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}
