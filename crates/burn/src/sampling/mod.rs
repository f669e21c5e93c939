//! Samples of the whole fleet, and the file that keeps them.

mod admin_client;
mod fleet_sample;
mod fleet_sampler;
mod in_force_page;
mod missing_node;
mod preset_source;
mod sample_file;

pub use admin_client::AdminClient;
pub use fleet_sample::{FleetSample, Objectives, objectives_of};
pub use fleet_sampler::FleetSampler;
pub use in_force_page::InForcePage;
pub use missing_node::MissingNode;
pub use preset_source::PresetSource;
pub use sample_file::SampleFile;
