//! Settings that can't be used.

use thiserror::Error;

/// Why settings can't be used. Nothing has changed then; the file has to be corrected, or the process restarted.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The JSON is broken, or a value has the wrong type.
    #[error("{key}: {source}")]
    Unreadable {
        /// Path of the value.
        key: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// Reloads have brought too many classes; a restart forgets those that are out of use.
    #[error("Classes: {}", too_many_classes(*.limit))]
    TooManyClasses {
        /// Classes that one process may know.
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

    /// What is wrong with that setting, without its path.
    pub fn problem(&self) -> String {
        match self {
            SettingsError::Unreadable { source, .. } => source.to_string(),
            SettingsError::TooManyClasses { limit } => too_many_classes(*limit),
        }
    }
}

fn too_many_classes(limit: usize) -> String {
    format!("this process has known {limit} classes, which is all it may: restart it")
}
