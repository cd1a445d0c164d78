//! Proxies: processes started with the run command of the deploy file.

use crate::client::{Answer, Client};
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

pub fn free_address() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
}

/// The run line of the deploy file.
fn run_line() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find_map(|line| {
        let (key, value) = line.split_once('=')?;
        (key.trim() == "run").then(|| value.trim().trim_matches('"').to_owned())
    });
    line.expect("a run line")
}

/// Where and as what a proxy runs.
#[derive(Clone)]
pub struct Place {
    pub name: String,
    pub listen: SocketAddr,
    pub folder: PathBuf,
    pub discovery: SocketAddr,
    pub known: String,
    pub settings: String,
}

/// Processes that run. The end of the test ends those that are left.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn end_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        _ = Command::new("kill")
            .arg("-KILL")
            .arg(pid.to_string())
            .status();
    }
}

pub struct Proxy {
    child: Child,
    /// A shell that kills the process once this test is gone, however it ends.
    guard: Option<Child>,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
}

impl Proxy {
    pub fn start(place: &Place, start: usize) -> Proxy {
        let admin = free_address();
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"admin\":\"{admin}\",\"discovery\":\"{}\",\"seed\":\"{:x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512}},\"known\":{},\"settings\":{}}}",
            place.name,
            place.listen,
            place.discovery,
            crate::record::unix_ms() * 31 + start as u64,
            place.known,
            place.settings,
        );
        let path = place.folder.join(format!("{}-{start}.json", place.name));
        fs::write(&path, config).expect("a configuration");
        let tmp = place.folder.join(format!("tmp-{}", place.name));
        fs::create_dir_all(&tmp).expect("a folder");
        let log = fs::File::create(place.folder.join(format!("{}-{start}.log", place.name)))
            .expect("a log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_line())
            .env("LB_CONFIG", &path)
            .env("LB_NAME", &place.name)
            .env("LB_LISTEN", place.listen.to_string())
            .env("LB_DISCOVERY", place.discovery.to_string())
            .env("LB_ADMIN", admin.to_string())
            .env("TMPDIR", &tmp)
            .env("RUST_LOG", "info")
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the proxy starts");
        RUNNING.lock().unwrap().push(child.id());
        // The shell's input is a pipe that this test holds open: it ends when the test does.
        let guard = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("read ended; kill -KILL {}", child.id()))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .ok();
        Proxy {
            child,
            guard,
            listen: place.listen,
            admin,
        }
    }

    /// Waits until the proxy answers an empty query.
    pub fn wait_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(10) {
            if let Ok(mut client) = Client::connect(self.listen) {
                if client.ask("", Duration::from_secs(1)) == Answer::Empty {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether the admin address says yes to a call.
    pub fn call(&self, method: &str, path: &str, body: &str) -> bool {
        call(self.admin, method, path, body).unwrap_or(false)
    }

    pub fn terminate(&self) {
        _ = Command::new("kill")
            .arg("-TERM")
            .arg(self.child.id().to_string())
            .status();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(guard) = &mut self.guard {
            _ = guard.kill();
            _ = guard.wait();
        }
        _ = self.child.kill();
        _ = self.child.wait();
        RUNNING
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
    }
}

fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let length = body.len();
    stream.write_all(
        format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: {length}\r\n\r\n{body}")
            .as_bytes(),
    )?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer)?;
    Ok(answer.starts_with(b"HTTP/1.1 2"))
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let name = format!("review-{}-{}", std::process::id(), crate::record::unix_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            _ = fs::remove_dir_all(&self.0);
        } else {
            eprintln!("kept {}", self.0.display());
        }
    }
}
