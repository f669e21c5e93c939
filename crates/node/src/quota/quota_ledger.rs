//! Tokens that the owner of a shard grants.

use std::{collections::HashMap, time::Duration};

use super::{BucketState, QuotaAsk, QuotaGrant, ShardSplit, token_bucket::TokenBucket};

/// Tokens that the owner of a shard grants.
///
/// It holds one bucket for each account that the configuration gives a quota at this shard. All
/// buckets are empty at the start, so that a change of owner doesn't grant a second burst.
#[derive(Debug, Clone, Default)]
pub struct QuotaLedger {
    buckets: HashMap<u64, TokenBucket>,
}

impl QuotaLedger {
    /// Applies the quotas of a configuration, each with the hash of its account's name.
    ///
    /// A new account's bucket is empty. Buckets of accounts that aren't named are dropped.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::accounts::AccountQuota;
    /// use geranium_node::quota::{QuotaAsk, QuotaLedger, ShardSplit};
    ///
    /// let quota = AccountQuota { rate_per_s: 30.0, burst: 30.0 };
    /// let mut ledger = QuotaLedger::default();
    /// ledger.set_quotas(Duration::ZERO, [(7, ShardSplit::new(7, quota, 0.0))]);
    /// let ask = QuotaAsk { account: 7, wanted: 2, waiting: 1, returning: 0, turns: 1 };
    /// let refused = ledger.grant(Duration::ZERO, &ask).unwrap();
    /// assert_eq!((refused.tokens, refused.wait_us), (0, 100_000));
    /// let granted = ledger.grant(Duration::from_millis(500), &ask).unwrap();
    /// assert_eq!(granted.tokens, 2);
    /// ```
    pub fn set_quotas(
        &mut self,
        now: Duration,
        quotas: impl IntoIterator<Item = (u64, ShardSplit)>,
    ) {
        let mut before = std::mem::take(&mut self.buckets);
        for (account, split) in quotas {
            let bucket = match before.remove(&account) {
                Some(mut bucket) => {
                    bucket.change(now, split);
                    bucket
                }
                None => TokenBucket::new(now, split),
            };
            self.buckets.insert(account, bucket);
        }
    }

    /// Returns the state of all buckets, for the next owner.
    pub fn states(&mut self, now: Duration) -> Vec<BucketState> {
        let buckets = self.buckets.iter_mut();
        let states = buckets.map(|(&account, bucket)| bucket.state(now, account));
        states.collect()
    }

    /// Creates the ledger of an owner that goes on with the buckets of the one before.
    ///
    /// Buckets of accounts that `states` doesn't name are empty.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::accounts::AccountQuota;
    /// use geranium_node::quota::{QuotaAsk, QuotaLedger, ShardSplit};
    ///
    /// let quota = AccountQuota { rate_per_s: 30.0, burst: 30.0 };
    /// let quotas = [(7, ShardSplit::new(7, quota, 0.0))];
    /// let mut before = QuotaLedger::default();
    /// before.set_quotas(Duration::ZERO, quotas);
    /// let states = before.states(Duration::from_millis(500));
    /// let now = Duration::from_secs(70);
    /// let mut after = QuotaLedger::restored(now, quotas, &states);
    /// let ask = QuotaAsk { account: 7, wanted: 9, waiting: 1, returning: 0, turns: 0 };
    /// assert_eq!(after.grant(now, &ask).unwrap().tokens, 5);
    /// ```
    pub fn restored(
        now: Duration,
        quotas: impl IntoIterator<Item = (u64, ShardSplit)>,
        states: &[BucketState],
    ) -> Self {
        let mut ledger = Self::default();
        ledger.set_quotas(now, quotas);
        for state in states {
            if let Some(bucket) = ledger.buckets.get_mut(&state.account) {
                bucket.restore(now, state);
            }
        }
        ledger
    }

    /// Grants tokens of an account; none if the account has no quota at this shard.
    pub fn grant(&mut self, now: Duration, ask: &QuotaAsk) -> Option<QuotaGrant> {
        let bucket = self.buckets.get_mut(&ask.account)?;
        Some(bucket.grant(now, ask))
    }
}
