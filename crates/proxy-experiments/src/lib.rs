//! Experiments on virtual time: many proxies, each with a policy of its own, before the model of record servers.
//!
//! A [`scenario::Scenario`] says what there is, who asks and what goes wrong, as a file says it ([`mod@file`]);
//! [`play::play`] plays it for one policy and one seed; [`invariant_checkers::Checker`] watches the rules from outside and
//! [`tally::Tally`] keeps the books.

pub mod cli;
pub mod file;
pub mod hunt;
pub mod member;
pub mod plan;
pub mod planned;
pub mod play;
pub mod policy;
pub mod report;
pub mod results;
pub mod run;
pub mod scenario;
pub mod stats;
pub mod store;
pub mod summary;
pub mod table;
pub mod tally;
pub mod trial;
pub mod write;
