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
//!     routers: 1,
//!     number: 0,
//!     zone: ZoneId(0),
//!     classes: vec![Class {
//!         need: Need::Any,
//!         effect: Effect::Safe,
//!         aim: Duration::from_millis(200),
//!         deadline: Duration::from_secs(1),
//!         worth: 1.0,
//!         late_worth: 0.0,
//!     }],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     checks: Checks::Refuse,
//!     tokens_carried: false,
//!     list_on_request: false,
//!     list_within: Duration::from_secs(10),
//!     may_probe: true,
//!     may_cancel: true,
//!     second_copies: true,
//!     retry_after: true,
//!     max_retry_after: Duration::from_millis(500),
//!     try_limit: 4,
//!     drain_grace: Duration::from_millis(250),
//!     soft_removal: false,
//!     cold_share: 0.25,
//!     warm_after: Duration::from_secs(10),
//!     overload_factor: 3.0,
//!     tip_after: Duration::from_secs(1),
//!     keepalive: Duration::from_secs(15),
//! };
//! let mut actions = Vec::new();
//! let mut router = Router::new(settings, 7, Time::ZERO);
//! let replica = Entry {
//!     store: StoreId(1),
//!     group: GroupId(0),
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     listed: Listed::Ready,
//!     primary: false,
//!     started: Time::ZERO,
//! };
//! router.handle(Time::ZERO, Event::List(ListNews::Complete(vec![replica])), &mut actions);
//! let read = Arrival {
//!     id: RequestId(42),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     group: GroupId(0),
//!     session: None,
//!     time_left: Duration::from_secs(1),
//!     wrote: None,
//!     repeated: false,
//!     standing: Standing::Within,
//!     shed: 0.0,
//!     tries: None,
//! };
//! router.handle(Time::from_micros(1_000), Event::Arrived(read), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { store: StoreId(1), .. })));
//! ```
#![forbid(unsafe_code)]

mod decide;
mod interface;
mod slow_start;

pub use decide::{Router, Tuning};
pub use interface::*;
