//! Tests of links with faults.

use std::{net::SocketAddr, time::Duration};

use geranium_rig::{LinkFault, LinkProxy};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Time within which a byte surely returns on loopback, even on a busy machine.
const ECHO_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a byte that hasn't returned counts as lost.
const LOST: Duration = Duration::from_millis(150);

/// Starts an echo server and returns a link to it.
async fn linked_echo_server() -> LinkProxy {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut input, mut output) = stream.split();
                let _ended = tokio::io::copy(&mut input, &mut output).await;
            });
        }
    });
    LinkProxy::open(any, target).unwrap()
}

async fn echoes(stream: &mut TcpStream, wait: Duration) -> bool {
    let mut byte = [0];
    let exchange = async {
        stream.write_all(b"x").await?;
        stream.read_exact(&mut byte).await
    };
    matches!(timeout(wait, exchange).await, Ok(Ok(1)))
}

#[tokio::test]
async fn a_sound_link_passes_bytes_on() {
    let link = linked_echo_server().await;
    let mut stream = TcpStream::connect(link.addr()).await.unwrap();
    assert!(echoes(&mut stream, ECHO_TIMEOUT).await);
    link.set_fault(LinkFault::Delay(Duration::from_millis(1)));
    assert!(echoes(&mut stream, ECHO_TIMEOUT).await);
}

#[tokio::test]
async fn a_cut_link_loses_bytes_in_its_direction() {
    for fault in [LinkFault::Cut, LinkFault::CutTowards, LinkFault::CutFrom] {
        let link = linked_echo_server().await;
        let mut stream = TcpStream::connect(link.addr()).await.unwrap();
        link.set_fault(fault);
        assert!(!echoes(&mut stream, LOST).await, "{fault}");
        link.set_fault(LinkFault::Sound);
        assert!(echoes(&mut stream, ECHO_TIMEOUT).await, "{fault}");
    }
}

#[tokio::test]
async fn a_reset_ends_open_connections() {
    let link = linked_echo_server().await;
    let mut stream = TcpStream::connect(link.addr()).await.unwrap();
    assert!(echoes(&mut stream, ECHO_TIMEOUT).await);
    link.set_fault(LinkFault::Reset);
    let mut byte = [0];
    let ended = timeout(ECHO_TIMEOUT, stream.read(&mut byte)).await.unwrap();
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
    link.set_fault(LinkFault::Sound);
    let mut next = TcpStream::connect(link.addr()).await.unwrap();
    assert!(echoes(&mut next, ECHO_TIMEOUT).await);
}

#[tokio::test]
async fn a_muted_connection_stays_muted_and_new_ones_work() {
    let link = linked_echo_server().await;
    let mut stream = TcpStream::connect(link.addr()).await.unwrap();
    assert!(echoes(&mut stream, ECHO_TIMEOUT).await);
    link.mute_open();
    let mut next = TcpStream::connect(link.addr()).await.unwrap();
    assert!(echoes(&mut next, ECHO_TIMEOUT).await);
    assert!(!echoes(&mut stream, LOST).await);
}
