//! Configuration errors: the key, the problem, and advice for operators.

use super::json_position;
use super::platform_file::TOP_LEVEL_KEYS;
use std::fmt;
use thiserror::Error;

/// A configuration key whose value cannot be used, and the reason.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("configuration: {key}: {problem}{}", Appended(.faults))]
pub struct ConfigError {
    /// The key's path in the platform's file, a section of the operators' file, or the name of a variable.
    pub key: String,
    /// The problem with the key's value.
    pub problem: String,
    /// Faults found in the operators' file, one line each; empty for other errors.
    pub faults: Vec<String>,
}

impl ConfigError {
    /// Creates an error without faults of the operators' file.
    pub(crate) fn new(key: impl Into<String>, problem: impl ToString) -> ConfigError {
        ConfigError {
            key: key.into(),
            problem: problem.to_string(),
            faults: Vec::new(),
        }
    }

    /// Adds the path of the platform's file and the key's line, if the value comes from that file.
    pub(super) fn located(
        self,
        variable: impl Fn(&str) -> Option<String>,
        text: &[u8],
    ) -> ConfigError {
        let Some(path) = self.platform_file(variable) else {
            return self;
        };
        let line = json_position::line_of(text, &self.key)
            .map_or(String::new(), |line| format!(":{line}"));
        ConfigError {
            problem: format!("{} ({path}{line})", self.problem),
            ..self
        }
    }

    /// The path of the platform's file if this key's value comes from the file rather than from a variable.
    fn platform_file(&self, variable: impl Fn(&str) -> Option<String>) -> Option<String> {
        let top_level = self.key.split('.').next().unwrap_or_default();
        let in_file = top_level.is_empty() || TOP_LEVEL_KEYS.contains(&top_level);
        let overridden = variable(&format!("LB_{}", top_level.to_uppercase())).is_some();
        variable("LB_CONFIG").filter(|_| in_file && !overridden)
    }

    /// Advice for operators. A failed reload changes nothing; a failed start ends the process.
    pub fn advice(&self) -> &'static str {
        match self.key.as_str() {
            "LB_CONFIG" => "Set LB_CONFIG to the path of the platform's file, and make the file readable for the proxy's user.",
            "LB_OPERATORS" => {
                "Run `leverproxy config check FILE`: it shows each fault with its line and a correction. After a failed reload the configuration in force stays active; correct the file, then send SIGHUP."
            }
            "members" => "Add a section `member` for this proxy, or set LB_NAME to the name of an existing section `member`, and start the proxy again.",
            "members.key-file" => {
                "Install the fleet's key file at that path, identical on every host and readable for the proxy's user (to create a key: `openssl rand -hex 32`); then send SIGHUP."
            }
            "rollout.candidates" => {
                "Place the file in the directory `candidates` on this host, readable for the proxy's user. The proxy searches for it every few seconds, and the rollout waits until then."
            }
            _ => "Correct that key in the platform's file, or in the variable that the message names. After a failed reload the configuration in force stays active; then send SIGHUP.",
        }
    }
}

/// Displays faults at the end of a message, each preceded by a semicolon.
struct Appended<'a>(&'a [String]);

impl fmt::Display for Appended<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|fault| write!(f, "; {fault}"))
    }
}
