//! Discovery: the list over HTTP/1.1, and watches on it.

use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Entry {
    pub name: &'static str,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn ready(name: &'static str, address: SocketAddr) -> Entry {
        Entry {
            name,
            address,
            group: 0,
            status: "Ready",
            since_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"thamel-office","type":"std-4core","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.group, self.status, self.since_ms
        )
    }
}

struct State {
    index: u64,
    /// Entries with the index of their last change.
    entries: Vec<(u64, Entry)>,
}

impl State {
    fn list(&self, after: u64) -> String {
        let changed = self.entries.iter().filter(|(at, _)| *at > after);
        let entries: Vec<String> = changed.map(|(_, entry)| entry.json()).collect();
        format!(
            r#"{{"index":{},"snapshot":{},"endpoints":[{}]}}"#,
            self.index,
            after == 0,
            entries.join(",")
        )
    }
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: Record) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                index: 1,
                entries: entries.into_iter().map(|entry| (1, entry)).collect(),
            })),
            record,
        };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// The list as JSON, for `known`.
    pub fn known(&self) -> String {
        self.lock().list(0)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte)? == 0 {
                return Ok(());
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
        self.record.line(format!("discovery: call {target}"));
        if !target.contains("watch=1") {
            let body = self.lock().list(0);
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
        let after = target.split("after=").nth(1).and_then(|n| n.parse().ok());
        stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let mut seen: u64 = after.unwrap_or(0);
        let mut first = true;
        let mut last = Instant::now();
        loop {
            let (index, list) = {
                let state = self.lock();
                (state.index, state.list(seen))
            };
            if index != seen || first {
                write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
                self.record.line(format!("discovery: written {list}"));
                (seen, first, last) = (index, false, Instant::now());
            } else if last.elapsed() >= Duration::from_secs(2) {
                stream.write_all(b"1\r\n\n\r\n")?;
                last = Instant::now();
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}
