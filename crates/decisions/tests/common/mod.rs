//! Rows shared by the tests of this crate.

use std::net::{Ipv4Addr, SocketAddr};

use geranium_model::{Incarnation, MemberRow, MemberState};

/// Returns a live row of region `reykjavik`.
pub fn row(instance: &str, service: &str, data_centre: &str, started: u64) -> MemberRow {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    MemberRow {
        instance: instance.parse().unwrap(),
        incarnation: Incarnation::new(started),
        started: Incarnation::new(started),
        state: MemberState::Live,
        service: Some(service.parse().unwrap()),
        data_centre: data_centre.parse().unwrap(),
        region: "reykjavik".parse().unwrap(),
        control_addr: addr,
        data_addr: addr,
        admin_addr: addr,
        slots: 12,
    }
}
