//! The handover from the old process to the new one: a line of JSON, sent together with the descriptor of the clients'
//! listener.

use crate::discovery::wire::EndpointList;
use maintenance::ManualExclusion;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use std::io::{self, IoSlice, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// The version of the handover state; any other is rejected.
const VERSION: u32 = 1;
/// Time limit for each read of the handover. The old process answers from its event loop; after this the new process starts
/// without its state.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_MESSAGE_BYTES: usize = 8 << 20;
const READ_CHUNK: usize = 16 << 10;

/// The state that the old process hands over. Its JSON is read by earlier and later builds.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandoverState {
    pub(super) version: u32,
    /// The old process's endpoint list.
    #[serde(rename = "listing")]
    pub endpoint_list: EndpointList,
    /// The manual exclusions that have an effect.
    #[serde(rename = "hands")]
    pub exclusions: Vec<ManualExclusion>,
    /// Descriptors that the old process uses for clients. They reduce the new process's limit while both run.
    #[serde(rename = "clients")]
    pub client_connections: usize,
    /// Descriptors that the old process uses for record servers, which also reduce the new process's limit.
    #[serde(rename = "upstream")]
    pub server_connections: usize,
}

impl HandoverState {
    /// Creates a state in the version of this build.
    pub fn new(
        endpoint_list: EndpointList,
        exclusions: Vec<ManualExclusion>,
        client_connections: usize,
        server_connections: usize,
    ) -> HandoverState {
        HandoverState {
            version: VERSION,
            endpoint_list,
            exclusions,
            client_connections,
            server_connections,
        }
    }
}

/// Why the handover failed. The new process then listens on the same address as the old one, and starts without its state.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// The socket failed, or the old process did not answer in time.
    #[error("the handover cannot be read: {0}")]
    Read(#[from] io::Error),
    /// The connection ended in the middle of the message.
    #[error("the connection closed before the handover message was complete")]
    Truncated,
    /// The message is too long.
    #[error("the handover message has more than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The message is not the JSON of a handover state.
    #[error("the handover message cannot be parsed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The handover state has this version, which is not supported.
    #[error("the handover message has version {0}, and this process accepts only {VERSION}")]
    UnsupportedVersion(u32),
    /// The message carried no descriptor.
    #[error("the handover message came without the clients' listener")]
    NoListener,
}

impl HandoverError {
    /// Advice for operators.
    pub fn advice(&self) -> &'static str {
        match self {
            HandoverError::Read(_) | HandoverError::Truncated => {
                "If the old process has ended, no action is needed. Otherwise both processes accept clients now, and the new one is ready once it has received discovery's list: then send SIGTERM to the old process. Exclude again at the new process the servers that operators had excluded."
            }
            HandoverError::TooLong | HandoverError::Malformed(_) | HandoverError::UnsupportedVersion(_) => {
                "The two builds use incompatible handover messages. Both processes accept clients now, and the new one is ready once it has received discovery's list: then send SIGTERM to the old process. Exclude again at the new process the servers that operators had excluded."
            }
            HandoverError::NoListener => {
                "The new process lacks descriptors, or another program listens on the hot restart socket in `$TMPDIR`. Both processes accept clients now: wait until the new one is ready, then send SIGTERM to the old process."
            }
        }
    }
}

/// The result of requesting a handover from the old process.
pub enum OldProcess {
    /// There is no old process.
    None,
    /// There may be an old process, but its handover failed.
    Failed(HandoverError),
    /// The old process has handed over its state, the clients' listener, and the connection that stays open while both run.
    HandedOver(Box<HandoverState>, OwnedFd, UnixStream),
}

/// Requests the state of the process that listens at `path`, if there is one.
pub fn request_handover(path: &Path) -> OldProcess {
    let Ok(stream) = UnixStream::connect(path) else {
        return OldProcess::None;
    };
    match receive(&stream) {
        Ok((state, listener)) => OldProcess::HandedOver(Box::new(state), listener, stream),
        Err(error) => OldProcess::Failed(error),
    }
}

pub(super) fn receive(mut stream: &UnixStream) -> Result<(HandoverState, OwnedFd), HandoverError> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let (mut text, listener) = receive_start(stream)?;
    let mut chunk = [0; READ_CHUNK];
    while !text.ends_with(b"\n") {
        match stream.read(&mut chunk)? {
            0 => return Err(HandoverError::Truncated),
            n if text.len() + n > MAX_MESSAGE_BYTES => return Err(HandoverError::TooLong),
            n => text.extend_from_slice(&chunk[..n]),
        }
    }
    let state: HandoverState = serde_json::from_slice(&text)?;
    if state.version != VERSION {
        return Err(HandoverError::UnsupportedVersion(state.version));
    }
    Ok((state, listener.ok_or(HandoverError::NoListener)?))
}

/// Receives the first bytes of the message, and the descriptor sent with them.
fn receive_start(stream: &UnixStream) -> io::Result<(Vec<u8>, Option<OwnedFd>)> {
    let mut chunk = [0; READ_CHUNK];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(&mut chunk)];
    let received = recvmsg(stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?.bytes;
    let listener = ancillary.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
        _ => None,
    });
    Ok((chunk[..received].to_vec(), listener))
}

/// Sends the first bytes of the message with the listener; returns how many bytes the socket accepted.
pub(super) fn send_start(
    socket: &OwnedFd,
    text: &[u8],
    listener: &OwnedFd,
) -> rustix::io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let fds = [listener.as_fd()];
    ancillary.push(SendAncillaryMessage::ScmRights(&fds));
    sendmsg(
        socket,
        &[IoSlice::new(text)],
        &mut ancillary,
        SendFlags::NOSIGNAL,
    )
}
