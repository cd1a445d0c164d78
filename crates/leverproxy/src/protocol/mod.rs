//! Codecs of the protocols spoken: PostgreSQL to clients and servers, HTTP to discovery.

pub mod http;
pub mod postgres;
