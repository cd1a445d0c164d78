//! Errors of settings that cannot be used.

use thiserror::Error;

/// Reason why settings cannot be used. The settings in force are unchanged; correct the file or restart the process.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The JSON is invalid, or a value has the wrong type.
    #[error("{key}: {source}")]
    Unreadable {
        /// Path of the value.
        key: String,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// Reloads have added too many classes; a restart drops those that are out of use.
    #[error("Classes: {}", too_many_classes(*.limit))]
    TooManyClasses {
        /// Most classes that one process may have, including those out of use.
        limit: usize,
    },
}

impl SettingsError {
    /// Path of the setting in the platform's object.
    pub fn key(&self) -> &str {
        match self {
            SettingsError::Unreadable { key, .. } => key,
            SettingsError::TooManyClasses { .. } => "Classes",
        }
    }

    /// Description of the problem, without the path of the setting.
    pub fn problem(&self) -> String {
        match self {
            SettingsError::Unreadable { source, .. } => source.to_string(),
            SettingsError::TooManyClasses { limit } => too_many_classes(*limit),
        }
    }
}

fn too_many_classes(limit: usize) -> String {
    format!("this process has reached the limit of {limit} classes: restart it")
}
