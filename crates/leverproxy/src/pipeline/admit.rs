//! Admit: what is owed an answer is entered, once, and struck off with its final answer.

use crate::event_loop::slab::Key;
use crate::request::{shown, Answer, Command, Request, ResponseSlot};
use bulkheads::PoolId;
use routing::{Arrival, AttemptNo, ClassId, GroupId, QuotaStatus, RequestId, TenantId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A name stays taken for this long after its request has ended, and no more names than this are kept: whoever
/// repeats another's request goes on for a while after it is answered.
const NAMES_KEPT: (Duration, usize) = (Duration::from_secs(5), 20_000);

/// A request that is owed an answer.
#[derive(Debug)]
pub struct OpenRequest {
    name: Box<str>,
    pub ticket: ResponseSlot,
    pub class: ClassId,
    pub group: GroupId,
    /// Whose it is, and where it stands in that quota.
    pub tenant: TenantId,
    pub standing: QuotaStatus,
    /// The pool that it counts against.
    pub pool: Option<PoolId>,
    pub command: Arc<Command>,
    pub read_at: Instant,
    pub wait: Duration,
    /// The attempt whose answer is on its way to the client in pieces, and the connection that it comes on.
    pub passing: Option<(AttemptNo, Key)>,
    attempts: u16,
}

impl OpenRequest {
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
pub struct OpenRequests {
    open: BTreeMap<RequestId, OpenRequest>,
    tickets: BTreeMap<ResponseSlot, RequestId>,
    /// The clients' names of what is open or was of late, and when which of these ended.
    names: BTreeSet<Box<str>>,
    ended: VecDeque<(Instant, Box<str>)>,
    last_id: u64,
    /// Most requests open at once; 0: no limit.
    limit: usize,
}

impl OpenRequests {
    pub fn new(limit: usize) -> OpenRequests {
        OpenRequests {
            limit,
            ..OpenRequests::default()
        }
    }

    /// What is open stays, above a lower limit too.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    pub fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// What is to be answered instead of entering a request: the platform allows no more at once, or its name is
    /// that of another. Names are new with every request. Guards against a client that asks under another's name:
    /// record servers know a request by its name, and one of the two would get what was made for the other.
    pub fn bars(&mut self, request: &Request) -> Option<Answer> {
        if self.limit > 0 && self.open.len() >= self.limit {
            return Some(Answer::Refused(None));
        }
        self.forget_names(request.read_at);
        let taken = self.names.contains(&request.id);
        taken.then(|| Answer::Rejected(format!("id={} is another request's", shown(&request.id))))
    }

    /// Enters a request that nothing bars. `class`: the one that its client said.
    pub fn admit(
        &mut self,
        arrival: &Arrival,
        ticket: ResponseSlot,
        class: ClassId,
        pool: Option<PoolId>,
        request: Request,
    ) {
        let Arrival {
            id,
            tenant,
            quota_status: standing,
            ..
        } = *arrival;
        self.tickets.insert(ticket, id);
        let Request {
            id: name,
            command,
            read_at,
            wait,
            group,
            ..
        } = request;
        let group = GroupId(group);
        self.names.insert(name.clone());
        let command = Arc::new(command);
        let (passing, attempts) = (None, 0);
        let open = OpenRequest {
            name,
            ticket,
            class,
            group,
            tenant,
            standing,
            pool,
            command,
            read_at,
            wait,
            passing,
            attempts,
        };
        self.open.insert(id, open);
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    fn forget_names(&mut self, now: Instant) {
        let (time, number) = NAMES_KEPT;
        let old = |at: Instant| now.saturating_duration_since(at) >= time;
        while self.ended.len() > number || self.ended.front().is_some_and(|(at, _)| old(*at)) {
            let Some((_, name)) = self.ended.pop_front() else {
                return;
            };
            self.names.remove(&name);
        }
    }

    /// Names that no other request may bear.
    pub fn names(&self) -> usize {
        self.names.len()
    }

    /// Strikes a request off: whoever gets it owes its answer, and nobody else can.
    pub fn close(&mut self, id: RequestId, now: Instant) -> Option<OpenRequest> {
        let open = self.open.remove(&id)?;
        self.tickets.remove(&open.ticket);
        self.ended.push_back((now, open.name.clone()));
        Some(open)
    }

    pub fn id(&self, ticket: ResponseSlot) -> Option<RequestId> {
        self.tickets.get(&ticket).copied()
    }

    pub fn ids(&self) -> Vec<RequestId> {
        self.open.keys().copied().collect()
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
