//! Kinds of requests in a mix.

use std::str::FromStr;

use geranium_model::RequestClass;

use crate::LoadError;

/// One kind of request and its share of the load.
///
/// # Examples
///
/// ```
/// use geranium_load::MixEntry;
///
/// let entry: MixEntry = "short:8:/verdskra/cod?work_ms=2".parse()?;
/// assert_eq!(entry.weight, 8);
/// assert!("once:1:/pantanir/orders".parse::<MixEntry>().is_err());
/// # Ok::<(), geranium_load::LoadError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MixEntry {
    /// Class that the route gives these requests.
    pub class: RequestClass,
    /// Share of the load, among the weights of all entries.
    pub weight: u32,
    /// Path and query.
    pub path: String,
    /// Service that tickets are asked for; only for `once`.
    pub service: String,
    /// Length of the file in bytes; only for `bulk`.
    pub bytes: u64,
}

impl FromStr for MixEntry {
    type Err = LoadError;

    /// Reads `CLASS:WEIGHT:PATH`, with `:SERVICE` after a `once` path and
    /// `:BYTES` after a `bulk` path.
    fn from_str(text: &str) -> Result<Self, LoadError> {
        let bad = |rule| LoadError::BadMixEntry {
            entry: text.to_owned(),
            rule,
        };
        let mut parts = text.split(':');
        let mut part = || parts.next();
        let class = part().and_then(|class| class.parse().ok());
        let class = class.ok_or_else(|| bad("starts with `short:`, `once:` or `bulk:`"))?;
        let weight = part().and_then(|weight| weight.parse().ok());
        let weight = weight.ok_or_else(|| bad("has a weight after its class"))?;
        let path = part().filter(|path| path.starts_with('/'));
        let path = path.ok_or_else(|| bad("has a path after its weight"))?;
        let last = part();
        let service = last.filter(|_| class == RequestClass::Once);
        if class == RequestClass::Once && service.is_none() {
            return Err(bad("names its service after a `once` path"));
        }
        let bytes = last.and_then(|bytes| bytes.parse().ok());
        if class == RequestClass::Bulk && bytes.is_none() {
            return Err(bad("states its bytes after a `bulk` path"));
        }
        Ok(Self {
            class,
            weight,
            path: path.to_owned(),
            service: service.unwrap_or_default().to_owned(),
            bytes: bytes.unwrap_or_default(),
        })
    }
}
