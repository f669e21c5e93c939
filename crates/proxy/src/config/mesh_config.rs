//! Checked configurations.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;

use super::{
    ConfigError, ConfigInput, ConfigVersion, LimitsInput, RouteRule, route_rule::checked_time,
};

/// Checked limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time that a head may take.
    pub head_time: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: Duration,
}

impl TryFrom<&LimitsInput> for CallerLimits {
    type Error = ConfigError;

    fn try_from(input: &LimitsInput) -> Result<Self, ConfigError> {
        Ok(Self {
            head_bytes: input.head_bytes as usize,
            body_bytes: input.body_bytes as usize,
            head_time: checked_time(input.head_s, "head limit")?,
            idle_time: checked_time(input.idle_s, "idle limit")?,
        })
    }
}

/// A checked configuration.
#[derive(Debug)]
pub struct MeshConfig {
    /// Version.
    pub version: ConfigVersion,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// The document as other nodes may ask for it.
    pub document: Bytes,
    /// Routes by host followed by prefix. A host has no slash and a prefix
    /// begins with one, so the two can't be confused.
    routes: HashMap<Box<str>, Rc<RouteRule>>,
}

impl MeshConfig {
    /// Returns the route of a request: among those of its host, the one with
    /// the longest prefix that begins the path.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_proxy::config::*;
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
    /// };
    /// let input = ConfigInput {
    ///     version: ConfigVersion(1),
    ///     routes: vec![route("all", "/"), route("old", "/old/")],
    ///     services: vec![ServiceInput {
    ///         name: "prices".into(),
    ///         health_path: "/health".into(),
    ///         connections: 9,
    ///     }],
    ///     limits: LimitsInput { head_bytes: 16_384, body_bytes: 1_000, head_s: 3.0, idle_s: 15.0 },
    /// };
    /// let config = MeshConfig::try_from(&input)?;
    /// let name = |path| config.route("till.example", path).map(|route| route.name.to_string());
    /// assert_eq!(name("/old/x/y").as_deref(), Some("old"));
    /// assert_eq!(name("/older/x").as_deref(), Some("all"));
    /// assert!(config.route("other.example", "/old/x").is_none());
    /// # Ok::<(), ConfigError>(())
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let mut place = String::with_capacity(host.len() + path.len());
        place.push_str(host);
        place.push_str(path);
        let mut end = place.len();
        while let Some(slash) = place[host.len()..end].rfind('/') {
            let slash = host.len() + slash;
            if let Some(route) = self.routes.get(&place[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns how many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Whether some route may send requests to `service`.
    pub fn uses(&self, service: &str) -> bool {
        self.routes
            .values()
            .any(|route| route.shares.allows(service))
    }
}

impl TryFrom<&ConfigInput> for MeshConfig {
    type Error = ConfigError;

    fn try_from(input: &ConfigInput) -> Result<Self, ConfigError> {
        if input.routes.is_empty() {
            return Err(ConfigError::NoRoutes);
        }
        let services: HashSet<&str> = input
            .services
            .iter()
            .map(|service| &*service.name)
            .collect();
        let mut routes = HashMap::with_capacity(input.routes.len());
        for route in &input.routes {
            let stranger = route
                .shares
                .iter()
                .find(|share| !services.contains(&*share.service));
            if let Some(share) = stranger {
                let (route, service) = (route.name.clone(), share.service.clone());
                return Err(ConfigError::UnknownService { route, service });
            }
            let place = format!("{}{}", route.host.to_ascii_lowercase(), route.prefix);
            let rule = Rc::new(RouteRule::try_from(route)?);
            if routes.insert(place.into_boxed_str(), rule).is_some() {
                let route = route.name.clone();
                return Err(ConfigError::DoubledRoute { route });
            }
        }
        let document = serde_json::to_vec(input).map_err(|error| ConfigError::Malformed {
            reason: error.to_string(),
        })?;
        Ok(Self {
            version: input.version,
            limits: CallerLimits::try_from(&input.limits)?,
            document: document.into(),
            routes,
        })
    }
}
