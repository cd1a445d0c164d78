//! Request pipeline: decode, route rules, quota, admit, route, send, relay, record.
//!
//! Each stage has its own file; the stages share only the open request. [`Pipeline`] passes requests, answers and
//! events between the stages:
//!
//! | file | concern |
//! | --- | --- |
//! | `decode`, `route_rules`, `quota`, `admit`, `route`, `send`, `relay`, `record` | the stages |
//! | `state` | the `Pipeline` type: its state, and settings that change at run time |
//! | `events` | events of clients, servers and discovery, in the order in which they are handled |
//! | `client_request_ids` | ids of clients' requests, which must be new |
//! | `requests` | requests until they are admitted, and requests that end without a server's answer |
//! | `exchanges` | answers and reports of servers |
//! | `answers` | the final answer to each request |
//! | `response_order` | keeps answers on time although each connection sends them in request order |
//! | `actions` | passes events to the decision module, and performs its actions |
//! | `endpoints` | endpoint updates from discovery, and manual exclusions |
//! | `io`, `timer_kind` | types that the pipeline shares with the event loop |

pub mod admit;
pub mod decode;
pub mod quota;
pub mod record;
pub mod relay;
pub mod route;
pub mod route_rules;
pub mod send;

mod actions;
mod answers;
mod client_request_ids;
mod endpoints;
mod events;
mod exchanges;
mod io;
mod requests;
mod response_order;
mod state;
mod timer_kind;

pub use io::Io;
pub use state::Pipeline;
pub use timer_kind::TimerKind;
