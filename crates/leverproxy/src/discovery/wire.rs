//! The JSON format of the endpoint list. Only this module maps discovery's field names.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// The complete list of record servers, or the changes in it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EndpointList {
    /// Discovery's change counter at this list.
    pub index: u64,
    /// Whether the list is complete; otherwise it contains only the changed servers.
    pub snapshot: bool,
    /// The servers.
    pub endpoints: Vec<ListedEndpoint>,
    /// Entries that could not be parsed.
    #[serde(skip)]
    pub unreadable: Vec<UnreadableEndpoint>,
}

/// An entry of the list that could not be parsed.
#[derive(Clone, Debug)]
pub struct UnreadableEndpoint {
    /// The server's name, if it can be read.
    pub name: Option<String>,
    /// A description of the parsing error.
    pub problem: String,
}

/// A list whose entries are not parsed yet.
#[derive(Default, Deserialize)]
#[serde(default)]
struct UncheckedList {
    index: u64,
    snapshot: bool,
    endpoints: Vec<serde_json::Value>,
}

/// One record server in the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedEndpoint {
    /// The server's name.
    pub name: String,
    /// The address that the server listens on; may be absent in a change which reports that the server is gone.
    pub address: Option<SocketAddr>,
    /// The name of the server's zone.
    #[serde(default)]
    pub zone: String,
    /// The name of the server's machine type.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// The server's group; may be absent in a change which reports that the server is gone.
    pub group: Option<u32>,
    /// The server's status.
    pub status: EndpointStatus,
    /// The time at which the server started, in Unix milliseconds; 0 if it is not known.
    #[serde(default, rename = "since_ms")]
    pub started_ms: u64,
}

/// A server's status. The names of the variants are the values in discovery's JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum EndpointStatus {
    /// The server takes requests.
    Ready,
    /// The server is draining.
    Terminating,
    /// The server is no longer in the list.
    Gone,
    /// A status unknown to this version. It is handled like [`EndpointStatus::Terminating`]: no new requests.
    #[serde(other)]
    Other,
}

/// The reason why a text is not an endpoint list.
#[derive(Debug, Error)]
#[error("{path}: {source}")]
pub struct EndpointListError {
    /// The path of the invalid field.
    pub path: String,
    /// The error in the field.
    pub source: serde_json::Error,
}

impl EndpointList {
    /// Parses discovery's JSON. Entries that cannot be parsed are collected in `unreadable`, so that the other entries
    /// are still applied.
    ///
    /// # Errors
    /// The text is not an endpoint list.
    pub fn parse_readable(json: &[u8]) -> Result<EndpointList, EndpointListError> {
        let error = match EndpointList::parse(json) {
            Ok(list) => return Ok(list),
            Err(error) => error,
        };
        let Ok(unchecked) = serde_json::from_slice::<UncheckedList>(json) else {
            return Err(error);
        };
        let mut list = EndpointList {
            index: unchecked.index,
            snapshot: unchecked.snapshot,
            ..EndpointList::default()
        };
        for entry in unchecked.endpoints {
            match serde_path_to_error::deserialize(&entry) {
                Ok(endpoint) => list.endpoints.push(endpoint),
                Err(error) => list.unreadable.push(UnreadableEndpoint {
                    name: entry["name"].as_str().map(str::to_owned),
                    problem: error.to_string(),
                }),
            }
        }
        Ok(list)
    }

    /// Parses discovery's JSON; fails if any entry is invalid.
    pub fn parse(json: &[u8]) -> Result<EndpointList, EndpointListError> {
        let mut json = serde_json::Deserializer::from_slice(json);
        serde_path_to_error::deserialize(&mut json).map_err(|error| EndpointListError {
            path: error.path().to_string(),
            source: error.into_inner(),
        })
    }
}
