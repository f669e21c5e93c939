//! What the stand-in reads from a request's headers and body.

use std::{
    io,
    time::{Duration, Instant},
};

use geranium_model::{ContentDigest, headers};
use tiny_http::Request;

/// Headers and body digest of a request.
#[derive(Debug, Clone)]
pub(super) struct CallHead {
    pub(super) request_id: String,
    pub(super) ticket: Option<String>,
    pub(super) deadline: Option<Instant>,
    pub(super) body_digest: ContentDigest,
}

impl CallHead {
    /// Reads the whole body and the headers that the stand-in heeds.
    pub(super) fn read(request: &mut Request) -> io::Result<Self> {
        let arrived = Instant::now();
        let deadline_ms = header(request, headers::DEADLINE_MS).and_then(|text| text.parse().ok());
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body)?;
        Ok(Self {
            request_id: header(request, headers::REQUEST_ID).unwrap_or_default(),
            ticket: header(request, headers::TICKET),
            deadline: deadline_ms.map(|ms| arrived + Duration::from_millis(ms)),
            body_digest: ContentDigest::of(body),
        })
    }

    /// Reports whether the caller has stopped waiting.
    pub(super) fn is_overdue(&self) -> bool {
        self.deadline
            .is_some_and(|deadline| deadline <= Instant::now())
    }
}

fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name));
    found.map(|header| header.value.to_string())
}
