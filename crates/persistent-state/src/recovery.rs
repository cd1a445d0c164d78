//! Decides which part of the saved state a new process uses. Clocks are not consulted: after a power loss they may be
//! wrong.

use crate::file_format::{self, ManualExclusion, SavedList, Snapshot, SnapshotError};

/// How a process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// No earlier process of this proxy is running.
    ColdStart {
        /// Index of the endpoint list from the platform, if the platform gave one.
        platform_list_index: Option<u64>,
    },
    /// A running earlier process has handed over its state, which is newer than the saved one.
    HotRestart,
}

/// The part of the saved state that the process uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// A lower bound of the new incarnation: the other proxies would reject an incarnation that is not greater.
    pub incarnation: u64,
    /// A provisional list, newer than the platform's. The list has to be fetched again in full, not from its index on:
    /// discovery may have lost its latest changes and count from a lower index.
    pub list: Option<SavedList>,
    /// Trusted without restriction: only operators end an exclusion.
    pub exclusions: Vec<ManualExclusion>,
}

/// Recovers the state of a proxy from the bytes of its file; the state is empty if there is no file. Returns the part
/// that the process uses, and the whole snapshot, from which its [`SnapshotScheduler`](crate::SnapshotScheduler) starts.
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
