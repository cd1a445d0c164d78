//! The platform's JSON file (`LB_CONFIG`): its top-level keys, its settings object, and the check on reload that a later
//! version is complete.

use super::ConfigError;
use platform_settings::{PlatformSettings, Shape};
use serde::Deserialize;
use std::path::Path;

/// Top-level keys of the platform's file.
pub(super) const TOP_LEVEL_KEYS: [&str; 8] = [
    "name",
    "listen",
    "admin",
    "discovery",
    "seed",
    "limits",
    "known",
    "settings",
];

/// The platform's file as parsed, before checks. Unknown keys are ignored.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct PlatformFile {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub admin: Option<String>,
    pub discovery: Option<String>,
    /// Seed of all random numbers, in hexadecimal.
    pub seed: Option<String>,
    pub limits: ProcessLimits,
    /// The list of record servers that this proxy last received, in discovery's JSON format.
    pub known: Option<serde_json::Value>,
    /// The settings object, in the format that the simulator's hosts also receive.
    pub settings: Option<serde_json::Value>,
}

/// Limits that the platform sets for this process.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct ProcessLimits {
    /// Maximum number of open file descriptors.
    pub sockets: Option<usize>,
    /// Maximum memory, in MiB.
    pub memory_mb: Option<usize>,
}

impl PlatformFile {
    /// Parses the file's text.
    pub fn parse(text: &[u8]) -> Result<PlatformFile, ConfigError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        serde_path_to_error::deserialize(&mut json)
            .map_err(|e| ConfigError::new(e.path().to_string(), e.inner()))
    }

    /// The settings object, decoded and checked.
    pub fn decoded_settings(&self) -> Result<PlatformSettings, ConfigError> {
        let settings = self
            .settings
            .as_ref()
            .ok_or_else(|| ConfigError::new("settings", "missing"))?;
        let decoded = platform_settings::decode(settings.to_string().as_bytes())
            .map_err(|e| ConfigError::new(format!("settings.{}", e.key()), e.problem()))?;
        check_classes(&decoded)?;
        Ok(decoded)
    }
}

/// Reads the text of the file that `LB_CONFIG` names.
pub(super) fn read_text(variable: impl Fn(&str) -> Option<String>) -> Result<Vec<u8>, ConfigError> {
    let path = variable("LB_CONFIG")
        .ok_or_else(|| ConfigError::new("LB_CONFIG", "the variable is not set"))?;
    std::fs::read(Path::new(&path))
        .map_err(|e| ConfigError::new("LB_CONFIG", format!("{path} cannot be read: {e}")))
}

/// Checks that there is a class, and that each has a name and a deadline: requests cannot be served without.
fn check_classes(decoded: &PlatformSettings) -> Result<(), ConfigError> {
    let classes = &decoded.settings.classes;
    if classes.is_empty() {
        return Err(ConfigError::new(
            "settings.Classes",
            "the list is empty; at least one class is required",
        ));
    }
    for (i, (class, name)) in classes.iter().zip(&decoded.names.classes).enumerate() {
        let key = |name| format!("settings.Classes[{i}].{name}");
        if name.is_empty() {
            return Err(ConfigError::new(key("Name"), "missing"));
        }
        if class.deadline.is_zero() {
            return Err(ConfigError::new(
                key("Deadline"),
                "missing or zero; a deadline must be longer than zero",
            ));
        }
    }
    Ok(())
}

/// The keys of the platform's file at the start of the process, which every reloaded version must have too.
///
/// A later file that lacks one of them was truncated while it was written, or is not the platform's. Defaults in place of
/// the missing keys would change settings unintentionally, so the file is rejected.
#[derive(Clone, Debug, Default)]
pub struct RequiredKeys {
    shape: Shape,
    /// Whether the first file set no limit on attempts.
    attempts_were_unlimited: bool,
}

impl RequiredKeys {
    pub(super) fn of(text: &[u8], platform: &PlatformSettings) -> RequiredKeys {
        let value = without_endpoints(text).unwrap_or_default();
        RequiredKeys {
            shape: Shape::of(&value),
            attempts_were_unlimited: platform.settings.attempt_limit == 0,
        }
    }

    pub(super) fn check(
        &self,
        text: &[u8],
        platform: &PlatformSettings,
    ) -> Result<(), ConfigError> {
        let value = without_endpoints(text).map_err(|e| ConfigError::new(".", e))?;
        if let Some(key) = self.shape.missing(&value) {
            return Err(ConfigError::new(
                key,
                "missing, although the file that was read at the start had this key",
            ));
        }
        if platform.settings.attempt_limit == 0 && !self.attempts_were_unlimited {
            return Err(ConfigError::new(
                "settings.PolicyLimits.TryLimit",
                "must be a positive number, as in the file that was read at the start",
            ));
        }
        Ok(())
    }
}

/// The file's JSON without the list of record servers, whose entries may have different keys in each version.
fn without_endpoints(text: &[u8]) -> Result<serde_json::Value, serde_json::Error> {
    let mut value: serde_json::Value = serde_json::from_slice(text)?;
    if let Some(fields) = value.as_object_mut() {
        fields.remove("known");
    }
    Ok(value)
}
