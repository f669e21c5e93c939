//! The fleet as its nodes tell of it.

mod admin_client;
mod fleet_status;
mod node_status;
mod survey;

pub use admin_client::AdminClient;
pub use fleet_status::FleetStatus;
pub use node_status::NodeStatus;
pub use survey::{FleetSurvey, members, survey};
