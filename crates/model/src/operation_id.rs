//! Identifiers of operators' writes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Random identifier of one operator's write.
///
/// A write whose answer was lost is recognised by reading the record back and
/// comparing this identifier.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(String);

impl OperationId {
    /// Makes an identifier from 128 random bits.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_model::OperationId;
    ///
    /// assert_eq!(OperationId::from_random(10).to_string().len(), 32);
    /// ```
    pub fn from_random(bits: u128) -> Self {
        Self(format!("{bits:032x}"))
    }
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
