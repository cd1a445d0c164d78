//! Record servers on sockets: one listener each; the history computes all answers.

use crate::foreign::ForeignRequests;
use crate::history::History;
use crate::link::{self, reset};
use crate::process::Fault;
use crate::wire;
use leverproxy::protocol::postgres::server::{self, CancelKey, ClientMessage, Startup};
use leverproxy::protocol::postgres::sqlstate;
use leverproxy::protocol::postgres::statement::{self, Query};
use server_model::site::{Answer, ServerIndex};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::net::{TcpListener, TcpStream};

/// How a record server answers.
#[derive(Clone)]
pub struct AnswerSettings {
    /// One in this many answers to reads begins and never ends; 0: none.
    pub endless_answers: u64,
    /// Requests of clients outside the model.
    pub foreign: Arc<ForeignRequests>,
}

/// Opens a server's listener. The port stays the same across the server's crashes.
pub async fn open(
    history: History,
    server: ServerIndex,
    answers: AnswerSettings,
) -> Result<SocketAddr, Fault> {
    let bound = TcpListener::bind("127.0.0.1:0").await;
    let listener = bound.map_err(|e| Fault::new(format!("no port for server {server}: {e}")))?;
    let address = listener
        .local_addr()
        .map_err(|e| Fault::new(format!("server {server}: {e}")))?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(connection(history.clone(), server, stream, answers.clone()));
        }
    });
    Ok(address)
}

/// A connection's entry in the server's connection table, released on drop.
struct ConnectionSlot<'a> {
    history: &'a History,
    server: ServerIndex,
    life: u64,
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        // A crash of the server has cleared its table.
        if *self.history.watch_deaths(self.server).borrow() == self.life {
            self.history.hang_up(self.server);
        }
    }
}

async fn connection(
    history: History,
    server: ServerIndex,
    stream: TcpStream,
    answers: AnswerSettings,
) {
    _ = stream.set_nodelay(true);
    let mut life = history.watch_deaths(server);
    let crashes_at_start = *life.borrow_and_update();
    let up = history.dial(server);
    if !up && !history.lock().site.runs(server) {
        return reset(&stream);
    }
    let slot = up.then(|| ConnectionSlot {
        history: &history,
        server,
        life: crashes_at_start,
    });
    tokio::select! {
        _ = life.wait_for(|now| *now > crashes_at_start) => reset(&stream),
        sound = converse(&history, server, &stream, up, &answers) => if sound.is_err() {
            reset(&stream);
        }
    }
    drop(slot);
}

/// The connection has to be closed: invalid input, or the peer has gone.
struct CloseConnection;

async fn converse(
    history: &History,
    server: ServerIndex,
    stream: &TcpStream,
    welcome: bool,
    answers: &AnswerSettings,
) -> Result<(), CloseConnection> {
    let mut input = Vec::new();
    let mut bytes = vec![0; 16 << 10];
    let mut session_started = false;
    loop {
        loop {
            let (out, used) = if !session_started {
                match server::parse_startup(&input, CancelKey::NONE).map_err(|_| CloseConnection)? {
                    None => break,
                    Some((Startup::Session(bytes), used)) => {
                        session_started = true;
                        // A full connection table is reported as an error.
                        let out = if welcome {
                            bytes
                        } else {
                            wire::error(sqlstate::TOO_MANY_CONNECTIONS, &[])
                        };
                        (out, used)
                    }
                    Some(_) => return Err(CloseConnection),
                }
            } else {
                match server::parse_client_message(&input).map_err(|_| CloseConnection)? {
                    None => break,
                    Some((ClientMessage::Query(text), used)) => {
                        match query(history, server, text, answers).await? {
                            Response::Whole(bytes) => (bytes, used),
                            Response::Foreign(bytes) => {
                                write_in_pieces(stream, &bytes, answers).await?;
                                (Vec::new(), used)
                            }
                            Response::Endless(beginning) => {
                                return stop_midway(stream, &beginning).await;
                            }
                        }
                    }
                    Some((ClientMessage::Terminate, _)) => return Ok(()),
                    Some((ClientMessage::Sync, used)) => (server::ready_for_query(), used),
                    Some((ClientMessage::Unsupported(tag), used)) => {
                        (server::unsupported(tag), used)
                    }
                }
            };
            input.drain(..used);
            link::write_all(stream, &out)
                .await
                .map_err(|_| CloseConnection)?;
            if !welcome && session_started {
                return Ok(());
            }
        }
        match link::read(stream, &mut bytes).await {
            Ok(n) if n > 0 => input.extend_from_slice(&bytes[..n]),
            _ => return Ok(()),
        }
    }
}

/// The response to a query.
enum Response {
    Whole(Vec<u8>),
    /// The response to a client outside the model.
    Foreign(Vec<u8>),
    /// The beginning of a response that never ends.
    Endless(Vec<u8>),
}

