//! A document: the sections of a file and of all that it includes, before the table is asked what they mean.

use crate::source::Span;

/// A word with its variables replaced, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Argument {
    /// The word's text, without quotes.
    pub text: String,
    /// Where it stands.
    pub span: Span,
}

/// A directive as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawDirective {
    /// Its keyword.
    pub keyword: Argument,
    /// Its values.
    pub args: Vec<Argument>,
}

impl RawDirective {
    /// From its keyword to its last value.
    pub fn span(&self) -> Span {
        self.args
            .last()
            .map_or(self.keyword.span, |last| self.keyword.span.to(last.span))
    }
}

/// A section as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawSection {
    /// Its keyword.
    pub keyword: Argument,
    /// Its names.
    pub names: Vec<Argument>,
    /// Its directives.
    pub directives: Vec<RawDirective>,
    /// Some of its lines could not be read.
    pub partial: bool,
}

/// The sections of a file and of all that it includes.
#[derive(Debug, Default)]
pub struct Document {
    /// The sections, in their order.
    pub sections: Vec<RawSection>,
    /// Some of it could not be read: names may be missing for that alone.
    pub partial: bool,
}
