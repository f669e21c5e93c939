//! HTTP/1.1 on blocking sockets: heads, whole bodies, and a client.

use std::{
    io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

pub type Headers = Vec<(String, String)>;

/// First line and headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Headers,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut lines = self.headers.iter();
        lines
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| &**value)
    }

    /// Word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads a head; none if the connection ends before its first byte.
pub fn read_head(from: &mut impl BufRead) -> Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        from.read_until(b'\n', &mut line)?;
        if line.is_empty() {
            return if head.line.is_empty() {
                Ok(None)
            } else {
                Err(ErrorKind::UnexpectedEof.into())
            };
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        if head.line.is_empty() {
            head.line = text;
        } else if text.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = text.split_once(':') {
            head.headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that belongs to a head. `to_end` says that one without a length ends with the
/// connection.
pub fn read_body(from: &mut impl BufRead, head: &Head, to_end: bool) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    let is_chunked = head
        .get("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            from.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| Error::from(ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size, 0);
            from.read_exact(&mut body[start..])?;
            let mut end = String::new();
            from.read_line(&mut end)?;
            if !end.ends_with('\n') {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.get("content-length") {
        Some(length) => {
            let length = length
                .parse()
                .map_err(|_| Error::from(ErrorKind::InvalidData))?;
            body.resize(length, 0);
            from.read_exact(&mut body)?;
        }
        None if to_end => {
            from.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// A request of a client.
#[derive(Debug, Clone, Default)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Call {
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            ..Self::default()
        }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// The request's bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if !self.headers.iter().any(|(name, _)| name == "Host") {
            text.push_str("Host: till.example\r\n");
        }
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || self.method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend(&self.body);
        bytes
    }
}

/// A whole answer.
#[derive(Debug, Clone, Copy)]
pub struct Reply {
    pub status: u16,
}

/// Reader whose reads end at a time.
pub struct Deadline {
    pub stream: TcpStream,
    pub until: Instant,
}

impl Read for Deadline {
    fn read(&mut self, buf: &mut [u8]) -> Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        match self.stream.read(buf) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Err(ErrorKind::TimedOut.into()),
            read => read,
        }
    }
}

/// Sends a request on a new connection and reads its whole answer within `limit`.
pub fn call(addr: SocketAddr, call: &Call, limit: Duration) -> Result<Reply> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_nodelay(true)?;
    stream.write_all(&call.bytes())?;
    let mut reader = BufReader::new(Deadline { stream, until });
    read_reply(&mut reader)
}

/// Reads a whole answer.
pub fn read_reply(reader: &mut impl BufRead) -> Result<Reply> {
    let head = read_head(reader)?.ok_or(Error::from(ErrorKind::UnexpectedEof))?;
    let status = head.word(1).parse().unwrap_or(0);
    read_body(reader, &head, true)?;
    Ok(Reply { status })
}
