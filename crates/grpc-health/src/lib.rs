//! The gRPC health-checking protocol (`grpc.health.v1.Health`: Check, Watch, List), served on its own thread.
//!
//! Libraries implement HTTP/2 and protobuf, in an event loop separate from the proxy's. The proxy publishes a
//! [`Snapshot`] when something has changed, and never waits for its readers. Connections, streams and bytes are bounded.
//!
//! Source: the gRPC health checking protocol and `health.proto`; gRPC over HTTP/2 for frames and trailers.

pub mod message;

use bytes::{Buf, Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, Response};
use message::{CheckRequest, CheckResponse, ListResponse, Status};
use prost::Message;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Semaphore};
use tokio::time::timeout;

/// Whether each service serves, by its name. The empty name is the whole server.
pub type Snapshot = BTreeMap<String, bool>;

/// Limits on the resources that checks may use.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum number of open connections; further ones wait in the backlog.
    pub connections: usize,
    /// Time limit for the handshake of a connection, and for receiving a request.
    pub timeout: Duration,
}

/// Maximum number of concurrent calls of one connection, including watches.
const MAX_STREAMS: u32 = 16;
/// Maximum size of a request's message in bytes; far more than a service's name needs.
const MESSAGE_LIMIT: usize = 1 << 10;

/// gRPC status codes.
const OK: u8 = 0;
const INVALID_ARGUMENT: u8 = 3;
const NOT_FOUND: u8 = 5;
const RESOURCE_EXHAUSTED: u8 = 8;
const UNIMPLEMENTED: u8 = 12;

/// Handle of the server thread: publishes snapshots, and ends the thread when it is dropped.
#[derive(Debug)]
pub struct Server {
    publish: watch::Sender<Arc<Snapshot>>,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Serves on a new thread until the returned value is dropped. Fails if the thread or its event loop can't be created.
    pub fn start(listener: TcpListener, settings: Settings) -> io::Result<Server> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (publish, snapshots) = watch::channel(Arc::new(Snapshot::new()));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        let run = move || runtime.block_on(serve(listener, settings, snapshots));
        let thread = std::thread::Builder::new()
            .name("grpc-health".into())
            .spawn(run)?;
        Ok(Server {
            publish,
            address,
            thread: Some(thread),
        })
    }

    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the snapshot; watches are notified if it differs from the previous one.
    pub fn publish(&self, snapshot: Snapshot) {
        self.publish.send_if_modified(|known| {
            let differs = **known != snapshot;
            if differs {
                *known = Arc::new(snapshot);
            }
            differs
        });
    }

    /// Ends the thread and waits for it.
    pub fn stop(mut self) {
        let thread = self.thread.take();
        drop(self);
        if let Some(thread) = thread {
            _ = thread.join();
        }
    }
}

type Snapshots = watch::Receiver<Arc<Snapshot>>;

async fn serve(listener: TcpListener, settings: Settings, snapshots: Snapshots) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!("grpc health: can't use the listener: {error}"),
    };
    let permits = Arc::new(Semaphore::new(settings.connections));
    let mut shutdown = snapshots.clone();
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // The handle was dropped: connections have until the timeout to end their watches.
            () = publisher_dropped(&mut shutdown) => {
                drop(permit);
                let all = u32::try_from(settings.connections).unwrap_or(u32::MAX);
                _ = timeout(settings.timeout, permits.acquire_many(all)).await;
                return;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                let snapshots = snapshots.clone();
                tokio::spawn(async move {
                    connection(stream, settings, snapshots).await;
                    drop(permit);
                });
            }
            // For example out of descriptors: others may be closed meanwhile.
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn publisher_dropped(snapshots: &mut Snapshots) {
    while snapshots.changed().await.is_ok() {}
}

async fn connection(stream: TcpStream, settings: Settings, snapshots: Snapshots) {
    _ = stream.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(4 << 10)
        .initial_window_size(16 << 10);
    let Ok(Ok(mut connection)) =
        timeout(settings.timeout, builder.handshake::<_, Bytes>(stream)).await
    else {
        return;
    };
    let mut shutdown = snapshots.clone();
    loop {
        let call = tokio::select! {
            call = connection.accept() => call,
            () = publisher_dropped(&mut shutdown) => {
                connection.graceful_shutdown();
                while let Ok(Some(Ok(_))) = timeout(settings.timeout, connection.accept()).await {}
                return;
            }
        };
        let Some(Ok((request, respond))) = call else {
            return;
        };
        let snapshots = snapshots.clone();
        tokio::spawn(async move { handle_call(request, respond, settings, snapshots).await });
    }
}

