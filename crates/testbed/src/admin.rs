//! Calls to a proxy's admin address: reads its metrics, and excludes and includes record servers.

use crate::process::{self, Fault};
use crate::Testbed;
use std::io::{Read, Write};

impl Testbed {
    /// Fetches a proxy's metrics: name with labels, and value.
    pub fn metrics(&self, proxy: usize) -> Result<rustc_hash::FxHashMap<String, u64>, Fault> {
        let fault = |e: std::io::Error| Fault::new(format!("metrics of proxy {proxy}: {e}"));
        let admin = self.proxies[proxy]
            .admin
            .ok_or_else(|| Fault::new("the proxy has no admin address; set Setup::admin"))?;
        let mut text = String::new();
        let mut stream = std::net::TcpStream::connect(admin).map_err(fault)?;
        // A stopped proxy accepts the connection but never answers.
        stream
            .set_read_timeout(Some(process::EVENT_TIMEOUT))
            .map_err(fault)?;
        stream
            .write_all(b"GET /api/telemetry HTTP/1.1\r\nHost: rig\r\n\r\n")
            .map_err(fault)?;
        stream.read_to_string(&mut text).map_err(fault)?;
        let lines = text.lines().filter(|line| line.starts_with("lb_"));
        let pairs = lines.filter_map(|line| line.rsplit_once(' '));
        Ok(pairs
            .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
            .collect())
    }

    /// Excludes (`out`) or includes a record server through the admin address. Returns the body of the answer; an answer
    /// other than 200 is a fault.
    pub fn set_excluded(&self, proxy: usize, server: &str, out: bool) -> Result<String, Fault> {
        let fault = |e: std::io::Error| Fault::new(format!("admin call to proxy {proxy}: {e}"));
        let admin = self.proxies[proxy]
            .admin
            .ok_or_else(|| Fault::new("the proxy has no admin address; set Setup::admin"))?;
        let word = if out { "exclude" } else { "include" };
        let body = format!("{{\"target\":\"{server}\"}}");
        let head = format!(
            "POST /api/{word} HTTP/1.1\r\nHost: rig\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut stream = std::net::TcpStream::connect(admin).map_err(fault)?;
        stream
            .set_read_timeout(Some(process::EVENT_TIMEOUT))
            .map_err(fault)?;
        stream.write_all((head + &body).as_bytes()).map_err(fault)?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).map_err(fault)?;
        match answer.split_once("\r\n\r\n") {
            Some((head, text)) if head.starts_with("HTTP/1.1 200") => Ok(text.trim().to_owned()),
            _ => Err(Fault::new(format!(
                "proxy {proxy} refused to {word} {server}: {answer}"
            ))),
        }
    }
}
