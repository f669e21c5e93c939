//! Telling a crash of the backend server from a broken connection.

use std::{cell::RefCell, io::ErrorKind, rc::Rc, time::Duration};

use slog::{info, warn};
use strum::IntoStaticStr;
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{sleep, timeout},
};

use super::{CRASH_PREFIX, CrashRow};
use crate::{
    member::EndpointStart,
    node_core::NodeCore,
    store::{MetaStore, Revision, StoreError, StoreWrite},
};

/// Time after a break in which further ones gather: a process that crashes
/// drops all its connections within a millisecond or two.
const GATHER: Duration = Duration::from_millis(50);
/// Longest look whether the backend server listens.
const LOOK_TIME: Duration = Duration::from_millis(250);
/// Time for which a crash stands in the store. Every node reads it within a
/// second or two and remembers it by itself.
const CRASH_LEASE: Duration = Duration::from_secs(30);

/// Runs whose connection broke before an answer.
#[derive(Debug, Default)]
pub struct BrokenRuns {
    runs: RefCell<Vec<BrokenRun>>,
    heard: Notify,
}

#[derive(Debug, PartialEq, Eq)]
struct BrokenRun {
    start: EndpointStart,
    print: u64,
}

impl From<BrokenRun> for CrashRow {
    fn from(run: BrokenRun) -> Self {
        Self {
            fingerprint: run.print,
            start: run.start,
        }
    }
}

impl BrokenRuns {
    /// Notes that the connection of a run broke.
    pub fn push(&self, start: EndpointStart, print: u64) {
        self.runs.borrow_mut().push(BrokenRun { start, print });
        self.heard.notify_one();
    }
}

/// Watches for crashes of the backend server until the node ends.
///
/// A request that crashes its backend server is told from one whose answer was lost by
/// whether the backend server still listens after its connections broke. One that crashed
/// doesn't listen for some seconds.
pub async fn watch_crashes(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    loop {
        core.door.broken().heard.notified().await;
        sleep(GATHER).await;
        let runs = core.door.broken().runs.take();
        let look = look_at_endpoint(&core).await;
        info!(core.log.logger(), "backend server's connections broke";
            "runs" => runs.len(),
            "look" => <&'static str>::from(look),
            "only_trials" => core.door.is_broken());
        if look != EndpointLook::Gone {
            continue;
        }
        let rows: Vec<CrashRow> = runs.into_iter().map(CrashRow::from).collect();
        warn!(core.log.logger(), "backend server crashed"; "runs" => rows.len());
        let now = core.clock.now();
        let published = publish(&*store, &core, &rows).await;
        let revision = match published {
            Ok(revision) => revision,
            Err(cause) => {
                warn!(core.log.logger(), "crash not told"; "cause" => %cause);
                Revision(0)
            }
        };
        for row in rows {
            core.crashes.borrow_mut().record(now, row, revision);
        }
    }
}

/// What a look at the backend server showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum EndpointLook {
    /// It listens.
    There,
    /// Nothing listens at its address.
    Gone,
    /// Nothing answers at its address, or something else is wrong: no proof
    /// of a crash.
    Unclear,
}

async fn look_at_endpoint(core: &NodeCore) -> EndpointLook {
    match timeout(LOOK_TIME, TcpStream::connect(core.settings.endpoint)).await {
        Ok(Ok(_)) => EndpointLook::There,
        Ok(Err(error)) => match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => EndpointLook::Gone,
            _ => EndpointLook::Unclear,
        },
        Err(_elapsed) => EndpointLook::Unclear,
    }
}

async fn publish(
    store: &impl MetaStore,
    core: &NodeCore,
    rows: &[CrashRow],
) -> Result<Revision, StoreError> {
    let Some(first) = rows.first() else {
        return Ok(Revision(0));
    };
    let value = serde_json::to_vec(rows).map_err(|error| StoreError::Unexpected {
        reason: error.to_string(),
    })?;
    core.metrics.store_call("tell-crash");
    let grant = store.grant(CRASH_LEASE).await?;
    let key = format!("{CRASH_PREFIX}{}", first.start);
    let revision = store
        .commit(&[StoreWrite::leased(&key, &value, Revision(0), grant.lease)])
        .await?;
    info!(core.log.logger(), "crash told"; "revision" => revision.0);
    Ok(revision)
}
