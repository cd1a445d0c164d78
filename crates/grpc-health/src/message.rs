//! The messages of `grpc.health.v1`.

use std::collections::HashMap;

#[derive(Clone, PartialEq, prost::Message)]
pub struct CheckRequest {
    #[prost(string, tag = "1")]
    pub service: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Status {
    Unknown = 0,
    Serving = 1,
    NotServing = 2,
    /// Of a watch alone.
    ServiceUnknown = 3,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct CheckResponse {
    #[prost(enumeration = "Status", tag = "1")]
    pub status: i32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ListResponse {
    #[prost(map = "string, message", tag = "1")]
    pub statuses: HashMap<String, CheckResponse>,
}