/// Writes the beginning of a response, and nothing more until the peer closes the connection.
async fn stop_midway(stream: &TcpStream, beginning: &[u8]) -> Result<(), CloseConnection> {
    let written = link::write_all(stream, beginning).await;
    written.map_err(|_| CloseConnection)?;
    let mut bytes = [0; 1 << 10];
    while link::read(stream, &mut bytes).await.is_ok_and(|n| n > 0) {}
    Ok(())
}

async fn write_in_pieces(
    stream: &TcpStream,
    bytes: &[u8],
    answers: &AnswerSettings,
) -> Result<(), CloseConnection> {
    let settings = answers.foreign.answers;
    for piece in bytes.chunks(settings.piece_bytes) {
        let written = link::write_all(stream, piece).await;
        written.map_err(|_| CloseConnection)?;
        if !settings.pause.is_zero() {
            tokio::time::sleep(settings.pause).await;
        }
    }
    Ok(())
}

/// The response to a request of a client outside the model.
async fn foreign_response(id: &str, answers: &AnswerSettings) -> Response {
    answers.foreign.record(id);
    let settings = answers.foreign.answers;
    if !settings.delay.is_zero() {
        tokio::time::sleep(settings.delay).await;
    }
    let value = "v".repeat(settings.value_bytes);
    Response::Foreign(wire::row(&value, &[("role", "primary".to_owned())]))
}

async fn query(
    history: &History,
    server: ServerIndex,
    text: &str,
    answers: &AnswerSettings,
) -> Result<Response, CloseConnection> {
    if text == "SHOW load" || text == "SELECT 1" {
        let Some(report) = history.probe(server).await.ok().flatten() else {
            return Err(CloseConnection);
        };
        let position = history.unix(report.position).as_secs_f64();
        let (primary, queued, held) = (u8::from(report.primary), report.queued, report.in_flight);
        let all = format!("x0={position:.6},x1={primary},backlog={queued},outstanding={held}");
        let value = if text == "SELECT 1" { "1" } else { &all };
        return Ok(Response::Whole(wire::row(value, &[])));
    }
    let request = match statement::parse(text, Instant::now()) {
        Ok(Query::Empty) => return Ok(Response::Whole(server::empty_query())),
        Ok(Query::Setting(tag)) => return Ok(Response::Whole(server::command_complete(tag))),
        Ok(Query::Request(request)) => request,
        Err(_) => {
            let error = wire::error(sqlstate::PROTOCOL_VIOLATION, &[]);
            return Ok(Response::Whole(error));
        }
    };
    let id = u64::from_str_radix(&request.id, 16).ok();
    if id.is_none() {
        return Ok(foreign_response(&request.id, answers).await);
    }
    let Some(reply) = id.and_then(|id| history.request(server, id)) else {
        let error = wire::error(sqlstate::PROTOCOL_VIOLATION, &[]);
        return Ok(Response::Whole(error));
    };
    // A hanging server never answers; a crash resets the connection.
    let reply = reply.await.map_err(|_| CloseConnection)?;
    let mut parameters = Vec::new();
    if let Some(metadata) = reply.metadata {
        // A write's commit position is rounded up, so that a replica at that position has the whole write.
        let micros = history.unix(metadata.position).as_micros();
        let write = reply.answer == Answer::Ok && metadata.primary;
        let millis = if write {
            micros.div_ceil(1_000)
        } else {
            micros / 1_000
        };
        parameters.push((
            "role",
            if metadata.primary {
                "primary"
            } else {
                "replica"
            }
            .to_owned(),
        ));
        parameters.push(("applied_ms", millis.to_string()));
    }
    let write = text.starts_with("INSERT");
    Ok(Response::Whole(match reply.answer {
        Answer::Ok => {
            let row = wire::row(&value(id.unwrap_or(0), reply.exchange), &parameters);
            let one_in = answers.endless_answers;
            let is_endless = one_in > 0 && reply.exchange % one_in == 0;
            if is_endless && !write {
                return Ok(Response::Endless(row[..row.len() / 2].to_vec()));
            }
            row
        }
        Answer::Misdirected => {
            let code = if write {
                sqlstate::READ_ONLY_SQL_TRANSACTION
            } else {
                sqlstate::SNAPSHOT_TOO_OLD
            };
            wire::error(code, &parameters)
        }
        Answer::Rejected => wire::error(sqlstate::TOO_MANY_CONNECTIONS, &parameters),
        Answer::Failed => wire::error("XX000", &parameters),
        Answer::Reset | Answer::Unreachable => return Err(CloseConnection),
    }))
}

/// Value of an answer, which identifies the attempt and the answer.
pub fn value(id: u64, exchange: u64) -> String {
    format!("{id:016x}{exchange:016x}")
}

/// The answer that a value identifies, if it belongs to this attempt.
pub fn exchange(value: &str, id: u64) -> Option<u64> {
    let of = value
        .get(..16)
        .and_then(|text| u64::from_str_radix(text, 16).ok());
    of.filter(|of| *of == id)
        .and_then(|_| u64::from_str_radix(value.get(16..)?, 16).ok())
}