async fn handle_call(
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    settings: Settings,
    snapshots: Snapshots,
) {
    let (head, body) = request.into_parts();
    let message = match timeout(settings.timeout, read_message(body)).await {
        Ok(Ok(message)) => message,
        Ok(Err(code)) => return send_error(respond, code),
        Err(_) => return send_error(respond, INVALID_ARGUMENT),
    };
    match head.uri.path() {
        "/grpc.health.v1.Health/Check" => match CheckRequest::decode(message) {
            Err(_) => send_error(respond, INVALID_ARGUMENT),
            Ok(request) => {
                let served = snapshots.borrow().get(&request.service).copied();
                match served {
                    Some(serves) => send_message(respond, &CheckResponse::of(Some(serves))),
                    None => send_error(respond, NOT_FOUND),
                }
            }
        },
        "/grpc.health.v1.Health/List" => {
            let known = Arc::clone(&snapshots.borrow());
            let statuses = known
                .iter()
                .map(|(name, serves)| (name.clone(), CheckResponse::of(Some(*serves))));
            let list = ListResponse {
                statuses: statuses.collect(),
            };
            send_message(respond, &list);
        }
        "/grpc.health.v1.Health/Watch" => match CheckRequest::decode(message) {
            Err(_) => send_error(respond, INVALID_ARGUMENT),
            Ok(request) => watch_service(respond, &request.service, snapshots).await,
        },
        _ => send_error(respond, UNIMPLEMENTED),
    }
}

/// Reads the single message of a request, or returns the status code of the fault.
async fn read_message(mut body: RecvStream) -> Result<Bytes, u8> {
    let mut bytes = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(|_| INVALID_ARGUMENT)?;
        _ = body.flow_control().release_capacity(part.len());
        if bytes.len() + part.len() > MESSAGE_LIMIT {
            return Err(RESOURCE_EXHAUSTED);
        }
        bytes.extend_from_slice(&part);
    }
    decode_frame(bytes.freeze()).ok_or(INVALID_ARGUMENT)
}

/// Decodes a gRPC frame: a flag for compression, which is not supported, and the length of the message before it.
fn decode_frame(mut bytes: Bytes) -> Option<Bytes> {
    if bytes.len() < 5 || bytes.get_u8() != 0 {
        return None;
    }
    let length = bytes.get_u32() as usize;
    (bytes.len() == length).then_some(bytes)
}

/// Encodes a message as an uncompressed gRPC frame.
pub fn encode_frame(message: &impl Message) -> Bytes {
    let body = message.encode_to_vec();
    let mut out = Vec::with_capacity(body.len() + 5);
    out.push(0);
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(body);
    out.into()
}

fn response_head() -> Response<()> {
    let mut response = Response::new(());
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    response
}

fn trailers(code: u8) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    trailers.insert("grpc-status", HeaderValue::from(u16::from(code)));
    trailers
}

/// Sends a response without a message; its status is in the head.
fn send_error(mut respond: SendResponse<Bytes>, code: u8) {
    let mut response = response_head();
    response.headers_mut().extend(trailers(code));
    _ = respond.send_response(response, true);
}

fn send_message(mut respond: SendResponse<Bytes>, message: &impl Message) {
    if let Ok(mut stream) = respond.send_response(response_head(), false) {
        _ = stream
            .send_data(encode_frame(message), false)
            .and_then(|()| stream.send_trailers(trailers(OK)));
    }
}

/// Sends the current state of a service and then every change, until the client ends the watch. A service that is not
/// known may be published later.
async fn watch_service(mut respond: SendResponse<Bytes>, service: &str, mut snapshots: Snapshots) {
    let Ok(mut stream) = respond.send_response(response_head(), false) else {
        return;
    };
    let mut sent: Option<CheckResponse> = None;
    loop {
        let current = CheckResponse::of(snapshots.borrow_and_update().get(service).copied());
        if sent.as_ref() != Some(&current) {
            if send(&mut stream, encode_frame(&current)).await.is_err() {
                return;
            }
            sent = Some(current);
        }
        tokio::select! {
            changed = snapshots.changed() => if changed.is_err() {
                _ = stream.send_trailers(trailers(OK));
                return;
            },
            _ = std::future::poll_fn(|context| stream.poll_reset(context)) => return,
        }
    }
}

/// Waits for capacity of the stream, so that for a client that does not read only one message is buffered.
async fn send(stream: &mut SendStream<Bytes>, data: Bytes) -> Result<(), h2::Error> {
    stream.reserve_capacity(data.len());
    while stream.capacity() < data.len() {
        match std::future::poll_fn(|context| stream.poll_capacity(context)).await {
            Some(Ok(_)) => {}
            Some(Err(error)) => return Err(error),
            None => return Err(h2::Reason::CANCEL.into()),
        }
    }
    stream.send_data(data, false)
}

impl CheckResponse {
    fn of(serves: Option<bool>) -> CheckResponse {
        let status = match serves {
            Some(true) => Status::Serving,
            Some(false) => Status::NotServing,
            None => Status::ServiceUnknown,
        };
        CheckResponse {
            status: status.into(),
        }
    }
}
