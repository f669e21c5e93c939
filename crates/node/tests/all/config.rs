//! Tests of checked configurations, deltas and the history.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use geranium_node::{
    config::{
        ConfigDelta, ConfigError, ConfigInput, ConfigVersion, LimitsInput, MeshConfig, RequestKind,
        RouteInput, ServiceInput, ShareInput,
    },
    distribution::{ConfigHistory, ConfigUpdate},
    event_log::EventLog,
    header_names::HeaderNames,
    node_core::NodeCore,
    node_settings::{ListenAddrs, NodeSettings},
    request_body::MemoryLimits,
    retry::RetryLimits,
};
use http::HeaderName;
use slog::{Discard, Logger, o};

pub fn route(name: &str, prefix: &str, shares: &[(&str, u32)]) -> RouteInput {
    let shares = shares.iter().map(|(service, weight)| ShareInput {
        service: (*service).to_owned(),
        weight: *weight,
    });
    RouteInput {
        name: name.to_owned(),
        host: "Till.Example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Lookup,
        timeout_s: 1.0,
        target_s: 0.4,
        rank: 1,
        attempts: 2,
        shares: shares.collect(),
        anonymous: false,
    }
}

pub fn document(version: u64, routes: Vec<RouteInput>) -> ConfigInput {
    let service = |name: &str| ServiceInput {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        connections: 130,
    };
    ConfigInput {
        version: ConfigVersion(version),
        routes: routes.into_iter().map(Rc::new).collect(),
        services: vec![service("a"), service("b")],
        limits: LimitsInput {
            head_bytes: 16_384,
            body_bytes: 1_000,
            head_s: 3.0,
            idle_s: 15.0,
        },
        accounts: Vec::new(),
    }
}

/// Returns the error with which a document with `route` is refused.
fn refusal(route: RouteInput) -> ConfigError {
    let checked = MeshConfig::checked(Rc::new(document(1, vec![route])), None);
    checked.expect_err("the document is bad")
}

