//! Differences between configurations.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};

use serde::{Deserialize, Serialize};

use super::{ConfigInput, ConfigVersion, LimitsInput, RouteInput, ServiceInput};
use crate::accounts::AccountInput;

/// Changes that turn one configuration into another.
///
/// A configuration may hold thousands of routes, of which a few change at a time, several
/// times a second. A link may carry only a few megabits per second. Sending whole documents
/// would fill such a link and delay the responses to callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version to which the delta applies.
    pub from: ConfigVersion,
    /// Version that the delta produces.
    pub to: ConfigVersion,
    /// Routes that are new or changed.
    pub routes: Vec<Rc<RouteInput>>,
    /// Names of removed routes.
    pub removed: Vec<String>,
    /// All services of the resulting version.
    pub services: Vec<ServiceInput>,
    /// Limits of the resulting version.
    pub limits: LimitsInput,
    /// All accounts of the resulting version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<AccountInput>,
}

impl ConfigDelta {
    /// Returns the delta that turns `from` into `to`.
    pub fn between(from: &ConfigInput, to: &ConfigInput) -> Self {
        let routes_before: HashMap<&str, &Rc<RouteInput>> = routes_by_name(from);
        let after: HashSet<&str> = to.routes.iter().map(|route| &*route.name).collect();
        let is_unchanged = |route: &Rc<RouteInput>| {
            let earlier_route = routes_before.get(&*route.name);
            earlier_route.is_some_and(|earlier_route| {
                Rc::ptr_eq(earlier_route, route) || *earlier_route == route
            })
        };
        let routes = to.routes.iter().filter(|route| !is_unchanged(route));
        let removed = from
            .routes
            .iter()
            .filter(|route| !after.contains(&*route.name));
        Self {
            from: from.version,
            to: to.version,
            routes: routes.cloned().collect(),
            removed: removed.map(|route| route.name.clone()).collect(),
            services: to.services.clone(),
            limits: to.limits.clone(),
            accounts: to.accounts.clone(),
        }
    }

    /// Returns the document that results from applying the delta to `from`.
    ///
    /// Returns `None` if the delta applies to another version.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::config::*;
    ///
    /// let limits = LimitsInput { head_bytes: 1, body_bytes: 1, head_s: 1.0, idle_s: 1.0 };
    /// let document = |version| ConfigInput {
    ///     version: ConfigVersion(version),
    ///     routes: Vec::new(),
    ///     services: Vec::new(),
    ///     limits: limits.clone(),
    ///     accounts: Vec::new(),
    /// };
    /// let delta = ConfigDelta::between(&document(3), &document(4));
    /// assert_eq!(delta.apply(&document(3)), Some(document(4)));
    /// assert_eq!(delta.apply(&document(2)), None);
    /// ```
    pub fn apply(&self, from: &ConfigInput) -> Option<ConfigInput> {
        if from.version != self.from {
            return None;
        }
        let removed: HashSet<&str> = self.removed.iter().map(String::as_str).collect();
        let replaced: HashSet<&str> = self.routes.iter().map(|route| &*route.name).collect();
        let is_kept = |route: &&Rc<RouteInput>| {
            !removed.contains(&*route.name) && !replaced.contains(&*route.name)
        };
        let kept = from.routes.iter().filter(is_kept).cloned();
        Some(ConfigInput {
            version: self.to,
            routes: kept.chain(self.routes.iter().cloned()).collect(),
            services: self.services.clone(),
            limits: self.limits.clone(),
            accounts: self.accounts.clone(),
        })
    }
}

/// Returns the routes of a document by name.
fn routes_by_name(input: &ConfigInput) -> HashMap<&str, &Rc<RouteInput>> {
    input
        .routes
        .iter()
        .map(|route| (&*route.name, route))
        .collect()
}
