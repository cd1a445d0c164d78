//! The file: a head that says whose it is, a digest over all, and the memory.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

const MAGIC: [u8; 4] = *b"LVMM";
/// Of what stands behind the digest; another is not read.
const VERSION: u8 = 1;
const DIGEST_BYTES: usize = 32;
/// A longer list is not kept: the rest of the memory is.
pub const LIST_MOST: usize = 4 << 20;
/// Servers that are out by hand, or were; of more the newest words are kept.
pub const HANDS_MOST: usize = 10_000;
/// No file of this program is longer: discovery's names are bounded by what one of its answers may have.
pub const FILE_MOST: u64 = LIST_MOST as u64 + (32 << 20);

/// The operators' word on one record server, in Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hand {
    pub name: String,
    /// Since when it is out.
    pub out: Option<u64>,
    /// From when to when it was out before.
    pub before: Option<(u64, u64)>,
}

/// Discovery's list as it last came. What it says is its reader's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Discovery's own count of changes.
    pub index: u64,
    pub bytes: Vec<u8>,
}

/// All that is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// Of the process that wrote it, as the other proxies know it.
    pub start: u64,
    pub list: Option<List>,
    pub hands: Vec<Hand>,
}

/// Why what was kept is not read. The proxy starts without it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    #[error("it is not a memory of this program")]
    NotOurs,
    #[error("it is of form {0}, and this build reads {VERSION}")]
    Form(u8),
    #[error("it is torn or was changed: its digest is not that of its contents")]
    Torn,
    #[error("it is the memory of {0:?}")]
    Foreign(String),
}

impl Fault {
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::NotOurs | Fault::Torn => {
                "The proxy has started without it and writes it anew. Take out again by hand what was out; look after the disk if it comes again."
            }
            Fault::Form(_) => {
                "Another build wrote it, and this one writes its own in its place. Take out again by hand what was out."
            }
            Fault::Foreign(_) => {
                "Give each proxy a directory of its own under `memory`. What was out by hand at this one has to be taken out again."
            }
        }
    }
}

fn digest(name: &str, body: &[u8]) -> [u8; DIGEST_BYTES] {
    let mut hash = Sha256::new();
    hash.update([VERSION]);
    // The length keeps a name from running over into the body.
    hash.update((name.len() as u64).to_le_bytes());
    hash.update(name.as_bytes());
    hash.update(body);
    hash.finalize().into()
}

#[derive(Serialize, Deserialize)]
struct Head<'a> {
    name: &'a str,
    digest: [u8; DIGEST_BYTES],
}

/// As it is kept, under that proxy's name.
pub(crate) fn encode(name: &str, memory: &Memory) -> Vec<u8> {
    // Into memory that grows, of plain data: it does not fail; what is empty is read as no memory if it did.
    let body = postcard::to_stdvec(memory).unwrap_or_default();
    let head = Head {
        name,
        digest: digest(name, &body),
    };
    let mut file = MAGIC.to_vec();
    file.push(VERSION);
    let mut file = postcard::to_extend(&head, file).unwrap_or_default();
    file.extend_from_slice(&body);
    file
}

pub(crate) fn decode(name: &str, bytes: &[u8]) -> Result<Memory, Fault> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(Fault::NotOurs)?;
    let (version, rest) = rest.split_first().ok_or(Fault::Torn)?;
    if *version != VERSION {
        return Err(Fault::Form(*version));
    }
    let (head, body) = postcard::take_from_bytes::<Head<'_>>(rest).map_err(|_| Fault::Torn)?;
    if digest(head.name, body) != head.digest {
        return Err(Fault::Torn);
    }
    if head.name != name {
        return Err(Fault::Foreign(head.name.chars().take(64).collect()));
    }
    match postcard::take_from_bytes(body) {
        Ok((memory, [])) => Ok(memory),
        _ => Err(Fault::Torn),
    }
}
