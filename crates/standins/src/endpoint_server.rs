//! A backend server beside a node.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::{
    endpoint_fault::EndpointFault,
    http_server::{Reply, ServerThread, listen},
    run_record::RunRecord,
};

/// Text in a path that crashes a server with [`EndpointFault::CrashesOnRequest`].
const CRASH_MARK: &str = "crash";

/// How a backend server is. A request may ask for another time of a run by
/// `work` (milliseconds) and another answer by `bytes` in its query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointOptions {
    /// Identifier of it.
    pub instance: String,
    /// Unix milliseconds of its start.
    pub born_ms: u64,
    /// Time of a run.
    pub work: Duration,
    /// Bytes of an answer.
    pub response_bytes: usize,
    /// Whether its health check is good.
    pub healthy: bool,
    /// What it does wrong.
    pub fault: EndpointFault,
}

#[derive(Debug)]
struct EndpointShared {
    options: Mutex<EndpointOptions>,
    runs: Mutex<Vec<RunRecord>>,
}

/// A backend server.
#[derive(Debug)]
pub struct EndpointServer {
    shared: Arc<EndpointShared>,
    thread: ServerThread,
}

/// Marks a run as cancelled unless it was finished.
struct RunMark {
    shared: Arc<EndpointShared>,
    index: usize,
    finished: bool,
}

impl Drop for RunMark {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.runs.lock().expect("no test panicked")[self.index].cancelled = true;
        }
    }
}

impl EndpointServer {
    /// Starts a backend server on `addr`.
    ///
    /// # Panics
    ///
    /// Panics when the address is taken.
    pub fn start(addr: SocketAddr, options: EndpointOptions) -> Self {
        let shared = Arc::new(EndpointShared {
            options: Mutex::new(options),
            runs: Mutex::default(),
        });
        let served = Arc::clone(&shared);
        let thread = ServerThread::start(vec![listen(addr)], move |_, request| {
            serve(Arc::clone(&served), request)
        });
        Self { shared, thread }
    }

    /// Ends it with all its connections, and returns what it ran.
    ///
    /// # Panics
    ///
    /// Panics when another thread did while holding the runs.
    pub fn end(self) -> Vec<RunRecord> {
        let Self { shared, thread } = self;
        drop(thread);
        shared.runs.lock().expect("no test panicked").clone()
    }

    /// Whether it has crashed, and all its connections are closed.
    pub fn has_ended(&self) -> bool {
        self.thread.has_ended()
    }

    /// Whether a request that crashes servers has begun to run here. The server then ends
    /// by itself.
    ///
    /// # Panics
    ///
    /// Panics when another thread did while holding the runs.
    pub fn has_crashed(&self) -> bool {
        let faulty = self.options().fault == EndpointFault::CrashesOnRequest;
        faulty && self.runs().iter().any(|run| run.path.contains(CRASH_MARK))
    }

    /// Ends it with all its connections. What it ran can still be asked for.
    pub fn stop(&mut self) {
        self.thread.end();
    }

    /// Ends it, and starts it again on `addr` as `options` say. Returns what it ran before.
    ///
    /// # Panics
    ///
    /// Panics when the address is taken, or another thread did while holding the runs.
    pub fn restart(&mut self, addr: SocketAddr, options: EndpointOptions) -> Vec<RunRecord> {
        self.thread.end();
        let runs = self.runs();
        *self = Self::start(addr, options);
        runs
    }

    /// Returns how it is, to change that.
    ///
    /// # Panics
    ///
    /// Panics when another thread did while holding it.
    pub fn options(&self) -> MutexGuard<'_, EndpointOptions> {
        self.shared.options.lock().expect("no test panicked")
    }

    /// Returns what it ran.
    ///
    /// # Panics
    ///
    /// Panics when another thread did while holding the runs.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.shared.runs.lock().expect("no test panicked").clone()
    }
}

async fn serve(shared: Arc<EndpointShared>, request: Request<Incoming>) -> Reply {
    let options = shared.options.lock().expect("no test panicked").clone();
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
        let headers = [("x-geraniumspring-instance-id", &*options.instance)];
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
        began: Instant::now(),
        cancelled: false,
    };
    let index = {
        let mut runs = shared.runs.lock().expect("no test panicked");
        runs.push(record);
        runs.len() - 1
    };
    let mut mark = RunMark {
        shared,
        index,
        finished: false,
    };
    if options.fault == EndpointFault::CrashesOnRequest && head.uri.path().contains(CRASH_MARK) {
        return Reply::Crash;
    }
    if options.fault == EndpointFault::RestartsOnRequest && head.uri.path().contains(CRASH_MARK) {
        let mut options = mark.shared.options.lock().expect("no test panicked");
        options.born_ms += 1;
        return Reply::Hangup;
    }
    let asked = |name| figure(&head.uri, name);
    sleep(asked("work").map_or(options.work, Duration::from_millis)).await;
    mark.finished = true;
    let bytes = asked("bytes").map_or(options.response_bytes, |bytes| bytes as usize);
    run_answer(options.fault, bytes, &id, &body.to_bytes())
}

/// Returns a figure that the request's query names.
fn figure(uri: &Uri, name: &str) -> Option<u64> {
    let mut pairs = uri
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    let (_, text) = pairs.find(|(key, _)| *key == name)?;
    text.parse().ok()
}

fn run_answer(fault: EndpointFault, bytes: usize, id: &str, body: &Bytes) -> Reply {
    let signature = ("x-geraniumspring-response-signature", "3e1b.07");
    let echo = ("x-geraniumspring-request-id", id);
    let mut answer = body.to_vec();
    answer.resize(body.len() + bytes, b'a');
    let answer = Bytes::from(answer);
    match fault {
        EndpointFault::LosesAnswer => Reply::Hangup,
        EndpointFault::CrossesAnswer => {
            let other = ("x-geraniumspring-request-id", "another-request");
            reply(StatusCode::OK, &[signature, other], answer)
        }
        EndpointFault::Unsigned => reply(StatusCode::OK, &[echo], answer),
        EndpointFault::Encoded => reply(
            StatusCode::OK,
            &[signature, echo, ("content-encoding", "gzip")],
            answer,
        ),
        EndpointFault::Chunks => reply(
            StatusCode::OK,
            &[signature, echo, ("transfer-encoding", "chunked")],
            answer,
        ),
        EndpointFault::Fails => reply(
            StatusCode::INTERNAL_SERVER_ERROR,
            &[signature, echo],
            Bytes::new(),
        ),
        EndpointFault::Sound
        | EndpointFault::Sheds
        | EndpointFault::CrashesOnRequest
        | EndpointFault::RestartsOnRequest => reply(StatusCode::OK, &[signature, echo], answer),
    }
}

fn reply(status: StatusCode, headers: &[(&'static str, &str)], body: Bytes) -> Reply {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("a header value");
        response.headers_mut().insert(*name, value);
    }
    Reply::Answer(response)
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
