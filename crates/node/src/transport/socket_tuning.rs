//! Socket options of every TCP connection.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Idle time after which the first keepalive probe is sent.
const PROBE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time between keepalive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection counts as dead.
const PROBE_COUNT: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged. Round trips take
/// milliseconds, and a packet that is lost three times in a row is sent again within a
/// second.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Sets the socket options by which a connection to a dead peer ends within seconds.
///
/// When a peer loses power or the network between is cut, no reset arrives, and the
/// connection looks healthy for minutes. So the kernel probes a silent peer and gives up on
/// unacknowledged bytes. Options that the platform doesn't support are skipped, as the
/// timeout of each call bounds the damage. Nagle's algorithm is off.
pub fn tune_socket<'a>(socket: impl Into<SockRef<'a>>) {
    let socket = socket.into();
    let probes = TcpKeepalive::new()
        .with_time(PROBE_IDLE_TIME)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)),
    ];
    drop(results);
}
