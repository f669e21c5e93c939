//! Health checks of the backend server.

use std::time::Duration;

use http::{HeaderValue, Request, StatusCode, header};
use tokio::time::timeout;

use super::{InboundProxy, inbound_proxy::IDLE_TIMEOUT_NON_IDEMPOTENT};
use crate::{
    header_names::header_text,
    request_body::{BodyStream, read_message},
    transport::ExchangeError,
};

/// Timeout of a health check, which takes a millisecond when a slot is free. The next heartbeat
/// comes within a second and a half.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of a response to a health check that is read, in bytes.
const HEALTH_BODY_MAX_BYTES: usize = 64 * 1024;

/// Response of the backend server to a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthCheckResponse {
    /// Whether the backend server is healthy and not leaving.
    pub healthy: bool,
    /// Instance identifier in the response; `None` if it has none.
    pub instance: Option<String>,
}

impl InboundProxy {
    /// Checks the backend server's health. Returns its instance identifier if it is healthy and
    /// not leaving.
    pub async fn healthy_instance(&self, path: &str) -> Option<String> {
        let asked = timeout(HEALTH_CHECK_TIMEOUT, self.check_health(path)).await;
        let health_response = asked.ok()?.ok()?;
        health_response.instance.filter(|_| health_response.healthy)
    }

    /// Sends a health check to the backend server.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives.
    pub async fn check_health(&self, path: &str) -> Result<HealthCheckResponse, ExchangeError> {
        let mut request = Request::new(BodyStream::default());
        *request.uri_mut() = path.parse().unwrap_or_default();
        if let Ok(host) = HeaderValue::from_str(&self.settings.endpoint.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let endpoint_pool = &self.inner.endpoint_pool;
        let exchange =
            endpoint_pool.exchange(self.settings.endpoint, request, IDLE_TIMEOUT_NON_IDEMPOTENT);
        let (response, sender) = exchange.await?;
        let health_response = HealthCheckResponse {
            healthy: response.status() == StatusCode::OK,
            instance: header_text(response.headers(), &self.headers.instance)
                .map(ToOwned::to_owned),
        };
        self.record_checked_load(health_response.instance.as_deref(), response.headers());
        // The body is read only so that the connection can be used again.
        let body = read_message(response.into_body(), HEALTH_BODY_MAX_BYTES).await;
        if body.is_ok() {
            endpoint_pool.put_back(sender);
        }
        Ok(health_response)
    }

    /// Whether no request occupies a slot of the backend server.
    pub fn is_idle(&self) -> bool {
        self.inner.queue.borrow().running() == 0
    }
}
