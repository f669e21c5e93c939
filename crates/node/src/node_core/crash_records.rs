//! Recording crashes of backend servers that this node learns of.

use std::{collections::HashMap, net::SocketAddr};

use slog::info;

use super::NodeCore;
use crate::{
    crash::{BreakCause, BreakDiagnosis, CrashRecord},
    store::Revision,
};

impl NodeCore {
    /// Records that a backend server crashed while it ran a request.
    ///
    /// `revision` is that of the record in the store, or 0 while it isn't known.
    pub fn record_crash(&self, record: CrashRecord, revision: Revision) {
        let fingerprint = record.fingerprint;
        let start = record.start.to_string();
        let now = self.clock.now();
        let is_new = self.crashes.borrow_mut().record(now, record, revision);
        if is_new {
            info!(self.log.logger(), "crash heard";
                "print" => format!("{fingerprint:016x}"),
                "instance" => start,
                "revision" => revision.0);
        }
    }

    /// Records the diagnosis of a connection that broke during one of this node's requests.
    ///
    /// Only a diagnosed crash changes anything.
    pub fn record_diagnosis(&self, fingerprint: u64, diagnosis: BreakDiagnosis) {
        if diagnosis.cause == BreakCause::Crashed {
            let record = CrashRecord {
                fingerprint,
                start: diagnosis.start,
                completions: 0,
            };
            self.record_crash(record, Revision(0));
        }
    }

    /// Returns the other nodes whose backend servers may get the same requests.
    ///
    /// These are the nodes of the local service and of services that share a route with it;
    /// none without a configuration.
    pub fn crash_peers(&self) -> Vec<SocketAddr> {
        let Some(config) = self.config.borrow().clone() else {
            return Vec::new();
        };
        let own_service = &*self.settings.service;
        let mut shares_route: HashMap<String, bool> =
            HashMap::from([(own_service.to_owned(), true)]);
        let fleet = self.fleet.borrow();
        let others = fleet
            .records()
            .filter(|record| record.peer_addr != self.settings.peer_addr);
        let peers = others.filter(|record| {
            let known = shares_route.get(&record.service).copied();
            known.unwrap_or_else(|| {
                let shared = config.have_common_route(own_service, &record.service);
                shares_route.insert(record.service.clone(), shared);
                shared
            })
        });
        peers.map(|record| record.peer_addr).collect()
    }
}
