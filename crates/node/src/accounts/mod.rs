//! Client accounts: who sent a request, by the key that it carries.
//!
//! A [`KeyProof`] is derived from a caller's key and shows that the sender knows it; only the first
//! and the second node of a request see it. A [`KeyDigest`] is derived from the proof and stands in
//! configurations, so that neither a configuration in memory nor one sent between nodes reveals a
//! key. The [`AccountTable`] of a configuration maps digests to [`AccountRule`]s, which are named by
//! their [`AccountId`].
//!
//! [`identify_caller`] decides at the first node who sent a request, and [`PeerIdentityQuery`] at
//! the second as whom it runs. The first node states the identity in an [`AccountHeader`].

mod account_header;
mod account_id;
mod account_input;
mod account_labels;
mod account_rule;
mod account_table;
mod account_terms;
mod bearer_key;
mod caller_identity;
mod identify_caller;
mod key_proof;
mod peer_identity;
mod request_rank;

pub use account_header::{AccountHeader, AccountHeaderError};
pub use account_id::AccountId;
pub use account_input::AccountInput;
pub use account_labels::AccountLabels;
pub use account_rule::{AccountQuota, AccountRule};
pub use account_table::{AccountError, AccountTable};
pub use account_terms::{AccountTerms, QuotaTerms};
pub use bearer_key::{BearerKey, BearerKeyError};
pub use caller_identity::CallerIdentity;
pub use identify_caller::{CallerIdentityError, identify_caller};
pub use key_proof::{KeyDigest, KeyProof, KeyProofError};
pub use peer_identity::{PeerIdentity, PeerIdentityQuery};
pub use request_rank::request_rank;
