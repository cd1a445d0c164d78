//! Calls by an HTTP/2 client over loopback.

use bytes::{Buf, Bytes, BytesMut};
use grpc_health::message::{CheckRequest, CheckResponse, ListResponse, Status};
use grpc_health::{encode_frame, Server, Settings, Snapshot};
use h2::client::SendRequest;
use h2::RecvStream;
use http::{HeaderMap, Method, Request};
use prost::Message;
use std::net::TcpListener;
use std::time::Duration;
use tokio::net::TcpStream;

fn server() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = Server::start(
        listener,
        Settings {
            connections: 4,
            timeout: Duration::from_secs(2),
        },
    )
    .unwrap();
    server.publish(snapshot(&[("", true), ("group/3", false)]));
    server
}

fn snapshot(services: &[(&str, bool)]) -> Snapshot {
    services
        .iter()
        .map(|(name, serves)| ((*name).to_owned(), *serves))
        .collect()
}

fn run<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        tokio::time::timeout(Duration::from_secs(20), work)
            .await
            .expect("the calls must end within 20 s")
    })
}

async fn client(server: &Server) -> SendRequest<Bytes> {
    let stream = TcpStream::connect(server.address()).await.unwrap();
    let (send, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(async move { _ = connection.await });
    send.ready().await.unwrap()
}

async fn call(
    client: &mut SendRequest<Bytes>,
    method: &str,
    body: Bytes,
) -> (HeaderMap, RecvStream) {
    let uri = format!("http://x/grpc.health.v1.Health/{method}");
    let request = Request::builder()
        .method(Method::POST)
        .uri(uri)
        .body(())
        .unwrap();
    let (response, mut stream) = client.send_request(request, false).unwrap();
    stream.send_data(body, true).unwrap();
    let (head, body) = response.await.unwrap().into_parts();
    (head.headers, body)
}

fn code(headers: &HeaderMap) -> Option<u32> {
    headers
        .get("grpc-status")
        .map(|v| v.to_str().unwrap().parse().unwrap())
}

/// Receives the next message of a call; none at its end.
async fn message(body: &mut RecvStream, rest: &mut BytesMut) -> Option<Bytes> {
    loop {
        if rest.len() >= 5 {
            let length = u32::from_be_bytes([rest[1], rest[2], rest[3], rest[4]]) as usize;
            if rest.len() >= 5 + length {
                rest.advance(5);
                return Some(rest.split_to(length).freeze());
            }
        }
        let part = body.data().await?.unwrap();
        _ = body.flow_control().release_capacity(part.len());
        rest.extend_from_slice(&part);
    }
}

fn check_request(service: &str) -> Bytes {
    encode_frame(&CheckRequest {
        service: service.into(),
    })
}

async fn check(client: &mut SendRequest<Bytes>, service: &str) -> Result<Status, Option<u32>> {
    let (head, mut body) = call(client, "Check", check_request(service)).await;
    let Some(bytes) = message(&mut body, &mut BytesMut::new()).await else {
        return Err(code(&head));
    };
    assert_eq!(code(&body.trailers().await.unwrap().unwrap()), Some(0));
    Ok(CheckResponse::decode(bytes).unwrap().status())
}

#[test]
fn services_are_checked_by_name() {
    let server = server();
    run(async {
        let mut client = client(&server).await;
        assert_eq!(check(&mut client, "").await, Ok(Status::Serving));
        assert_eq!(check(&mut client, "group/3").await, Ok(Status::NotServing));
        assert_eq!(
            check(&mut client, "group/4").await,
            Err(Some(5)),
            "NOT_FOUND"
        );
        let (_, mut body) = call(&mut client, "List", encode_frame(&CheckRequest::default())).await;
        let list =
            ListResponse::decode(message(&mut body, &mut BytesMut::new()).await.unwrap()).unwrap();
        assert_eq!(list.statuses.len(), 2);
        assert_eq!(list.statuses["group/3"].status(), Status::NotServing);
    });
    server.stop();
}

#[test]
fn a_watch_reports_every_change_and_the_end() {
    let server = server();
    run(async {
        let mut client = client(&server).await;
        let (_, mut body) = call(&mut client, "Watch", check_request("group/4")).await;
        let mut rest = BytesMut::new();
        let mut next = async || {
            let bytes = message(&mut body, &mut rest).await?;
            Some(CheckResponse::decode(bytes).unwrap().status())
        };
        assert_eq!(next().await, Some(Status::ServiceUnknown));
        server.publish(snapshot(&[("", true), ("group/4", true)]));
        assert_eq!(next().await, Some(Status::Serving));
        // A change of another service is not sent.
        server.publish(snapshot(&[("", false), ("group/4", true)]));
        server.publish(snapshot(&[("", false), ("group/4", false)]));
        assert_eq!(next().await, Some(Status::NotServing));
        drop(server);
        assert_eq!(next().await, None);
    });
}

#[test]
fn invalid_calls_get_their_status_code() {
    let server = server();
    run(async {
        let mut client = client(&server).await;
        for (method, body, expected) in [
            ("Check", Bytes::from_static(b"\x01\0\0\0\0"), 3),
            ("Check", Bytes::from_static(b"\0\0\0\0\x09\x0a"), 3),
            ("Check", Bytes::from_static(b"\0\0\0\0\x02\xff\xff"), 3),
            ("Check", Bytes::from(vec![0; 4 << 10]), 8),
            ("Reboot", check_request(""), 12),
        ] {
            let (head, _) = call(&mut client, method, body).await;
            assert_eq!(code(&head), Some(expected), "{method}");
        }
        assert_eq!(check(&mut client, "").await, Ok(Status::Serving));
    });
    server.stop();
}

/// Connections beyond the limit wait; those without a handshake are closed after the timeout, and waiting ones are accepted.
#[test]
fn silent_connections_are_closed_after_the_timeout() {
    let server = server();
    let silent: Vec<_> = (0..8)
        .map(|_| std::net::TcpStream::connect(server.address()).unwrap())
        .collect();
    run(async {
        let mut client = client(&server).await;
        assert_eq!(check(&mut client, "").await, Ok(Status::Serving));
    });
    drop(silent);
    server.stop();
}
