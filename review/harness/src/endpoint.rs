//! Backend server beside a node, as PROTOCOL.md describes one.

use std::{
    io::{self, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use geranium_standins::{Heartbeat, HeartbeatState, Machine};

use crate::{
    http::{Message, exchange, read_message},
    record::{Record, Run},
};

/// Interval between heartbeats (`HeartbeatS` of the settings).
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time between looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Runs a request and returns its answer. The flag says whether an earlier request was answered on
/// the connection.
pub type Serve =
    dyn Fn(&Endpoint, &Message, bool, &mut TcpStream) -> io::Result<Vec<u8>> + Send + Sync;

/// Backend server beside a node.
pub struct Endpoint {
    pub machine: Machine,
    pub record: Arc<Record>,
    pub instance: Mutex<String>,
    pub service: Mutex<String>,
    pub work: Mutex<Duration>,
    pub born_ms: AtomicU64,
    pub sequence: AtomicU64,
    /// Whether heartbeats are sent.
    pub beats: AtomicBool,
    pub is_leaving: AtomicBool,
    serve: Box<Serve>,
    has_crashed: AtomicBool,
    /// Open connections, which a crash closes.
    connections: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    /// Starts a backend server that runs requests with `serve`, and its heartbeats.
    pub fn start(machine: Machine, record: Arc<Record>, serve: Box<Serve>) -> Arc<Self> {
        let instance = format!("i-{}", machine.addrs.endpoint.ip()).replace('.', "-");
        let endpoint = Arc::new(Self {
            service: Mutex::new(machine.service.clone()),
            machine,
            record,
            instance: Mutex::new(instance),
            work: Mutex::new(Duration::from_millis(20)),
            born_ms: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            serve,
            has_crashed: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        endpoint.listen();
        let beating = Arc::clone(&endpoint);
        thread::spawn(move || {
            loop {
                if beating.beats.load(Ordering::SeqCst) && !beating.has_crashed() {
                    beating.send_heartbeat();
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        endpoint
    }

    /// Accepts connections until the endpoint crashes.
    fn listen(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.machine.addrs.endpoint);
        let listener = listener.expect("the endpoint's address is free");
        let polled = listener.set_nonblocking(true);
        polled.expect("the listener can be polled");
        let server = Arc::clone(self);
        thread::spawn(move || {
            while !server.has_crashed() {
                match listener.accept() {
                    Ok((stream, _)) => server.accept(stream),
                    Err(_) => thread::sleep(ACCEPT_INTERVAL),
                }
            }
        });
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) {
        if stream.set_nonblocking(false).is_err() {
            return;
        }
        if let Ok(clone) = stream.try_clone() {
            self.connections.lock().unwrap().push(clone);
        }
        let server = Arc::clone(self);
        thread::spawn(move || drop(server.serve_connection(stream)));
    }

    /// Ends like a process that crashes: connections close, and none is accepted.
    pub fn crash(&self) {
        let instance = self.instance.lock().unwrap().clone();
        self.record.note(&format!("crash    {instance}"));
        self.has_crashed.store(true, Ordering::SeqCst);
        // The listener is closed within its poll interval.
        thread::sleep(2 * ACCEPT_INTERVAL);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _closed = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    /// Starts a new lifetime of a crashed endpoint, under a new id.
    pub fn start_again(self: &Arc<Self>) {
        *self.instance.lock().unwrap() += "-next";
        self.born_ms.store(unix_ms(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.has_crashed.store(false, Ordering::SeqCst);
        self.listen();
        let status = self.send_heartbeat();
        let instance = self.instance.lock().unwrap().clone();
        self.record
            .note(&format!("{instance} starts; heartbeat answered {status}"));
    }

    /// Returns the next heartbeat, which says `ready`.
    pub fn next_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            instance: self.instance.lock().unwrap().clone(),
            born_ms: Some(self.born_ms.load(Ordering::SeqCst)),
            service: self.service.lock().unwrap().clone(),
            address: self.machine.addrs.endpoint,
            data_centre: self.machine.data_centre.clone(),
            version: "v1".to_owned(),
            slots: 12,
            state: HeartbeatState::Ready,
            sequence: self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
        }
    }

    /// Sends a heartbeat and returns the status of the answer.
    pub fn send_heartbeat(&self) -> u16 {
        let heartbeat = self.next_heartbeat();
        self.post(&heartbeat.path(), &heartbeat.body())
    }

    /// Posts to the node's `Admin` address and returns the status; 0 without an answer.
    pub fn post(&self, path: &str, body: &str) -> u16 {
        let headers = [("Host", "node"), ("Content-Type", "application/json")];
        let answer = exchange(
            self.machine.addrs.admin,
            "POST",
            path,
            &headers,
            body.as_bytes(),
        );
        answer.map_or(0, |answer| answer.status())
    }

    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut input = Vec::new();
        let mut has_answered = false;
        while let Some(request) = read_message(&mut stream, &mut input)? {
            let answer = self.answer(&request, has_answered, &mut stream)?;
            stream.write_all(&answer)?;
            has_answered = true;
        }
        Ok(())
    }

    fn answer(
        &self,
        request: &Message,
        has_answered: bool,
        stream: &mut TcpStream,
    ) -> io::Result<Vec<u8>> {
        let instance = self.instance.lock().unwrap().clone();
        let id = request.header("x-geraniumspring-request-id");
        if request.path() == "/health" {
            let leaves = self.is_leaving.load(Ordering::SeqCst);
            let headers = [("X-Geraniumspring-Instance-Id", &*instance)];
            return Ok(answer(if leaves { 503 } else { 200 }, &headers, b""));
        }
        let expected = request.header("x-geraniumspring-expected-instance");
        if !expected.is_empty() && expected != instance {
            return Ok(refusal_421(id, &instance));
        }
        self.record.run(Run {
            id: id.to_owned(),
            instance,
            began: Instant::now(),
        });
        (self.serve)(self, request, has_answered, stream)
    }
}

/// Runs a request soundly: works, and answers 200 with the receipt.
pub fn serve_soundly(
    endpoint: &Endpoint,
    request: &Message,
    _has_answered: bool,
    _stream: &mut TcpStream,
) -> io::Result<Vec<u8>> {
    let work = *endpoint.work.lock().unwrap();
    thread::sleep(work);
    Ok(success(request.header("x-geraniumspring-request-id")))
}

/// Returns the answer to a request that ran to a good end.
pub fn success(id: &str) -> Vec<u8> {
    let headers = [
        ("X-Geraniumspring-Request-Id", id),
        ("X-Geraniumspring-Response-Signature", "3e1b.07.5a2"),
    ];
    answer(200, &headers, b"done")
}

/// Returns the refusal of a request that names another endpoint.
pub fn refusal_421(id: &str, instance: &str) -> Vec<u8> {
    let headers = [
        ("X-Geraniumspring-Request-Id", id),
        ("X-Geraniumspring-Instance-Id", instance),
        ("X-Geraniumspring-Not-Executed", "1"),
    ];
    answer(421, &headers, b"")
}

/// Returns the bytes of an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} x\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    [text.as_bytes(), body].concat()
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
