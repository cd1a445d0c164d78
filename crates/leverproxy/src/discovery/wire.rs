//! Discovery's JSON.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The whole list of record servers or what changed in it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Listing {
    pub index: u64,
    pub snapshot: bool,
    pub endpoints: Vec<ListedEndpoint>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedEndpoint {
    pub name: String,
    /// Absent where a change tells of an end alone.
    pub address: Option<SocketAddr>,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    pub group: Option<u32>,
    pub status: Status,
    #[serde(default)]
    pub since_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Status {
    Ready,
    Terminating,
    Gone,
    /// A word that is not known here: the safe reading is that the server wants nothing new.
    #[serde(other)]
    Other,
}

#[derive(Debug)]
pub struct ListingError(pub String);

impl Listing {
    pub fn parse(json: &[u8]) -> Result<Listing, ListingError> {
        let mut json = serde_json::Deserializer::from_slice(json);
        serde_path_to_error::deserialize(&mut json)
            .map_err(|e| ListingError(format!("{}: {}", e.path(), e.inner())))
    }
}
