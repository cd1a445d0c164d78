//! Admit: the table of open requests. A request is added once, and removed when it gets its final answer.

use super::client_request_ids::{ClientRequestId, ClientRequestIds};
use crate::event_loop::memory::{MemoryMeter, Reservation};
use crate::event_loop::slab::Key;
use crate::event_loop::timers::deadline_after;
use crate::request::{truncate_for_display, Answer, Command, Request, ResponseSlot};
use bulkheads::PoolId;
use routing::{Arrival, AttemptNumber, ClassId, GroupId, QuotaStatus, RequestId, TenantId};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An answer that is being forwarded in chunks.
#[derive(Clone, Copy, Debug)]
pub struct StreamingAnswer {
    /// The attempt that it answers.
    pub attempt: AttemptNumber,
    /// The upstream connection on which it arrives.
    pub connection: Key,
    /// Number of bytes of its row that have not arrived.
    pub row_bytes_left: usize,
}

/// A request that has no final answer yet.
#[derive(Debug)]
pub struct OpenRequest {
    client_request_id: ClientRequestId,
    /// Slot of the answer on the client's connection.
    pub slot: ResponseSlot,
    /// Class that the client gave.
    pub class: ClassId,
    /// Group of servers that holds the data of the request.
    pub group: GroupId,
    /// Tenant whose quota the request counts against.
    pub tenant: TenantId,
    /// Status of the request in that quota.
    pub quota_status: QuotaStatus,
    /// Bulkhead pool that the request counts against.
    pub pool: Option<PoolId>,
    /// Command that is sent to servers.
    pub command: Arc<Command>,
    /// Time at which the request was read from the client.
    pub read_at: Instant,
    /// Timeout of the client, counted from when it sent the request.
    pub timeout: Duration,
    /// The answer that is being forwarded in chunks.
    pub streaming: Option<StreamingAnswer>,
    /// The answer with which the decision module has given up the request, while a stalled attempt may still serve it.
    pub deferred_answer: Option<Answer>,
    attempts: u16,
    /// The memory that the command occupies.
    _memory: Reservation,
}

impl OpenRequest {
    /// Attempts sent so far.
    pub fn attempts(&self) -> u16 {
        self.attempts
    }

    /// Counts an attempt and returns its number; the first attempt has number 0.
    pub fn next_attempt(&mut self) -> AttemptNumber {
        self.attempts += 1;
        AttemptNumber(self.attempts - 1)
    }
}

/// All open requests, and the client request ids that no new request may have.
#[derive(Debug, Default)]
pub struct OpenRequests {
    open: BTreeMap<RequestId, OpenRequest>,
    ids_by_slot: BTreeMap<ResponseSlot, RequestId>,
    client_request_ids: ClientRequestIds,
    /// Meter in which the commands of open requests count.
    memory: MemoryMeter,
    last_id: u64,
    /// Maximum number of open requests; 0: no limit.
    limit: usize,
}

impl OpenRequests {
    /// `limit`: maximum number of open requests; 0: no limit.
    pub fn new(limit: usize) -> OpenRequests {
        OpenRequests {
            limit,
            ..OpenRequests::default()
        }
    }

    /// Sets the meter in which the commands of requests that are admitted from now on count.
    pub fn set_memory_meter(&mut self, memory: MemoryMeter) {
        self.memory = memory;
    }

    /// Sets the limit. Open requests are kept even if there are more than a lower limit allows.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns a new request id; ids are not reused.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Returns the answer that rejects a request if it can't be admitted: the limit is reached, or its client request id
    /// is in use. The id must be new for every request: record servers detect repeats of a request by it, so if two
    /// clients used the same id, one would get the answer meant for the other.
    pub fn check_admission(&mut self, request: &Request) -> Option<Answer> {
        if self.limit > 0 && self.open.len() >= self.limit {
            return Some(Answer::Rejected(None));
        }
        self.client_request_ids.expire(request.read_at);
        let in_use = self.client_request_ids.contains(&request.id);
        in_use.then(|| {
            Answer::Invalid(format!(
                "id={} is another request's",
                truncate_for_display(&request.id)
            ))
        })
    }

    /// Adds a request that [`OpenRequests::check_admission`] allows. `class`: the class that the client gave.
    pub fn admit(
        &mut self,
        arrival: &Arrival,
        slot: ResponseSlot,
        class: ClassId,
        pool: Option<PoolId>,
        request: Request,
    ) {
        let id = arrival.id;
        self.ids_by_slot.insert(slot, id);
        let open = OpenRequest {
            client_request_id: self.client_request_ids.reserve(&request.id),
            slot,
            class,
            group: GroupId(request.group),
            tenant: arrival.tenant,
            quota_status: arrival.quota_status,
            pool,
            _memory: self.memory.reserve(request.command.byte_count()),
            command: Arc::new(request.command),
            read_at: request.read_at,
            timeout: request.timeout,
            streaming: None,
            deferred_answer: None,
            attempts: 0,
        };
        self.open.insert(id, open);
    }

    /// The open request with this id; none if it has ended.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// Number of client request ids that no new request may have.
    pub fn reserved_client_request_ids(&self) -> usize {
        self.client_request_ids.reserved_count()
    }

    /// Removes a request. The caller must send the answer, as the request can't be found any more.
    pub fn close(&mut self, id: RequestId, now: Instant) -> Option<OpenRequest> {
        let open = self.open.remove(&id)?;
        self.ids_by_slot.remove(&open.slot);
        self.client_request_ids.end(open.client_request_id, now);
        Some(open)
    }

    /// The open request whose answer goes to `slot`.
    pub fn id(&self, slot: ResponseSlot) -> Option<RequestId> {
        self.ids_by_slot.get(&slot).copied()
    }

    /// Open requests that precede this one on its connection, the earliest first.
    pub fn ids_before(&self, slot: ResponseSlot) -> Vec<RequestId> {
        let first = ResponseSlot { number: 0, ..slot };
        self.ids_by_slot
            .range(first..slot)
            .map(|(_, id)| *id)
            .collect()
    }

    /// The slot of a client's first open request.
    pub fn first_slot(&self, client: Key) -> Option<ResponseSlot> {
        let first = ResponseSlot { client, number: 0 };
        let (slot, _) = self.ids_by_slot.range(first..).next()?;
        Some(*slot).filter(|slot| slot.client == client)
    }

    /// Whether an open request that precedes this one on its connection has a later deadline.
    pub fn is_behind_longer_request(&self, slot: ResponseSlot) -> bool {
        let end = |id: &RequestId| {
            let open = self.open.get(id)?;
            Some(deadline_after(open.read_at, open.timeout))
        };
        let own = self.ids_by_slot.get(&slot).and_then(end);
        let first = ResponseSlot { number: 0, ..slot };
        let mut before = self.ids_by_slot.range(first..slot);
        before.any(|(_, id)| end(id) > own)
    }

    /// Ids of all open requests.
    pub fn ids(&self) -> Vec<RequestId> {
        self.open.keys().copied().collect()
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
