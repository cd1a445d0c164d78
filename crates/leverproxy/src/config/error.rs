//! Errors of the configuration: which key, what is wrong with it, and what an operator can do.

use super::json_position;
use super::platform_file::TOP_LEVEL_KEYS;
use std::fmt;
use thiserror::Error;

/// A key of the configuration that cannot be used, and why.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("configuration: {key}: {problem}{}", Appended(.faults))]
pub struct ConfigError {
    /// The key's path in the platform's file, a section of the operators' file, or the name of a variable.
    pub key: String,
    /// What is wrong with its value.
    pub problem: String,
    /// The faults of the operators' file, one line each; empty for other errors.
    pub faults: Vec<String>,
}

impl ConfigError {
    /// An error without faults of the operators' file.
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

    /// The path of the platform's file if this key's value was read there, not from a variable.
    fn platform_file(&self, variable: impl Fn(&str) -> Option<String>) -> Option<String> {
        let top_level = self.key.split('.').next().unwrap_or_default();
        let in_file = top_level.is_empty() || TOP_LEVEL_KEYS.contains(&top_level);
        let overridden = variable(&format!("LB_{}", top_level.to_uppercase())).is_some();
        variable("LB_CONFIG").filter(|_| in_file && !overridden)
    }

    /// What an operator can do. A reload that fails changes nothing; a start that fails ends the process.
    pub fn advice(&self) -> &'static str {
        match self.key.as_str() {
            "LB_CONFIG" => "Set LB_CONFIG to the platform's file, readable for the proxy's user.",
            "LB_OPERATORS" => {
                "`leverproxy config check FILE` shows each fault with its line and what would be right. A reload keeps what runs until it is mended; then SIGHUP."
            }
            "members" => "Add the section `member`, or set LB_NAME to the name that stands there, and start again.",
            "members.key-file" => {
                "Put the fleet's key file there, the same on every host (a new one: `openssl rand -hex 32`), readable for the proxy's user; then SIGHUP."
            }
            "rollout.candidates" => {
                "Place the file in `candidates` on this host, readable for the proxy's user. It is looked for again every few seconds, and the rollout waits."
            }
            _ => "Put that key right in the platform's file, or in the variable that the message names. A reload keeps what runs until then; then SIGHUP.",
        }
    }
}

/// Faults appended to a message, each behind a semicolon.
struct Appended<'a>(&'a [String]);

impl fmt::Display for Appended<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|fault| write!(f, "; {fault}"))
    }
}
