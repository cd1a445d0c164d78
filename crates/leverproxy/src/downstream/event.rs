//! What the pipeline is notified of.

use crate::request::{Request, ResponseSlot};

/// An event of a client, for the pipeline.
#[derive(Debug)]
pub enum Event {
    /// A request. Its slot is owed an answer.
    Request(ResponseSlot, Request),
    /// The client has left: nobody waits for the answer.
    ClientLeft(ResponseSlot),
    /// The client has cancelled its request, on another connection.
    Cancelled(ResponseSlot),
    /// More chunks of an answer may come, after `Downstream::send_chunk` has returned false.
    Writable(ResponseSlot),
}
