//! The threads that call the platform on the control thread's behalf.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
};

use crossbeam::channel::{Receiver, Sender, bounded};
use geranium_model::{InForce, platform_keys};
use geranium_platform::{Entry, PlatformError, PlatformStore, Revision, WatchAnswer};
use geranium_spread::{InForceRead, PlatformCall, PlatformReport};

use super::ControlEvent;
use crate::metrics::NodeMetrics;

/// Calls that may wait; the core makes few, under its own budget.
const RING_LENGTH: usize = 16;
/// Tries of a compare-and-swap that another keeper's write crossed. The seeds
/// are the same for all keepers, so losing is as good as winning.
const SEEDS_TRIES: usize = 2;

/// Sends calls to two threads: watches wait long, the others must not wait
/// behind them.
#[derive(Debug)]
pub struct PlatformDuty {
    watches: Sender<PlatformCall>,
    others: Sender<PlatformCall>,
    reports: Sender<ControlEvent>,
}

impl PlatformDuty {
    /// Starts both threads.
    ///
    /// # Errors
    ///
    /// When a thread can't be started.
    pub fn start(
        store: &Arc<dyn PlatformStore>,
        reports: Sender<ControlEvent>,
        metrics: &Arc<NodeMetrics>,
    ) -> std::io::Result<Self> {
        let spawn = |name: &str| -> std::io::Result<Sender<PlatformCall>> {
            let (sender, receiver) = bounded(RING_LENGTH);
            let caller = PlatformCaller {
                store: Arc::clone(store),
                reports: reports.clone(),
                metrics: Arc::clone(metrics),
            };
            let _: JoinHandle<()> = thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || caller.run(receiver))?;
            Ok(sender)
        };
        let (watches, others) = (spawn("platform-watch")?, spawn("platform-call")?);
        Ok(Self {
            watches,
            others,
            reports,
        })
    }

    /// Hands a call to its thread; one that finds no place has failed.
    pub fn submit(&self, call: PlatformCall) {
        let ring = if call.is_watch() {
            &self.watches
        } else {
            &self.others
        };
        if let Err(error) = ring.try_send(call) {
            let report = PlatformReport::Failed {
                call: error.into_inner(),
            };
            let _ = self
                .reports
                .try_send(ControlEvent::Platform(Box::new(report)));
        }
    }
}

struct PlatformCaller {
    store: Arc<dyn PlatformStore>,
    reports: Sender<ControlEvent>,
    metrics: Arc<NodeMetrics>,
}

impl PlatformCaller {
    fn run(self, calls: Receiver<PlatformCall>) {
        for call in calls {
            let kind = kind_of(&call);
            let result = self.carry_out(&call);
            self.metrics.platform_call(kind, result.is_ok());
            let report = result.unwrap_or(PlatformReport::Failed { call });
            if self
                .reports
                .send(ControlEvent::Platform(Box::new(report)))
                .is_err()
            {
                return;
            }
        }
    }

    fn carry_out(&self, call: &PlatformCall) -> Result<PlatformReport, PlatformError> {
        match call {
            PlatformCall::ReadInForce => {
                let entry = self.store.get(platform_keys::IN_FORCE)?;
                Ok(in_force_report(entry.as_ref(), false))
            }
            PlatformCall::WatchInForce {
                after_revision,
                wait,
            } => {
                let after = Revision::new(*after_revision);
                let answer = self.store.watch(platform_keys::IN_FORCE, after, *wait)?;
                Ok(watch_report(&answer, *after_revision))
            }
            PlatformCall::ReadContent(digest) => {
                let entry = self.store.get(&platform_keys::content(*digest))?;
                let bytes = entry.map(|entry| entry.value);
                Ok(PlatformReport::Content {
                    digest: *digest,
                    bytes,
                })
            }
            PlatformCall::ReadSeeds(data_centre) => {
                let entry = self.store.get(&platform_keys::seeds(data_centre))?;
                let value = entry.map(|entry| entry.value);
                Ok(PlatformReport::Seeds {
                    data_centre: data_centre.clone(),
                    value,
                })
            }
            PlatformCall::WriteSeeds { data_centre, value } => {
                self.write_seeds(&platform_keys::seeds(data_centre), value)?;
                Ok(PlatformReport::SeedsWritten {
                    data_centre: data_centre.clone(),
                })
            }
        }
    }

    fn write_seeds(&self, key: &str, value: &[u8]) -> Result<(), PlatformError> {
        for _ in 0..SEEDS_TRIES {
            let current = self.store.get(key)?;
            if current.as_ref().is_some_and(|entry| entry.value == value) {
                return Ok(());
            }
            let expected = current.map_or(Revision::NONE, |entry| entry.revision);
            let answer = self.store.compare_and_swap(key, expected, value, None)?;
            if matches!(answer, geranium_platform::CasAnswer::Swapped { .. }) {
                return Ok(());
            }
        }
        Ok(())
    }
}

const fn kind_of(call: &PlatformCall) -> &'static str {
    match call {
        PlatformCall::ReadInForce => "read-in-force",
        PlatformCall::WatchInForce { .. } => "watch-in-force",
        PlatformCall::ReadContent(_) => "read-content",
        PlatformCall::ReadSeeds(_) => "read-seeds",
        PlatformCall::WriteSeeds { .. } => "write-seeds",
    }
}

fn in_force_report(entry: Option<&Entry>, watched: bool) -> PlatformReport {
    let Some(entry) = entry else {
        return PlatformReport::InForce {
            watched,
            revision: 0,
            record: InForceRead::Absent,
        };
    };
    let record = match serde_json::from_slice::<InForce>(&entry.value) {
        Ok(record) => InForceRead::Record(record),
        Err(error) => InForceRead::Malformed {
            reason: error.to_string(),
        },
    };
    PlatformReport::InForce {
        watched,
        revision: entry.revision.get(),
        record,
    }
}

fn watch_report(answer: &WatchAnswer, after_revision: u64) -> PlatformReport {
    match answer {
        WatchAnswer::Changed(entry) => in_force_report(Some(entry), true),
        WatchAnswer::Deleted { revision } => PlatformReport::InForce {
            watched: true,
            revision: revision.get(),
            record: InForceRead::Absent,
        },
        WatchAnswer::Unchanged => PlatformReport::Unchanged {
            revision: after_revision,
        },
    }
}
