//! Figures of one process, from the system and from its metrics.

use std::{fs, net::SocketAddr, time::Duration};

/// Counters of a node at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct NodeSample {
    /// Control bytes sent.
    pub bytes: f64,
    /// Control messages sent.
    pub messages: f64,
    /// Processor time of all threads.
    pub cpu: Duration,
}

/// Reads a node's counters.
pub(super) fn sample(process: u32, admin: SocketAddr) -> NodeSample {
    let sent = attohttpc::get(format!("http://{admin}/metrics")).send();
    let text = sent.and_then(attohttpc::Response::text).unwrap_or_default();
    NodeSample {
        bytes: counter(&text, "geranium_control_bytes_total"),
        messages: counter(&text, "geranium_control_messages_total"),
        cpu: cpu_time(process),
    }
}

fn counter(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    let outgoing = lines.filter(|line| line.contains("direction=\"out\""));
    outgoing
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Sums the time on a processor of all live threads of a process.
pub(super) fn cpu_time(process: u32) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else {
        return Duration::ZERO;
    };
    let of_thread = |entry: fs::DirEntry| {
        let text = fs::read_to_string(entry.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    Duration::from_nanos(threads.filter_map(Result::ok).filter_map(of_thread).sum())
}

/// Reads a line of `/proc/PROCESS/status`, as `VmRSS` in KiB or `Threads`.
pub(super) fn status_line(process: u32, name: &str) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or_default()
}
