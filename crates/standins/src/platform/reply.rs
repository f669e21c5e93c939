//! Answers of the stand-in.

use serde::Serialize;
use serde_json::Value;
use tiny_http::{Header, Request, Response};

use super::wire::Failure;

/// What is sent back for a call.
#[derive(Debug)]
pub enum Reply {
    /// A whole JSON answer.
    Json(Value),
    /// An error with a status.
    Failed { status: u16, message: &'static str },
    /// Nothing: the connection is dropped.
    Dropped,
}

impl Reply {
    pub fn json(value: &impl Serialize) -> Self {
        let value = serde_json::to_value(value);
        Self::Json(value.expect("plain structs always serialize"))
    }

    /// Sends the reply; a caller that left is its own affair.
    pub fn send(self, request: Request) {
        let (status, text) = match self {
            Self::Json(value) => (200, value.to_string()),
            Self::Failed { status, message } => {
                let failure = Failure {
                    code: status,
                    message,
                };
                let text = serde_json::to_string(&failure);
                (status, text.expect("plain structs always serialize"))
            }
            Self::Dropped => {
                // Dropping the writer unused closes the connection of a client
                // that said `Connection: close`, as those without a pool do.
                drop(request.into_writer());
                return;
            }
        };
        let kind = Header::from_bytes("Content-Type", "application/json");
        let response = Response::from_string(text)
            .with_status_code(status)
            .with_header(kind.expect("a constant header is well-formed"));
        let _left = request.respond(response);
    }
}
