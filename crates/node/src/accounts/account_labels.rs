//! Names of accounts in metrics.

use std::{collections::HashMap, rc::Rc};

use super::AccountRule;

/// Number of accounts that are named at a time.
const NAMED_MAX: usize = 10;
/// Number of accounts that are named in the lifetime of a process: each is a time series.
const EVER_NAMED_MAX: usize = 32;
/// Number of accounts whose requests are counted.
const COUNTED_MAX: usize = 1_024;
/// Factor by which an account has to exceed the smallest named one to take its place. Accounts of
/// about the same size would replace each other all the time otherwise.
const REPLACE_FACTOR: u64 = 2;
/// Name of all accounts that aren't named.
const OTHER: &str = "other";

/// Chooses the accounts that metrics name: about the ten with the most requests.
///
/// The number of time series stays bounded, whatever the number of accounts and however often
/// their order changes.
#[derive(Debug, Default)]
pub struct AccountLabels {
    /// Requests by the hash of the account's name.
    counts: HashMap<u64, u64>,
    named: Vec<u64>,
    ever_named: usize,
}

impl AccountLabels {
    /// Counts a request and returns the name under which metrics count it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::rc::Rc;
    ///
    /// use geranium_node::accounts::{AccountInput, AccountLabels, AccountTable};
    ///
    /// let inputs = (0..40).map(|number| AccountInput {
    ///     name: format!("a{number}"),
    ///     digests: Vec::new(),
    ///     rank: None,
    ///     rate_per_s: 0.0,
    ///     burst: 0.0,
    /// });
    /// let table = AccountTable::try_from(&*inputs.collect::<Vec<_>>())?;
    /// let mut labels = AccountLabels::default();
    /// let names = table.rules().map(|rule| labels.record(rule));
    /// assert_eq!(names.filter(|name| &**name == "other").count(), 30);
    /// # Ok::<(), geranium_node::accounts::AccountError>(())
    /// ```
    pub fn record(&mut self, account: &AccountRule) -> Rc<str> {
        let hash = account.name_hash;
        if self.counts.len() >= COUNTED_MAX && !self.counts.contains_key(&hash) {
            return OTHER.into();
        }
        let count = self.counts.entry(hash).or_default();
        *count += 1;
        let count = *count;
        if self.named.contains(&hash) || self.take_place(hash, count) {
            Rc::clone(&account.name)
        } else {
            OTHER.into()
        }
    }

    /// Names an account if there is room, or if it has clearly outgrown a named one.
    fn take_place(&mut self, hash: u64, count: u64) -> bool {
        if self.ever_named >= EVER_NAMED_MAX {
            return false;
        }
        if self.named.len() >= NAMED_MAX {
            let counts = &self.counts;
            let sizes = self.named.iter().map(|named| counts.get(named).copied());
            let smallest = sizes.enumerate().min_by_key(|(_, size)| *size);
            let Some((position, Some(size))) = smallest else {
                return false;
            };
            if count <= size * REPLACE_FACTOR {
                return false;
            }
            self.named.swap_remove(position);
        }
        self.named.push(hash);
        self.ever_named += 1;
        true
    }
}
