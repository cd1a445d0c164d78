//! What a table of the language is made of: sections, their directives and the values that these take.

use crate::value::Type;

/// How many values a directive takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Args {
    /// Exactly one.
    One(Type),
    /// One or none.
    Optional(Type),
    /// One or more.
    Many(Type),
}

/// When a changed value begins to count in a proxy that serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    /// With a reload (SIGHUP).
    OnReload,
    /// With the next start.
    OnStart,
}

/// A directive of the language.
#[derive(Clone, Copy, Debug)]
pub struct Directive {
    /// Its keyword.
    pub keyword: &'static str,
    /// Its values.
    pub args: Args,
    /// Empty: none.
    pub default: &'static str,
    /// When a change counts.
    pub takes_effect: TakesEffect,
    /// What it does, for the operators' page.
    pub help: &'static str,
    /// An example, for the operators' page.
    pub example: &'static str,
}

/// How sections of a keyword are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Naming {
    /// Stands once and bears no name.
    Unnamed,
    /// By a name of their own, which references use.
    Named,
    /// By a name that others have given: any text.
    ExternalName,
}

/// A kind of section.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Its keyword.
    pub keyword: &'static str,
    /// How it is named.
    pub naming: Naming,
    /// What it is for, for the operators' page.
    pub help: &'static str,
    /// The directives that it may have.
    pub directives: &'static [Directive],
}

impl Section {
    /// The directive of that keyword.
    pub fn directive(&self, keyword: &str) -> Option<&'static Directive> {
        self.directives.iter().find(|d| d.keyword == keyword)
    }
}

/// The sections that a kind of file may have.
pub type Table = &'static [Section];
