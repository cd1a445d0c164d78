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

pub mod cli;
pub mod clock;
pub mod cluster;
pub mod config;
pub mod control;
pub mod discovery;
pub mod downstream;
pub mod event_loop;
pub mod health;
pub mod observability;
pub mod persistence;
pub mod pipeline;
pub mod protocol;
pub mod proxy;
pub mod request;
pub mod upstream;
