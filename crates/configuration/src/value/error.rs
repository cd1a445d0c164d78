//! Errors of parsing a word.

/// Why a word is not a valid value of its type.
#[derive(Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Description of the fault, as it is printed.
    pub message: String,
    /// Advice on how to correct it, if there is any.
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
