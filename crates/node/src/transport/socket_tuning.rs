//! Options of every TCP connection.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Time without traffic after which the first probe is sent.
const PROBE_IDLE: Duration = Duration::from_secs(1);
/// Time between probes.
const PROBE_GAP: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection is dead.
const PROBE_COUNT: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged. Round trips take
/// milliseconds; three lost packets in a row are sent again within a second.
const UNACKED_MAX: Duration = Duration::from_millis(2_500);

/// Sets the options of a connection.
///
/// When a peer loses power or sits behind a cut, no reset comes, and the connection looks
/// healthy for minutes. The kernel probes a silent peer and gives up on unacknowledged
/// bytes, so the connection ends within seconds. Options that the platform lacks are
/// skipped: the timeouts of each call bound the harm.
pub fn tune_socket<'a>(socket: impl Into<SockRef<'a>>) {
    let socket = socket.into();
    let probes = TcpKeepalive::new()
        .with_time(PROBE_IDLE)
        .with_interval(PROBE_GAP)
        .with_retries(PROBE_COUNT);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        socket.set_tcp_user_timeout(Some(UNACKED_MAX)),
    ];
    drop(results);
}
