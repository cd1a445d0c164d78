//! Discovery: the list of record servers, as one answer or as a watch.

use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Entry {
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

/// How a call is taken.
#[derive(Clone, Copy)]
pub enum Handling {
    /// Answered after this wait in the queue.
    After(Duration),
    /// Ends with 503 after this wait in the queue.
    Fail(Duration),
}

type Policy = dyn Fn(usize) -> Handling + Send + Sync;

struct State {
    index: u64,
    /// Entries by name, with the index of their last change.
    entries: BTreeMap<String, (u64, Entry)>,
    calls: usize,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
    policy: Arc<Policy>,
}

impl Discovery {
    /// `policy`: the handling of a call by its number, from 1.
    pub fn start(
        record: &Record,
        policy: impl Fn(usize) -> Handling + Send + Sync + 'static,
    ) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                index: 40,
                entries: BTreeMap::new(),
                calls: 0,
            })),
            record: record.clone(),
            policy: Arc::new(policy),
        };
        let own = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let call = own.clone();
                thread::spawn(move || {
                    _ = call.serve(stream);
                });
            }
        });
        Ok(discovery)
    }

    pub fn set(&self, name: &str, entry: Entry) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        self.record
            .line(format!("discovery {index}: {name} is {}", entry.status));
        state.entries.insert(name.into(), (index, entry));
    }

    /// The whole list, as for the configuration's `known`.
    pub fn list(&self) -> String {
        self.changes(0).map(|(_, text)| text).unwrap_or_default()
    }

    /// The entries that changed after an index, with the present index.
    fn changes(&self, after: u64) -> Option<(u64, String)> {
        let state = self.state.lock().unwrap();
        if after >= state.index {
            return None;
        }
        let entries: Vec<String> = state
            .entries
            .iter()
            .filter(|(_, (index, _))| *index > after)
            .map(|(name, (_, entry))| {
                format!(
                    "{{\"name\":\"{name}\",\"address\":\"{}\",\"zone\":\"thamel-office\",\"type\":\"std-4core\",\"group\":{},\"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
                    entry.address, entry.group, entry.status, entry.since_ms
                )
            })
            .collect();
        let snapshot = after == 0;
        Some((
            state.index,
            format!(
                "{{\"index\":{},\"snapshot\":{snapshot},\"endpoints\":[{}]}}",
                state.index,
                entries.join(",")
            ),
        ))
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        _ = stream.set_nodelay(true);
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
        let number = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.calls
        };
        self.record
            .line(format!("discovery call {number}: GET {target}"));
        match (self.policy)(number) {
            Handling::After(wait) => thread::sleep(wait),
            Handling::Fail(wait) => {
                thread::sleep(wait);
                self.record.line(format!("discovery call {number}: 503"));
                return stream.write_all(
                    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                );
            }
        }
        let after = target
            .split(['?', '&'])
            .find_map(|part| part.strip_prefix("after="))
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if !target.contains("watch=1") {
            let text = self.list();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            return stream.write_all(answer.as_bytes());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        self.watch(stream, number, after)
    }

    fn watch(&self, mut stream: TcpStream, number: usize, mut after: u64) -> io::Result<()> {
        let mut last = Instant::now();
        let mut first = true;
        loop {
            if let Some((index, text)) = self.changes(after) {
                chunk(&mut stream, &format!("{text}\n"))?;
                self.record
                    .line(format!("discovery call {number}: told {after} to {index}"));
                (after, last) = (index, Instant::now());
            } else if first || last.elapsed() >= Duration::from_secs(2) {
                chunk(&mut stream, "\n")?;
                last = Instant::now();
            }
            first = false;
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
