//! Control of a running proxy from outside.
//!
//! | module | who controls |
//! | --- | --- |
//! | `commands` | signals, and the program that embeds the proxy |
//! | `control_socket` | operators on the host, over a Unix socket |
//! | `admin` | operators' tools, over HTTP |
//!
//! Nothing here acts on the proxy: commands are decoded and handed to the event loop.

pub mod admin;
pub mod control_socket;

mod commands;

pub use commands::{channel, CommandReceiver, Control, ControlCommand};
