//! A caller as the tests need it: one request, one checked answer.

use std::{io::Read, net::SocketAddr, time::Duration};

use geranium_model::{Outcome, headers};

/// Wait for an answer, far above any deadline the tests use.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// What a caller received.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Outcome header.
    pub outcome: Outcome,
    /// Result code header.
    pub code: u16,
    /// Preset version header.
    pub version: u64,
    /// Instance that served it.
    pub served_by: String,
    /// The `retry-after` header is there.
    pub says_when: bool,
    /// It replays an earlier run.
    pub replayed: bool,
    /// Body, if it arrived whole.
    pub body: Result<Vec<u8>, String>,
}

impl Answer {
    /// Reads the echo of the stand-in backend server.
    pub fn echo(&self) -> serde_json::Value {
        serde_json::from_slice(self.body.as_ref().expect("whole body")).expect("an echo in JSON")
    }
}

/// One request to be sent.
#[derive(Debug, Clone)]
pub struct Call {
    method: attohttpc::Method,
    node: SocketAddr,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Call {
    /// Makes a read.
    pub fn get(node: SocketAddr, path: &str) -> Self {
        let path = path.to_owned();
        Self {
            method: attohttpc::Method::GET,
            node,
            path,
            headers: vec![],
            body: vec![],
        }
    }

    /// Makes a write.
    pub fn post(node: SocketAddr, path: &str, body: &str) -> Self {
        let call = Self::get(node, path);
        Self {
            method: attohttpc::Method::POST,
            body: body.as_bytes().to_vec(),
            ..call
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl std::fmt::Display) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sends it; an error is a connection without an answer.
    pub fn send(&self) -> Result<Answer, String> {
        let url = format!("http://{}{}", self.node, self.path);
        let mut builder = attohttpc::RequestBuilder::new(self.method.clone(), url)
            .timeout(ANSWER_LIMIT)
            .read_timeout(ANSWER_LIMIT)
            .follow_redirects(false);
        for (name, value) in &self.headers {
            builder = builder.header(*name, value);
        }
        let sent = builder.bytes(self.body.clone()).send();
        let (status, map, mut reader) = sent.map_err(|error| error.to_string())?.split();
        let text = |name: &str| map.get(name).and_then(|value| value.to_str().ok());
        let mut body = Vec::new();
        let read = reader.read_to_end(&mut body);
        let expected = text("content-length").and_then(|text| text.parse::<usize>().ok());
        let body = match read {
            Err(error) => Err(error.to_string()),
            Ok(_) if expected.is_some_and(|length| length != body.len()) => {
                Err(format!("{} of {expected:?} bytes", body.len()))
            }
            Ok(_) => Ok(body),
        };
        Ok(Answer {
            status: status.as_u16(),
            outcome: text(headers::OUTCOME)
                .and_then(|text| text.parse().ok())
                .ok_or("no outcome")?,
            code: text(headers::RESULT_CODE)
                .and_then(|text| text.parse().ok())
                .ok_or("no code")?,
            version: text(headers::PRESET_VERSION)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            served_by: text(headers::SERVED_BY).unwrap_or_default().to_owned(),
            says_when: map.contains_key("retry-after"),
            replayed: map.contains_key(headers::REPLAYED),
            body,
        })
    }
}
