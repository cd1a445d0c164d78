//! The serving process: wires the parts of the program together and runs them on one thread.
//!
//! | module | concern |
//! | --- | --- |
//! | `state` | the `Proxy` type and its accessors |
//! | `startup` | what is inherited, listened on and loaded, in order |
//! | `event_loop` | the loop: wait, dispatch descriptors that are ready, run timers |
//! | `timers` | what each timer kind does |
//! | `commands` | signals and commands of an embedding program |
//! | `control_socket` | the operators' commands on the control socket |
//! | `admin_calls`, `metrics` | calls on the admin address, and the metrics that they read |
//! | `drain` | carries out the actions of the drain state machine |
//! | `reload` | takes over a new configuration |
//! | `hot_restart` | messages between an old and a new process, and how they share limits |
//! | `fleet` | membership, rollout and quota lending |
//! | `persistence` | what has to be on disk before an operator gets an answer |
//!
//! Nothing here decides about requests: that is the pipeline's.

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
