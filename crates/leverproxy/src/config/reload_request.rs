//! Requests to the reload thread. The type has its own module because both reloads and rollouts depend on it.

use ::rollout::VersionHash;
use std::path::PathBuf;

/// A configuration to read, and the purpose of reading it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReloadRequest {
    /// Reload the files in force, which may have changed.
    CurrentFiles,
    /// Check whether a rollout's candidate could run. The path is the folder of candidates.
    Check(VersionHash, PathBuf),
    /// Run a rollout's candidate from the folder of candidates, or the operators' own file if there is no folder.
    Run(VersionHash, Option<PathBuf>),
}
