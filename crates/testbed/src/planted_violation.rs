//! A proxy that violates one rule on purpose, to test the checkers. It reads the history to find suitable servers.

use crate::discovery::Addresses;
use crate::history::History;
use crate::link;
use crate::process::Fault;
use crate::wire::{self, Connection, Reply};
use invariant_checkers::Rule;
use leverproxy::protocol::postgres::server::{self, CancelKey, ClientMessage, Startup};
use leverproxy::protocol::postgres::statement::{self, Query};
use server_model::site::ServerIndex;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A proxy that violates one rule.
#[derive(Clone)]
pub struct PlantedViolation {
    /// The violated rule.
    pub rule: Rule,
    /// The proxy that it replaces.
    pub proxy: usize,
    /// History, from which the servers are read.
    pub history: History,
    /// Addresses of the servers.
    pub addresses: Arc<watch::Sender<Addresses>>,
    /// Address of discovery.
    pub list: SocketAddr,
}

/// Number of attempts above every limit that the testbed sets.
const EXCESSIVE_ATTEMPTS: usize = 50;

impl PlantedViolation {
    /// Starts to serve and returns the address.
    pub async fn open(self) -> Result<SocketAddr, Fault> {
        let bound = TcpListener::bind("127.0.0.1:0").await;
        let listener = bound.map_err(|e| {
            Fault::new(format!(
                "cannot bind a port for a proxy with a planted violation: {e}"
            ))
        })?;
        let address = listener
            .local_addr()
            .map_err(|e| Fault::new(format!("a proxy with a planted violation: {e}")))?;
        // Watches the endpoint list like other proxies, but ignores it.
        let list = self.list;
        tokio::spawn(async move {
            let Ok(stream) = TcpStream::connect(list).await else {
                return;
            };
            let call = b"GET /catalog/members?watch=1&after=1 HTTP/1.1\r\nHost: list\r\n\r\n";
            let mut bytes = [0; 4096];
            if link::write_all(&stream, call).await.is_ok() {
                while matches!(link::read(&stream, &mut bytes).await, Ok(n) if n > 0) {}
            }
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let own = self.clone();
                tokio::spawn(async move {
                    _ = own.converse(&stream).await;
                });
            }
        });
        Ok(address)
    }

    async fn converse(&self, stream: &TcpStream) -> io::Result<()> {
        let mut input = Vec::new();
        let mut bytes = vec![0; 16 << 10];
        let mut session_started = false;
        let invalid_data = || io::Error::from(io::ErrorKind::InvalidData);
        loop {
            if !session_started {
                if let Some((Startup::Session(welcome), used)) =
                    server::parse_startup(&input, CancelKey::NONE).map_err(|_| invalid_data())?
                {
                    input.drain(..used);
                    session_started = true;
                    link::write_all(stream, &welcome).await?;
                }
            }
            if session_started {
                while let Some((ClientMessage::Query(text), used)) =
                    server::parse_client_message(&input).map_err(|_| invalid_data())?
                {
                    let out = self.answer(text).await?;
                    input.drain(..used);
                    link::write_all(stream, &out).await?;
                }
            }
            match link::read(stream, &mut bytes).await? {
                0 => return Ok(()),
                n => input.extend_from_slice(&bytes[..n]),
            }
        }
    }

    /// Answers a statement; an error closes the connection.
    async fn answer(&self, text: &str) -> io::Result<Vec<u8>> {
        let Ok(Query::Request(request)) = statement::parse(text, Instant::now()) else {
            return Ok(server::empty_query());
        };
        let (primary, member) = {
            let inner = self.history.lock();
            (
                inner.site.primary(request.group),
                inner.site.members(request.group).last().copied(),
            )
        };
        let (Some(primary), Some(member)) = (primary, member) else {
            return Ok(wire::error("53300", &[]));
        };
        let target = if text.starts_with("INSERT") {
            primary
        } else {
            member
        };
        Ok(match self.rule {
            Rule::Unanswered => std::future::pending().await,
            Rule::Lost => return Err(io::ErrorKind::ConnectionAborted.into()),
            Rule::Phantom => wire::row("made by nobody", &[]),
            Rule::AnsweredTwice => {
                let once = shown(self.forward(target, text).await?);
                [once.clone(), once].concat()
            }
            Rule::Repeated | Rule::Doubled => {
                self.forward(target, text).await?;
                shown(self.forward(target, text).await?)
            }
            Rule::TooManyAttempts => {
                for _ in 0..EXCESSIVE_ATTEMPTS {
                    self.forward(target, text).await?;
                }
                shown(self.forward(target, text).await?)
            }
            Rule::FalseRefusal => {
                self.forward(target, text).await?;
                wire::error("53300", &[])
            }
            // The violation lies in the target, which may drain, be cold or be stale.
            Rule::Stale | Rule::Drained | Rule::Collapsed => {
                shown(self.forward(target, text).await?)
            }
        })
    }

    async fn forward(&self, server: ServerIndex, text: &str) -> io::Result<Reply> {
        let address = self.addresses.borrow().get(&(self.proxy, server)).copied();
        let address = address.ok_or(io::ErrorKind::NotFound)?;
        Connection::open(address).await?.ask(text).await
    }
}

fn shown(reply: Reply) -> Vec<u8> {
    match (reply.value, reply.code) {
        (Some(value), _) => wire::row(&value, &[]),
        (None, code) => wire::error(code.as_deref().unwrap_or("XX000"), &[]),
    }
}
