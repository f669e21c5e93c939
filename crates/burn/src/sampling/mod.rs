//! Sampling of the whole fleet, and the file that stores samples.

mod admin_client;
mod fleet_sample;
mod fleet_sampler;
mod missing_node;
mod objective_source;
mod sample_file;
mod service_objective;

pub use admin_client::AdminClient;
pub use fleet_sample::FleetSample;
pub use fleet_sampler::FleetSampler;
pub use missing_node::MissingNode;
pub use objective_source::{ObjectiveSource, Objectives};
pub use sample_file::SampleFile;
pub use service_objective::ServiceObjective;
