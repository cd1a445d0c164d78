//! The state file of a rollout: where it is, and reading it at the start.

use super::error::RolloutError;
use crate::persistence::state_file;
use std::path::{Path, PathBuf};

const STATE_FILE: &str = "rollout.state";
/// A state file is far smaller.
const MAX_STATE_BYTES: u64 = 16 << 10;

/// The state file in the state directory of the settings.
pub(super) fn state_path(folder: Option<&Path>) -> PathBuf {
    folder.unwrap_or(Path::new("")).join(STATE_FILE)
}

/// The persisted state; `None` at the first start with this directory.
pub(super) fn load(folder: &Path) -> Result<Option<Vec<u8>>, RolloutError> {
    let path = state_path(Some(folder));
    state_file::load(&path, MAX_STATE_BYTES)
        .map_err(|error| RolloutError::StateUnreadable(path, error))
}
