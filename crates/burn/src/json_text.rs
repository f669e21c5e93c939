//! JSON text of this crate's own types.

use serde::Serialize;

/// Writes a value as one line; nothing in it can fail to be written.
pub fn json_text(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("plain structs always serialize")
}
