//! Takes a token for a caller's request.

use std::rc::Rc;

use bytes::Bytes;
use http::{header, request::Parts};
use rand::RngExt;

use super::{
    QuotaPass, QuotaState, ShardSplit, TakeStep, TokenQuery, TokenVisit, ask_sender::queue_ask,
};
use crate::{
    accounts::{AccountRule, CallerIdentity},
    boot_clock::BootClock,
    crash::request_fingerprint,
    node_core::NodeCore,
    outbound::LocalReply,
    request_body::RequestBody,
    result_code::ResultCode,
};

/// Largest number of steps of one request towards a token. Other requests may take the tokens that
/// it waited for.
const STEPS_MAX: u32 = 16;

/// Ends the visit of a request at the holder when it is dropped, also if its caller left.
struct VisitGuard<'a> {
    quota: &'a QuotaState,
    account: u64,
    visit: TokenVisit,
}

impl Drop for VisitGuard<'_> {
    fn drop(&mut self) {
        self.quota.leave(self.account, self.visit);
    }
}

/// Takes a token for a request of an account with a quota.
///
/// Returns none where the caller's account has no quota.
///
/// # Errors
///
/// The reply is a 429 if the account is over its quota, and a 503 if no owner answers.
pub async fn admit(
    core: &Rc<NodeCore>,
    head: &Parts,
    identity: Option<&CallerIdentity>,
) -> Result<Option<QuotaPass>, LocalReply> {
    let Some(quota) = &core.quota else {
        return Ok(None);
    };
    let Some(account) = identity.map(|identity| &identity.account) else {
        return Ok(None);
    };
    let Some(limit) = account.quota else {
        return Ok(None);
    };
    let query = TokenQuery {
        account: account.name_hash,
        split: ShardSplit::new(account.name_hash, limit, quota.terms().slack),
        preferred: quota.preferred(),
        fingerprint: fingerprint(head),
        draw: rand::rng().random(),
    };
    let taken = take(core, quota, account, &query).await;
    quota.record_outcome(account, &taken);
    taken.map(Some)
}

/// Returns a hash by which a request is recognised that is sent again. Its body isn't known yet.
fn fingerprint(head: &Parts) -> u64 {
    let length = head.headers.get(header::CONTENT_LENGTH);
    let length = length.map_or(&b""[..], |length| length.as_bytes());
    let length = RequestBody::from(Bytes::copy_from_slice(length));
    request_fingerprint(&head.method, &head.uri, &head.headers, &length)
}

async fn take(
    core: &Rc<NodeCore>,
    quota: &QuotaState,
    account: &AccountRule,
    query: &TokenQuery,
) -> Result<QuotaPass, LocalReply> {
    let mut guard = VisitGuard {
        quota,
        account: account.name_hash,
        visit: quota.arrive(BootClock::now(), query),
    };
    let replied = quota.replied(account.name_hash);
    for _ in 0..STEPS_MAX {
        let notified = replied.notified();
        match quota.step(BootClock::now(), query, &mut guard.visit) {
            TakeStep::Granted { expires_at } => {
                let core = Rc::clone(core);
                return Ok(QuotaPass::new(core, account.name_hash, expires_at));
            }
            TakeStep::Ask { shard, ask } => queue_ask(core, shard, ask),
            TakeStep::Wait => {}
            TakeStep::OverQuota { retry_after } => {
                return Err(LocalReply::over_quota(retry_after));
            }
            TakeStep::Unknown { retry_after } => {
                return Err(LocalReply::not_run(ResultCode::QuotaUnknown, retry_after));
            }
        }
        notified.await;
    }
    let retry_after = quota.refuse(BootClock::now(), query);
    Err(LocalReply::over_quota(retry_after))
}
