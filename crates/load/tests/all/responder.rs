//! A server that answers each connection with fixed bytes.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use geranium_load::{LoadOutcome, LoadPlan, run_load};

/// What a caller sent.
pub struct Asked {
    pub start_line: String,
    pub body: String,
    head: Vec<String>,
}

impl Asked {
    fn read(stream: &TcpStream) -> Self {
        let mut reader = BufReader::new(stream);
        let lines = reader.by_ref().lines().map_while(Result::ok);
        let mut head: Vec<String> = lines.take_while(|line| !line.is_empty()).collect();
        let start_line = if head.is_empty() {
            String::new()
        } else {
            head.remove(0)
        };
        let mut asked = Self {
            start_line,
            head,
            body: String::new(),
        };
        let length = asked.header("content-length").parse().unwrap_or(0);
        reader.take(length).read_to_string(&mut asked.body).unwrap();
        asked
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.head.iter().find_map(|line| line.strip_prefix(name));
        found
            .and_then(|rest| rest.strip_prefix(": "))
            .unwrap_or_default()
    }
}

/// Answers every request with the bytes that `answer` makes of it.
pub fn serve(answer: impl Fn(&Asked) -> String + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let asked = Asked::read(&stream);
            stream.write_all(answer(&asked).as_bytes()).ok();
        }
    });
    address
}

/// Returns an answer that closes its connection.
pub fn closing(status: &str, extra: &str, length: usize, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\n{extra}content-length: {length}\r\n\r\n{body}"
    )
}

/// Returns a whole success.
pub fn success(extra: &str, body: &str) -> String {
    closing("200 OK", extra, body.len(), body)
}

/// Sends about ten requests of one kind, each at most twice.
pub fn load(mix: &str, node: SocketAddr) -> LoadOutcome {
    let mut plan = LoadPlan::new(vec![node], vec![mix.parse().unwrap()]);
    plan.duration = Duration::from_millis(100);
    plan.tries = 2;
    plan.workers = 4;
    run_load(&plan).unwrap()
}
