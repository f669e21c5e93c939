//! `activate`.

use std::fmt;

use geranium_model::{PresetName, PresetVersion};
use serde::Serialize;

use super::activation_row::ActivationRow;
use crate::{Activation, ActivationRequest, CtlError, Session, activate};

/// What `activate` prints.
#[derive(Debug, Serialize)]
pub struct ActivateReport {
    activated: ActivationRow,
    answered: bool,
    replaced_by: Option<ActivationRow>,
}

pub fn run(
    session: &Session,
    name: &PresetName,
    expect_version: Option<PresetVersion>,
) -> Result<ActivateReport, CtlError> {
    let request = ActivationRequest {
        preset: name.clone(),
        expect_version,
        stamp: session.stamp()?,
    };
    let activation = activate(session.store()?, &request, session.patience())?;
    Ok(activation.into())
}

impl From<Activation> for ActivateReport {
    fn from(activation: Activation) -> Self {
        Self {
            activated: (&activation.record).into(),
            answered: activation.answered,
            replaced_by: activation.replaced_by.as_ref().map(Into::into),
        }
    }
}

impl fmt::Display for ActivateReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "activated {}", self.activated)?;
        if !self.answered {
            writeln!(
                f,
                "the platform's answer was lost; the own write was recognised"
            )?;
        }
        if let Some(newer) = &self.replaced_by {
            writeln!(f, "replaced since by {newer}")?;
        }
        Ok(())
    }
}
