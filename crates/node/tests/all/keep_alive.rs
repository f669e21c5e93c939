//! Reuse of connections whose server states how long they may be idle.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use geranium_node::{
    request_body::BodyStream,
    transport::{ConnectionPool, PoolSettings},
};
use http::Request;
use http_body_util::BodyExt;
use tokio::{task::LocalSet, time::sleep};

/// Starts a server that states `keep_alive` in its responses, and counts its connections.
fn start_server(keep_alive: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&accepted);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            counter.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || respond(stream, keep_alive));
        }
    });
    (addr, accepted)
}

/// Responds to requests without a body until the connection is closed.
fn respond(stream: TcpStream, keep_alive: &str) {
    let mut writer = stream.try_clone().expect("the socket is open");
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if line.is_empty() {
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{keep_alive}\r\n");
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Sends two requests with `pause` between them, and returns how many connections they used.
async fn connections_used(keep_alive: &'static str, pause: Duration) -> usize {
    let (addr, accepted) = start_server(keep_alive);
    let pool = ConnectionPool::new(PoolSettings {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(10),
    });
    for _ in 0..2 {
        let request = Request::new(BodyStream::default());
        let exchange = pool.exchange(addr, request, Duration::from_secs(10)).await;
        let (response, pooled) = exchange.expect("the server responds");
        response.into_body().collect().await.expect("no body");
        pool.put_back(pooled);
        sleep(pause).await;
    }
    accepted.load(Ordering::Relaxed)
}

/// Guards against a request that is lost because it crosses the closing of an idle connection, whose
/// server had stated when it would close it.
#[tokio::test]
async fn a_connection_is_not_reused_when_its_server_is_about_to_close_it() {
    let tasks = LocalSet::new();
    let used = tasks.run_until(async {
        let short = Duration::from_millis(200);
        let long = Duration::from_millis(900);
        [
            connections_used("Keep-Alive: timeout=1, max=50\r\n", short).await,
            connections_used("Keep-Alive: timeout=1, max=50\r\n", long).await,
            connections_used("Keep-Alive: timeout=5\r\n", long).await,
            connections_used("Keep-Alive: soon\r\n", long).await,
            connections_used("", long).await,
        ]
    });
    assert_eq!(used.await, [1, 2, 1, 1, 1]);
}
