//! Just enough HTTP/1.1 for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait for the next bytes of a message.
const READ_TIMEOUT: Duration = Duration::from_secs(12);

/// Head and body of a message. Names of headers are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message with a `Content-Length` or chunks; none at the end of the connection.
pub fn read_message(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(end) = find(input, b"\r\n\r\n") {
            break end + 4;
        }
        if !read_more(stream, input)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    input.drain(..end);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first_line: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").contains("chunked") {
        message.body = read_chunks(stream, input)?;
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = take(stream, input, length)?;
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = find(input, b"\r\n") {
                break end;
            }
            if !read_more(stream, input)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let size = String::from_utf8_lossy(&input[..end]).into_owned();
        input.drain(..end + 2);
        let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
        let chunk = take(stream, input, size + 2)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn take(stream: &mut TcpStream, input: &mut Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    while input.len() < length {
        if !read_more(stream, input)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(input.drain(..length).collect())
}

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<bool> {
    let mut bytes = [0; 16 * 1024];
    let length = stream.read(&mut bytes)?;
    input.extend_from_slice(&bytes[..length]);
    Ok(length > 0)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}

/// Sends a request on a new connection and reads the response; none if there is none.
pub fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream
        .write_all(&request(method, path, headers, body))
        .ok()?;
    read_message(&mut stream, &mut Vec::new()).ok()?
}

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    [text.as_bytes(), body].concat()
}
