//! `status`.

use geranium_model::InForce;

use crate::{CtlError, FleetStatus, Session, fleet, presets::read_in_force};

/// Asks the nodes, and the platform if it can: the nodes' answer stands
/// without it.
pub fn status(session: &Session) -> Result<FleetStatus, CtlError> {
    let survey = fleet::survey(session.nodes())?;
    Ok(FleetStatus::new(&survey, in_force(session)))
}

fn in_force(session: &Session) -> Result<Option<InForce>, String> {
    session
        .store()
        .and_then(read_in_force)
        .map_err(|error| error.to_string())
}
