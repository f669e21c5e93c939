//! Counts, log lines and status of the quotas at a node.

use std::{rc::Rc, time::Duration};

use slog::warn;

use super::{QuotaPass, QuotaState, QuotaStatus, ShardId, ShardStatus};
use crate::{accounts::AccountRule, outbound::LocalReply, result_code::ResultCode};

/// Time between log lines about accounts over their quota.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of accounts that are logged at a time.
const REPORTED_ACCOUNTS_MAX: usize = 10;

impl QuotaState {
    /// Counts a request that got a token or was refused.
    pub(super) fn record_outcome(
        &self,
        account: &AccountRule,
        taken: &Result<QuotaPass, LocalReply>,
    ) {
        let mut usage = self.usage.borrow_mut();
        let counts = usage.entry(account.name_hash).or_default();
        let result = match taken {
            Ok(_) => {
                counts.admitted += 1;
                "admitted"
            }
            Err(reply) if reply.code == ResultCode::OverQuota => {
                counts.refused += 1;
                "over-quota"
            }
            Err(_) => {
                counts.unknown += 1;
                "unknown"
            }
        };
        self.counters.record_request(result);
    }

    /// Takes back the token of a request that didn't run.
    pub(super) fn put_back(&self, now: Duration, account: u64, expires_at: Duration) {
        if let Some(counts) = self.usage.borrow_mut().get_mut(&account) {
            counts.returned += 1;
        }
        self.counters.record_request("returned");
        self.holder.borrow_mut().put_back(now, account, expires_at);
    }

    /// Forgets unused state, and logs accounts over their quota.
    ///
    /// `rank` is the position of this node's data centre among those known.
    pub fn sweep(&self, now: Duration, rank: u32) {
        self.preferred.set(ShardId::at(rank as usize));
        self.holder.borrow_mut().sweep(now);
        if now < self.reported_at.get() + REPORT_INTERVAL {
            return;
        }
        self.reported_at.set(now);
        let accounts = self.accounts.borrow();
        let mut usage = self.usage.borrow_mut();
        let refusing = usage.iter_mut().filter_map(|(account, counts)| {
            let (refused, admitted) = counts.take_unreported();
            let rule = accounts.get(account).filter(|_| refused > 0)?;
            Some((refused, admitted, rule))
        });
        let mut refusing: Vec<(u64, u64, &Rc<AccountRule>)> = refusing.collect();
        refusing.sort_by_key(|(refused, _, _)| std::cmp::Reverse(*refused));
        for (refused, admitted, rule) in refusing.iter().take(REPORTED_ACCOUNTS_MAX) {
            warn!(self.log.logger(), "account over its quota";
                "account" => &*rule.name,
                "refused" => refused,
                "admitted" => admitted,
                "rate_per_s" => rule.quota.map(|quota| quota.rate_per_s),
                "accounts" => refusing.len());
        }
    }

    /// Returns the quotas for the status page.
    pub fn status(&self, now: Duration) -> QuotaStatus {
        let owners = self.owners.borrow();
        let leases = self.leases.borrow();
        let shards = ShardId::ALL.into_iter().map(|shard| ShardStatus {
            shard: shard.number(),
            owner: owners.owner(shard).map(|owner| owner.at),
            owned_here: leases[shard.index()].is_owned(now),
        });
        let accounts = self.accounts.borrow();
        let usage = self.usage.borrow();
        let used = usage
            .iter()
            .filter_map(|(account, counts)| Some(counts.usage(accounts.get(account)?)));
        let mut used: Vec<_> = used.collect();
        used.sort_unstable_by(|one, other| one.account.cmp(&other.account));
        QuotaStatus {
            shards: shards.collect(),
            accounts: used,
        }
    }
}
