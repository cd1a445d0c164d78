//! Processes of the program under test, started with the deploy file's command.

use crate::record::Record;
use crate::sys;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Processes started by this program, ended with it.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends every process that was started and not waited for.
pub fn end_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        sys::signal(pid, sys::SIGKILL);
    }
}

/// A port that nobody listens on at present.
pub fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

/// The value of `run` in the deploy file.
pub fn run_command(root: &Path) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    line.and_then(|line| line.strip_suffix('"'))
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other("the deploy file has no run line"))
}

pub struct Proxy {
    child: Child,
    pub listen: SocketAddr,
    pub admin: Option<SocketAddr>,
    record: Record,
    label: String,
}

/// What a process is told.
pub struct Start<'a> {
    pub root: &'a Path,
    pub folder: &'a Path,
    /// `$TMPDIR` of the process.
    pub tmp: &'a Path,
    pub label: &'a str,
    pub listen: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub config: &'a str,
}

impl Proxy {
    pub fn start(start: Start, record: &Record) -> io::Result<Proxy> {
        let config = start.folder.join(format!("{}.json", start.label));
        fs::write(&config, start.config)?;
        let log = fs::File::create(start.folder.join(format!("{}.log", start.label)))?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_command(start.root)?)
            .current_dir(start.root)
            .env("LB_CONFIG", &config)
            .env("TMPDIR", start.tmp)
            .env(
                "RUST_LOG",
                std::env::var("REVIEW_LOG").unwrap_or("info".into()),
            )
            .env_remove("LB_OPERATORS")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: the closure makes one system call.
        unsafe {
            command.pre_exec(|| {
                sys::end_with_parent();
                Ok(())
            })
        };
        let child = command.spawn()?;
        STARTED.lock().unwrap().push(child.id());
        record.line(format!("proxy {} is started", start.label));
        Ok(Proxy {
            child,
            listen: start.listen,
            admin: start.admin,
            record: record.clone(),
            label: start.label.into(),
        })
    }

    /// Waits until an empty query is answered on the clients' address.
    pub fn wait_ready(&mut self, within: Duration) -> io::Result<()> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(mut client) = crate::client::Client::connect(self.listen) {
                if client.empty_query().is_ok() {
                    self.record.line(format!("proxy {} answers", self.label));
                    return Ok(());
                }
            }
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!(
                    "proxy {} ended: {status}",
                    self.label
                )));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other(format!(
            "proxy {} is not ready",
            self.label
        )))
    }

    pub fn signal(&self, signal: i32) {
        self.record
            .line(format!("proxy {} gets signal {signal}", self.label));
        sys::signal(self.child.id(), signal);
    }

    /// Whether the process has ended.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// A call on the second address; returns the status and the body.
    pub fn call(&self, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
        let admin = self
            .admin
            .ok_or_else(|| io::Error::other("no second address"))?;
        let mut stream = TcpStream::connect(admin)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let length = body.len();
        stream.write_all(
            format!("{method} {path} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: {length}\r\n\r\n{body}")
                .as_bytes(),
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0);
        let body = text
            .split_once("\r\n\r\n")
            .map_or("", |(_, body)| body)
            .trim()
            .to_owned();
        Ok((status, body))
    }

    pub fn kill(&mut self) {
        sys::signal(self.child.id(), sys::SIGKILL);
        _ = self.child.wait();
        let own = self.child.id();
        STARTED.lock().unwrap().retain(|pid| *pid != own);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if !self.ended() {
            self.kill();
        }
        let own = self.child.id();
        STARTED.lock().unwrap().retain(|pid| *pid != own);
    }
}
