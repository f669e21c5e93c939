//! The command `history`.

use std::fmt;

use geranium_node::store::MetaStore;
use serde::Serialize;

use crate::{ActivationRecord, CtlError, Session, activation_history};

/// Output of the command `history`.
#[derive(Debug, Serialize)]
pub struct HistoryReport {
    activations: Vec<ActivationRecord>,
}

pub async fn history(
    session: &Session<impl MetaStore>,
    last: usize,
) -> Result<HistoryReport, CtlError> {
    Ok(HistoryReport {
        activations: activation_history(session.store()?, last).await?,
    })
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.activations.is_empty() {
            return writeln!(f, "no preset has been activated yet");
        }
        let mut records = self.activations.iter();
        records.try_for_each(|record| writeln!(f, "{record}"))
    }
}
