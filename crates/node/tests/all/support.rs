//! Fixtures that several tests use.

use std::{net::SocketAddr, time::Duration};

use geranium_node::member::{EndpointStart, MemberRecord, MemberState, StartInput};

/// Returns the time `millis` after a node's start.
pub fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a start of a backend server without a start time.
pub fn start(instance: impl Into<String>) -> EndpointStart {
    born(instance, None)
}

/// Returns a start of a backend server at `born_ms`, in Unix milliseconds.
pub fn born(instance: impl Into<String>, born_ms: impl Into<Option<u64>>) -> EndpointStart {
    let (instance, born_ms) = (instance.into(), born_ms.into());
    EndpointStart::try_from(StartInput { instance, born_ms }).expect("a usable identifier")
}

/// Returns the peer address of the node with this number.
pub fn peer_addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7600))
}

/// Returns the announced member record of the node with this number.
pub fn record(number: u8) -> MemberRecord {
    MemberRecord {
        peer_addr: peer_addr(number),
        start: start(format!("i-{number}")),
        service: "prices".to_owned(),
        data_centre: "hofdi".to_owned(),
        version: None,
        suspended: false,
        is_final: false,
        left_before: None,
        slots: 12,
        state: MemberState::Ready,
        link_mbps: 100,
        cold_ms: 0,
        registrar: None,
        sequence: 1,
    }
}
