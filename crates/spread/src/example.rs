//! Sample rows for examples and tests.

use std::net::{Ipv4Addr, SocketAddr};

use geranium_model::{Incarnation, InstanceName, MemberRow, MemberState};

use crate::name_key;

/// Makes the row of an instance for an example.
///
/// Its data centre is the name up to the first `-`, its region the first letter
/// of that.
///
/// # Examples
///
/// ```
/// let row = geranium_spread::example_row("a-1", 3);
/// assert_eq!(row.data_centre.as_str(), "a");
/// ```
///
/// # Panics
///
/// When `name` isn't an instance's name.
pub fn example_row(name: &str, incarnation: u64) -> MemberRow {
    let instance: InstanceName = name.parse().expect("an instance's name");
    let data_centre = name.split('-').next().unwrap_or(name);
    let key = name_key(name).to_be_bytes();
    let ip = Ipv4Addr::new(10, key[0], key[1], key[2]);
    let addr = |port| SocketAddr::from((ip, port));
    MemberRow {
        instance,
        incarnation: Incarnation::new(incarnation),
        started: Incarnation::new(incarnation),
        state: MemberState::Live,
        service: Some("verdskra".parse().expect("a service's name")),
        data_centre: data_centre.parse().expect("a data centre's name"),
        region: data_centre[..1].parse().expect("a region's name"),
        control_addr: addr(7_000),
        data_addr: addr(7_001),
        admin_addr: addr(7_002),
        slots: 12,
    }
}
