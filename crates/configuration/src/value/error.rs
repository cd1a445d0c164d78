//! Why a word is no value.

/// Why a word is no value of its type.
#[derive(Debug, PartialEq, Eq)]
pub struct ParseError {
    /// What is wrong, as it is printed.
    pub message: String,
    /// What would be right, if that can be said.
    pub help: Option<String>,
}

impl ParseError {
    pub(super) fn new(message: impl Into<String>) -> ParseError {
        ParseError {
            message: message.into(),
            help: None,
        }
    }

    pub(super) fn help(self, help: impl Into<String>) -> ParseError {
        ParseError {
            help: Some(help.into()),
            ..self
        }
    }
}
