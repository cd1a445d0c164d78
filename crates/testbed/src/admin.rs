//! Calls to a proxy's second address: its metrics, and servers that an operator takes out.

use crate::process::{self, Fault};
use crate::Testbed;
use std::io::{Read, Write};

impl Testbed {
    /// What a proxy's second address tells of itself.
    pub fn metrics(&self, proxy: usize) -> Result<rustc_hash::FxHashMap<String, u64>, Fault> {
        let fault = |e: std::io::Error| Fault::new(format!("figures of proxy {proxy}: {e}"));
        let admin = self.proxies[proxy]
            .admin
            .ok_or_else(|| Fault::new("it has no second address"))?;
        let mut text = String::new();
        let mut stream = std::net::TcpStream::connect(admin).map_err(fault)?;
        // A proxy that stands still takes the call and never answers.
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

    /// What an operator says of a record server at the second address: it is taken out, or called back. Gives the answer's
    /// words; a no is a fault.
    pub fn set_excluded(&self, proxy: usize, server: &str, out: bool) -> Result<String, Fault> {
        let fault = |e: std::io::Error| Fault::new(format!("a call to proxy {proxy}: {e}"));
        let admin = self.proxies[proxy]
            .admin
            .ok_or_else(|| Fault::new("it has no second address"))?;
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
                "proxy {proxy} says to {word} {server}: {answer}"
            ))),
        }
    }
}
