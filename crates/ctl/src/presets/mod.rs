//! Presets and their activations, as the store holds them.

mod activation;
mod activation_history;
mod activation_record;
mod config_codec;
mod config_in_force;
mod preset_catalogue;
mod preset_diff;
mod preset_document;
mod preset_name;
mod preset_record;
mod record;

pub use activation::{Activation, ActivationRequest, activate, put_in_force};
pub use activation_history::activation_history;
pub use activation_record::ActivationRecord;
pub use config_codec::{ConfigCodec, KeyChanger};
pub use config_in_force::ConfigInForce;
pub use preset_catalogue::PresetCatalogue;
pub use preset_diff::PresetDiff;
pub use preset_document::PresetDocument;
pub use preset_name::{PresetName, PresetNameError};
pub use preset_record::PresetRecord;