#[test]
fn each_bad_route_is_refused_with_its_reason() {
    let good = || route("r", "/r/", &[("a", 1)]);
    let unknown_service = refusal(route("r", "/r/", &[("a", 1), ("c", 0)]));
    assert!(
        matches!(unknown_service, ConfigError::UnknownService { service, .. } if service == "c")
    );
    let without_weight = refusal(route("r", "/r/", &[("a", 0), ("b", 0)]));
    assert!(matches!(without_weight, ConfigError::NoTarget { .. }));
    assert!(matches!(
        refusal(route("r", "/r", &[("a", 1)])),
        ConfigError::PrefixWithoutSlashes { .. }
    ));
    assert!(matches!(
        refusal(route("r", "r/", &[("a", 1)])),
        ConfigError::PrefixWithoutSlashes { .. }
    ));
    let without_attempts = RouteInput {
        attempts: 0,
        ..good()
    };
    assert!(matches!(
        refusal(without_attempts),
        ConfigError::NoAttempts { .. }
    ));
    for timeout_s in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let route = RouteInput {
            timeout_s,
            ..good()
        };
        assert!(
            matches!(refusal(route), ConfigError::TimeOutOfRange { .. }),
            "{timeout_s}"
        );
    }
    let unlimited = RouteInput {
        timeout_s: 1e9,
        ..good()
    };
    let unlimited = MeshConfig::checked(Rc::new(document(1, vec![unlimited])), None);
    let unlimited = unlimited.expect("a long time is reduced");
    assert!(
        unlimited
            .route("till.example", "/r/x")
            .is_some_and(|route| {
                (Duration::from_hours(24)..=Duration::from_hours(9_000)).contains(&route.timeout)
            })
    );
    let duplicate = document(
        1,
        vec![
            good(),
            RouteInput {
                name: "s".to_owned(),
                ..good()
            },
        ],
    );
    let duplicate = MeshConfig::checked(Rc::new(duplicate), None);
    assert!(matches!(duplicate, Err(ConfigError::DuplicateRoute { route }) if route == "s"));
    let empty = MeshConfig::checked(Rc::new(document(1, Vec::new())), None);
    assert!(matches!(empty, Err(ConfigError::NoRoutes)));
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("root", "/", &[("a", 1)]),
        route("deep", "/x/y/", &[("a", 1)]),
        route("mid", "/x/", &[("b", 1)]),
    ];
    let config =
        MeshConfig::checked(Rc::new(document(1, routes)), None).expect("the document is good");
    let name = |path: &str| {
        config
            .route("till.example", path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(name("/x/y/z").as_deref(), Some("deep"));
    assert_eq!(name("/x/y").as_deref(), Some("mid"));
    assert_eq!(name("/x").as_deref(), Some("root"));
    assert_eq!(name("/x/yy/").as_deref(), Some("mid"));
    assert!(config.route("other.example", "/x/").is_none());
    assert!(config.route("till.example", "").is_none());
}

/// Guards against a weighted round robin that restarts with each version.
///
/// If the configuration changes often, such a route sends all requests to one service.
#[test]
fn routes_that_stay_keep_their_place_in_the_division() {
    let shares: &[(&str, u32)] = &[("a", 3), ("b", 1)];
    let first = document(1, vec![route("r", "/r/", shares)]);
    let mut config = MeshConfig::checked(Rc::new(first), None).expect("the document is good");
    let mut count_b = 0;
    for version in 2..=41 {
        let routes = vec![
            route("r", "/r/", shares),
            route(&format!("n{version}"), "/n/", &[("a", 1)]),
        ];
        let next = Rc::new(document(version, routes));
        config = MeshConfig::checked(next, Some(&config)).expect("the document is good");
        let rule = config
            .route("till.example", "/r/x")
            .expect("the route stays");
        count_b += usize::from(&*rule.shares.draw() == "b");
    }
    assert_eq!(count_b, 10);
}

#[test]
fn a_delta_applies_to_its_own_version_only() {
    let from = document(
        3,
        vec![
            route("keep", "/k/", &[("a", 1)]),
            route("drop", "/d/", &[("a", 1)]),
            route("turn", "/t/", &[("a", 1)]),
        ],
    );
    let mut to = document(
        5,
        vec![
            route("turn", "/t/", &[("b", 1)]),
            route("new", "/n/", &[("b", 1)]),
        ],
    );
    to.routes.insert(0, Rc::clone(&from.routes[0]));
    to.limits.idle_s = 20.0;
    let delta = ConfigDelta::between(&from, &to);
    assert_eq!(delta.routes.len(), 2);
    assert_eq!(delta.removed, ["drop"]);
    assert_eq!(delta.apply(&from), Some(to.clone()));
    assert_eq!(delta.apply(&to), None);
    let text = serde_json::to_string(&delta).expect("a delta can be written as JSON");
    let read: ConfigDelta = serde_json::from_str(&text).expect("the delta was just written");
    assert_eq!(read, delta);
}

fn updates(history: &ConfigHistory, version: u64) -> Option<ConfigUpdate> {
    let updates = history.update_for(ConfigVersion(version));
    updates.expect("the document can be compressed")
}

/// Guards against an update that doesn't fit the version that the requesting node holds.
///
/// That node may hold a recent version, an old one, none, or a later one than the relay.
#[test]
fn history_returns_the_smallest_sufficient_update() {
    let mut history = ConfigHistory::default();
    assert_eq!(updates(&history, 0), None);
    for version in 10..40 {
        history.push(Rc::new(document(
            version,
            vec![route(&format!("r{version}"), "/r/", &[("a", 1)])],
        )));
    }
    assert!(
        matches!(updates(&history, 38), Some(ConfigUpdate::Delta(delta)) if delta.to == ConfigVersion(39))
    );
    assert!(matches!(
        updates(&history, 12),
        Some(ConfigUpdate::Whole(_))
    ));
    assert!(matches!(updates(&history, 0), Some(ConfigUpdate::Whole(_))));
    assert_eq!(updates(&history, 39), None);
    assert_eq!(updates(&history, 50), None);
}

pub fn settings() -> NodeSettings {
    let addr = SocketAddr::from(([127, 0, 0, 1], 7_600));
    NodeSettings {
        instance: "till-1".to_owned(),
        data_centre: "hofdi".to_owned(),
        service: "a".to_owned(),
        endpoint: addr,
        first_start: false,
        peer_addr: addr,
        listen: ListenAddrs {
            callers: addr,
            peers: addr,
            readiness: addr,
            reports: addr,
            metrics: None,
        },
        peer_connect_timeout: Duration::from_millis(250),
        peer_idle_timeout: Duration::from_secs(15),
        leaving_time: Duration::from_secs(2),
        shutdown_timeout: Duration::from_secs(6),
        config_time: Duration::from_secs(2),
        body_memory: MemoryLimits::of_instance(260),
        max_connections: 1_950,
        link_mbps: 100.0,
        has_rollouts: false,
        retries: RetryLimits {
            ratio: 0.2,
            slack: 60.0,
            window: Duration::from_secs(10),
        },
        accounts: None,
    }
}

pub fn headers() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request_id: name("request"),
        deadline_ms: name("deadline"),
        signature: name("signature"),
        expected_instance: name("expected"),
        instance: name("instance"),
        not_executed: name("not-executed"),
        caller_service: name("caller"),
        rate_limit: name("limit"),
        leaving: name("leaving"),
        account: name("account"),
        server_load: name("load"),
    }
}

/// Guards against adopting an older version.
///
/// One may come from a late response, or from a node that hasn't received the newest.
#[test]
fn an_older_version_is_not_adopted() {
    let log = EventLog::new(Logger::root(Discard, o!()));
    let core = NodeCore::new(settings(), headers(), log).expect("the metrics can be registered");
    let adopt = |version| {
        let routes = vec![route("r", "/p/", &[("a", 1)])];
        let config = MeshConfig::checked(Rc::new(document(version, routes)), None);
        core.adopt_config(config.expect("the document is good"), "test")
    };
    assert!(adopt(9));
    assert!(!adopt(8));
    assert!(!adopt(9));
    assert_eq!(core.version(), ConfigVersion(9));
    assert!(adopt(10));
}
