//! The initial state of a process: the trusted part of the saved state.

use super::error::PersistenceError;
use crate::discovery::wire::EndpointList;
use crate::persistence::state_file;
use maintenance::ManualExclusion;
use persistent_state::{recover, RecoveredState, Snapshot, StartMode, MAX_FILE_BYTES};
use std::path::Path;
use std::time::Duration;

/// The part of the saved state with which this process starts.
#[derive(Debug, Default)]
pub struct InitialState {
    /// Greatest incarnation used by earlier processes; this process must use a greater one.
    pub incarnation: u64,
    /// The saved endpoint list.
    pub endpoint_list: Option<EndpointList>,
    /// The manual exclusions that had an effect.
    pub exclusions: Vec<ManualExclusion>,
}

impl From<RecoveredState> for InitialState {
    fn from(recovered: RecoveredState) -> InitialState {
        InitialState {
            incarnation: recovered.incarnation,
            endpoint_list: recovered.list.and_then(|list| parse_list(&list.bytes)),
            exclusions: recovered.exclusions.into_iter().map(from_saved).collect(),
        }
    }
}

/// Parses the saved list. Its index becomes 0, so that the whole list is fetched again: discovery may now count from a
/// lower index. None if the list cannot be parsed.
fn parse_list(bytes: &[u8]) -> Option<EndpointList> {
    match EndpointList::parse(bytes) {
        Ok(list) => Some(EndpointList { index: 0, ..list }),
        Err(error) => {
            log::warn!("memory: the saved endpoint list cannot be parsed: {error}");
            None
        }
    }
}

/// The start mode. `platform_list`: the endpoint list in the platform's file, which may be empty.
pub(super) fn start_mode(hot_restart: bool, platform_list: &EndpointList) -> StartMode {
    if hot_restart {
        return StartMode::HotRestart;
    }
    let given = platform_list.index > 0 || !platform_list.endpoints.is_empty();
    StartMode::ColdStart {
        platform_list_index: given.then_some(platform_list.index),
    }
}

/// Reads the file and recovers the part of the state that is trusted.
pub(super) fn read(
    path: &Path,
    proxy_name: &str,
    mode: StartMode,
) -> Result<(RecoveredState, Option<Snapshot>), PersistenceError> {
    let file = state_file::load(path, MAX_FILE_BYTES)
        .map_err(|error| PersistenceError::Read(path.to_owned(), error))?;
    recover(proxy_name, file.as_deref(), mode)
        .map_err(|fault| PersistenceError::Unusable(path.to_owned(), fault))
}

fn from_saved(exclusion: persistent_state::ManualExclusion) -> ManualExclusion {
    let ms = Duration::from_millis;
    ManualExclusion {
        name: exclusion.name,
        excluded_since: exclusion.excluded_since.map(ms),
        previous: exclusion.previous.map(|(from, to)| (ms(from), ms(to))),
    }
}

/// The form in which an exclusion is saved: whole milliseconds.
pub(super) fn to_saved(exclusion: ManualExclusion) -> persistent_state::ManualExclusion {
    let ms = |at: Duration| at.as_millis() as u64;
    persistent_state::ManualExclusion {
        name: exclusion.name,
        excluded_since: exclusion.excluded_since.map(ms),
        previous: exclusion.previous.map(|(from, to)| (ms(from), ms(to))),
    }
}
