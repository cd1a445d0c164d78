//! Requests of clients outside the model, such as bad clients: how record servers answer them, and when each reached one.
//!
//! Ids of the model's requests are hexadecimal numbers; any other id belongs to such a client.

use crate::process::lock;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How record servers answer requests of clients outside the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForeignAnswers {
    /// Number of bytes of the value.
    pub value_bytes: usize,
    /// Time from a request to its answer.
    pub delay: Duration,
    /// The answer is written in pieces of this many bytes.
    pub piece_bytes: usize,
    /// Pause between two pieces.
    pub pause: Duration,
}

impl Default for ForeignAnswers {
    /// Small values, at once.
    fn default() -> Self {
        ForeignAnswers {
            value_bytes: 32,
            delay: Duration::ZERO,
            piece_bytes: usize::MAX,
            pause: Duration::ZERO,
        }
    }
}

/// The arrival of a request at a record server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForeignArrival {
    /// Id of the request.
    pub id: String,
    /// When it had been read in full.
    pub at: Instant,
}

/// The requests of clients outside the model.
#[derive(Debug)]
pub struct ForeignRequests {
    pub(crate) answers: ForeignAnswers,
    arrivals: Mutex<Vec<ForeignArrival>>,
}

impl ForeignRequests {
    pub(crate) fn new(answers: ForeignAnswers) -> ForeignRequests {
        ForeignRequests {
            answers,
            arrivals: Mutex::default(),
        }
    }

    pub(crate) fn record(&self, id: &str) {
        lock(&self.arrivals).push(ForeignArrival {
            id: id.to_owned(),
            at: Instant::now(),
        });
    }

    /// All arrivals so far, in their order.
    pub fn arrivals(&self) -> Vec<ForeignArrival> {
        lock(&self.arrivals).clone()
    }
}
