//! A preset of the size to design for.

use geranium_model::PresetDocument;

/// Services of the preset.
pub(super) const SERVICES: usize = 290;

/// Returns the name of a service.
pub(super) fn service_name(index: usize) -> String {
    format!("service-{:03}", index % SERVICES)
}

/// Makes the preset; each `change` differs from the one before in one service.
pub(super) fn big_preset(change: u16) -> PresetDocument {
    let changed = usize::from(change) % SERVICES;
    let service = |index: usize| {
        let queue = if index == changed { 64 + change } else { 64 };
        serde_json::json!({"name": service_name(index), "queue": queue})
    };
    let route = |index: usize| {
        let name = service_name(index);
        serde_json::json!({
            "name": format!("{name}-reads"), "path_prefix": format!("/{name}/"),
            "service": name, "class": "short", "deadline_ms": 2_000,
        })
    };
    let document = serde_json::json!({
        "services": (0..SERVICES).map(service).collect::<Vec<_>>(),
        "routes": (0..SERVICES).map(route).collect::<Vec<_>>(),
    });
    PresetDocument::parse(document.to_string().as_bytes()).expect("a generated preset is good")
}
