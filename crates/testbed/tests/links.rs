//! Faults that a TCP link injects between one client and an echo server.

use std::net::SocketAddr;
use std::time::Duration;
use testbed::link::{read, write_all, Flow, Link};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Handle, Runtime};
use tokio::sync::mpsc;

/// Address of an echo server, and the byte chunks that it receives.
async fn echo() -> (SocketAddr, mpsc::UnboundedReceiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (send, came) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let send = send.clone();
            tokio::spawn(async move {
                let mut bytes = [0; 4096];
                while let Ok(n @ 1..) = read(&stream, &mut bytes).await {
                    _ = send.send(bytes[..n].to_vec());
                    if write_all(&stream, &bytes[..n]).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    (address, came)
}

async fn read_bytes(stream: &TcpStream, number: usize) -> Vec<u8> {
    let (mut all, mut bytes) = (Vec::new(), [0; 4096]);
    while all.len() < number {
        match read(stream, &mut bytes).await.unwrap() {
            0 => break,
            n => all.extend_from_slice(&bytes[..n]),
        }
    }
    all
}

fn with_link(test: impl AsyncFnOnce(Link, mpsc::UnboundedReceiver<Vec<u8>>)) {
    Runtime::new().unwrap().block_on(async {
        let (address, came) = echo().await;
        test(
            Link::open(&Handle::current(), Some(address), 1).unwrap(),
            came,
        )
        .await;
    });
}

/// With one direction cut, the request arrives, and the response only after the link is healed.
#[test]
fn one_direction_alone_is_cut() {
    with_link(async |link, mut came| {
        let stream = TcpStream::connect(link.address).await.unwrap();
        link.set(Flow::Passes, Flow::Cut);
        write_all(&stream, b"asked").await.unwrap();
        assert_eq!(came.recv().await.unwrap(), b"asked");
        assert!(
            stream.try_read(&mut [0; 8]).is_err(),
            "no byte of the response may arrive"
        );
        // A whole exchange on another connection leaves more than enough time for the response to arrive.
        let (other, mut there) = echo().await;
        let other = TcpStream::connect(other).await.unwrap();
        write_all(&other, b"other").await.unwrap();
        there.recv().await.unwrap();
        read_bytes(&other, 5).await;
        assert!(
            stream.try_read(&mut [0; 8]).is_err(),
            "no byte of the response may arrive"
        );
        link.heal();
        assert_eq!(read_bytes(&stream, 5).await, b"asked");
    });
}

/// With the request direction cut, no byte arrives, also on a new connection; after healing all bytes arrive in order.
#[test]
fn what_was_held_back_comes_in_order() {
    with_link(async |link, mut came| {
        link.set(Flow::Cut, Flow::Passes);
        let stream = TcpStream::connect(link.address).await.unwrap();
        write_all(&stream, b"one").await.unwrap();
        write_all(&stream, b"two").await.unwrap();
        link.wait_for_accepted(1).await;
        assert!(came.try_recv().is_err());
        link.heal();
        assert_eq!(read_bytes(&stream, 6).await, b"onetwo");
    });
}

#[test]
fn a_reset_ends_what_is_open_and_nothing_else() {
    with_link(async |link, _came| {
        let stream = TcpStream::connect(link.address).await.unwrap();
        write_all(&stream, b"one").await.unwrap();
        assert_eq!(read_bytes(&stream, 3).await, b"one");
        link.reset();
        assert!(
            read(&stream, &mut [0; 8]).await.is_err(),
            "the connection must be reset, not closed in order"
        );
        let stream = TcpStream::connect(link.address).await.unwrap();
        write_all(&stream, b"two").await.unwrap();
        assert_eq!(read_bytes(&stream, 3).await, b"two");
        link.wait_for_open(1).await;
        assert_eq!(link.accepted(), 2);
        link.refuse();
        // The reset may already fail the connect call.
        if let Ok(refused) = TcpStream::connect(link.address).await {
            assert!(read(&refused, &mut [0; 8]).await.is_err());
        }
    });
}

/// Late, lossy and trickling links delay bytes but never lose or change them.
#[test]
fn slow_links_lose_nothing() {
    with_link(async |link, _came| {
        let millis = Duration::from_millis;
        let stream = TcpStream::connect(link.address).await.unwrap();
        let text: Vec<u8> = (0..200).collect();
        for flow in [
            Flow::Late(millis(1), millis(3)),
            Flow::Lossy {
                part: 0.5,
                resend: millis(2),
            },
            Flow::Trickles {
                bytes: 3,
                gap: millis(1),
            },
        ] {
            link.set(flow, flow);
            write_all(&stream, &text).await.unwrap();
            assert_eq!(read_bytes(&stream, text.len()).await, text, "{flow:?}");
        }
    });
}
