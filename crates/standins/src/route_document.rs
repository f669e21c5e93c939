//! Configuration documents as the operators' platform writes them.

use serde_json::{Value, json};

/// Key of the active configuration in the store.
pub const CONFIG_KEY: &str = "op/config";

/// One route of a configuration document.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteEntry {
    prefix: String,
    kind: &'static str,
    target: Value,
    timeout_s: f64,
    /// Time within which a response is of full use; none for half the timeout.
    target_latency_s: Option<f64>,
    anonymous: bool,
}

/// One client account of a configuration document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountEntry {
    name: String,
    keys: Vec<String>,
    priority: Option<u8>,
}

impl AccountEntry {
    /// Creates an account with these keys.
    pub fn new(name: &str, keys: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            keys: keys.iter().map(|key| (*key).to_owned()).collect(),
            priority: None,
        }
    }

    /// Sets the priority, which goes before that of routes.
    #[must_use]
    pub const fn with_priority(mut self, priority: u8) -> Self {
        self.priority = Some(priority);
        self
    }

    fn value(&self) -> Value {
        let mut value = json!({ "Name": self.name, "ApiKeys": self.keys });
        if let Some(priority) = self.priority {
            value["Priority"] = priority.into();
        }
        value
    }
}

impl RouteEntry {
    /// Creates a route to one service. `kind` is the value of the document's `Type`
    /// field.
    pub fn new(prefix: impl Into<String>, kind: &'static str, service: &str) -> Self {
        Self {
            prefix: prefix.into(),
            kind,
            target: json!({ "Service": service }),
            timeout_s: 4.0,
            target_latency_s: None,
            anonymous: false,
        }
    }

    /// Lets requests of the route come without a key.
    #[must_use]
    pub const fn without_key(mut self) -> Self {
        self.anonymous = true;
        self
    }

    /// Creates a route that several services share by weight.
    pub fn weighted(prefix: impl Into<String>, kind: &'static str, shares: &[(&str, u32)]) -> Self {
        let share = |(service, weight): &(&str, u32)| json!({"Service": service, "Weight": weight});
        let shares: Vec<Value> = shares.iter().map(share).collect();
        Self {
            target: json!({ "WeightedClusters": shares }),
            ..Self::new(prefix, kind, "")
        }
    }

    /// Sets the time within which a caller gets its final response.
    #[must_use]
    pub const fn with_timeout(mut self, seconds: f64) -> Self {
        self.timeout_s = seconds;
        self
    }

    /// Sets the time within which a response is of full use.
    #[must_use]
    pub const fn with_target_latency(mut self, seconds: f64) -> Self {
        self.target_latency_s = Some(seconds);
        self
    }

    fn value(&self) -> Value {
        let mut value = json!({
            "Name": format!("r{}", self.prefix.replace('/', "-")),
            "Host": crate::CALLER_HOST,
            "Prefix": self.prefix,
            "Type": self.kind,
            "TimeoutS": self.timeout_s,
            "TargetLatencyS": self.target_latency_s.unwrap_or(self.timeout_s / 2.0),
            "Priority": 1,
            "Attempts": 2,
        });
        let fields = value.as_object_mut().expect("the value is an object");
        if self.anonymous {
            fields.insert("Anonymous".to_owned(), true.into());
        }
        fields.extend(self.target.as_object().cloned().unwrap_or_default());
        value
    }
}

/// Returns a configuration document without accounts as JSON.
pub fn route_document(version: u64, services: &[&str], routes: &[RouteEntry]) -> String {
    document(version, services, routes).to_string()
}

/// Returns a configuration document with client accounts as JSON.
pub fn account_document(
    version: u64,
    services: &[&str],
    routes: &[RouteEntry],
    accounts: &[AccountEntry],
) -> String {
    let mut document = document(version, services, routes);
    document["Tenants"] = accounts.iter().map(AccountEntry::value).collect();
    document.to_string()
}

fn document(version: u64, services: &[&str], routes: &[RouteEntry]) -> Value {
    let mut names = services.to_vec();
    names.sort_unstable();
    names.dedup();
    let services = names.iter().map(|name| {
        json!({"Name": name, "HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false})
    });
    let services: Vec<Value> = services.collect();
    let routes: Vec<Value> = routes.iter().map(RouteEntry::value).collect();
    json!({
        "Version": format!("{version:08x}"),
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 100_000,
            "HeaderTimeoutS": 3,
            "IdleTimeoutS": 15,
        },
        "BaseVersion": "00000000",
    })
}
