//! Types of a table of the language: sections, their directives and the values of directives.

use crate::value::Type;

/// Number and type of the values of a directive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Args {
    /// Exactly one value.
    One(Type),
    /// At most one value.
    Optional(Type),
    /// One or more values.
    Many(Type),
}

/// When a changed value takes effect in a running proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// On a reload (SIGHUP).
    OnReload,
    /// On the next start.
    OnStart,
}

/// A directive of the language.
#[derive(Clone, Copy, Debug)]
pub struct Directive {
    /// Its keyword.
    pub keyword: &'static str,
    /// Number and type of its values.
    pub args: Args,
    /// Default as it would be written; empty if there is none.
    pub default: &'static str,
    /// When a change takes effect.
    pub takes_effect: TakesEffect,
    /// Description for the operators' page.
    pub help: &'static str,
    /// An example, for the operators' page.
    pub example: &'static str,
}

/// How sections with the same keyword are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Naming {
    /// At most one section, without a name.
    Unnamed,
    /// Each section has a name, by which other sections refer to it.
    Named,
    /// Each section has a name that is defined outside of the file; any text.
    ExternalName,
}

/// A kind of section.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Its keyword.
    pub keyword: &'static str,
    /// How sections of this kind are named.
    pub naming: Naming,
    /// Description for the operators' page.
    pub help: &'static str,
    /// The directives that it may have.
    pub directives: &'static [Directive],
}

impl Section {
    /// The directive with this keyword.
    pub fn directive(&self, keyword: &str) -> Option<&'static Directive> {
        self.directives.iter().find(|d| d.keyword == keyword)
    }
}

/// The kinds of sections that a kind of file may have.
pub type Table = &'static [Section];
