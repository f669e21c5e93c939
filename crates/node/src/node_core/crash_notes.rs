//! What this node hears of crashes of backend servers.

use std::{collections::HashMap, net::SocketAddr};

use slog::info;

use super::NodeCore;
use crate::{
    crash::{BreakCause, BreakDiagnosis, CrashRecord},
    store::Revision,
};

impl NodeCore {
    /// Takes in that a backend server crashed while it ran a request. The revision is that
    /// of the row in the store, 0 while it isn't known.
    pub fn record_crash(&self, row: CrashRecord, revision: Revision) {
        let fingerprint = row.fingerprint;
        let start = row.start.to_string();
        let now = self.clock.now();
        let new = self.crashes.borrow_mut().record(now, row, revision);
        if new {
            info!(self.log.logger(), "crash heard";
                "print" => format!("{fingerprint:016x}"),
                "instance" => start,
                "revision" => revision.0);
        }
    }

    /// Takes in what was found of the backend server that broke a request of this node.
    pub fn record_diagnosis(&self, fingerprint: u64, diagnosis: BreakDiagnosis) {
        if diagnosis.cause == BreakCause::Crashed {
            let row = CrashRecord {
                fingerprint,
                start: diagnosis.start,
            };
            self.record_crash(row, Revision(0));
        }
    }

    /// Returns the other nodes whose backend servers get the requests that this one gets:
    /// those of its service, and of services that share a route with it.
    pub fn crash_peers(&self) -> Vec<SocketAddr> {
        let Some(config) = self.config.borrow().clone() else {
            return Vec::new();
        };
        let own = &*self.settings.service;
        let mut sharing: HashMap<String, bool> = HashMap::from([(own.to_owned(), true)]);
        let fleet = self.fleet.borrow();
        let others = fleet
            .records()
            .filter(|record| record.peer_addr != self.settings.peer_addr);
        let peers = others.filter(|record| {
            let known = sharing.get(&record.service).copied();
            known.unwrap_or_else(|| {
                let together = config.have_common_route(own, &record.service);
                sharing.insert(record.service.clone(), together);
                together
            })
        });
        peers.map(|record| record.peer_addr).collect()
    }
}
