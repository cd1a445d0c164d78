//! The messages of `grpc.health.v1`.

use std::collections::HashMap;

/// Request for the health of a service, once or as a watch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CheckRequest {
    /// The service's name; empty: the whole server.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// The health of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Status {
    /// The health is not known.
    Unknown = 0,
    /// The service takes requests.
    Serving = 1,
    /// The service takes no requests.
    NotServing = 2,
    /// The service is not known; sent in watches only.
    ServiceUnknown = 3,
}

/// Response to a check, and each message of a watch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CheckResponse {
    /// A [`Status`] by its number.
    #[prost(enumeration = "Status", tag = "1")]
    pub status: i32,
}

/// The health of all services.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ListResponse {
    /// The health of each service, by its name.
    #[prost(map = "string, message", tag = "1")]
    pub statuses: HashMap<String, CheckResponse>,
}
