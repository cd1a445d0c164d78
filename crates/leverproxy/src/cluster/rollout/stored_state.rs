//! The state file of a rollout: its path, and how it is read at the start.

use super::error::RolloutError;
use crate::persistence::state_file;
use std::path::{Path, PathBuf};

const STATE_FILE: &str = "rollout.state";
/// Maximum size of the state file, far above its usual size.
const MAX_STATE_BYTES: u64 = 16 << 10;

/// Path of the state file in the configured state directory.
pub(super) fn state_path(folder: Option<&Path>) -> PathBuf {
    folder.unwrap_or(Path::new("")).join(STATE_FILE)
}

/// Loads the persisted state; `None` if there is no state file, as at the first start with this directory.
pub(super) fn load(folder: &Path) -> Result<Option<Vec<u8>>, RolloutError> {
    let path = state_path(Some(folder));
    state_file::load(&path, MAX_STATE_BYTES)
        .map_err(|error| RolloutError::StateUnreadable(path, error))
}
