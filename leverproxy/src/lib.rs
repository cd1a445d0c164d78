//! A proxy before replicated record servers: requests come in on sockets, mountshift decides where each goes,
//! and the first whole answer goes back. `main.rs` only starts [`cli::main`]; [`proxy::Proxy`] embeds.
#![forbid(unsafe_code)]

pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod counters;
pub mod discovery;
pub mod front;
pub mod http;
pub mod net;
pub mod pg;
pub mod proxy;
pub mod reactor;
pub mod request;
pub mod stages;
pub mod upstream;
