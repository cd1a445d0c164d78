//! Events of the clients for the pipeline.

use crate::request::{Request, ResponseSlot};

/// An event of a client, for the pipeline.
#[derive(Debug)]
pub enum Event {
    /// A request. The pipeline has to answer its slot.
    Request(ResponseSlot, Request),
    /// The client has left: the answer is no longer needed.
    ClientLeft(ResponseSlot),
    /// The client has cancelled its request, on another connection.
    Cancelled(ResponseSlot),
    /// More chunks of an answer can be sent, after `Downstream::send_chunk` has returned false.
    Writable(ResponseSlot),
}
