//! A proxy before replicated record servers: requests come in on sockets, the decision module (`routing`) decides where each goes,
//! and the first whole answer goes back. `main.rs` only starts [`cli::main`]; a program that embeds a proxy
//! starts one itself:
//!
//! ```no_run
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let config = leverproxy::config::from_env(|name| std::env::var(name).ok())?;
//! let (mut proxy, control) = leverproxy::proxy::Proxy::start(config)?;
//! let serving = std::thread::spawn(move || proxy.run());
//! control.report();
//! control.stop();
//! serving.join().expect("the proxy does not panic")?;
//! # Ok(())
//! # }
//! ```
#![forbid(unsafe_code)]

pub mod admin;
pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod counters;
pub mod discovery;
pub mod front;
pub mod health;
pub mod http;
pub mod kept;
pub mod lending;
mod locate;
pub mod logging;
pub mod members;
pub mod memory;
pub mod monitor;
pub mod net;
pub mod operate;
pub mod operators;
pub mod pg;
pub mod proxy;
pub mod reactor;
pub mod reload;
pub mod request;
pub mod rollout;
pub mod seldom;
pub mod sites;
pub mod stages;
pub mod system_calls;
pub mod takeover;
pub mod upstream;
mod usage;
mod worth;
