//! Checked presets, by which nodes route.

use std::collections::{BTreeMap, HashSet};

use crate::{
    ContentDigest, DocumentError, FleetPolicy, PresetDocument, RouteRule, ServiceName,
    ServicePolicy, preset_document::DOCUMENT_BYTES_MAX,
};

/// A preset that passed every check.
///
/// It is immutable and swapped as a whole, so a node never routes by a part of
/// one, and every route's service exists in it.
#[derive(Debug, Clone, PartialEq)]
pub struct Preset {
    document: PresetDocument,
    digest: ContentDigest,
    services: BTreeMap<ServiceName, ServicePolicy>,
    /// Sorted by falling prefix length, so that the first match is the longest.
    routes: Vec<RouteRule>,
}

impl Preset {
    /// Returns the route with the longest prefix of `path`.
    pub fn route_for(&self, path: &str) -> Option<&RouteRule> {
        self.routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns a service's policy.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePolicy> {
        self.services.get(name)
    }

    /// Returns every service, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &ServicePolicy> {
        self.services.values()
    }

    /// Returns every route, longest prefix first.
    pub fn routes(&self) -> &[RouteRule] {
        &self.routes
    }

    /// Returns the settings for the whole fleet.
    pub const fn fleet(&self) -> FleetPolicy {
        self.document.fleet
    }

    /// Returns the digest of the canonical bytes.
    pub const fn digest(&self) -> ContentDigest {
        self.digest
    }

    /// Returns the document that was checked, in canonical order.
    pub const fn document(&self) -> &PresetDocument {
        &self.document
    }
}

impl TryFrom<PresetDocument> for Preset {
    type Error = DocumentError;

    fn try_from(mut document: PresetDocument) -> Result<Self, DocumentError> {
        document.services.sort_by(|a, b| a.name.cmp(&b.name));
        document.routes.sort_by(|a, b| a.name.cmp(&b.name));
        let canonical = document.canonical_bytes();
        if canonical.len() > DOCUMENT_BYTES_MAX {
            return Err(DocumentError::TooLarge {
                bytes: canonical.len(),
                max: DOCUMENT_BYTES_MAX,
            });
        }
        let services = checked_services(&document)?;
        let routes = checked_routes(&document, &services)?;
        check_fleet(document.fleet)?;
        Ok(Self {
            digest: ContentDigest::of(&canonical),
            document,
            services,
            routes,
        })
    }
}

fn checked_services(
    document: &PresetDocument,
) -> Result<BTreeMap<ServiceName, ServicePolicy>, DocumentError> {
    let mut services = BTreeMap::new();
    for entry in &document.services {
        let policy = ServicePolicy::try_from(entry)?;
        let former = services.insert(policy.name.clone(), policy);
        if former.is_some() {
            return Err(DocumentError::Duplicate {
                field: "services",
                name: entry.name.clone(),
            });
        }
    }
    Ok(services)
}

fn checked_routes(
    document: &PresetDocument,
    services: &BTreeMap<ServiceName, ServicePolicy>,
) -> Result<Vec<RouteRule>, DocumentError> {
    let mut names = HashSet::new();
    let mut prefixes = HashSet::new();
    let mut routes = Vec::with_capacity(document.routes.len());
    for entry in &document.routes {
        let rule = RouteRule::try_from(entry)?;
        if !services.contains_key(&rule.service) {
            return Err(DocumentError::MissingService {
                route: entry.name.clone(),
                service: entry.service.clone(),
            });
        }
        if !names.insert(rule.name.clone()) {
            return Err(DocumentError::Duplicate {
                field: "routes",
                name: entry.name.clone(),
            });
        }
        if !prefixes.insert(rule.path_prefix.clone()) {
            let name = rule.path_prefix;
            return Err(DocumentError::Duplicate {
                field: "routes.path_prefix",
                name,
            });
        }
        routes.push(rule);
    }
    routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    Ok(routes)
}

fn check_fleet(fleet: FleetPolicy) -> Result<(), DocumentError> {
    let rules = [
        ("fleet.poison_crashes", fleet.poison_crashes > 0, "above 0"),
        ("fleet.poison_hold_s", fleet.poison_hold_s > 0, "above 0"),
        ("fleet.hops_max", fleet.hops_max > 0, "above 0"),
    ];
    for (field, good, rule) in rules {
        if !good {
            return Err(DocumentError::OutOfRange {
                field: field.to_owned(),
                rule,
            });
        }
    }
    Ok(())
}
