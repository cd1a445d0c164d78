//! Encodes the actions of one batch.

use routing::{Action, RequestId};
use std::time::Duration;

/// The records of one reply.
#[derive(Default)]
pub struct Reply {
    records: u32,
    body: Vec<u8>,
}

impl Reply {
    /// Appends an action of a router.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match *action {
            Action::Send {
                id,
                server,
                timeout,
                ..
            } => {
                self.start_for(65, instance, id);
                self.u32(server.0);
                // Longer than any client waits means the same on the wire, whose field is signed.
                self.u32(wire_span(timeout).min(i32::MAX as u32));
            }
            Action::Reject { id, retry_after } => {
                self.start_for(66, instance, id);
                self.u32(retry_after.map_or(0, wire_span));
            }
            Action::Fail { id } => self.start_for(67, instance, id),
            Action::Cancel { id, attempt } => {
                self.start_for(68, instance, id);
                self.body.extend(attempt.0.to_be_bytes());
            }
            Action::Timer { after, token } => {
                self.start(69, instance);
                self.u32(wire_delay(after));
                self.u32(token.0);
            }
            Action::Probe { server } => {
                self.start(70, instance);
                self.u32(server.0);
            }
            Action::PollEndpoints => {
                self.start(75, instance);
                self.body.push(1);
            }
        }
    }

    /// The finished frame; the reply is empty afterwards.
    pub fn frame(&mut self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.body.len());
        frame.extend(self.records.to_be_bytes());
        frame.extend((self.body.len() as u32).to_be_bytes());
        frame.append(&mut self.body);
        self.records = 0;
        frame
    }

    fn start(&mut self, code: u8, instance: u16) {
        self.records += 1;
        self.body.push(code);
        self.body.extend(instance.to_be_bytes());
    }

    fn start_for(&mut self, code: u8, instance: u16, id: RequestId) {
        self.start(code, instance);
        self.body.extend(id.0.to_be_bytes());
    }

    fn u32(&mut self, value: u32) {
        self.body.extend(value.to_be_bytes());
    }
}

/// Whole microseconds; the router's spans may be finer.
fn wire_span(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

/// A timer rounds up: one that came before its time would find nothing due.
fn wire_delay(span: Duration) -> u32 {
    u32::try_from(span.as_nanos().div_ceil(1_000)).unwrap_or(u32::MAX)
}
