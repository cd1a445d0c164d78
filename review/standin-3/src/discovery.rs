//! Discovery: the whole list to each new watch, then its changes, and an empty line every 2 s.

use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    index: u64,
    /// Entries by name, each with the index of its last change.
    entries: BTreeMap<String, (u64, String)>,
}

#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    record: Record,
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(record: Record) -> Discovery {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let discovery = Discovery {
            state: Arc::default(),
            record,
            address: listener.local_addr().unwrap(),
        };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = served.clone();
                thread::spawn(move || _ = discovery.watch(stream));
            }
        });
        discovery
    }

    pub fn set(&self, name: &str, address: SocketAddr, status: &str) {
        self.put(name, address, status, "");
    }

    /// An entry that shows a role.
    pub fn set_with_role(&self, name: &str, address: SocketAddr, status: &str, role: &str) {
        self.put(name, address, status, &format!(",\"role\":\"{role}\""));
    }

    fn put(&self, name: &str, address: SocketAddr, status: &str, more: &str) {
        let entry = format!(
            "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"a\",\"type\":\"std\",\"group\":0,\"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0{more}}}"
        );
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.entries.insert(name.to_owned(), (index, entry));
        self.record
            .note(format!("discovery: {index}: {name} is {status}"));
    }

    /// The changes after `after`; none if there are none.
    fn changes(&self, after: u64) -> Option<(u64, String)> {
        let state = self.state.lock().unwrap();
        let changed: Vec<&str> = state
            .entries
            .values()
            .filter(|(index, _)| *index > after)
            .map(|(_, entry)| entry.as_str())
            .collect();
        if changed.is_empty() {
            return None;
        }
        let (index, snapshot, entries) = (state.index, after == 0, changed.join(","));
        Some((
            index,
            format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{entries}]}}\n"),
        ))
    }

    /// The whole list, in the form of `known`.
    pub fn list(&self) -> String {
        self.changes(0).map_or("{}".into(), |(_, text)| text)
    }

    fn watch(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut after: u64 = head
            .split("after=")
            .nth(1)
            .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next())
            .and_then(|digits| digits.parse().ok())
            .unwrap_or(0);
        let peer = stream.peer_addr()?.port();
        self.record
            .note(format!("discovery: a watch from port {peer} after {after}"));
        stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let mut spoken = Instant::now();
        loop {
            if let Some((index, text)) = self.changes(after) {
                stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                self.record
                    .note(format!("discovery: told port {peer} up to {index}"));
                after = index;
                spoken = Instant::now();
            } else if spoken.elapsed() >= Duration::from_secs(2) {
                stream.write_all(b"1\r\n\n\r\n")?;
                spoken = Instant::now();
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}
