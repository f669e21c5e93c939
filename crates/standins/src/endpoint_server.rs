//! A stand-in for the backend server beside a node.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::sleep};

use crate::{
    caller::CallerRequest,
    endpoint_fault::EndpointFault,
    http_server::{Reply, ServerThread, listen},
    run_record::RunRecord,
};

/// Text in a request path that triggers [`EndpointFault::CrashesOnRequest`] and
/// [`EndpointFault::RestartsOnRequest`].
const CRASH_PATH_TEXT: &str = "crash";

/// Time that a run waits for the response to its nested call.
const NESTED_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Behaviour of a backend server. A request's query may override the run time with
/// `work` (milliseconds) and the response size with `bytes`. With a path in `call`, the run makes a
/// nested call at its end, and fails with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointOptions {
    /// Identifier of the backend server.
    pub instance: String,
    /// Start time, in Unix milliseconds.
    pub born_ms: u64,
    /// Time that each run takes.
    pub work: Duration,
    /// Bytes that a response adds to the request's body, which it echoes.
    pub response_bytes: usize,
    /// Whether the health check succeeds.
    pub healthy: bool,
    /// Fault that affects every request.
    pub fault: EndpointFault,
    /// Requests per second that every response names in `server-limit`; none for no such header.
    pub rate_limit: Option<String>,
    /// Load that every response reports in `x-geraniumspring-server-load`; none for no such header.
    pub server_load: Option<String>,
    /// Address at which the node beside the server takes its nested calls; none without a node.
    pub callers: Option<SocketAddr>,
    /// Whether every response says in `server-leaving` that the server is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct EndpointShared {
    options: Mutex<EndpointOptions>,
    runs: Mutex<Vec<RunRecord>>,
}

/// A backend server that records every request it runs.
#[derive(Debug)]
pub struct EndpointServer {
    shared: Arc<EndpointShared>,
    thread: ServerThread,
}

/// Position of a response's run among the recorded ones.
#[derive(Debug, Clone, Copy)]
struct RunIndex(usize);

/// Records a run as cancelled unless it finished before the guard is dropped.
struct RunGuard {
    shared: Arc<EndpointShared>,
    index: usize,
    finished: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.runs.lock().expect("not poisoned")[self.index].cancelled = true;
        }
    }
}

impl EndpointServer {
    /// Starts a backend server on `addr`.
    ///
    /// # Panics
    ///
    /// Panics if the address is in use.
    pub fn start(addr: SocketAddr, options: EndpointOptions) -> Self {
        let shared = Arc::new(EndpointShared {
            options: Mutex::new(options),
            runs: Mutex::default(),
        });
        let handler_shared = Arc::clone(&shared);
        let thread = ServerThread::start(vec![listen(addr)], move |_, request| {
            serve_with_notices(Arc::clone(&handler_shared), request)
        });
        Self { shared, thread }
    }

    /// Stops the server, closes its connections, and returns the recorded runs.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while holding the runs' lock.
    pub fn end(self) -> Vec<RunRecord> {
        let Self { shared, thread } = self;
        drop(thread);
        shared.runs.lock().expect("not poisoned").clone()
    }

    /// Whether the server has crashed and all its connections are closed.
    pub fn has_ended(&self) -> bool {
        self.thread.has_ended()
    }

    /// Whether a request that crashes servers has started to run here. The server then
    /// stops by itself.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while holding the runs' lock.
    pub fn has_crashed(&self) -> bool {
        let faulty = self.options().fault == EndpointFault::CrashesOnRequest;
        faulty
            && self
                .runs()
                .iter()
                .any(|run| run.path.contains(CRASH_PATH_TEXT))
    }

    /// Stops the server and closes its connections. [`EndpointServer::runs`] still
    /// works afterwards.
    pub fn stop(&mut self) {
        self.thread.end();
    }

