//! A document: the sections of a file and of all files that it includes, before the check against the table.

use crate::source::Span;

/// A word with its variables replaced, and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Argument {
    /// The word's text, without quotes.
    pub text: String,
    /// Place of the word.
    pub span: Span,
}

/// A directive as written, not yet checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawDirective {
    /// Its keyword.
    pub keyword: Argument,
    /// Its values.
    pub args: Vec<Argument>,
}

impl RawDirective {
    /// Place from the keyword to the last value.
    pub fn span(&self) -> Span {
        self.args
            .last()
            .map_or(self.keyword.span, |last| self.keyword.span.to(last.span))
    }
}

/// A section as written, not yet checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawSection {
    /// Its keyword.
    pub keyword: Argument,
    /// Its names; a valid section has at most one.
    pub names: Vec<Argument>,
    /// Its directives.
    pub directives: Vec<RawDirective>,
    /// Some of its lines were invalid.
    pub partial: bool,
}

/// The sections of a file and of all files that it includes.
#[derive(Debug, Default)]
pub struct Document {
    /// The sections, in the order in which they were read.
    pub sections: Vec<RawSection>,
    /// Something could not be read, so a name that is missing may be defined there.
    pub partial: bool,
}
