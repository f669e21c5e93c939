//! HTTP header names used towards callers and backend servers.

/// Identifier of a request; made by the first node when absent.
pub const REQUEST_ID: &str = "x-request-id";
/// Milliseconds left until the caller stops waiting; shrinks per hop.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Name of the caller, by which fairness is kept.
pub const CALLER: &str = "x-caller";
/// Key that the request touches, by which fairness among keys is kept.
pub const FAIRNESS_KEY: &str = "x-fairness-key";
/// At-most-once ticket, from `POST /.geranium/tickets`.
pub const TICKET: &str = "x-once-ticket";
/// [`Outcome`](crate::Outcome) of the request, on every answer.
pub const OUTCOME: &str = "x-outcome";
/// [`ResultCode`](crate::ResultCode) number, on every answer a node made.
pub const RESULT_CODE: &str = "x-result-code";
/// Version of the preset by which the request was routed.
pub const PRESET_VERSION: &str = "x-preset-version";
/// Instance whose backend server gave the answer.
pub const SERVED_BY: &str = "x-served-by";
/// Hops that the call has behind it; bounds call depth.
pub const HOPS: &str = "x-hops";
/// Set by a backend server that refused without running: `not-run`.
pub const BACKEND_OUTCOME: &str = "x-backend-outcome";
/// Load that a backend server reports with its answer, in thousandths of its
/// capacity.
pub const BACKEND_LOAD: &str = "x-backend-load";
/// Set when the answer replays an earlier run of the same ticket.
pub const REPLAYED: &str = "x-once-replayed";
