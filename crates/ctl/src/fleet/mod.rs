//! State of the fleet, as its nodes report it.

mod fleet_status;
mod fleet_survey;
mod status_client;

pub use fleet_status::FleetStatus;
pub use fleet_survey::{FleetSurvey, SilentNode, survey};
pub use status_client::StatusClient;
