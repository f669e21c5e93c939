//! Differences between two presets.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    ContentDigest, DocumentError, FleetPolicy, Preset, PresetDocument, RouteDocument,
    ServiceDocument,
};

/// What turns one preset into another.
///
/// Applying it yields a checked [`Preset`] whose digest must equal `target`,
/// so a delta that was cut short, mixed up or applied to the wrong base can't
/// leave a node with a document that no operator wrote.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PresetDelta {
    /// Digest of the preset it starts from.
    pub base: ContentDigest,
    /// Digest of the preset it leads to.
    pub target: ContentDigest,
    /// Services added or changed.
    pub put_services: Vec<ServiceDocument>,
    /// Names of services removed.
    pub removed_services: Vec<String>,
    /// Routes added or changed.
    pub put_routes: Vec<RouteDocument>,
    /// Names of routes removed.
    pub removed_routes: Vec<String>,
    /// New settings for the fleet, when they changed.
    pub fleet: Option<FleetPolicy>,
}

/// A delta that can't be applied.
#[derive(Debug, Snafu)]
pub enum DeltaError {
    /// The preset at hand isn't the one the delta starts from.
    #[snafu(display("the delta starts from {expected}, not {found}"))]
    WrongBase {
        /// Base named by the delta.
        expected: ContentDigest,
        /// Digest of the preset at hand.
        found: ContentDigest,
    },
    /// The result isn't the document the delta promised.
    #[snafu(display("the delta leads to {found}, not to {expected}"))]
    WrongTarget {
        /// Target named by the delta.
        expected: ContentDigest,
        /// Digest of what came out.
        found: ContentDigest,
    },
    /// The result fails a check.
    #[snafu(transparent)]
    Invalid {
        /// The failed check.
        source: DocumentError,
    },
}

impl PresetDelta {
    /// Works out what turns `base` into `target`.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_model::{Preset, PresetDelta, PresetDocument};
    ///
    /// let empty = Preset::try_from(PresetDocument::default())?;
    /// let text = br#"{"services": [{"name": "verdskra"}], "routes": []}"#;
    /// let full = Preset::try_from(PresetDocument::parse(text)?)?;
    /// let delta = PresetDelta::between(&empty, &full);
    /// assert_eq!(delta.apply(&empty).unwrap(), full);
    /// # Ok::<(), geranium_model::DocumentError>(())
    /// ```
    pub fn between(base: &Preset, target: &Preset) -> Self {
        let (old, new) = (base.document(), target.document());
        let (put_services, removed_services) =
            list_change(&old.services, &new.services, |service| {
                service.name.as_str()
            });
        let (put_routes, removed_routes) =
            list_change(&old.routes, &new.routes, |route| route.name.as_str());
        Self {
            base: base.digest(),
            target: target.digest(),
            put_services,
            removed_services,
            put_routes,
            removed_routes,
            fleet: (old.fleet != new.fleet).then_some(new.fleet),
        }
    }

    /// Applies the delta to `base`, which stays as it is.
    ///
    /// # Errors
    ///
    /// See [`DeltaError`]; the caller keeps `base` and asks for the whole
    /// document.
    pub fn apply(&self, base: &Preset) -> Result<Preset, DeltaError> {
        if base.digest() != self.base {
            return Err(DeltaError::WrongBase {
                expected: self.base,
                found: base.digest(),
            });
        }
        let old = base.document();
        let document = PresetDocument {
            services: list_apply(
                &old.services,
                &self.put_services,
                &self.removed_services,
                |service| service.name.as_str(),
            ),
            routes: list_apply(
                &old.routes,
                &self.put_routes,
                &self.removed_routes,
                |route| route.name.as_str(),
            ),
            fleet: self.fleet.unwrap_or(old.fleet),
        };
        let preset = Preset::try_from(document)?;
        if preset.digest() != self.target {
            return Err(DeltaError::WrongTarget {
                expected: self.target,
                found: preset.digest(),
            });
        }
        Ok(preset)
    }
}

fn list_change<T: Clone + PartialEq>(
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &str,
) -> (Vec<T>, Vec<String>) {
    let before: BTreeMap<&str, &T> = old.iter().map(|item| (name(item), item)).collect();
    let after: BTreeSet<&str> = new.iter().map(&name).collect();
    let put = new
        .iter()
        .filter(|item| before.get(name(item)) != Some(item))
        .cloned()
        .collect();
    let removed = before
        .keys()
        .filter(|key| !after.contains(*key))
        .map(|key| (*key).to_owned())
        .collect();
    (put, removed)
}

fn list_apply<T: Clone>(
    old: &[T],
    put: &[T],
    removed: &[String],
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    let mut items: BTreeMap<&str, &T> = old.iter().map(|item| (name(item), item)).collect();
    for key in removed {
        items.remove(key.as_str());
    }
    for item in put {
        items.insert(name(item), item);
    }
    items.into_values().cloned().collect()
}
