//! Presets and activations in the platform.

mod activation;
mod activation_history;
mod in_force_read;
mod preset_catalogue;
mod preset_pointer;
mod record;

pub use activation::{Activation, ActivationRequest, activate};
pub use activation_history::activation_history;
pub use in_force_read::read_in_force;
pub use preset_catalogue::{PresetCatalogue, StoredPreset};
pub use preset_pointer::PresetPointer;
