//! Simulates incidents of health reporting on virtual time: scripted load balancers in front of proxies that run the
//! real availability model and the real drain sequence. A run records the reports that each balancer received along
//! with the actual state.

pub mod balancer;
pub mod chart;
pub mod outcome;
pub mod play;
mod proxy;
pub mod script;
pub mod world;

/// Time since the start of an incident.
pub type Time = std::time::Duration;
