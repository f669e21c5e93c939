//! Mixes from presets.

use geranium_model::RequestClass;
use geranium_rig::load_mix;

#[test]
fn each_route_gets_requests_of_its_class() {
    let preset = r#"{
        "services": [{"name": "prices"}, {"name": "orders"}, {"name": "lists"}],
        "routes": [
            {"name": "a", "path_prefix": "/prices/", "service": "prices", "class": "short",
             "deadline_ms": 1000},
            {"name": "b", "path_prefix": "/orders", "service": "orders", "class": "once",
             "deadline_ms": 1000},
            {"name": "c", "path_prefix": "/lists/", "service": "lists", "class": "bulk",
             "deadline_ms": 1000}
        ]
    }"#;
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("mix-preset.json");
    std::fs::write(&path, preset).unwrap();
    let mix = load_mix(&path).unwrap();
    let kinds: Vec<_> = mix
        .iter()
        .map(|entry| (entry.class, entry.path.as_str()))
        .collect();
    let expected = [
        (RequestClass::Short, "/prices/one"),
        (RequestClass::Once, "/orders/one"),
        (RequestClass::Bulk, "/lists"),
    ];
    assert_eq!(kinds, expected);
    assert_eq!(mix[1].service, "orders");
}
