//! Presets and activations in the platform.

mod activation;
mod activation_history;
mod preset_catalogue;
mod preset_pointer;
mod record;

pub use activation::{Activation, ActivationRequest, activate};
pub use activation_history::activation_history;
pub use preset_catalogue::{PresetCatalogue, StoredPreset};
pub use preset_pointer::PresetPointer;
