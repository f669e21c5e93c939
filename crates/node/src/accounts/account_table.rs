//! All accounts of one configuration.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};

use snafu::Snafu;

use super::{AccountId, AccountInput, AccountRule, KeyDigest};

/// Reason why the accounts of a configuration are refused.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum AccountError {
    /// A name is empty or can't stand in a header.
    #[snafu(display("account {account:?} has a bad name"))]
    BadName {
        /// Name as written in the document.
        account: String,
    },
    /// Two accounts have the same name.
    #[snafu(display("two accounts have the name {account}"))]
    DuplicateName {
        /// Name of both accounts.
        account: String,
    },
    /// One key belongs to two accounts.
    #[snafu(display("a key of account {account} also belongs to account {other}"))]
    SharedKey {
        /// Name of the second of the two accounts.
        account: String,
        /// Name of the first of the two accounts.
        other: String,
    },
    /// A rate or burst is negative or not a finite number.
    #[snafu(display("account {account} has a quota out of range"))]
    BadQuota {
        /// Name of the account.
        account: String,
    },
}

/// All accounts of one configuration, found by the digest of a key.
#[derive(Debug, Default)]
pub struct AccountTable {
    rules: Vec<Rc<AccountRule>>,
    by_digest: HashMap<KeyDigest, AccountId>,
    by_name: HashMap<Box<str>, AccountId>,
}

impl AccountTable {
    /// Returns whether the configuration has no accounts, so that requests carry no key.
    pub const fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Returns the account that a key belongs to.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::accounts::{AccountInput, AccountTable, KeyProof};
    ///
    /// let proof = KeyProof::of_key("a-key");
    /// let input = AccountInput {
    ///     name: "till".into(),
    ///     digests: vec![proof.digest()],
    ///     rank: None,
    ///     rate_per_s: 0.0,
    ///     burst: 0.0,
    /// };
    /// let table = AccountTable::try_from(&*vec![input])?;
    /// let account = table.find(&proof.digest()).map(|id| &*table.rule(id).name);
    /// assert_eq!(account, Some("till"));
    /// assert_eq!(table.find(&KeyProof::of_key("other").digest()), None);
    /// # Ok::<(), geranium_node::accounts::AccountError>(())
    /// ```
    pub fn find(&self, digest: &KeyDigest) -> Option<AccountId> {
        self.by_digest.get(digest).copied()
    }

    /// Returns the account with this name.
    pub fn find_name(&self, name: &str) -> Option<AccountId> {
        self.by_name.get(name).copied()
    }

    /// Returns an account.
    ///
    /// # Panics
    ///
    /// Panics if `id` is from the table of another configuration and out of range here.
    pub fn rule(&self, id: AccountId) -> &Rc<AccountRule> {
        &self.rules[id.index()]
    }

    /// Yields all accounts.
    pub fn rules(&self) -> impl Iterator<Item = &Rc<AccountRule>> {
        self.rules.iter()
    }

    /// Yields the digests of all keys, with the accounts that they belong to.
    pub fn keys(&self) -> impl Iterator<Item = (&KeyDigest, &Rc<AccountRule>)> {
        let keys = self.by_digest.iter();
        keys.map(|(digest, id)| (digest, self.rule(*id)))
    }

    fn insert(&mut self, input: &AccountInput) -> Result<(), AccountError> {
        let rule = AccountRule::try_from(input)?;
        let id = AccountId(self.rules.len() as u32);
        if self
            .by_name
            .insert(input.name.as_str().into(), id)
            .is_some()
        {
            let account = input.name.clone();
            return Err(AccountError::DuplicateName { account });
        }
        let digests: HashSet<&KeyDigest> = input.digests.iter().collect();
        for digest in digests {
            if let Some(other) = self.by_digest.insert(*digest, id) {
                return Err(AccountError::SharedKey {
                    account: input.name.clone(),
                    other: self.rule(other).name.to_string(),
                });
            }
        }
        self.rules.push(Rc::new(rule));
        Ok(())
    }
}

impl TryFrom<&[AccountInput]> for AccountTable {
    type Error = AccountError;

    fn try_from(inputs: &[AccountInput]) -> Result<Self, AccountError> {
        let mut table = Self::default();
        for input in inputs {
            table.insert(input)?;
        }
        Ok(table)
    }
}
