//! Scripted balancers before proxies that run the real availability model and the real drain choreography, on virtual
//! time. An incident is played; what each balancer was told is recorded beside what was true.

pub mod balancer;
pub mod chart;
pub mod outcome;
pub mod play;
mod proxy;
pub mod script;
pub mod world;

/// Time since the start of an incident.
pub type Time = std::time::Duration;
