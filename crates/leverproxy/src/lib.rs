//! A proxy in front of replicated record servers. Requests come in on PostgreSQL connections; the decision module
//! (`routing`) decides which server gets each; the first complete answer goes back to the client.
//!
//! `proxy` wires the parts and runs the event loop. `downstream` (clients), `upstream` (record servers), `discovery`,
//! `health`, `control` and `cluster` own their connections; `pipeline` takes a request from one to the other.
//!
//! `main.rs` only calls [`cli::main`]. A program that embeds a proxy starts one itself:
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
