//! `history`.

use std::fmt;

use serde::Serialize;

use super::activation_row::ActivationRow;
use crate::{CtlError, Session, activation_history};

/// What `history` prints.
#[derive(Debug, Serialize)]
pub struct HistoryReport {
    activations: Vec<ActivationRow>,
}

pub fn history(session: &Session, last: u64) -> Result<HistoryReport, CtlError> {
    let records = activation_history(session.store()?, last)?;
    Ok(HistoryReport {
        activations: records.iter().map(Into::into).collect(),
    })
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.activations.is_empty() {
            return writeln!(f, "nothing was activated yet");
        }
        self.activations
            .iter()
            .try_for_each(|row| writeln!(f, "{row}"))
    }
}
