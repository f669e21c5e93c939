//! What a backend server says of itself in a response.

use http::HeaderMap;

use super::RequestRate;
use crate::header_names::{HeaderNames, header_text};

/// Value with which a backend server says that it is leaving.
const LEAVING: &str = "1";

/// What a response says about the rate of requests that its backend server takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNotice {
    /// The backend server names no limit.
    Unlimited,
    /// The backend server takes this rate from all nodes together.
    Limited(RequestRate),
    /// The header is present, but isn't a rate.
    Malformed,
}

/// What a backend server says of itself in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Rate of requests that the backend server takes.
    pub limit: LimitNotice,
    /// Whether the backend server is leaving.
    pub is_leaving: bool,
}

impl EndpointNotice {
    /// Reads the headers of a response.
    pub fn read(headers: &HeaderMap, names: &HeaderNames) -> Self {
        let limit = match headers.get(&names.rate_limit) {
            None => LimitNotice::Unlimited,
            Some(value) => {
                let rate = value.to_str().ok().map(RequestRate::try_from);
                match rate {
                    Some(Ok(rate)) => LimitNotice::Limited(rate),
                    Some(Err(_)) | None => LimitNotice::Malformed,
                }
            }
        };
        let leaving = header_text(headers, &names.leaving).map(str::trim);
        Self {
            limit,
            is_leaving: leaving == Some(LEAVING),
        }
    }
}
