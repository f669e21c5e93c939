//! A stand-in for the store: its HTTP protocol.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    http_server::{Reply, ServerThread, listen},
    kv_fault::KvFault,
    kv_state::{KvState, with_raw_values},
};

/// Interval at which a waiting watch polls for events.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a silent port closes a connection, far beyond every client's
/// timeout.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct KvShared {
    state: Mutex<KvState>,
    faults: Mutex<Vec<KvFault>>,
}

/// A stand-in for the metadata store.
#[derive(Debug)]
pub struct KvServer {
    shared: Arc<KvShared>,
    addrs: Vec<SocketAddr>,
    _thread: ServerThread,
}

impl KvServer {
    /// Starts a store on free addresses.
    ///
    /// The store has `ports` ports for nodes and one more for operators.
    ///
    /// # Panics
    ///
    /// Panics if no address is free.
    pub fn start(ports: usize) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listeners: Vec<_> = (0..=ports).map(|_| listen(any)).collect();
        let addrs = listeners.iter().map(std::net::TcpListener::local_addr);
        let addrs = addrs.map(|addr| addr.expect("a bound listener has an address"));
        let addrs = addrs.collect();
        let shared = Arc::new(KvShared::default());
        shared
            .faults
            .lock()
            .expect("not poisoned")
            .resize(ports + 1, KvFault::Sound);
        let handler_shared = Arc::clone(&shared);
        let thread = ServerThread::start(listeners, move |port_index, request| {
            serve(Arc::clone(&handler_shared), port_index, request)
        });
        Self {
            shared,
            addrs,
            _thread: thread,
        }
    }

    /// Returns the address of the port with this index.
    ///
    /// # Panics
    ///
    /// Panics if there is no such port.
    pub fn addr(&self, port_index: usize) -> SocketAddr {
        self.addrs[port_index]
    }

    /// Returns the address of the operators' port. Only on this port may keys under
    /// `op/` and `servers/` be written.
    ///
    /// # Panics
    ///
    /// Never panics: every store has this port.
    pub fn operator_addr(&self) -> SocketAddr {
        *self.addrs.last().expect("a store has an operators' port")
    }

    /// Locks the contents of the store.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while holding the contents' lock.
    pub fn state(&self) -> MutexGuard<'_, KvState> {
        self.shared.state.lock().expect("not poisoned")
    }

    /// Sets the fault of the port with this index.
    ///
    /// # Panics
    ///
    /// Panics if there is no such port.
    pub fn set_fault(&self, port_index: usize, fault: KvFault) {
        self.shared.faults.lock().expect("not poisoned")[port_index] = fault;
    }

    /// Sets the same fault for every node port.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while holding the faults' lock.
    pub fn set_faults(&self, fault: KvFault) {
        let mut faults = self.shared.faults.lock().expect("not poisoned");
        let nodes = faults.len() - 1;
        faults[..nodes].fill(fault);
    }
}

impl KvShared {
    fn state(&self) -> MutexGuard<'_, KvState> {
        self.state.lock().expect("not poisoned")
    }

    fn is_operator(&self, port_index: usize) -> bool {
        port_index + 1 == self.faults.lock().expect("not poisoned").len()
    }

    fn fault(&self, port_index: usize) -> KvFault {
        self.faults.lock().expect("not poisoned")[port_index]
    }
}

/// Executes a call and adds the store's era to its response.
async fn serve(shared: Arc<KvShared>, port_index: usize, request: Request<Incoming>) -> Reply {
    let mut outcome = serve_call(Arc::clone(&shared), port_index, request).await;
    if let Reply::Response(response) = &mut outcome {
        let era = HeaderValue::from(shared.state().era());
        response.headers_mut().insert("store-era", era);
    }
    outcome
}

async fn serve_call(shared: Arc<KvShared>, port_index: usize, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Reply::Hangup;
    };
    let call = KvCall {
        write: head.method != Method::GET,
        operator: shared.is_operator(port_index),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        body: serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
    };
    shared.state().count(&call.kind());
    let fault = shared.fault(port_index);
    match fault {
        KvFault::Busy => return reply((503, Value::Null)),
        KvFault::Limited => return reply((429, Value::Null)),
        KvFault::Reset => return Reply::Hangup,
        KvFault::Silent => return hang_silently().await,
        KvFault::Late(after) if call.write => {
            tokio::spawn(async move {
                sleep(after).await;
                call.apply(&mut shared.state());
            });
            return hang_silently().await;
        }
        KvFault::Slow(after) => sleep(after).await,
        _ => {}
    }
    let done = if call.path == "/kv-watch" {
        call.watch(&shared, port_index).await
    } else {
        call.apply(&mut shared.state())
    };
    match fault {
        KvFault::Lost if call.write => hang_silently().await,
        KvFault::Garbled => {
            Reply::Response(Response::new(Full::new(Bytes::from_static(b"<html>"))))
        }
        _ => reply(done),
    }
}

async fn hang_silently() -> Reply {
    sleep(SILENCE_TIMEOUT).await;
    Reply::Hangup
}

fn reply((status, body): (u16, Value)) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(with_raw_values(body.to_string()))));
    *response.status_mut() = StatusCode::from_u16(status).expect("the status is valid");
    Reply::Response(response)
}

struct KvCall {
    write: bool,
    /// Whether the call came in on the operators' port.
    operator: bool,
    path: String,
    query: String,
    body: Value,
}

impl KvCall {
    fn kind(&self) -> String {
        let mut parts = self.path.split('/');
        parts.nth(1).unwrap_or_default().to_owned()
    }

    fn query(&self, name: &str) -> &str {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut values = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value);
        values.next().unwrap_or_default()
    }

    /// Whether the call allows a serializable read, which may return slightly old data.
    fn is_serializable(&self) -> bool {
        self.query("Serializable") == "1"
    }

    fn id(&self) -> u64 {
        let id = self.path.rsplit('/').next().unwrap_or_default();
        id.parse().unwrap_or(0)
    }

    fn apply(&self, state: &mut KvState) -> (u16, Value) {
        state.expire();
        match &*self.kind() {
            "kv-key" => state.read(self.query("Key"), self.is_serializable()),
            "kv-range" => state.range(
                self.query("Prefix"),
                self.query("after"),
                self.is_serializable(),
            ),
            "kv-txn" => state.transact(&self.body, self.operator),
            "kv-lease" => state.grant(self.body["TtlS"].as_f64().unwrap_or(1.0)),
            "kv-keep" => state.keep(self.id()),
            "kv-lease-end" => state.end_lease(self.id()),
            _ => (404, Value::Null),
        }
    }

    /// Waits for events after the given revision. A fault that starts meanwhile ends
    /// the watch with status 503.
    async fn watch(&self, shared: &KvShared, port_index: usize) -> (u16, Value) {
        let after = self.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(self.query("WaitMs").parse().unwrap_or(0));
        let begun = Instant::now();
        while begun.elapsed() < wait {
            let fault = shared.fault(port_index);
            if !matches!(fault, KvFault::Sound | KvFault::SilentWatches) {
                return (503, Value::Null);
            }
            if fault == KvFault::Sound {
                let mut state = shared.state();
                state.expire();
                if let Some(done) = state.watch(self.query("Prefix"), after) {
                    return done;
                }
            }
            sleep(WATCH_POLL_INTERVAL).await;
        }
        shared.state().watch_ended()
    }
}
