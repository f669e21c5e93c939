//! `status`.

use geranium_model::{InForce, platform_keys};

use crate::{CtlError, FleetStatus, Session, fleet};

/// Asks the nodes, and the platform if it can: the nodes' answer stands
/// without it.
pub fn status(session: &Session) -> Result<FleetStatus, CtlError> {
    let survey = fleet::survey(session.nodes())?;
    Ok(FleetStatus::new(&survey, in_force(session)))
}

fn in_force(session: &Session) -> Result<Option<InForce>, String> {
    let store = session.store().map_err(|error| error.to_string())?;
    let entry = store
        .get(platform_keys::IN_FORCE)
        .map_err(|error| error.to_string())?;
    let parse = |entry: geranium_platform::Entry| serde_json::from_slice(&entry.value);
    entry
        .map(parse)
        .transpose()
        .map_err(|error| error.to_string())
}
