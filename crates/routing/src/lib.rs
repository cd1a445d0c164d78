//! Routing decisions of a gateway that distributes reads over replicas: cost-to-fresh routing after DTR2.
//!
//! A [`Router`] is a pure state machine: it takes an [`Event`] and a clock reading and appends [`Action`]s. It does no
//! I/O, reads no clock, writes no log and shares no state with other routers.
//!
//! # Request processing
//!
//! 1. `expiry` records the request with its deadlines and the log position that its session requires (`freshness`).
//! 2. `admission` rejects the request if recent answers show that the servers cannot handle the whole load.
//! 3. `selection` picks the member of the request's group with the lowest cost: this router's remaining work there, the
//!    wait until the member has caught up, and the expected run time. It skips servers that are excluded by `retry`
//!    (idempotency, deduplication windows, attempt limits, drains), `slow_start`, `backoff` or `concurrency`. Writes
//!    and strong reads require the primary (`primary`).
//! 4. The request is sent (`retry`), queued (`expiry`) while positions or roles are being probed (`probing`) or
//!    capacity is missing, or rejected (`expiry`).
//! 5. When an attempt ends, `outcomes` updates the estimates through the module of each rule, and queued requests of
//!    the group are dispatched again.
//!
//! `endpoints` maintains the endpoint list and schedules polls; `router` contains the event loop, `state` the data and
//! `tuning` all constants. `averages`, `random` and `slow_start_budget` are pure arithmetic.
//!
//! ```
//! use routing::*;
//! use std::time::Duration;
//!
//! let settings = Settings {
//!     router_count: 1,
//!     router_index: 0,
//!     zone: ZoneId(0),
//!     classes: vec![Class {
//!         consistency: Consistency::Eventual,
//!         idempotency: Idempotency::Idempotent,
//!         latency_objective: Duration::from_millis(200),
//!         deadline: Duration::from_secs(1),
//!         priority_weight: 1.0,
//!         late_weight_fraction: 0.0,
//!     }],
//!     tenants: vec![],
//!     over_quota_weight_fraction: 1.0,
//!     staleness_check: StalenessCheck::Reject,
//!     clients_carry_session_position: false,
//!     endpoints_are_polled: false,
//!     max_poll_interval: Duration::from_secs(10),
//!     may_probe: true,
//!     may_cancel: true,
//!     may_hedge: true,
//!     may_send_retry_after: true,
//!     max_retry_after: Duration::from_millis(500),
//!     attempt_limit: 4,
//!     drain_grace: Duration::from_millis(250),
//!     soft_removal: false,
//!     initial_capacity_fraction: 0.25,
//!     warm_up_duration: Duration::from_secs(10),
//!     overload_factor: 3.0,
//!     overload_duration: Duration::from_secs(1),
//!     idle_timeout: Duration::from_secs(15),
//! };
//! let mut actions = Vec::new();
//! let mut router = Router::new(settings, 7, Time::ZERO);
//! let replica = Endpoint {
//!     server: ServerId(1),
//!     group: GroupId(0),
//!     zone: ZoneId(0),
//!     machine_type: MachineTypeId(0),
//!     state: EndpointState::Ready,
//!     primary: false,
//!     started: Time::ZERO,
//! };
//! router.handle(Time::ZERO, Event::Endpoints(EndpointUpdate::Snapshot(vec![replica])), &mut actions);
//! let read = Arrival {
//!     id: RequestId(42),
//!     class: ClassId(0),
//!     client_class: None,
//!     tenant: TenantId(0),
//!     group: GroupId(0),
//!     session: None,
//!     time_left: Duration::from_secs(1),
//!     session_position: None,
//!     is_client_retry: false,
//!     quota_status: QuotaStatus::WithinQuota,
//!     shed_fraction: 0.0,
//!     attempt_limit: None,
//! };
//! router.handle(Time::from_micros(1_000), Event::RequestArrived(read), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! ```
#![forbid(unsafe_code)]

mod admission;
mod averages;
mod backoff;
mod concurrency;
mod endpoints;
mod estimates;
mod expiry;
mod freshness;
mod interface;
mod outcomes;
mod primary;
mod probing;
mod random;
mod repetition;
mod retry;
mod router;
mod selection;
mod slow_start;
mod slow_start_budget;
mod state;
mod tuning;

pub use interface::*;
pub use state::Router;
pub use tuning::Tuning;
