//! State of quotas at a node.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use slog::info;
use tokio::sync::Notify;

use super::{
    HandedLedgers, OwnerTable, ProcessId, QuotaAsk, QuotaCounters, QuotaGrant, QuotaHolder,
    QuotaLedger, QuotaReply, SHARD_COUNT, ShardId, ShardLease, ShardSplit, TakeStep, TokenQuery,
    TokenVisit, usage_counts::UsageCounts,
};
use crate::{
    accounts::{AccountQuota, AccountRule, AccountTable, QuotaTerms},
    event_log::EventLog,
    store::{Revision, StoreEra},
};

/// State of quotas at a node; it exists only where the settings have a quota window.
#[derive(Debug)]
pub struct QuotaState {
    pub(super) terms: QuotaTerms,
    pub(super) process: ProcessId,
    pub(super) counters: QuotaCounters,
    pub(super) log: EventLog,
    pub(super) holder: RefCell<QuotaHolder>,
    /// Ledgers of the shards that this node owns.
    pub(super) ledgers: RefCell<[Option<QuotaLedger>; SHARD_COUNT]>,
    pub(super) leases: RefCell<[ShardLease; SHARD_COUNT]>,
    /// Shards whose buckets this node has sent to a successor that hasn't answered yet.
    pub(super) handing_over: Cell<[bool; SHARD_COUNT]>,
    /// Ledgers of owners whose shards this node takes over.
    pub(super) handed: RefCell<HandedLedgers>,
    pub(super) owners: RefCell<OwnerTable>,
    /// Wakes the tasks that claim and renew shards.
    pub(super) changed: Notify,
    /// Latest era of the store, and when this node first saw it.
    pub(super) era: Cell<(StoreEra, Duration)>,
    /// Era and revision of the key that outlives the owners' leases.
    pub(super) settled_key: Cell<(StoreEra, Revision)>,
    /// Accounts with a quota, by the hash of their name.
    pub(super) accounts: RefCell<HashMap<u64, Rc<AccountRule>>>,
    asks: RefCell<[Vec<QuotaAsk>; SHARD_COUNT]>,
    replies: RefCell<HashMap<u64, Rc<Notify>>>,
    pub(super) usage: RefCell<HashMap<u64, UsageCounts>>,
    pub(super) preferred: Cell<ShardId>,
    pub(super) reported_at: Cell<Duration>,
}

impl QuotaState {
    /// Creates the state of a node that knows no quota and no owner.
    pub fn new(terms: QuotaTerms, counters: QuotaCounters, log: EventLog) -> Self {
        Self {
            terms,
            process: ProcessId(rand::random()),
            counters,
            log,
            holder: RefCell::new(QuotaHolder::new(&terms)),
            ledgers: RefCell::default(),
            leases: RefCell::default(),
            handing_over: Cell::default(),
            handed: RefCell::default(),
            owners: RefCell::default(),
            changed: Notify::new(),
            era: Cell::default(),
            settled_key: Cell::default(),
            accounts: RefCell::default(),
            asks: RefCell::default(),
            replies: RefCell::default(),
            usage: RefCell::default(),
            preferred: Cell::new(ShardId::at(0)),
            reported_at: Cell::default(),
        }
    }

    /// Returns how closely quotas have to be kept.
    pub const fn terms(&self) -> &QuotaTerms {
        &self.terms
    }

    /// Wakes the tasks that keep shards, because the node stops.
    pub fn wake_keepers(&self) {
        self.changed.notify_waiters();
    }

    /// Returns whether an account has a quota.
    pub fn is_in_force(&self) -> bool {
        !self.accounts.borrow().is_empty()
    }

    /// Returns the shard that this node asks first.
    pub const fn preferred(&self) -> ShardId {
        self.preferred.get()
    }

    /// Applies the quotas of a configuration.
    pub fn adopt(&self, now: Duration, table: &AccountTable) {
        let limited = table.rules().filter(|rule| rule.quota.is_some());
        let accounts: HashMap<u64, Rc<AccountRule>> = limited
            .map(|rule| (rule.name_hash, Rc::clone(rule)))
            .collect();
        let before = std::mem::replace(&mut *self.accounts.borrow_mut(), accounts);
        let accounts = self.accounts.borrow();
        if before.is_empty() && !accounts.is_empty() {
            info!(self.log.logger(), "quotas in force"; "accounts" => accounts.len());
        } else {
            self.log_changes(&before, &accounts);
        }
        self.usage
            .borrow_mut()
            .retain(|account, _| accounts.contains_key(account));
        self.replies
            .borrow_mut()
            .retain(|account, _| accounts.contains_key(account));
        drop(accounts);
        for shard in ShardId::ALL {
            if let Some(ledger) = &mut self.ledgers.borrow_mut()[shard.index()] {
                ledger.set_quotas(now, self.splits(shard));
            }
        }
        self.changed.notify_waiters();
    }

    fn log_changes(
        &self,
        before: &HashMap<u64, Rc<AccountRule>>,
        after: &HashMap<u64, Rc<AccountRule>>,
    ) {
        let log_change =
            |rule: &AccountRule, old: Option<AccountQuota>, new: Option<AccountQuota>| {
                if old != new {
                    info!(self.log.logger(), "quota changed";
                        "account" => &*rule.name,
                        "before_per_s" => old.map(|quota| quota.rate_per_s),
                        "before_burst" => old.map(|quota| quota.burst),
                        "rate_per_s" => new.map(|quota| quota.rate_per_s),
                        "burst" => new.map(|quota| quota.burst));
                }
            };
        for (account, rule) in after {
            log_change(
                rule,
                before.get(account).and_then(|rule| rule.quota),
                rule.quota,
            );
        }
        for (account, rule) in before {
            if !after.contains_key(account) {
                log_change(rule, rule.quota, None);
            }
        }
    }

