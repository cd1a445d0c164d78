//! Descriptors, threads and signal handlers of a process, read from `/proc`.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Columns of the kernel's table of TCP sockets.
const REMOTE_COLUMN: usize = 2;
const INODE_COLUMN: usize = 9;

/// Descriptors and threads of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessState {
    /// Number of sockets, without TCP connections to the expected ports.
    pub sockets: u64,
    /// Number of other descriptors.
    pub other_descriptors: u64,
    /// Number of threads. Key: thread name.
    pub threads: BTreeMap<String, u64>,
}

impl ProcessState {
    /// Reads the state of a process. TCP connections to `expected_ports` are not counted.
    pub fn read(process: u32, expected_ports: &BTreeSet<u16>) -> io::Result<ProcessState> {
        let folder = folder_of(process);
        let inodes = socket_inodes(&folder)?;
        let expected = tcp_table(&folder)?
            .iter()
            .filter(|socket| inodes.contains(&socket.inode))
            .filter(|socket| expected_ports.contains(&socket.remote_port))
            .count();
        let descriptors = fs::read_dir(folder.join("fd"))?.count();
        let mut state = ProcessState {
            sockets: inodes.len().saturating_sub(expected) as u64,
            other_descriptors: descriptors.saturating_sub(inodes.len()) as u64,
            threads: BTreeMap::new(),
        };
        for entry in fs::read_dir(folder.join("task"))? {
            if let Ok(name) = fs::read_to_string(entry?.path().join("comm")) {
                *state.threads.entry(name.trim().to_owned()).or_default() += 1;
            }
        }
        Ok(state)
    }
}

fn folder_of(process: u32) -> PathBuf {
    Path::new("/proc").join(process.to_string())
}

fn socket_inodes(folder: &Path) -> io::Result<BTreeSet<String>> {
    let mut inodes = BTreeSet::new();
    for entry in fs::read_dir(folder.join("fd"))? {
        // The descriptor may be closed by now.
        let Ok(target) = fs::read_link(entry?.path()) else {
            continue;
        };
        let target = target.to_string_lossy();
        let inode = target.strip_prefix("socket:[");
        inodes.extend(inode.map(|inode| inode.trim_end_matches(']').to_owned()));
    }
    Ok(inodes)
}

struct TcpSocket {
    inode: String,
    remote_port: u16,
    line: String,
}

fn tcp_table(folder: &Path) -> io::Result<Vec<TcpSocket>> {
    let text = fs::read_to_string(folder.join("net/tcp"))?;
    Ok(text.lines().skip(1).filter_map(tcp_socket).collect())
}

fn tcp_socket(line: &str) -> Option<TcpSocket> {
    let columns: Vec<&str> = line.split_whitespace().collect();
    let (_, port) = columns.get(REMOTE_COLUMN)?.split_once(':')?;
    Some(TcpSocket {
        inode: (*columns.get(INODE_COLUMN)?).to_owned(),
        remote_port: u16::from_str_radix(port, 16).ok()?,
        line: line.trim().to_owned(),
    })
}

/// The lines of the kernel's table for the TCP sockets of a process.
pub fn describe_sockets(process: u32) -> io::Result<Vec<String>> {
    let folder = folder_of(process);
    let inodes = socket_inodes(&folder)?;
    let own = tcp_table(&folder)?.into_iter();
    Ok(own
        .filter(|socket| inodes.contains(&socket.inode))
        .map(|socket| socket.line)
        .collect())
}

/// Whether a process has handlers for all signals with these numbers.
pub fn handles_signals(process: u32, signals: &[i32]) -> bool {
    let status = fs::read_to_string(folder_of(process).join("status")).unwrap_or_default();
    let caught = status
        .lines()
        .find_map(|line| line.strip_prefix("SigCgt:"))
        .and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok())
        .unwrap_or(0);
    signals
        .iter()
        .all(|signal| caught & (1 << (signal - 1)) != 0)
}
