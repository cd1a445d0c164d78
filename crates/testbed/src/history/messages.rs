//! Messages from the history to record servers' connections and to clients.

use server_model::clients::ClientAttempt;
use server_model::site::{self, Answer};
use server_model::Micros;
use tokio::sync::oneshot;

/// A record server's answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerReply {
    /// The outcome.
    pub answer: Answer,
    /// Role and position of the server; none if the server reports neither.
    pub metadata: Option<site::ResponseMetadata>,
    /// Identifies the answer, as part of the returned value.
    pub exchange: u64,
}

/// An attempt that a client has to make.
pub struct ClientTask {
    /// The attempt.
    pub asked: ClientAttempt,
    /// Time at which the client gives up.
    pub until: Micros,
    /// Resolves when the client gives up.
    pub cancelled: oneshot::Receiver<()>,
}
