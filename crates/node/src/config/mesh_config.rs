//! Checked configurations, in the form used to route requests.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use super::{
    ConfigError, ConfigInput, ConfigVersion, LimitsInput, RouteInput, RouteRule, ShareInput,
    route_rule::checked_time,
};
use crate::accounts::AccountTable;

/// Checked limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Largest size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for receiving a request's head.
    pub head_timeout: Duration,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl TryFrom<&LimitsInput> for CallerLimits {
    type Error = ConfigError;

    fn try_from(input: &LimitsInput) -> Result<Self, ConfigError> {
        Ok(Self {
            max_head_bytes: input.head_bytes as usize,
            max_body_bytes: input.body_bytes as usize,
            head_timeout: checked_time(input.head_s, "head limit")?,
            idle_timeout: checked_time(input.idle_s, "idle limit")?,
        })
    }
}

/// A checked configuration.
#[derive(Debug)]
pub struct MeshConfig {
    /// Version of the document.
    pub version: ConfigVersion,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Client accounts.
    pub accounts: AccountTable,
    /// Document from which the configuration was created.
    pub input: Rc<ConfigInput>,
    /// Routes by the host followed by the prefix.
    ///
    /// The key is unambiguous, as a host has no slash and a prefix begins with one.
    routes: HashMap<Box<str>, Rc<RouteRule>>,
}

impl MeshConfig {
    /// Returns the route of a request.
    ///
    /// Among the routes of `host`, which must be lower case, it is the one with the longest
    /// prefix of `path`.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::config::*;
    ///
    /// let route = |name: &str, prefix: &str| RouteInput {
    ///     name: name.into(),
    ///     host: "till.example".into(),
    ///     prefix: prefix.into(),
    ///     kind: RequestKind::Lookup,
    ///     timeout_s: 1.0,
    ///     target_s: 0.4,
    ///     rank: 1,
    ///     attempts: 2,
    ///     shares: vec![ShareInput { service: "prices".into(), weight: 1 }],
    ///     anonymous: false,
    /// };
    /// let input = ConfigInput {
    ///     version: ConfigVersion(1),
    ///     routes: vec![route("all", "/").into(), route("old", "/old/").into()],
    ///     services: vec![ServiceInput {
    ///         name: "prices".into(),
    ///         health_path: "/health".into(),
    ///         connections: 9,
    ///     }],
    ///     limits: LimitsInput { head_bytes: 16_384, body_bytes: 1_000, head_s: 3.0, idle_s: 15.0 },
    ///     accounts: Vec::new(),
    /// };
    /// let config = MeshConfig::checked(input.into(), None)?;
    /// let name = |path| config.route("till.example", path).map(|route| route.name.to_string());
    /// assert_eq!(name("/old/x/y").as_deref(), Some("old"));
    /// assert_eq!(name("/older/x").as_deref(), Some("all"));
    /// assert!(config.route("other.example", "/old/x").is_none());
    /// # Ok::<(), ConfigError>(())
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let mut key = String::with_capacity(host.len() + path.len());
        key.push_str(host);
        key.push_str(path);
        let mut end = key.len();
        while let Some(slash) = key[host.len()..end].rfind('/') {
            let slash = host.len() + slash;
            if let Some(route) = self.routes.get(&key[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the route whose name has this hash.
    pub fn route_by_hash(&self, route_hash: u64) -> Option<&Rc<RouteRule>> {
        self.routes
            .values()
            .find(|route| route.route_hash == route_hash)
    }

    /// Checks a document and makes it a configuration.
    ///
    /// Unchanged routes are taken from the previous configuration. That preserves the state of
    /// their weighted round robin, and costs a tenth of creating them again.
    ///
    /// # Errors
    ///
    /// Returns the fault of the first bad route or limit.
    pub fn checked(input: Rc<ConfigInput>, previous: Option<&Self>) -> Result<Self, ConfigError> {
        if input.routes.is_empty() {
            return Err(ConfigError::NoRoutes);
        }
        let services = service_names(&input);
        let mut routes = HashMap::with_capacity(input.routes.len());
        for route in &input.routes {
            check_services(route, &services)?;
            let key = format!("{}{}", route.host.to_ascii_lowercase(), route.prefix);
            let previous_rule = previous.and_then(|previous| previous.routes.get(&*key));
            let rule = match previous_rule.filter(|rule| rule.input == *route) {
                Some(rule) => Rc::clone(rule),
                None => Rc::new(RouteRule::try_from(route)?),
            };
            if routes.insert(key.into_boxed_str(), rule).is_some() {
                let route = route.name.clone();
                return Err(ConfigError::DuplicateRoute { route });
            }
        }
        Ok(Self {
            version: input.version,
            limits: CallerLimits::try_from(&input.limits)?,
            accounts: AccountTable::try_from(&*input.accounts)?,
            routes,
            input,
        })
    }

    /// Returns the path of a service's health check, or `None` for an unknown service.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        let mut services = self.input.services.iter();
        let service = services.find(|known| known.name == service);
        service.map(|service| &*service.health_path)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether a route divides its requests between the two services.
    pub fn have_common_route(&self, one: &str, other: &str) -> bool {
        let mut routes = self.routes.values();
        routes.any(|route| route.shares.allows(one) && route.shares.allows(other))
    }

    /// Returns whether a route may send requests to `service`.
    pub fn routes_to(&self, service: &str) -> bool {
        self.routes
            .values()
            .any(|route| route.shares.allows(service))
    }
}

/// Returns the names of the services that a document defines.
fn service_names(input: &ConfigInput) -> HashSet<&str> {
    let names = input.services.iter().map(|service| &*service.name);
    names.collect()
}

/// Checks that the document defines all services that `route` names.
fn check_services(route: &RouteInput, services: &HashSet<&str>) -> Result<(), ConfigError> {
    let is_unknown = |share: &&ShareInput| !services.contains(&*share.service);
    match route.shares.iter().find(is_unknown) {
        Some(share) => Err(ConfigError::UnknownService {
            route: route.name.clone(),
            service: share.service.clone(),
        }),
        None => Ok(()),
    }
}
