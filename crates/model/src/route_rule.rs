//! Routes of a preset.

use serde::{Deserialize, Serialize};

use crate::{DocumentError, NameError, RequestClass, RouteName, ServiceName};

/// Longest deadline a route may set, in milliseconds: a 256 MB archive over a
/// slow link ends well within a quarter of an hour.
const DEADLINE_MS_MAX: u32 = 900_000;

/// A route as the operator wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDocument {
    /// Route name.
    pub name: String,
    /// Requests whose path starts with this take the route; the longest
    /// prefix wins.
    pub path_prefix: String,
    /// Service that answers.
    pub service: String,
    /// Class of the requests.
    pub class: RequestClass,
    /// Milliseconds within which callers expect the answer.
    pub deadline_ms: u32,
}

/// A checked route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Route name.
    pub name: RouteName,
    /// Requests whose path starts with this take the route.
    pub path_prefix: String,
    /// Service that answers.
    pub service: ServiceName,
    /// Class of the requests.
    pub class: RequestClass,
    /// Milliseconds within which callers expect the answer.
    pub deadline_ms: u32,
}

impl TryFrom<&RouteDocument> for RouteRule {
    type Error = DocumentError;

    fn try_from(document: &RouteDocument) -> Result<Self, DocumentError> {
        let owner = format!("routes.{}", document.name);
        let bad_name = |field: &str| {
            let field = field.to_owned();
            move |source: NameError| DocumentError::BadName { field, source }
        };
        let name: RouteName = document.name.parse().map_err(bad_name(&owner))?;
        let service: ServiceName = document
            .service
            .parse()
            .map_err(bad_name(&format!("{owner}.service")))?;
        if !document.path_prefix.starts_with('/') || document.path_prefix.starts_with("/.") {
            return Err(DocumentError::OutOfRange {
                field: format!("{owner}.path_prefix"),
                rule: "a path that starts with `/`, and not with `/.`, which is the nodes' own",
            });
        }
        if !(1..=DEADLINE_MS_MAX).contains(&document.deadline_ms) {
            return Err(DocumentError::OutOfRange {
                field: format!("{owner}.deadline_ms"),
                rule: "from 1 to 900000",
            });
        }
        Ok(Self {
            name,
            path_prefix: document.path_prefix.clone(),
            service,
            class: document.class,
            deadline_ms: document.deadline_ms,
        })
    }
}
