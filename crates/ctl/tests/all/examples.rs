//! The presets shipped as examples.

use std::path::{Path, PathBuf};

use geranium_ctl::CheckedFile;
use geranium_model::{Preset, RequestClass};

const PRESETS: [&str; 3] = ["ordinary-day", "peak", "maintenance"];

fn load(user: &str, preset: &str) -> Preset {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let path: PathBuf = root.join(user).join(format!("{preset}.json"));
    CheckedFile::try_from(path.as_path())
        .unwrap()
        .preset()
        .clone()
}

fn class(preset: &Preset, path: &str) -> RequestClass {
    preset.route_for(path).unwrap().class
}

#[test]
fn every_example_routes_its_users_requests() {
    for preset in PRESETS.map(|preset| load("nordurljos", preset)) {
        assert_eq!(class(&preset, "/verdskra/cod"), RequestClass::Short);
        assert_eq!(class(&preset, "/pantanir/orders/17"), RequestClass::Once);
        assert_eq!(class(&preset, "/pantanir/stock/cod"), RequestClass::Short);
        assert_eq!(class(&preset, "/pantanir/refunds/"), RequestClass::Once);
        assert_eq!(class(&preset, "/vorulisti/akureyri"), RequestClass::Bulk);
    }
    for preset in PRESETS.map(|preset| load("heliomagnetique", preset)) {
        assert_eq!(class(&preset, "/indexdesk/k"), RequestClass::Short);
        assert_eq!(class(&preset, "/bulletin/alerts/"), RequestClass::Once);
        assert_eq!(class(&preset, "/bulletin/current/"), RequestClass::Short);
        assert_eq!(class(&preset, "/bulletin/recalls/"), RequestClass::Once);
        assert_eq!(class(&preset, "/archivist/1999"), RequestClass::Bulk);
    }
}

#[test]
fn a_peak_gives_short_work_more_room_than_an_ordinary_day() {
    for (user, short, bulk) in [
        ("nordurljos", "verdskra", "vorulisti"),
        ("heliomagnetique", "indexdesk", "archivist"),
    ] {
        let [ordinary, peak, maintenance] = PRESETS.map(|preset| load(user, preset));
        let service =
            |preset: &Preset, name: &str| preset.service(&name.parse().unwrap()).unwrap().clone();
        let (before, during) = (service(&ordinary, bulk), service(&peak, bulk));
        assert!(during.bulk_share < before.bulk_share && during.queue < before.queue);
        assert!(service(&peak, short).retry_share < service(&ordinary, short).retry_share);
        assert!(service(&maintenance, short).queue > service(&ordinary, short).queue);
    }
}
