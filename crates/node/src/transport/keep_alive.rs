//! Idle times that servers state.

use std::time::Duration;

use http::{HeaderMap, HeaderName};

use crate::header_names::header_text;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Parameter of the header with the idle time in whole seconds (RFC 2068, section 19.7.1.1).
const TIMEOUT: &str = "timeout";

/// Returns the idle time after which the server closes the connection of a response.
///
/// Returns none if the response doesn't state it.
pub(super) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let parameters = header_text(headers, &KEEP_ALIVE)?.split(',');
    let mut pairs = parameters.filter_map(|parameter| parameter.split_once('='));
    let (_, seconds) = pairs.find(|(name, _)| name.trim().eq_ignore_ascii_case(TIMEOUT))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
