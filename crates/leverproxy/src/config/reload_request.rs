//! Requests to the reload thread. Rollouts make them too, so the type stands below both.

use ::rollout::VersionHash;
use std::path::PathBuf;

/// What is to be read, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReloadRequest {
    /// The files in force, which may have changed.
    CurrentFiles,
    /// A candidate of a rollout, to see whether it could run; the folder of candidates.
    Check(VersionHash, PathBuf),
    /// A candidate that is to run, with its folder; without one, the operators' own file.
    Run(VersionHash, Option<PathBuf>),
}
