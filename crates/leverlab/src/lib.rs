//! Experiments on virtual time: many proxies, each with a policy of its own, before the model of record servers.
//!
//! A [`scenario::Scenario`] says what there is and what goes wrong; [`fleet::run`] plays it for one policy and one
//! seed; [`check::Checker`] watches the rules from outside; [`compare`] pairs policies over seeds.

pub mod check;
pub mod compare;
pub mod fleet;
pub mod policy;
pub mod scenario;
