//! One HTTP call to one endpoint.

use std::{io::Read, sync::atomic::Ordering, time::Duration};

use attohttpc::{ErrorKind, ProxySettings, Response, ResponseReader};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{IntoError, ResultExt};

use super::{Endpoint, GatewaySettings, tracked_body::TrackedBody, watch_stream::is_timeout};
use crate::{
    PlatformError,
    platform_error::{AnswerLostSnafu, Cause, UnreachableSnafu},
};

/// A list of every preset and activation is far smaller.
const ANSWER_BYTES_MAX: u64 = 64 << 20;
/// Enough of an error's text for an operator.
const REASON_BYTES_MAX: u64 = 300;

/// A call that can be sent to any of the endpoints.
#[derive(Debug)]
pub struct Call<'a> {
    settings: &'a GatewaySettings,
    path: &'static str,
    body: Vec<u8>,
}

impl<'a> Call<'a> {
    pub fn new(
        settings: &'a GatewaySettings,
        path: &'static str,
        message: &impl Serialize,
    ) -> Self {
        let body = serde_json::to_vec(message).expect("plain structs always serialize");
        Self {
            settings,
            path,
            body,
        }
    }

    /// Sends to `endpoint` and reads the whole answer.
    pub fn ask<T: DeserializeOwned>(&self, endpoint: Endpoint) -> Result<T, PlatformError> {
        let reader = self.open(endpoint, Duration::ZERO)?;
        let mut answer = Vec::new();
        reader
            .take(ANSWER_BYTES_MAX)
            .read_to_end(&mut answer)
            .map_err(|error| cause(error.into()))
            .context(AnswerLostSnafu {
                endpoint: endpoint.to_string(),
            })?;
        serde_json::from_slice(&answer).map_err(|error| PlatformError::BadAnswer {
            endpoint: endpoint.to_string(),
            reason: error.to_string(),
        })
    }

    /// Sends to `endpoint`, checks the status and returns the answer's body.
    ///
    /// Silence is taken for a failure after `wait`, or the read timeout if
    /// that is longer.
    pub fn open(
        &self,
        endpoint: Endpoint,
        wait: Duration,
    ) -> Result<ResponseReader, PlatformError> {
        let (body, touched) = TrackedBody::new(self.body.clone());
        let silence = self.settings.read_timeout.max(wait);
        // Failure: an answer that trickles in, byte by byte, would hold the
        // caller's thread for hours, as no silence is ever long enough.
        let whole = self.settings.connect_timeout + silence + self.settings.read_timeout;
        let sent = attohttpc::post(endpoint.url(self.path))
            .connect_timeout(self.settings.connect_timeout)
            .read_timeout(silence)
            .timeout(whole)
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .body(body)
            .send();
        match sent {
            Ok(response) => check_status(endpoint, response),
            Err(error) => {
                let endpoint = endpoint.to_string();
                Err(if touched.load(Ordering::Acquire) {
                    AnswerLostSnafu { endpoint }.into_error(cause(error))
                } else {
                    UnreachableSnafu { endpoint }.into_error(cause(error))
                })
            }
        }
    }
}

/// Words a timeout, which the system calls "temporarily unavailable".
fn cause(error: attohttpc::Error) -> Cause {
    match error.kind() {
        ErrorKind::Io(io) if is_timeout(io) => "timed out".into(),
        _ => error.into(),
    }
}

fn check_status(endpoint: Endpoint, response: Response) -> Result<ResponseReader, PlatformError> {
    let (status, _, reader) = response.split();
    if status.is_success() {
        return Ok(reader);
    }
    let mut reason = Vec::new();
    // A text that breaks off is shown as far as it came.
    let _partial = reader.take(REASON_BYTES_MAX).read_to_end(&mut reason);
    let reason = String::from_utf8_lossy(&reason).trim().to_owned();
    let (endpoint, status) = (endpoint.to_string(), status.as_u16());
    Err(if (400..500).contains(&status) {
        PlatformError::Refused {
            endpoint,
            status,
            reason,
        }
    } else {
        PlatformError::Failed {
            endpoint,
            status,
            reason,
        }
    })
}
