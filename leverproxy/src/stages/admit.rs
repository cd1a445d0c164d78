//! Admit: what is owed an answer is entered, once, and struck off with its final answer.

use crate::request::{Command, Request, Ticket};
use mountshift::{AttemptNo, ClassId, RequestId};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request that is owed an answer.
#[derive(Debug)]
pub struct Open {
    pub ticket: Ticket,
    pub class: ClassId,
    pub command: Arc<Command>,
    pub read_at: Instant,
    pub wait: Duration,
    attempts: u16,
}

impl Open {
    pub fn attempts(&self) -> u16 {
        self.attempts
    }

    /// Attempts count from 0 in the order sent.
    pub fn next_attempt(&mut self) -> AttemptNo {
        self.attempts += 1;
        AttemptNo(self.attempts - 1)
    }
}

#[derive(Debug, Default)]
pub struct Ledger {
    open: BTreeMap<RequestId, Open>,
    tickets: BTreeMap<Ticket, RequestId>,
    last_id: u64,
    /// Most requests open at once; 0: no limit.
    limit: usize,
}

impl Ledger {
    pub fn new(limit: usize) -> Ledger {
        Ledger { limit, ..Ledger::default() }
    }

    pub fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Enters a request; false: the platform allows no more at once.
    pub fn admit(&mut self, id: RequestId, ticket: Ticket, class: ClassId, request: Request) -> bool {
        if self.limit > 0 && self.open.len() >= self.limit {
            return false;
        }
        self.tickets.insert(ticket, id);
        let Request { command, read_at, wait, .. } = request;
        let command = Arc::new(command);
        self.open.insert(id, Open { ticket, class, command, read_at, wait, attempts: 0 });
        true
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Open> {
        self.open.get_mut(&id)
    }

    /// Strikes a request off: whoever gets it owes its answer, and nobody else can.
    pub fn close(&mut self, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        self.tickets.remove(&open.ticket);
        Some(open)
    }

    pub fn id(&self, ticket: Ticket) -> Option<RequestId> {
        self.tickets.get(&ticket).copied()
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