    /// Returns the parts of all quotas that a shard holds.
    pub(super) fn splits(&self, shard: ShardId) -> Vec<(u64, ShardSplit)> {
        let accounts = self.accounts.borrow();
        let splits = accounts.iter().filter_map(|(&account, rule)| {
            let split = ShardSplit::new(account, rule.quota?, self.terms.slack);
            split.contains(shard).then_some((account, split))
        });
        splits.collect()
    }

    /// Answers questions for tokens of a shard.
    ///
    /// `is_newer` says whether this node's configuration is at least as new as that of the node
    /// that asks. An account that it gives no quota has none any more then.
    pub fn grant(
        &self,
        now: Duration,
        shard: ShardId,
        asks: &[QuotaAsk],
        is_newer: bool,
    ) -> QuotaReply {
        let is_owned = self.leases.borrow()[shard.index()].is_owned(now);
        let mut ledgers = self.ledgers.borrow_mut();
        let Some(ledger) = ledgers[shard.index()].as_mut().filter(|_| is_owned) else {
            return QuotaReply {
                owned: false,
                grants: Vec::new(),
                owner: self.owner_entry(shard),
            };
        };
        let accounts = self.accounts.borrow();
        let grant_one = |ask: &QuotaAsk| match ledger.grant(now, ask) {
            Some(grant) => grant,
            None if is_newer && !accounts.contains_key(&ask.account) => QuotaGrant::unlimited(ask),
            None => QuotaGrant::unknown(ask.account),
        };
        let grants: Vec<QuotaGrant> = asks.iter().map(grant_one).collect();
        let tokens = grants.iter().map(|grant| u64::from(grant.tokens)).sum();
        let refused = grants.iter().filter(|grant| grant.tokens == 0).count();
        self.counters.record_tokens("granted", tokens);
        self.counters.record_tokens("refused", refused as u64);
        QuotaReply {
            owned: true,
            grants,
            owner: None,
        }
    }

    pub(super) fn arrive(&self, now: Duration, query: &TokenQuery) -> TokenVisit {
        self.holder.borrow_mut().arrive(now, query)
    }

    pub(super) fn leave(&self, account: u64, visit: TokenVisit) {
        self.holder.borrow_mut().leave(account, visit);
    }

    pub(super) fn step(
        &self,
        now: Duration,
        query: &TokenQuery,
        visit: &mut TokenVisit,
    ) -> TakeStep {
        self.holder.borrow_mut().step(now, query, visit)
    }

    pub(super) fn refuse(&self, now: Duration, query: &TokenQuery) -> Duration {
        self.holder.borrow_mut().refuse(now, query)
    }

    /// Returns what wakes the requests of an account when an owner has answered.
    pub(super) fn replied(&self, account: u64) -> Rc<Notify> {
        Rc::clone(self.replies.borrow_mut().entry(account).or_default())
    }

    /// Queues a question, and returns whether it is the first one for the shard.
    pub(super) fn queue_ask(&self, shard: ShardId, ask: QuotaAsk) -> bool {
        let queued = &mut self.asks.borrow_mut()[shard.index()];
        queued.push(ask);
        queued.len() == 1
    }

    pub(super) fn take_asks(&self, shard: ShardId) -> Vec<QuotaAsk> {
        std::mem::take(&mut self.asks.borrow_mut()[shard.index()])
    }

    /// Applies the answer to questions sent at `sent_at`.
    pub(super) fn record_reply(
        &self,
        now: Duration,
        sent_at: Duration,
        shard: ShardId,
        asks: &[QuotaAsk],
        asked: SocketAddr,
        reply: &QuotaReply,
    ) {
        if let Some(entry) = reply.owner.filter(|entry| entry.shard == shard.number()) {
            self.record_owner(shard, entry.owner, Revision(entry.revision));
        }
        // Another owner is known by now: it can be asked at once.
        let has_moved = self.owner(shard).is_some_and(|owner| owner.at != asked);
        let mut holder = self.holder.borrow_mut();
        self.counters
            .record_call(if reply.owned { "answered" } else { "disowned" });
        for ask in asks {
            let mut grants = reply.grants.iter();
            match grants.find(|grant| grant.account == ask.account) {
                Some(grant) if reply.owned => {
                    holder.record_grant(now, sent_at, shard, grant, rand::random());
                }
                _ if has_moved => holder.record_moved(ask.account, shard),
                _ => holder.record_disowned(now, ask.account, shard),
            }
            self.notify_replied(ask.account);
        }
    }

    /// Records that questions got no answer.
    pub(super) fn record_failure(&self, now: Duration, shard: ShardId, asks: &[QuotaAsk]) {
        self.counters.record_call("failed");
        let mut holder = self.holder.borrow_mut();
        for ask in asks {
            holder.record_failure(now, ask.account, shard);
            self.notify_replied(ask.account);
        }
    }

    fn notify_replied(&self, account: u64) {
        if let Some(replied) = self.replies.borrow().get(&account) {
            replied.notify_waiters();
        }
    }
}
