//! Where the answer to one question goes.

use std::fmt;

use geranium_model::ResultCode;

use crate::wire::{PeerAnswer, Refusal};

/// Takes exactly one answer.
///
/// Dropped without one, it answers that the request may have run: a part that
/// loses a request by mistake then makes its asker cautious rather than wait.
pub struct ReplySink(Option<Box<dyn FnOnce(PeerAnswer) + Send>>);

impl ReplySink {
    /// Wraps what delivers the answer.
    pub fn new(deliver: impl FnOnce(PeerAnswer) + Send + 'static) -> Self {
        Self(Some(Box::new(deliver)))
    }

    /// Delivers the answer.
    pub fn reply(mut self, answer: PeerAnswer) {
        if let Some(deliver) = self.0.take() {
            deliver(answer);
        }
    }
}

impl Drop for ReplySink {
    fn drop(&mut self) {
        if let Some(deliver) = self.0.take() {
            deliver(PeerAnswer::Refused(Refusal::maybe_run(
                ResultCode::NodeBroke,
            )));
        }
    }
}

impl fmt::Debug for ReplySink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ReplySink")
    }
}