    /// Restarts the server on `addr` with new options. Returns the runs recorded
    /// before.
    ///
    /// # Panics
    ///
    /// Panics if the address is in use, or another thread panicked while holding the
    /// runs' lock.
    pub fn restart(&mut self, addr: SocketAddr, options: EndpointOptions) -> Vec<RunRecord> {
        self.thread.end();
        let runs = self.runs();
        *self = Self::start(addr, options);
        runs
    }

    /// Locks the options; changes apply to later requests.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while holding the options' lock.
    pub fn options(&self) -> MutexGuard<'_, EndpointOptions> {
        self.shared.options.lock().expect("not poisoned")
    }

    /// Returns the recorded runs.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while holding the runs' lock.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.shared.runs.lock().expect("not poisoned").clone()
    }
}

/// Serves a request and adds what the server says of itself in all responses.
async fn serve_with_notices(shared: Arc<EndpointShared>, request: Request<Incoming>) -> Reply {
    let mut reply = serve(Arc::clone(&shared), request).await;
    let options = shared.options.lock().expect("not poisoned");
    if let Reply::Response(response) = &mut reply {
        if let Some(&RunIndex(index)) = response.extensions().get() {
            shared.runs.lock().expect("not poisoned")[index].said_leaving = options.leaving;
        }
        let headers = response.headers_mut();
        if let Some(limit) = &options.rate_limit {
            let value = HeaderValue::from_str(limit).expect("the value is valid in a header");
            headers.insert("server-limit", value);
        }
        if let Some(load) = &options.server_load {
            let value = HeaderValue::from_str(load).expect("the value is valid in a header");
            headers.insert("x-geraniumspring-server-load", value);
        }
        if options.leaving {
            headers.insert("server-leaving", HeaderValue::from_static("1"));
        }
    }
    reply
}

async fn serve(shared: Arc<EndpointShared>, request: Request<Incoming>) -> Reply {
    let options = shared.options.lock().expect("not poisoned").clone();
    let (head, body) = request.into_parts();
    if head.uri.path() == "/health" {
        let status = if options.healthy {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let headers = [("x-geraniumspring-instance-id", &*options.instance)];
        return reply(status, &headers, Bytes::new());
    }
    let id = text(&head.headers, "x-geraniumspring-request-id");
    let expected = text(&head.headers, "x-geraniumspring-expected-instance");
    if !expected.is_empty() && expected != options.instance {
        let headers = [
            ("x-geraniumspring-instance-id", &*options.instance),
            ("x-geraniumspring-request-id", &*id),
        ];
        return reply(StatusCode::MISDIRECTED_REQUEST, &headers, Bytes::new());
    }
    if options.fault == EndpointFault::Sheds {
        let headers = [
            ("x-geraniumspring-not-executed", "1"),
            ("x-geraniumspring-request-id", &*id),
        ];
        return reply(StatusCode::SERVICE_UNAVAILABLE, &headers, Bytes::new());
    }
    let Ok(body) = body.collect().await else {
        return Reply::Hangup;
    };
    let record = RunRecord {
        request: id.clone(),
        instance: options.instance.clone(),
        born_ms: options.born_ms,
        path: head.uri.to_string(),
        caller_service: text(&head.headers, "x-geraniumspring-caller-service"),
        deadline_ms: text(&head.headers, "x-geraniumspring-deadline-ms")
            .parse()
            .unwrap_or(0),
        headers: header_lines(&head.headers),
        began: Instant::now(),
        cancelled: false,
        said_leaving: false,
    };
    let index = {
        let mut runs = shared.runs.lock().expect("not poisoned");
        runs.push(record);
        runs.len() - 1
    };
    let mut guard = RunGuard {
        shared,
        index,
        finished: false,
    };
    if options.fault == EndpointFault::CrashesOnRequest && head.uri.path().contains(CRASH_PATH_TEXT)
    {
        return Reply::Crash;
    }
    if options.fault == EndpointFault::RestartsOnRequest
        && head.uri.path().contains(CRASH_PATH_TEXT)
    {
        let mut options = guard.shared.options.lock().expect("not poisoned");
        options.born_ms += 1;
        return Reply::Hangup;
    }
    let requested = |name| query_number(&head.uri, name);
    sleep(requested("work").map_or(options.work, Duration::from_millis)).await;
    if let (Some(path), Some(callers)) = (query_text(&head.uri, "call"), options.callers)
        && !call_succeeds(callers, path, &id).await
    {
        guard.finished = true;
        return run_response(EndpointFault::Fails, 0, &id, &Bytes::new());
    }
    guard.finished = true;
    let bytes = requested("bytes").map_or(options.response_bytes, |bytes| bytes as usize);
    let mut reply = run_response(options.fault, bytes, &id, &body.to_bytes());
    if let Reply::Response(response) = &mut reply {
        response.extensions_mut().insert(RunIndex(index));
    }
    reply
}

/// Makes a nested call of the run of request `id`, and returns whether it succeeds.
async fn call_succeeds(callers: SocketAddr, path: &str, id: &str) -> bool {
    let call = CallerRequest {
        id: format!("{id}-nested"),
        method: Method::GET,
        path: path.to_owned(),
        deadline: NESTED_CALL_TIMEOUT,
        body: String::new(),
    };
    let Ok(stream) = TcpStream::connect(callers).await else {
        return false;
    };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return false;
    };
    tokio::spawn(connection);
    let response = sender.send_request(call.request()).await;
    response.is_ok_and(|response| response.status().is_success())
}

