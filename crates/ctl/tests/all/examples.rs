//! Presets that are shipped as examples.

use std::path::Path;

use geranium_ctl::PresetDocument;
use geranium_node::config::{ConfigVersion, MeshConfig, RequestKind};

const PRESETS: [&str; 3] = ["ordinary-day", "peak", "maintenance"];

fn load(user: &str, preset: &str) -> MeshConfig {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let path = root.join(user).join(format!("{preset}.json"));
    let document = PresetDocument::from_file(&path).unwrap();
    MeshConfig::checked(document.into_input(ConfigVersion(1)).into(), None).unwrap()
}

#[test]
fn every_example_routes_its_users_requests() {
    use RequestKind::{Bulk, Lookup, Once};
    let till = [
        ("/verdskra/cod", Lookup),
        ("/pantanir/orders/17", Once),
        ("/pantanir/stock/cod", Lookup),
        ("/pantanir/refunds/", Once),
        ("/vorulisti/akureyri", Bulk),
    ];
    let desk = [
        ("/indexdesk/k", Lookup),
        ("/bulletin/alerts/", Once),
        ("/bulletin/current/", Lookup),
        ("/bulletin/recalls/", Once),
        ("/archivist/1999", Bulk),
    ];
    let users = [
        ("nordurljos", "till.nordurljos.example", till),
        ("heliomagnetique", "desk.observatoire.example", desk),
    ];
    for (user, host, requests) in users {
        for preset in PRESETS {
            let config = load(user, preset);
            for (path, kind) in requests {
                let route = config.route(host, path).unwrap();
                assert_eq!(route.kind, kind, "{user} {preset} {path}");
            }
        }
    }
}

#[test]
fn a_peak_puts_short_work_before_files() {
    for (user, host, short, files) in [
        (
            "nordurljos",
            "till.nordurljos.example",
            "/verdskra/",
            "/vorulisti/",
        ),
        (
            "heliomagnetique",
            "desk.observatoire.example",
            "/indexdesk/",
            "/archivist/",
        ),
    ] {
        let [ordinary, peak, _] = PRESETS.map(|preset| load(user, preset));
        let rank = |config: &MeshConfig, path| config.route(host, path).unwrap().rank;
        assert!(rank(&peak, short) < rank(&peak, files));
        assert!(rank(&peak, short) < rank(&ordinary, short));
    }
}
