//! What the history hands to record servers' connections and to clients.

use server_model::clients::ClientAttempt;
use server_model::site::{self, Answer};
use server_model::Micros;
use tokio::sync::oneshot;

/// What a record server answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerReply {
    /// The outcome.
    pub answer: Answer,
    /// Role and position of the server; none from a server that tells neither.
    pub metadata: Option<site::ResponseMetadata>,
    /// Names the answer: it is part of the value.
    pub exchange: u64,
}

/// What a client is to do.
pub struct ClientTask {
    /// The attempt.
    pub asked: ClientAttempt,
    /// When it is given up.
    pub until: Micros,
    /// Resolves when the client gives up.
    pub cancelled: oneshot::Receiver<()>,
}
