//! Checks of the proxies' processes around the signals of a soak run, in addition to the rules of the recorded history.

use super::process_state::{describe_sockets, ProcessState};
use super::{Breach, Run};
use crate::process::Fault;
use crate::wire::{Connection, Reply};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum time from a process's start until it is ready.
pub const READY_BOUND: Duration = Duration::from_secs(10);
/// Maximum time from SIGHUP until a valid file is in force.
pub const RELOAD_BOUND: Duration = Duration::from_secs(4);
/// Maximum time until a process has released what it held for clients and servers.
const RELEASE_BOUND: Duration = Duration::from_secs(5);
/// A process whose resources do not change for this time has settled.
const SETTLED: Duration = Duration::from_millis(100);
const POLL: Duration = Duration::from_millis(20);
/// First id of requests for the marker.
const FIRST_MARKER_ID: u64 = 1 << 50;
/// Marker of the first file, and increment per file, in milliseconds.
const FIRST_MARKER_MS: u64 = 100;
const MARKER_STEP_MS: u64 = 10;

/// The operators' file of this number. It refuses a statement that only the checks send, with the file's marker.
pub fn operators_file(version: u64) -> String {
    let marker = marker(version);
    format!("route marker {{\n class any\n statement \"SELECT marker\"\n refuse {marker}ms\n}}\n")
}

/// Marker of the file of this number: the retry time in its refusal, in milliseconds.
fn marker(version: u64) -> u64 {
    FIRST_MARKER_MS + MARKER_STEP_MS * version
}

async fn ask_marker(address: SocketAddr, id: u64) -> std::io::Result<Reply> {
    let mut connection = Connection::open(address).await?;
    let comment = format!("id={id:016x},c=any,d=1000,cluster=0");
    connection
        .ask(&format!("SELECT marker /* {comment} */"))
        .await
}

impl Run {
    /// Checks that the last valid file is in force within this time.
    pub fn check_file(&mut self, proxy: usize, within: Duration) {
        let expected = marker(self.expected_versions[proxy]);
        let address = self.context(proxy).address;
        let until = Instant::now() + within;
        let mut id = FIRST_MARKER_ID + ((proxy as u64) << 32) + (self.version << 16);
        loop {
            id += 1;
            let asked = self.testbed.wait(ask_marker(address, id));
            let seen = match asked {
                Ok(reply) => reply.detail,
                Err(error) => Some(error.to_string()),
            };
            if seen.as_deref() == Some(&expected.to_string()) {
                return;
            }
            if Instant::now() >= until {
                return self.breach(Breach::FormerFile {
                    proxy,
                    expected,
                    seen,
                });
            }
            std::thread::sleep(POLL);
        }
    }

    /// Checks that a process, ready after this time, was within the bound.
    pub fn check_ready(&mut self, proxy: usize, after: Duration, bound: Duration) {
        self.report.ready.push(after);
        self.log(format!("proxy {proxy} is ready"));
        if after > bound {
            self.breach(Breach::ReadyLate { proxy, after });
        }
    }

    /// Checks that a process has no unanswered attempts at the earliest time of SIGKILL.
    pub fn check_owed(&mut self, proxy: usize) {
        let attempts = self.testbed.history.owed(proxy);
        if !attempts.is_empty() {
            self.breach(Breach::OwedAtKill { proxy, attempts });
        }
    }

    /// Checks that an idle process holds no more resources than at its start, except connections to record servers and discovery.
    pub fn check_left_behind(&mut self, proxy: usize) {
        let until = Instant::now() + RELEASE_BOUND;
        loop {
            let left = match self.state_of(proxy) {
                Ok(now) => left_behind(&self.first_states[proxy], &now),
                Err(fault) => Some(fault.to_string()),
            };
            let Some(mut what) = left else { return };
            if Instant::now() >= until {
                if let Some(process) = &self.testbed.proxies[proxy].process {
                    let sockets = describe_sockets(process.number()).unwrap_or_default();
                    what += &format!(":\n    {}", sockets.join("\n    "));
                }
                return self.breach(Breach::LeftBehind { proxy, what });
            }
            std::thread::sleep(POLL);
        }
    }

    /// Resources of a process after its start, once they do not change any more.
    pub(super) fn settled_state_of(&self, proxy: usize) -> Result<ProcessState, Fault> {
        let until = Instant::now() + RELEASE_BOUND;
        let mut state = self.state_of(proxy)?;
        loop {
            std::thread::sleep(SETTLED);
            let now = self.state_of(proxy)?;
            if now == state || Instant::now() >= until {
                return Ok(now);
            }
            state = now;
        }
    }

    /// Resources of a proxy's process, without its connections to record servers and discovery.
    pub(super) fn state_of(&self, proxy: usize) -> Result<ProcessState, Fault> {
        let at = &self.testbed.proxies[proxy];
        let Some(process) = &at.process else {
            return Err(Fault::new("the proxy has no process"));
        };
        let links = self.testbed.links(&[proxy], None);
        let mut relays: BTreeSet<u16> = links.iter().map(|link| link.address.port()).collect();
        relays.insert(at.list.address.port());
        ProcessState::read(process.number(), &relays)
            .map_err(|e| Fault::new(format!("cannot read the state of the process: {e}")))
    }
}

/// The first resource that has grown since the start.
fn left_behind(first: &ProcessState, now: &ProcessState) -> Option<String> {
    if now.sockets > first.sockets {
        return Some(format!(
            "{} sockets instead of {}",
            now.sockets, first.sockets
        ));
    }
    if now.other_descriptors > first.other_descriptors {
        return Some(format!(
            "{} descriptors other than sockets instead of {}",
            now.other_descriptors, first.other_descriptors
        ));
    }
    // The thread for reloads starts with the first reload and stays.
    let doubled = now
        .threads
        .iter()
        .find(|(name, number)| **number > first.threads.get(*name).copied().unwrap_or(0).max(1));
    doubled.map(|(name, number)| format!("{number} threads with the name {name}"))
}
