//! External control of a running proxy.
//!
//! | module | source of commands |
//! | --- | --- |
//! | `commands` | signals, and the program that embeds the proxy |
//! | `control_socket` | operators on the host, over a Unix socket |
//! | `admin` | operators' tools, over HTTP |
//!
//! These modules only decode commands; the event loop executes them.

pub mod admin;
pub mod control_socket;

mod commands;

pub use commands::{channel, CommandReceiver, Control, ControlCommand};
