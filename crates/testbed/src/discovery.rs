//! Discovery on a socket: one service per proxy, as each proxy reaches the servers through its own links.

use crate::history::History;
use crate::link;
use crate::process::Fault;
use rustc_hash::FxHashMap;
use serde_json::json;
use server_model::catalog::{Action, Event, Record};
use server_model::site::{ServerIndex, Status};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Addresses of the servers. Key: proxy and server.
pub type Addresses = FxHashMap<(usize, ServerIndex), SocketAddr>;

/// Interval of keep-alive lines while the list does not change.
const QUIET: Duration = Duration::from_secs(2);
/// Maximum length of a request's head, in bytes.
const HEAD_LIMIT: usize = 16 << 10;

/// Zone name of a place in the endpoint list.
pub fn zone(place: u16) -> String {
    format!("p{place}")
}

/// Name of a server in the endpoint list.
pub fn name(server: ServerIndex) -> String {
    format!("s-{server:04}")
}

/// The endpoint list in the JSON form that is sent to a proxy.
pub fn listing(
    history: &History,
    addresses: &Addresses,
    proxy: usize,
    index: u64,
    whole: bool,
    records: &[Record],
) -> serde_json::Value {
    let entry = |record: &Record| {
        let status = match record.status {
            Status::Ready => "Ready",
            Status::Draining => "Terminating",
            Status::Gone => "Gone",
        };
        let address = addresses
            .get(&(proxy, record.server))
            .map(ToString::to_string);
        json!({
            "name": name(record.server), "address": address.unwrap_or_default(),
            "zone": zone(record.place), "type": "std", "group": record.group, "status": status,
            "weight": 1.0, "since_ms": history.unix(record.started).as_millis() as u64,
        })
    };
    let endpoints: Vec<_> = records.iter().map(entry).collect();
    json!({"index": index, "snapshot": whole, "endpoints": endpoints})
}

/// Opens the discovery listener of a proxy.
pub async fn open(
    history: History,
    proxy: usize,
    addresses: Arc<watch::Sender<Addresses>>,
) -> Result<SocketAddr, Fault> {
    let bound = TcpListener::bind("127.0.0.1:0").await;
    let listener =
        bound.map_err(|e| Fault::new(format!("cannot bind a port for discovery: {e}")))?;
    let address = listener
        .local_addr()
        .map_err(|e| Fault::new(format!("discovery: {e}")))?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (history, addresses) = (history.clone(), Arc::clone(&addresses));
            tokio::spawn(async move {
                _ = call(&history, proxy, &addresses, &stream).await;
            });
        }
    });
    Ok(address)
}

async fn head(stream: &TcpStream) -> std::io::Result<String> {
    let mut input = Vec::new();
    let mut bytes = [0; 4096];
    while !input.windows(4).any(|w| w == b"\r\n\r\n") && input.len() < HEAD_LIMIT {
        match link::read(stream, &mut bytes).await? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => input.extend_from_slice(&bytes[..n]),
        }
    }
    Ok(String::from_utf8_lossy(&input).into_owned())
}

async fn call(
    history: &History,
    proxy: usize,
    addresses: &watch::Sender<Addresses>,
    stream: &TcpStream,
) -> std::io::Result<()> {
    let head = head(stream).await?;
    let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let word = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    };
    if path != "/catalog/members" {
        let none = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        return link::write_all(stream, none).await;
    }
    let stays = word("watch") == Some("1");
    let after = word("after").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut news = history.watch(proxy, after);
    let mut begun = false;
    let mut gone = [0; 64];
    loop {
        let said = tokio::select! {
            said = news.recv() => said,
            () = tokio::time::sleep(QUIET), if begun => {
                link::write_all(stream, b"1\r\n\n\r\n").await?;
                continue;
            }
            // The caller sends nothing more until it closes the connection.
            _ = link::read(stream, &mut gone) => {
                // A newer watch of the same proxy must not be ended here.
                if !news.is_closed() {
                    history.list(Event::Leave(proxy));
                }
                return Ok(());
            }
        };
        let Some(Action::Update {
            index,
            complete,
            records,
            ..
        }) = said
        else {
            if !begun {
                let busy =
                    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                link::write_all(stream, busy).await?;
            }
            return Ok(());
        };
        // The links of a server that has just joined may not be open yet.
        let known = |a: &Addresses| records.iter().all(|r| a.contains_key(&(proxy, r.server)));
        _ = addresses.subscribe().wait_for(known).await;
        let line = listing(
            history,
            &addresses.borrow(),
            proxy,
            index,
            complete,
            &records,
        )
        .to_string();
        let length = line.len() + 1;
        let text = if stays {
            let head =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            format!(
                "{}{length:x}\r\n{line}\n\r\n",
                if begun { "" } else { head }
            )
        } else {
            format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{line}\n"
            )
        };
        link::write_all(stream, text.as_bytes()).await?;
        history.notified(proxy, &records);
        begun = true;
        if !stays {
            history.list(Event::Leave(proxy));
            return Ok(());
        }
    }
}
