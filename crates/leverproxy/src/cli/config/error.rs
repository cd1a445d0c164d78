//! Errors of `leverproxy config`.

use crate::config::ConfigError;
use std::io;
use thiserror::Error;

/// Why a subcommand of `leverproxy config` failed. Each error ends the program with the exit code for invalid usage.
#[derive(Debug, Error)]
pub(super) enum ConfigCommandError {
    /// A file cannot be read.
    #[error("{path} cannot be read: {source}")]
    Read { path: String, source: io::Error },
    /// A file cannot be replaced.
    #[error("{path} cannot be written: {source}")]
    Write { path: String, source: io::Error },
    /// A file to format is not text.
    #[error("{path} is not UTF-8 text")]
    NotText { path: String },
    /// A file to format has syntax errors.
    #[error("{path} has syntax errors and is left unchanged; run `leverproxy config check {path}` for details")]
    NotFormattable { path: String },
    /// A file has faults; `report` shows them.
    #[error("{path} is not a valid operators' file\n{report}")]
    Invalid { path: String, report: String },
    /// The platform's file is invalid.
    #[error("{path}: {source}")]
    Platform { path: String, source: ConfigError },
    /// Neither an argument nor `LB_OPERATORS` names a file.
    #[error("no operators' file is given; name it as an argument or set LB_OPERATORS")]
    NoOperatorsFile,
    /// The configuration as a whole is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A part of `--request` has no `=`.
    #[error("--request: {0:?} is not of the form KEY=VALUE")]
    NoKeyValue(String),
    /// A value of `--request` cannot be parsed.
    #[error("--request: {value:?} is not a valid value for {key}")]
    RequestValue { key: String, value: String },
    /// A key of `--request` is unknown.
    #[error(
        "--request: unknown key {0:?}; allowed are class, tenant, group, network, at, statement"
    )]
    RequestKey(String),
}
