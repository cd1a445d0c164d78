//! The format of the file: a header with the proxy's name, a digest over everything, and the snapshot.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

const MAGIC: [u8; 4] = *b"LVMM";
/// The version of what follows the digest; files of other versions are not read.
const VERSION: u8 = 1;
const DIGEST_BYTES: usize = 32;
/// Characters of another proxy's name that an error repeats.
const MAX_SHOWN_NAME: usize = 64;
/// A longer endpoint list is not saved; the rest of the snapshot is.
pub const MAX_LIST_BYTES: usize = 4 << 20;
/// Exclusions that are saved at most, current and previous; if there are more, the newest are saved.
pub const MAX_EXCLUSIONS: usize = 10_000;
/// No file of this program is longer: the names in exclusions are bounded by what one of discovery's responses may have.
pub const MAX_FILE_BYTES: u64 = MAX_LIST_BYTES as u64 + (32 << 20);

/// An operator's exclusion of one record server, in Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManualExclusion {
    /// The server's name in discovery's list.
    pub name: String,
    /// When the current exclusion began, if there is one.
    pub excluded_since: Option<u64>,
    /// Begin and end of the previous exclusion.
    pub previous: Option<(u64, u64)>,
}

/// Discovery's endpoint list, in the form that discovery gave it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedList {
    /// Discovery's change counter.
    pub index: u64,
    /// The list as JSON.
    pub bytes: Vec<u8>,
}

/// The whole state that is saved.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The incarnation of the process that saved it, as the other proxies know it.
    pub incarnation: u64,
    /// The latest endpoint list, unless it was too long.
    pub list: Option<SavedList>,
    /// The exclusions that had an effect.
    pub exclusions: Vec<ManualExclusion>,
}

/// Why a saved file is not used. The proxy starts without it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The file is not of this format.
    #[error("it is not a memory of this program")]
    WrongMagic,
    /// The file has this version, and is not read by this build.
    #[error("it is of form {0}, and this build reads {VERSION}")]
    UnsupportedVersion(u8),
    /// The digest does not match: the file is incomplete or was changed.
    #[error("it is torn or was changed: its digest is not that of its contents")]
    Corrupt,
    /// The file is that of the proxy of this name.
    #[error("it is the memory of {0:?}")]
    WrongProxy(String),
}

impl SnapshotError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            SnapshotError::WrongMagic | SnapshotError::Corrupt => {
                "The proxy has started without it and writes it anew. Take out again by hand what was out; look after the disk if it comes again."
            }
            SnapshotError::UnsupportedVersion(_) => {
                "Another build wrote it, and this one writes its own in its place. Take out again by hand what was out."
            }
            SnapshotError::WrongProxy(_) => {
                "Give each proxy a directory of its own under `memory`. What was out by hand at this one has to be taken out again."
            }
        }
    }
}

fn digest(name: &str, body: &[u8]) -> [u8; DIGEST_BYTES] {
    let mut hash = Sha256::new();
    hash.update([VERSION]);
    // With the length no name can be read as the beginning of the body.
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

/// The file of the proxy of that name.
pub(crate) fn encode(name: &str, snapshot: &Snapshot) -> Vec<u8> {
    // Plain data into a growing vector: this does not fail. If it did, decoding would reject the empty body.
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

/// Reads the file of the proxy of that name.
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
