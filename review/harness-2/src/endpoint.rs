//! Stand-in for an application endpoint, with its heartbeats.

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::Machine,
    http::{self, Call},
};

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A request that the endpoint began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
}

/// What an endpoint does with a request that it runs. It writes the answer, and returns whether the
/// connection stays open.
pub type Work = dyn Fn(&Run, &mut TcpStream) -> bool + Send + Sync;

/// A stand-in for an application endpoint.
pub struct Endpoint {
    pub id: String,
    pub runs: Mutex<Vec<Run>>,
    /// Whether the health path answers with 200.
    pub is_healthy: AtomicBool,
    /// Sequence number of the next heartbeat.
    pub sequence: AtomicU64,
    sends_heartbeats: AtomicBool,
    ended: AtomicBool,
    service: String,
    zone: String,
    version: String,
    addr: SocketAddr,
    admin: SocketAddr,
    slots: u32,
    connections: Mutex<Vec<TcpStream>>,
    work: Box<Work>,
}

impl Endpoint {
    /// Starts the endpoint of a machine, which sends heartbeats to the node there.
    pub fn start(machine: &Machine, version: &str, slots: u32, work: Box<Work>) -> Arc<Self> {
        let addr = machine.app_addr();
        let endpoint = Arc::new(Self {
            id: format!("i-{}", machine.name),
            runs: Mutex::default(),
            is_healthy: AtomicBool::new(true),
            sequence: AtomicU64::new(1),
            sends_heartbeats: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            version: version.to_owned(),
            addr,
            admin: machine.admin(),
            slots,
            connections: Mutex::default(),
            work,
        });
        let listener = TcpListener::bind(addr).unwrap_or_else(|error| {
            crate::cannot_run(&format!("the endpoint can't listen on {addr}: {error}"))
        });
        let shared = Arc::clone(&endpoint);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.ended.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        let shared = Arc::clone(&endpoint);
        thread::spawn(move || {
            while !shared.ended.load(Ordering::Relaxed) {
                if shared.sends_heartbeats.load(Ordering::Relaxed) {
                    let sequence = shared.sequence.fetch_add(1, Ordering::Relaxed);
                    shared.report_ready(sequence);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        endpoint
    }

    /// Posts a heartbeat of a ready endpoint; returns whether it was acknowledged.
    pub fn report_ready(&self, sequence: u64) -> bool {
        let body = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"{}","Slots":{},"State":"ready","ColdRemainingS":0,"Seq":{sequence}}}"#,
            self.service, self.addr, self.zone, self.version, self.slots
        );
        self.post("heartbeat", &body)
    }

    /// Stops the heartbeats and posts a deregistration; returns whether it was acknowledged. The
    /// endpoint goes on serving.
    pub fn deregister(&self) -> bool {
        self.sends_heartbeats.store(false, Ordering::Relaxed);
        self.is_healthy.store(false, Ordering::Relaxed);
        self.post("deregister", "")
    }

    fn post(&self, call: &str, body: &str) -> bool {
        let call = Call::new("POST", &format!("/instances/{}/{call}", self.id))
            .with("Content-Type", "application/json")
            .with_body(body);
        http::call(self.admin, &call, Duration::from_secs(1))
            .is_ok_and(|reply| (200..300).contains(&reply.status))
    }

    /// Exits: closes all connections and accepts no more.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::Relaxed);
        for connection in self.connections.lock().unwrap().drain(..) {
            drop(connection.shutdown(Shutdown::Both));
        }
        // The thread that accepts notices it.
        drop(TcpStream::connect(self.addr));
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let (Ok(mut writer), Ok(connection)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.connections.lock().unwrap().push(connection);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head, false).is_err()
                || self.ended.load(Ordering::Relaxed)
            {
                break;
            }
            let id = head.get("x-geraniumspring-request-id").unwrap_or_default();
            let expected = head.get("x-geraniumspring-expected-instance");
            let stays = if head.word(1) == "/health" {
                self.answer_health(&mut writer)
            } else if expected.is_some_and(|expected| expected != self.id) {
                self.reject(id, &mut writer)
            } else {
                let run = Run {
                    at: Instant::now(),
                    id: id.to_owned(),
                };
                self.runs.lock().unwrap().push(run.clone());
                (self.work)(&run, &mut writer)
            };
            if !stays {
                break;
            }
        }
        drop(writer.shutdown(Shutdown::Both));
    }

    fn answer_health(&self, stream: &mut TcpStream) -> bool {
        let status = if self.is_healthy.load(Ordering::Relaxed) {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Geraniumspring-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            self.id
        );
        stream.write_all(text.as_bytes()).is_ok()
    }

    /// Rejects a request that expects another endpoint.
    fn reject(&self, id: &str, stream: &mut TcpStream) -> bool {
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Geraniumspring-Request-Id: {id}\r\nX-Geraniumspring-Instance-Id: {}\r\nX-Geraniumspring-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            self.id
        );
        stream.write_all(text.as_bytes()).is_ok()
    }
}

/// Writes the head of an answer with the endpoint's receipt.
pub fn answer_head(
    run: &Run,
    stream: &mut TcpStream,
    status: &str,
    extra: &str,
    length: usize,
) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\nX-Geraniumspring-Request-Id: {id}\r\nX-Geraniumspring-Response-Signature: sig.{id}\r\n{extra}Content-Length: {length}\r\n\r\n",
        id = run.id
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Writes a whole answer with the endpoint's receipt.
pub fn answer(run: &Run, stream: &mut TcpStream, status: &str, extra: &str, body: &[u8]) -> bool {
    answer_head(run, stream, status, extra, body.len()) && stream.write_all(body).is_ok()
}
