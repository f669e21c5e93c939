//! JSON serialization of this crate's types.

use serde::Serialize;

/// Returns a value as one line of JSON.
///
/// # Panics
///
/// Panics when the value can't be serialized; this crate's plain structs always
/// can.
pub fn json_text(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("plain structs always serialize")
}
