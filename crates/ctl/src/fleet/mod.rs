//! State of the fleet, as its nodes report it.

mod admin_client;
mod fleet_status;
mod fleet_survey;

pub use admin_client::AdminClient;
pub use fleet_status::FleetStatus;
pub use fleet_survey::{FleetSurvey, SilentNode, survey};
