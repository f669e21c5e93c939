//! The fleet that the soak runs against.

use std::{
    fs,
    time::{Duration, Instant},
};

use geranium_load::MixEntry;
use geranium_model::RequestClass;
use snafu::ResultExt;

use crate::{
    DeploymentLayout, FleetRun, FreePorts, RigError, ServiceLayout, load_mix, rig_error::FileSnafu,
};

/// The two presets that operators race with; they differ in their queues.
pub(super) const PRESETS: [(&str, u16); 2] = [("ordinary-day", 48), ("peak", 64)];
/// Wait for the fleet to be ready before the load begins.
const READY_LIMIT: Duration = Duration::from_secs(40);
/// Pause between tries to reach a platform that has just been started.
const RETRY: Duration = Duration::from_millis(100);

/// Returns eight instances of three services in three data centres.
pub(super) fn soak_layout() -> DeploymentLayout {
    let service = |(name, instances): (&str, u16)| ServiceLayout {
        name: name.to_owned(),
        instances,
    };
    DeploymentLayout {
        name: "soak".to_owned(),
        region: "reykjavik".to_owned(),
        data_centres: ["sundahofn", "hofdi", "kopavogur"]
            .map(str::to_owned)
            .to_vec(),
        services: [("verdskra", 4), ("pantanir", 2), ("vorulisti", 2)]
            .map(service)
            .to_vec(),
        slots: 12,
        connections: 130,
        service_ms: 2,
        node_flags: vec![("--warming-s".to_owned(), "1".to_owned())],
    }
}

/// Returns a preset with routes for the three services.
pub(super) fn preset_text(queue: u16) -> String {
    let route = |name: &str, prefix: &str, service: &str, class: &str, deadline: u32| {
        serde_json::json!({"name": name, "path_prefix": prefix, "service": service,
            "class": class, "deadline_ms": deadline})
    };
    let services = ["verdskra", "pantanir", "vorulisti"]
        .map(|name| serde_json::json!({"name": name, "queue": queue}));
    let routes = [
        route("prices", "/verdskra/", "verdskra", "short", 3_000),
        route("orders", "/pantanir/orders/", "pantanir", "once", 5_000),
        route("stock", "/pantanir/stock/", "pantanir", "short", 3_000),
        route("catalogues", "/vorulisti/", "vorulisti", "bulk", 30_000),
    ];
    serde_json::json!({"services": services, "routes": routes}).to_string()
}

/// Starts the fleet with the first preset in force, and waits for it.
pub(super) fn start_fleet() -> Result<(FleetRun, Vec<MixEntry>), RigError> {
    let fleet = FleetRun::start(&soak_layout(), &mut FreePorts::new())?;
    let operator = fleet.operator();
    let mut mix = Vec::new();
    for (name, queue) in PRESETS {
        let path = fleet.work_dir().join(format!("{name}.json"));
        fs::write(&path, preset_text(queue)).context(FileSnafu { path: &path })?;
        operator.put(name, &path)?;
        mix = load_mix(&path)?;
    }
    mix.extend(long_requests());
    operator.activate(PRESETS[0].0)?;
    fleet.wait_ready(1, READY_LIMIT)?;
    Ok((fleet, mix))
}

/// Requests that take long enough for some to be in flight at any moment: what
/// a graceful end cuts off shows by them.
fn long_requests() -> [MixEntry; 2] {
    let entry = |class, weight, path: &str, service: &str| MixEntry {
        class,
        weight,
        path: path.to_owned(),
        service: service.to_owned(),
        bytes: 0,
    };
    [
        entry(
            RequestClass::Short,
            2,
            "/verdskra/long?work_ms=600",
            "verdskra",
        ),
        entry(
            RequestClass::Once,
            1,
            "/pantanir/orders/long?work_ms=400",
            "pantanir",
        ),
    ]
}

/// Puts the first preset in force, again if the platform isn't well yet.
pub(super) fn activate_last(fleet: &FleetRun, limit: Duration) -> Result<(), RigError> {
    let until = Instant::now() + limit;
    loop {
        match fleet.operator().activate(PRESETS[0].0) {
            Err(_) if Instant::now() < until => std::thread::sleep(RETRY),
            result => return result,
        }
    }
}
