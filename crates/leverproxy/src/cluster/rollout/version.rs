//! Versions of the operators' file: a version is the SHA-256 hash of a file.

use super::error::RolloutError;
use crate::config::operators_file::Disk;
use crate::config::ConfigError;
use ::rollout::VersionHash;
use configuration::load::{Loader, FILE_LIMIT};
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};

/// Maximum number of files in the directory of candidates that are read.
const MAX_CANDIDATES: usize = 256;

/// Formats a version as 64 hex digits.
pub fn hex(hash: &VersionHash) -> String {
    ::hex::encode(hash)
}

/// Parses a version from 64 hex digits.
pub(super) fn parse_hash(text: &str) -> Option<VersionHash> {
    let mut hash = [0; 32];
    ::hex::decode_to_slice(text, &mut hash).ok()?;
    Some(hash)
}

/// The version that an operator gives as a hash or as the path of a file, in hex digits.
pub fn resolve_version(text: &str) -> Result<String, RolloutError> {
    if parse_hash(text).is_some() {
        return Ok(text.to_ascii_lowercase());
    }
    let hash = hash_of_file(Path::new(text))
        .map_err(|e| RolloutError::NotAVersion(text.to_owned(), Box::new(e)))?;
    Ok(hex(&hash))
}

pub(super) fn hash_of_file(path: &Path) -> Result<VersionHash, RolloutError> {
    let bytes = Disk
        .read(path)
        .map_err(|reason| RolloutError::Unreadable(path.to_owned(), reason))?;
    if bytes.len() > FILE_LIMIT {
        return Err(RolloutError::TooLarge(path.to_owned()));
    }
    Ok(Sha256::digest(&bytes).into())
}

/// Finds the file of a version in the directory of candidates. Reads files, so it must not run on the event loop.
pub fn find_candidate(folder: &Path, hash: &VersionHash) -> Result<PathBuf, ConfigError> {
    let fault = |fault: RolloutError| ConfigError::new("rollout.candidates", fault);
    let mut names = Disk
        .names(folder)
        .map_err(|reason| fault(RolloutError::Unreadable(folder.to_owned(), reason)))?;
    names.sort();
    let paths = names
        .iter()
        .take(MAX_CANDIDATES)
        .map(|name| folder.join(name));
    let found = paths
        .into_iter()
        .find(|path| hash_of_file(path).is_ok_and(|h| h == *hash));
    found.ok_or_else(|| fault(RolloutError::VersionMissing(folder.to_owned(), hex(hash))))
}
