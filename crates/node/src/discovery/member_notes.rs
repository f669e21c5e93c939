//! Log lines about announcements.

use std::{fmt, net::SocketAddr};

use slog::{Logger, info};

use crate::{
    member::{EndpointStart, MemberRecord, MemberState},
    store::Revision,
};

/// Most announcements that one line tells of; it stays shorter than what a pipe takes
/// in one piece.
const ROWS_MAX: usize = 24;

/// What the log tells of one announcement.
#[derive(Debug)]
pub(super) struct MemberRow {
    peer_addr: SocketAddr,
    start: EndpointStart,
    service: String,
    state: MemberState,
    revision: Revision,
}

impl MemberRow {
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

impl fmt::Display for MemberRow {
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

/// Announcements that came together, for the log.
///
/// Each node hears of each other one. With a line for every announcement the lines of
/// a fleet that starts grow with the square of its size.
#[derive(Debug, Default)]
pub(super) struct MemberNotes {
    rows: Vec<MemberRow>,
}

impl MemberNotes {
    pub(super) fn push(&mut self, row: MemberRow) {
        self.rows.push(row);
    }

    /// Writes the lines.
    pub(super) fn write(self, logger: &Logger) {
        for rows in self.rows.chunks(ROWS_MAX) {
            if let [row] = rows {
                write_one(logger, row);
            } else {
                write_many(logger, rows);
            }
        }
    }
}

fn write_one(logger: &Logger, row: &MemberRow) {
    let state: &'static str = row.state.into();
    info!(logger, "member announced";
        "at" => %row.peer_addr,
        "instance" => %row.start,
        "service" => &*row.service,
        "state" => state,
        "revision" => row.revision.0);
}

fn write_many(logger: &Logger, rows: &[MemberRow]) {
    let members: Vec<String> = rows.iter().map(ToString::to_string).collect();
    info!(logger, "members announced";
        "count" => rows.len(),
        "members" => members.join("; "));
}
