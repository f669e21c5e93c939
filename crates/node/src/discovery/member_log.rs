//! Log events about announcements of members.

use std::{fmt, net::SocketAddr};

use slog::{Logger, info};

use crate::{
    member::{EndpointStart, MemberRecord, MemberState},
    store::Revision,
};

/// Maximum number of announcements in one log line. The line stays shorter than what a pipe
/// writes atomically.
const ENTRIES_PER_LINE_MAX: usize = 24;

/// Fields of one announcement that the log shows.
#[derive(Debug)]
pub(super) struct MemberLogEntry {
    peer_addr: SocketAddr,
    start: EndpointStart,
    service: String,
    state: MemberState,
    revision: Revision,
}

impl MemberLogEntry {
    pub(super) fn new(record: &MemberRecord, revision: Revision) -> Self {
        Self {
            peer_addr: record.peer_addr,
            start: record.start.clone(),
            service: record.service.clone(),
            state: record.state,
            revision,
        }
    }
}

impl fmt::Display for MemberLogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state: &'static str = self.state.into();
        let (peer_addr, revision) = (self.peer_addr, self.revision);
        write!(
            f,
            "{peer_addr} {revision} {state} {} {}",
            self.service, self.start
        )
    }
}

/// Announcements that arrived together and share log lines.
///
/// Each node learns of each other one. With a line for every announcement, the number of
/// lines that a starting fleet writes would grow with the square of its size.
#[derive(Debug, Default)]
pub(super) struct MemberLog {
    entries: Vec<MemberLogEntry>,
}

impl MemberLog {
    pub(super) fn push(&mut self, entry: MemberLogEntry) {
        self.entries.push(entry);
    }

    /// Writes the announcements to the log.
    pub(super) fn write(self, logger: &Logger) {
        for entries in self.entries.chunks(ENTRIES_PER_LINE_MAX) {
            if let [entry] = entries {
                write_one(logger, entry);
            } else {
                write_many(logger, entries);
            }
        }
    }
}

fn write_one(logger: &Logger, entry: &MemberLogEntry) {
    let state: &'static str = entry.state.into();
    info!(logger, "member announced";
        "at" => %entry.peer_addr,
        "instance" => %entry.start,
        "service" => &*entry.service,
        "state" => state,
        "revision" => entry.revision.0);
}

fn write_many(logger: &Logger, entries: &[MemberLogEntry]) {
    let members: Vec<String> = entries.iter().map(ToString::to_string).collect();
    info!(logger, "members announced";
        "count" => entries.len(),
        "members" => members.join("; "));
}