/// Returns a number from the request's query; `None` if it is missing or malformed.
fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    query_text(uri, name)?.parse().ok()
}

/// Returns a text from the request's query; `None` if it is missing.
fn query_text<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let mut pairs = uri
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, text)| text)
}

fn run_response(fault: EndpointFault, bytes: usize, id: &str, body: &Bytes) -> Reply {
    let signature = ("x-geraniumspring-response-signature", "3e1b.07");
    let echo = ("x-geraniumspring-request-id", id);
    let mut response_body = body.to_vec();
    response_body.resize(body.len() + bytes, b'a');
    let response_body = Bytes::from(response_body);
    match fault {
        EndpointFault::LosesAnswer => Reply::Hangup,
        EndpointFault::CrossesAnswer => {
            let other = ("x-geraniumspring-request-id", "another-request");
            reply(StatusCode::OK, &[signature, other], response_body)
        }
        EndpointFault::CrossesRefusal => {
            let other = ("x-geraniumspring-request-id", "another-request");
            reply(StatusCode::MISDIRECTED_REQUEST, &[other], Bytes::new())
        }
        EndpointFault::Unsigned => reply(StatusCode::OK, &[echo], response_body),
        EndpointFault::Encoded => reply(
            StatusCode::OK,
            &[signature, echo, ("content-encoding", "gzip")],
            response_body,
        ),
        EndpointFault::Chunks => reply(
            StatusCode::OK,
            &[signature, echo, ("transfer-encoding", "chunked")],
            response_body,
        ),
        EndpointFault::Fails => reply(
            StatusCode::INTERNAL_SERVER_ERROR,
            &[signature, echo],
            Bytes::new(),
        ),
        EndpointFault::Sound
        | EndpointFault::Sheds
        | EndpointFault::CrashesOnRequest
        | EndpointFault::RestartsOnRequest => {
            reply(StatusCode::OK, &[signature, echo], response_body)
        }
    }
}

fn reply(status: StatusCode, headers: &[(&'static str, &str)], body: Bytes) -> Reply {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("the value is valid in a header");
        response.headers_mut().insert(*name, value);
    }
    Reply::Response(response)
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn header_lines(headers: &HeaderMap) -> Vec<(String, String)> {
    let lines = headers.iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        (name.as_str().to_owned(), value.into_owned())
    });
    lines.collect()
}
