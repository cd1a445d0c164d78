//! The side of the PostgreSQL protocol that the proxy's peers read and write, based on the proxy's own codec.

use leverproxy::protocol::postgres::{self, server};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// A record server's answer with a row of one column.
pub fn row(value: &str, parameters: &[(&str, String)]) -> Vec<u8> {
    let mut out = Vec::new();
    postgres::put(&mut out, b'T', |body| {
        body.extend([0, 1]);
        postgres::put_text(body, "doc");
        body.extend([0; 18]);
    });
    postgres::put(&mut out, b'D', |body| {
        body.extend([0, 1]);
        body.extend((value.len() as u32).to_be_bytes());
        body.extend(value.as_bytes());
    });
    postgres::put(&mut out, b'C', |body| postgres::put_text(body, "SELECT 1"));
    end(out, parameters)
}

/// An error response with this SQLSTATE.
pub fn error(code: &str, parameters: &[(&str, String)]) -> Vec<u8> {
    let mut out = Vec::new();
    postgres::put_error(&mut out, "ERROR", code, "as the rig's model has it", None);
    end(out, parameters)
}

fn end(mut out: Vec<u8>, parameters: &[(&str, String)]) -> Vec<u8> {
    for (name, value) in parameters {
        postgres::put(&mut out, b'S', |body| {
            postgres::put_text(body, name);
            postgres::put_text(body, value);
        });
    }
    postgres::put_ready_for_query(&mut out);
    out
}

/// Reply to a query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The row's value.
    pub value: Option<String>,
    /// SQLSTATE code of an error.
    pub code: Option<String>,
    /// Whether the error ends the connection.
    pub fatal: bool,
    /// The detail field of an error: milliseconds after which to retry.
    pub detail: Option<String>,
}

impl Reply {
    /// Whether the error means that the request was rejected and did not run.
    pub fn refused(&self) -> bool {
        matches!(self.code.as_deref(), Some("53300" | "57P03"))
    }

    /// Time after which the proxy asks the client to retry.
    pub fn retry_after(&self) -> Option<Duration> {
        self.detail
            .as_ref()?
            .parse()
            .ok()
            .map(Duration::from_millis)
    }
}

/// A connection of a client to a proxy, or of a proxy to a record server.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    input: Vec<u8>,
    /// Key from the peer for cancel requests.
    cancel_key: Option<[u8; CANCEL_KEY_BYTES]>,
}

const CANCEL_KEY_BYTES: usize = 8;
/// In place of a protocol version: the packet is a CancelRequest.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;

/// Maximum length of a message from a peer, in bytes.
const MESSAGE_LIMIT: usize = 8 << 20;

impl Connection {
    /// Connects and completes the startup exchange.
    pub async fn open(to: std::net::SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let mut connection = Connection {
            stream,
            input: Vec::new(),
            cancel_key: None,
        };
        crate::link::write_all(&connection.stream, &server::startup_packet("app", "shop")).await?;
        connection.reply().await?;
        Ok(connection)
    }

    /// Sends a query.
    pub async fn send(&self, query: &str) -> io::Result<()> {
        let mut out = Vec::new();
        postgres::put(&mut out, b'Q', |body| postgres::put_text(body, query));
        crate::link::write_all(&self.stream, &out).await
    }

    /// Sends several queries in one write.
    pub async fn send_all(&self, queries: &[String]) -> io::Result<()> {
        let mut out = Vec::new();
        for query in queries {
            postgres::put(&mut out, b'Q', |body| postgres::put_text(body, query));
        }
        crate::link::write_all(&self.stream, &out).await
    }

    /// Sends a cancel request for this connection to the peer at this address.
    pub async fn cancel(&self, peer: std::net::SocketAddr) -> io::Result<()> {
        let Some(key) = self.cancel_key else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let length = (2 * size_of::<u32>() + CANCEL_KEY_BYTES) as u32;
        let head = [length.to_be_bytes(), CANCEL_REQUEST_CODE.to_be_bytes()].concat();
        let stream = TcpStream::connect(peer).await?;
        crate::link::write_all(&stream, &[head, key.to_vec()].concat()).await
    }

    /// Whether only a part of a message has been received.
    pub fn holds_part_of_a_message(&self) -> bool {
        !self.input.is_empty()
    }

    /// Sends a query and reads its reply.
    pub async fn ask(&mut self, query: &str) -> io::Result<Reply> {
        self.send(query).await?;
        self.reply().await
    }

    /// Reads a reply, up to ReadyForQuery, or to the end of the connection after a fatal error.
    pub async fn reply(&mut self) -> io::Result<Reply> {
        let mut reply = Reply::default();
        let mut bytes = vec![0; 16 << 10];
        loop {
            let fault = |e: postgres::Malformed| io::Error::new(io::ErrorKind::InvalidData, e.0);
            while let Some(message) =
                postgres::parse_message(&self.input, MESSAGE_LIMIT).map_err(fault)?
            {
                match message.tag {
                    b'D' => {
                        reply.value = message
                            .body
                            .get(6..)
                            .map(|v| String::from_utf8_lossy(v).into_owned())
                    }
                    b'K' => self.cancel_key = message.body.try_into().ok(),
                    b'E' => {
                        let field =
                            |name| postgres::error_field(message.body, name).map(str::to_owned);
                        (reply.code, reply.detail) = (field(b'C'), field(b'D'));
                        reply.fatal = field(b'S').as_deref() == Some("FATAL");
                    }
                    _ => {}
                }
                let (tag, used) = (message.tag, message.raw.len());
                self.input.drain(..used);
                if tag == b'Z' || reply.fatal {
                    return Ok(reply);
                }
            }
            match crate::link::read(&self.stream, &mut bytes).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => self.input.extend_from_slice(&bytes[..n]),
            }
        }
    }

    /// State of this idle connection.
    pub fn idle(&mut self) -> Idle {
        let mut bytes = [0; 64];
        let read = self.stream.try_read(&mut bytes);
        if !self.input.is_empty() {
            return Idle::UnrequestedAnswer;
        }
        match read {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Idle::Usable,
            // A final error message before the close does not count as an answer.
            Ok(n) if n > 0 && bytes[0] != b'E' => Idle::UnrequestedAnswer,
            _ => Idle::Closed,
        }
    }
}

/// The state of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idle {
    /// Usable.
    Usable,
    /// Closed by the peer.
    Closed,
    /// The peer sent an answer without a request.
    UnrequestedAnswer,
}
