//! Addresses of the platform.

use std::{fmt, net::SocketAddr, str::FromStr};

use snafu::{ResultExt, Snafu};

const SCHEME: &str = "http://";

/// Where one instance of the platform listens.
///
/// # Examples
///
/// ```
/// use geranium_platform::Endpoint;
///
/// let endpoint: Endpoint = "http://10.0.0.1:2379".parse()?;
/// assert_eq!(endpoint.to_string(), "10.0.0.1:2379");
/// # Ok::<(), geranium_platform::EndpointError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Endpoint(SocketAddr);

/// Endpoints that can't be used.
#[derive(Debug, Snafu)]
pub enum EndpointError {
    /// The text isn't an IP number and a port.
    #[snafu(display("`{text}` isn't of the form IP:PORT: {source}"))]
    Malformed {
        /// The rejected text.
        text: String,
        /// What the parser found.
        source: std::net::AddrParseError,
    },
    /// No endpoint was given.
    #[snafu(display("at least one endpoint of the platform is needed"))]
    Missing,
}

impl Endpoint {
    /// Returns the URL of `path` there.
    pub(crate) fn url(self, path: &str) -> String {
        format!("{SCHEME}{}{path}", self.0)
    }
}

impl From<SocketAddr> for Endpoint {
    fn from(addr: SocketAddr) -> Self {
        Self(addr)
    }
}

impl FromStr for Endpoint {
    type Err = EndpointError;

    fn from_str(text: &str) -> Result<Self, EndpointError> {
        let addr = text.strip_prefix(SCHEME).unwrap_or(text);
        let addr = addr.trim_end_matches('/').parse();
        addr.map(Self).context(MalformedSnafu { text })
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
