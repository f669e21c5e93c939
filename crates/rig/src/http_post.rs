//! Single HTTP calls, each on its own connection.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Posts a JSON body. Returns the status of the response, or `None` if there was
/// none.
pub(crate) async fn http_post(addr: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let length = body.len();
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    exchange(addr, &text).await
}

/// Gets a page. Returns the status of the response, or `None` if there was none.
pub(crate) async fn http_get(addr: SocketAddr, path: &str) -> Option<u16> {
    let text = format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    exchange(addr, &text).await
}

async fn exchange(addr: SocketAddr, text: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let head = String::from_utf8_lossy(&answer);
    head.split(' ').nth(1)?.parse().ok()
}
