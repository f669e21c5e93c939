//! Presets as operators write them.

use serde::{Deserialize, Serialize};

use crate::{DocumentError, FleetPolicy, RouteDocument, ServiceDocument};

/// Largest document in bytes; the platform stores values up to a megabyte.
pub const DOCUMENT_BYTES_MAX: usize = 1_000_000;

/// A preset as an operator wrote it, not yet checked.
///
/// # Examples
///
/// ```
/// use geranium_model::{Preset, PresetDocument};
///
/// let text = r#"{
///   "services": [{"name": "verdskra"}],
///   "routes": [{"name": "prices", "path_prefix": "/verdskra/", "service": "verdskra",
///               "class": "short", "deadline_ms": 2000}]
/// }"#;
/// let preset = Preset::try_from(PresetDocument::parse(text.as_bytes())?)?;
/// assert_eq!(preset.route_for("/verdskra/fish").unwrap().name.as_str(), "prices");
/// # Ok::<(), geranium_model::DocumentError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetDocument {
    /// Services that routes may point at.
    pub services: Vec<ServiceDocument>,
    /// Routes from paths to services.
    pub routes: Vec<RouteDocument>,
    /// Settings for the whole fleet.
    #[serde(default)]
    pub fleet: FleetPolicy,
}

impl PresetDocument {
    /// Parses JSON text.
    ///
    /// # Errors
    ///
    /// [`DocumentError::TooLarge`] over [`DOCUMENT_BYTES_MAX`];
    /// [`DocumentError::Malformed`] with line, column and field otherwise.
    pub fn parse(text: &[u8]) -> Result<Self, DocumentError> {
        if text.len() > DOCUMENT_BYTES_MAX {
            return Err(DocumentError::TooLarge {
                bytes: text.len(),
                max: DOCUMENT_BYTES_MAX,
            });
        }
        let mut deserializer = serde_json::Deserializer::from_slice(text);
        let document = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let field = error.path().to_string();
            malformed(field, error.inner())
        })?;
        deserializer
            .end()
            .map_err(|error| malformed(".".to_owned(), &error))?;
        Ok(document)
    }

    /// Returns the canonical bytes, which [`crate::ContentDigest`] is taken of.
    ///
    /// Lists are sorted by name and absent fields filled in, so that the same
    /// content has the same bytes whoever wrote it.
    #[expect(clippy::missing_panics_doc, reason = "plain structs always serialize")]
    pub fn canonical_bytes(&self) -> Vec<u8> {
        let mut sorted = self.clone();
        sorted.services.sort_by(|a, b| a.name.cmp(&b.name));
        sorted.routes.sort_by(|a, b| a.name.cmp(&b.name));
        serde_json::to_vec(&sorted).expect("plain structs always serialize")
    }
}

fn malformed(field: String, error: &serde_json::Error) -> DocumentError {
    DocumentError::Malformed {
        line: error.line(),
        column: error.column(),
        field,
        reason: error.to_string(),
    }
}
