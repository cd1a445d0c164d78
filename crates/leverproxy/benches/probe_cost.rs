//! CPU time that a balancer's health check costs the proxy, and the effect of checks on the latency of clients.
//!
//! `cargo bench -p leverproxy --bench probe_cost`

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Listener, Peer, TempFile};
use hdrhistogram::Histogram;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CHECKS: u32 = 20_000;
const ROUND_DURATION: Duration = Duration::from_secs(4);
const ROUNDS: usize = 3;
/// Rate of the checks during the rounds with checks.
const CHECKS_PER_SECOND: u64 = 500;

fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// CPU time of a process, in clock ticks of 10 ms.
fn cpu_time(child: &Child) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap();
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

fn agent_check(address: SocketAddr) {
    let mut stream = TcpStream::connect(address).unwrap();
    let mut line = [0; 256];
    assert!(stream.read(&mut line).unwrap() > 0);
}

fn main() {
    let (listen, agent_at, web_at) = (unused_address(), unused_address(), unused_address());
    let discovery = Listener::new();
    let server = Listener::new();
    let operators = TempFile::new(&format!(
        "health a {{\n protocol agent\n address {agent_at}\n}}\nhealth w {{\n address {web_at}\n}}\n"
    ));
    let platform = TempFile::new(&format!(
        r#"{{"listen":"{listen}","discovery":"{}","known":{{"index":1,"snapshot":true,"endpoints":[{}]}},"settings":{}}}"#,
        discovery.address,
        server.endpoint_entry("s-1", "Ready"),
        common::SETTINGS
    ));
    let mut child = Command::new(env!("CARGO_BIN_EXE_leverproxy"))
        .arg("serve")
        .env("LB_CONFIG", platform.path())
        .env("LB_OPERATORS", operators.path())
        .env("RUST_LOG", "error")
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut watch = discovery.accept();
    watch.accept_watch();

    // The record server answers at once, on any number of connections.
    thread::spawn(move || loop {
        let Some(mut peer) = server.try_accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        thread::spawn(move || {
            peer.startup();
            while let Ok((_, body)) = peer.message() {
                let probe = body.starts_with(b"SHOW");
                peer.answer(
                    if probe { "x0=1.0,x1=1,backlog=0" } else { "x" },
                    &[("role", "primary")],
                );
            }
        });
    });

    // CPU time for each check: agent checks on a new connection each, HTTP checks on one kept connection.
    let before = cpu_time(&child);
    (0..CHECKS).for_each(|_| agent_check(agent_at));
    let agents = cpu_time(&child) - before;
    let before = cpu_time(&child);
    let mut kept = TcpStream::connect(web_at).unwrap();
    let mut answer = [0; 1_024];
    for _ in 0..CHECKS {
        kept.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            .unwrap();
        assert!(kept.read(&mut answer).unwrap() > 0);
    }
    let web = cpu_time(&child) - before;
    let each = |span: Duration| span.as_micros() as f64 / f64::from(CHECKS);
    println!(
        "CPU a check: agent, a connection each, {:.1} us; HTTP on a kept connection {:.1} us",
        each(agents),
        each(web)
    );

    // Latency of clients, in alternate rounds without and with checks.
    let mut client = Peer::client(listen);
    let mut id = 0;
    for round in 0..ROUNDS {
        for checked in [false, true] {
            let stop = Arc::new(AtomicBool::new(false));
            let done = Arc::clone(&stop);
            let checks = thread::spawn(move || {
                let (start, mut number) = (Instant::now(), 0_u64);
                while !done.load(Ordering::Relaxed) {
                    if !checked {
                        return 0;
                    }
                    agent_check(agent_at);
                    number += 1;
                    let due = start + Duration::from_micros(number * 1_000_000 / CHECKS_PER_SECOND);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                }
                number
            });
            let mut times = Histogram::<u64>::new(3).unwrap();
            let start = Instant::now();
            while start.elapsed() < ROUND_DURATION {
                id += 1;
                let asked = Instant::now();
                client.ask(&common::read_statement(id, "any", 19_000));
                let reply = client.reply();
                assert_eq!(reply.value.as_deref(), Some("x"));
                times.record(asked.elapsed().as_micros() as u64).unwrap();
            }
            stop.store(true, Ordering::Relaxed);
            let checks = checks.join().unwrap();
            let at = |q| times.value_at_quantile(q);
            println!(
                "round {round}, {} checks a second: {} requests, p50 {} us, p99 {} us, p99.9 {} us",
                checks / ROUND_DURATION.as_secs(),
                times.len(),
                at(0.5),
                at(0.99),
                at(0.999)
            );
        }
    }
    _ = child.kill();
    _ = child.wait();
}
