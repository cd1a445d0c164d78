//! Codecs: PostgreSQL to clients and record servers, HTTP to discovery.

pub mod http;
pub mod postgres;
