//! The command `activate`.

use std::fmt;

use geranium_node::{config::ConfigVersion, store::MetaStore};
use serde::Serialize;

use crate::{ActivationRecord, ActivationRequest, CtlError, PresetName, Session, activate};

/// Output of the command `activate`.
#[derive(Debug, Serialize)]
pub struct ActivateReport {
    activated: ActivationRecord,
    #[serde(rename = "answered")]
    acknowledged: bool,
}

pub async fn run(
    session: &Session<impl MetaStore>,
    name: &PresetName,
    expect_version: Option<ConfigVersion>,
) -> Result<ActivateReport, CtlError> {
    let request = ActivationRequest {
        preset: name.clone(),
        expect_version,
        stamp: session.stamp()?,
    };
    let activation = activate(
        session.store()?,
        session.codec,
        &request,
        session.retry_schedule,
    )
    .await?;
    Ok(ActivateReport {
        activated: activation.record,
        acknowledged: activation.acknowledged,
    })
}

impl fmt::Display for ActivateReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "activated {}", self.activated)?;
        if !self.acknowledged {
            writeln!(
                f,
                "the store's response was lost, but the history holds this activation"
            )?;
        }
        Ok(())
    }
}
