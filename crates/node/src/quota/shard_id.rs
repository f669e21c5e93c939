//! Shards over which quotas are split.

use snafu::Snafu;

/// Prefix of the keys of the shards in the store.
pub const QUOTA_PREFIX: &str = "geranium/quota/";
/// Number of shards. With three, the loss of one owner leaves two thirds of each quota, which
/// cover the usual use of an account.
pub const SHARD_COUNT: usize = 3;

/// Identifier of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(u8);

/// A number isn't that of a shard.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("no shard has this number"))]
pub struct ShardIdError;

impl ShardId {
    /// All shards.
    pub const ALL: [Self; SHARD_COUNT] = [Self(0), Self(1), Self(2)];

    /// Returns the shard at a position, counted modulo the number of shards.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::quota::ShardId;
    ///
    /// assert_eq!(ShardId::at(4), ShardId::ALL[1]);
    /// ```
    pub const fn at(position: usize) -> Self {
        Self((position % SHARD_COUNT) as u8)
    }

    /// Returns the position of the shard.
    pub const fn index(self) -> usize {
        self.0 as usize
    }

    /// Returns the number of the shard, as messages carry it.
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns the key in the store that names the shard's owner.
    pub fn key(self) -> String {
        format!("{QUOTA_PREFIX}{}", self.0)
    }

    /// Returns the shard that a key in the store belongs to.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::quota::ShardId;
    ///
    /// let shard = ShardId::at(2);
    /// assert_eq!(ShardId::of_key(&shard.key()), Some(shard));
    /// assert_eq!(ShardId::of_key("geranium/quota/9"), None);
    /// ```
    pub fn of_key(key: &str) -> Option<Self> {
        let number: u8 = key.strip_prefix(QUOTA_PREFIX)?.parse().ok()?;
        Self::try_from(number).ok()
    }
}

impl TryFrom<u8> for ShardId {
    type Error = ShardIdError;

    fn try_from(number: u8) -> Result<Self, ShardIdError> {
        let is_shard = usize::from(number) < SHARD_COUNT;
        is_shard.then_some(Self(number)).ok_or(ShardIdError)
    }
}
