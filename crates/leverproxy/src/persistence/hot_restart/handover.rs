//! What the old process hands to the new one: a line of JSON, with the clients' listener as a descriptor beside it.

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

/// The version of the handover state; another one is rejected.
const VERSION: u32 = 1;
/// The old process answers from its event loop; one that takes longer is not waited for.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_MESSAGE_BYTES: usize = 8 << 20;
const READ_CHUNK: usize = 16 << 10;

/// The state that the old process hands over. Its JSON is read by earlier and later builds.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandoverState {
    pub(super) version: u32,
    /// The endpoint list that the old process has.
    #[serde(rename = "listing")]
    pub endpoint_list: EndpointList,
    /// The manual exclusions that have an effect.
    #[serde(rename = "hands")]
    pub exclusions: Vec<ManualExclusion>,
    /// Descriptors that the old process uses for clients. The new one does without them while both run.
    #[serde(rename = "clients")]
    pub client_connections: usize,
    /// The same for record servers.
    #[serde(rename = "upstream")]
    pub server_connections: usize,
}

impl HandoverState {
    /// The state in the version of this build.
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

/// Why the handover has failed. The new process then shares the address with the old one, and starts without its state.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// The socket failed, or the old process did not answer in time.
    #[error("it can't be read from: {0}")]
    Read(#[from] io::Error),
    /// The connection ended in the middle of the message.
    #[error("it ended before its message did")]
    Truncated,
    /// The message is too long.
    #[error("its message has more than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The message is not the JSON of a handover state.
    #[error("its message is not understood: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The handover state has this other version.
    #[error("its message has version {0}, and this process takes {VERSION}")]
    UnsupportedVersion(u32),
    /// No descriptor came with the message.
    #[error("no listener came with its message")]
    NoListener,
}

impl HandoverError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            HandoverError::Read(_) | HandoverError::Truncated => {
                "If the old process has ended, nothing. Else both accept clients now, and this one is ready once discovery has given its list: then send the old process SIGTERM. What operators took out has to be taken out here again."
            }
            HandoverError::TooLong | HandoverError::Malformed(_) | HandoverError::UnsupportedVersion(_) => {
                "The two builds do not understand each other. Both accept clients now, and this one is ready once discovery has given its list: then send the old process SIGTERM. What operators took out has to be taken out here again."
            }
            HandoverError::NoListener => {
                "This process is short of descriptors, or something else listens at that place in `$TMPDIR`. Both accept clients now: wait until this one is ready, then send the old process SIGTERM."
            }
        }
    }
}

/// The old process, as a new one finds it.
pub enum OldProcess {
    /// There is none.
    None,
    /// There may be one, but its handover failed.
    Failed(HandoverError),
    /// It has handed over its state, the clients' listener, and the connection that stays open while both run.
    HandedOver(Box<HandoverState>, OwnedFd, UnixStream),
}

/// Asks the process that listens at `path`, if there is one, for its state.
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

/// The first bytes of the message, and the descriptor that comes with them.
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

/// Sends the first bytes of the message with the listener; returns how many the socket took.
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
