//! The proxy process: wires the parts of the program together and runs them on one thread.
//!
//! | module | concern |
//! | --- | --- |
//! | `state` | the `Proxy` type and its accessors |
//! | `startup` | start-up: handover from the old process, listeners, loading of state |
//! | `event_loop` | the loop: waits, dispatches ready descriptors, runs timers |
//! | `timers` | handlers of each timer kind |
//! | `commands` | commands from signals and from an embedding program |
//! | `control_socket` | the operators' commands on the control socket |
//! | `admin_calls`, `metrics` | calls on the admin address, and the metrics that it serves |
//! | `drain` | performs the actions of the drain state machine |
//! | `reload` | applies a new configuration |
//! | `hot_restart` | messages between the old and the new process, and how they share limits |
//! | `fleet` | membership, rollouts and quota lending |
//! | `persistence` | saves state, and sends operators' answers once it is on disk |
//!
//! Decisions about requests are made in the pipeline, not here.

mod admin_calls;
mod commands;
mod control_socket;
mod drain;
mod event_loop;
mod fleet;
mod hot_restart;
mod metrics;
mod persistence;
mod reload;
mod startup;
mod state;
mod timers;

pub use state::Proxy;
