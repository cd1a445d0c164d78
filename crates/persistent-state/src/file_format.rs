//! The format of the state file: a header with the proxy's name, a digest over the name and the snapshot, and the
//! snapshot.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

const MAGIC: [u8; 4] = *b"LVMM";
/// Version of the file's content; files of other versions are not read.
const VERSION: u8 = 1;
const DIGEST_BYTES: usize = 32;
/// Maximum number of characters of another proxy's name in an error message.
const MAX_SHOWN_NAME: usize = 64;
/// Maximum size of a saved endpoint list in bytes. If the list is longer, only the rest of the snapshot is saved.
pub const MAX_LIST_BYTES: usize = 4 << 20;
/// Maximum number of saved exclusions, current and previous. If there are more, the newest are saved.
pub const MAX_EXCLUSIONS: usize = 10_000;
/// Maximum size of a state file in bytes. Names in exclusions are bounded by the maximum size of a response of discovery.
pub const MAX_FILE_BYTES: u64 = MAX_LIST_BYTES as u64 + (32 << 20);

/// An operator's exclusion of one record server. Times are in Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManualExclusion {
    /// Name of the server in discovery's endpoint list.
    pub name: String,
    /// Begin of the current exclusion, if there is one.
    pub excluded_since: Option<u64>,
    /// Begin and end of the previous exclusion.
    pub previous: Option<(u64, u64)>,
}

/// Discovery's endpoint list, in the form in which it was received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedList {
    /// Discovery's change counter.
    pub index: u64,
    /// The list as JSON.
    pub bytes: Vec<u8>,
}

/// The complete saved state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Incarnation of the process that saved the state, as known to the other proxies.
    pub incarnation: u64,
    /// The latest endpoint list, unless it was longer than [`MAX_LIST_BYTES`].
    pub list: Option<SavedList>,
    /// The exclusions that were in effect.
    pub exclusions: Vec<ManualExclusion>,
}

/// Why a saved file is not used. The proxy starts without it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The file does not begin with the magic bytes of this format.
    #[error("the file is not a state file of this program")]
    WrongMagic,
    /// The file has the given version, which this build does not read.
    #[error("the file has format version {0}, and this build reads version {VERSION}")]
    UnsupportedVersion(u8),
    /// The digest does not match: the file is incomplete or was changed.
    #[error("the file is incomplete or was changed: its digest does not match its content")]
    Corrupt,
    /// The file belongs to the proxy with the given name.
    #[error("the file is the state file of another proxy, {0:?}")]
    WrongProxy(String),
}

impl SnapshotError {
    /// Advice for operators on this error.
    pub fn advice(&self) -> &'static str {
        match self {
            SnapshotError::WrongMagic | SnapshotError::Corrupt => {
                "The proxy has started without the file and writes a new one. Exclude again the servers that operators had excluded; check the disk if the error recurs."
            }
            SnapshotError::UnsupportedVersion(_) => {
                "Another build wrote the file, and this build replaces it. Exclude again the servers that operators had excluded."
            }
            SnapshotError::WrongProxy(_) => {
                "Give each proxy its own directory with `memory`. Servers that operators had excluded at this proxy have to be excluded again."
            }
        }
    }
}

fn digest(name: &str, body: &[u8]) -> [u8; DIGEST_BYTES] {
    let mut hash = Sha256::new();
    hash.update([VERSION]);
    // The length prevents that a part of the name is read as the beginning of the body, or the reverse.
    hash.update((name.len() as u64).to_le_bytes());
    hash.update(name.as_bytes());
    hash.update(body);
    hash.finalize().into()
}

#[derive(Serialize, Deserialize)]
struct Header<'a> {
    name: &'a str,
    digest: [u8; DIGEST_BYTES],
}

/// Encodes the state file of a proxy.
pub(crate) fn encode(name: &str, snapshot: &Snapshot) -> Vec<u8> {
    // Serialising plain data into a growing vector does not fail. If it did, decoding would reject the empty body.
    let body = postcard::to_stdvec(snapshot).unwrap_or_default();
    let header = Header {
        name,
        digest: digest(name, &body),
    };
    let mut file = MAGIC.to_vec();
    file.push(VERSION);
    let mut file = postcard::to_extend(&header, file).unwrap_or_default();
    file.extend_from_slice(&body);
    file
}

/// Decodes the state file of a proxy.
pub(crate) fn decode(name: &str, bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let rest = bytes
        .strip_prefix(&MAGIC)
        .ok_or(SnapshotError::WrongMagic)?;
    let (version, rest) = rest.split_first().ok_or(SnapshotError::Corrupt)?;
    if *version != VERSION {
        return Err(SnapshotError::UnsupportedVersion(*version));
    }
    let (header, body) =
        postcard::take_from_bytes::<Header<'_>>(rest).map_err(|_| SnapshotError::Corrupt)?;
    if digest(header.name, body) != header.digest {
        return Err(SnapshotError::Corrupt);
    }
    if header.name != name {
        return Err(SnapshotError::WrongProxy(
            header.name.chars().take(MAX_SHOWN_NAME).collect(),
        ));
    }
    match postcard::take_from_bytes(body) {
        Ok((snapshot, [])) => Ok(snapshot),
        _ => Err(SnapshotError::Corrupt),
    }
}
