//! What a new process trusts of the state that an earlier one saved. Clocks are not consulted: after a power loss they may
//! be wrong.

use crate::file_format::{self, ManualExclusion, SavedList, Snapshot, SnapshotError};

/// How a process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// No old process is running.
    ColdStart {
        /// The index of the endpoint list that the platform gave, if it gave one.
        platform_list_index: Option<u64>,
    },
    /// A running old process has handed over its state, which is newer than the saved one.
    HotRestart,
}

/// The part of the saved state that the process uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// A lower bound: the other proxies would reject an incarnation that is not greater than this.
    pub incarnation: u64,
    /// A hint, which is newer than the platform's list. It has to be fetched again as a whole, not from its index on:
    /// discovery may have lost its latest changes and count from a lower index.
    pub list: Option<SavedList>,
    /// Trusted in full: only operators end an exclusion.
    pub exclusions: Vec<ManualExclusion>,
}

/// Recovers the state of the proxy of that name from the bytes of its file; none if there is no file. Returns what the
/// process uses, and the whole snapshot, with which its [`SnapshotScheduler`](crate::SnapshotScheduler) starts.
pub fn recover(
    proxy_name: &str,
    file: Option<&[u8]>,
    mode: StartMode,
) -> Result<(RecoveredState, Option<Snapshot>), SnapshotError> {
    let Some(file) = file else {
        return Ok(Default::default());
    };
    let snapshot = file_format::decode(proxy_name, file)?;
    Ok((trusted_part(snapshot.clone(), mode), Some(snapshot)))
}

fn trusted_part(snapshot: Snapshot, mode: StartMode) -> RecoveredState {
    let Snapshot {
        incarnation,
        list,
        exclusions,
    } = snapshot;
    match mode {
        StartMode::HotRestart => RecoveredState {
            incarnation,
            ..RecoveredState::default()
        },
        StartMode::ColdStart {
            platform_list_index,
        } => RecoveredState {
            incarnation,
            list: list.filter(|list| platform_list_index.is_none_or(|index| list.index > index)),
            exclusions,
        },
    }
}
