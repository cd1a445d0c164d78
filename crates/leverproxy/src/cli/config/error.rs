//! Why `leverproxy config` could not do what was asked.

use crate::config::ConfigError;
use std::io;
use thiserror::Error;

/// A call of `leverproxy config` that failed; each ends the program with the exit code of misuse.
#[derive(Debug, Error)]
pub(super) enum ConfigCommandError {
    /// A file can't be read.
    #[error("{path} cannot be read: {source}")]
    Read { path: String, source: io::Error },
    /// A file can't be replaced.
    #[error("{path} cannot be written: {source}")]
    Write { path: String, source: io::Error },
    /// A file to format is not text.
    #[error("{path} is no UTF-8 text")]
    NotText { path: String },
    /// A file to format has faults of syntax.
    #[error("{path} can't be read as a configuration and stays as it is; see leverproxy config check {path}")]
    NotFormattable { path: String },
    /// A file has faults; `report` shows them.
    #[error("{path} is faulty\n{report}")]
    Invalid { path: String, report: String },
    /// The platform's file has a fault.
    #[error("{path}: {source}")]
    Platform { path: String, source: ConfigError },
    /// Neither an argument nor `LB_OPERATORS` names a file.
    #[error("no operators' file is named")]
    NoOperatorsFile,
    /// The configuration as a whole has a fault.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A part of `--request` has no `=`.
    #[error("{0:?} is no key=value")]
    NoKeyValue(String),
    /// A value of `--request` can't be parsed.
    #[error("{key}={value} can't be read")]
    RequestValue { key: String, value: String },
    /// A key of `--request` is not known.
    #[error("{0:?} is not one of class, tenant, group, network, at, statement")]
    RequestKey(String),
}
