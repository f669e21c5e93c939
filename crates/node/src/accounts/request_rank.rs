//! Priority of requests where there are accounts.

/// Number of ranks of accounts and of routes; further ones count as the last.
const RANKS: u8 = 16;

/// Returns the rank of a request: first by the account's priority, then by the route's.
///
/// `account_rank` is none for a request without an account and for an account without a priority.
/// The route's rank goes first then, too.
///
/// # Examples
///
/// ```
/// use geranium_node::accounts::request_rank;
///
/// assert!(request_rank(Some(0), 9) < request_rank(Some(1), 0));
/// assert!(request_rank(Some(1), 0) < request_rank(Some(1), 1));
/// assert_eq!(request_rank(None, 3), request_rank(Some(3), 3));
/// assert_eq!(request_rank(Some(200), 200), 255);
/// ```
pub fn request_rank(account_rank: Option<u8>, route_rank: u8) -> u8 {
    let last = RANKS - 1;
    account_rank.unwrap_or(route_rank).min(last) * RANKS + route_rank.min(last)
}
