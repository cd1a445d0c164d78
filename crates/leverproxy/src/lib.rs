//! A proxy in front of replicated record servers. Requests arrive on PostgreSQL connections, the decision module
//! (`routing`) selects the server for each, and the first complete answer is sent to the client.
//!
//! `proxy` connects the components and runs the event loop. `downstream` (clients), `upstream` (record servers),
//! `discovery`, `health`, `control` and `cluster` own their connections; `pipeline` passes requests from `downstream` to
//! `upstream`, and their answers back.
//!
//! `main.rs` only calls [`cli::main`]. A program that embeds a proxy starts it as follows:
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
