//! 64-bit numbers, which the gateway writes as strings.

use serde::{Deserialize, Deserializer, Serializer, de::Error};

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
pub fn serialize<S: Serializer>(number: &i64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(number)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
