//! Decisions of a gateway that spreads reads over replicas: cost-to-fresh routing after DTR2.
//!
//! A [`Router`] is a pure state machine: it takes an [`Event`] and a clock reading and appends
//! [`Action`]s. It opens no socket, reads no clock and shares nothing with other routers.
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
//!     kind: KindId(0),
//!     state: EndpointState::Ready,
//!     primary: false,
//!     started: Time::ZERO,
//! };
//! router.handle(Time::ZERO, Event::Endpoints(EndpointUpdate::Snapshot(vec![replica])), &mut actions);
//! let read = Arrival {
//!     id: RequestId(42),
//!     class: ClassId(0),
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

mod decide;
mod interface;
mod slow_start;

pub use decide::{Router, Tuning};
pub use interface::*;
