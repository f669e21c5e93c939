//! Settings of the gateway adapter.

use std::time::Duration;

use crate::Endpoint;

/// Long enough for a lost SYN to be sent again (1 s), shorter than an
/// operator's patience.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The platform answers in milliseconds; a slow one is given up on before the
/// 9 s in which a change is to be in force are used up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// How to reach the platform.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Endpoints, in the order in which they are tried.
    pub endpoints: Vec<Endpoint>,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest silence within an answer; a whole answer may take twice as long.
    /// A watch waits at least this long.
    pub read_timeout: Duration,
}

impl GatewaySettings {
    /// Takes the default timeouts for `endpoints`.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_platform::{Endpoint, GatewaySettings, GatewayStore};
    ///
    /// let endpoint: Endpoint = "127.0.0.1:2379".parse()?;
    /// assert!(GatewayStore::try_from(GatewaySettings::new([endpoint])).is_ok());
    /// assert!(GatewayStore::try_from(GatewaySettings::new([])).is_err());
    /// # Ok::<(), geranium_platform::EndpointError>(())
    /// ```
    pub fn new(endpoints: impl IntoIterator<Item = Endpoint>) -> Self {
        Self {
            endpoints: endpoints.into_iter().collect(),
            connect_timeout: CONNECT_TIMEOUT,
            read_timeout: READ_TIMEOUT,
        }
    }
}
