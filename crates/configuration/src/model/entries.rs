//! Lists every effective value with its origin.

use crate::check::Section;
use crate::schema::{self, Directive, Naming, TakesEffect, SECTIONS};
use crate::source::Span;

/// Where a value comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The table's default.
    Default,
    /// A place in the operators' file.
    File(Span),
    /// A key of the platform's file.
    Platform(String),
    /// A variable of the environment.
    Environment(&'static str),
}

/// An effective value with its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Keyword and name of the section, separated by a blank.
    pub section: String,
    /// The directive's keyword.
    pub directive: &'static str,
    /// The value as it would be written in the file.
    pub value: String,
    /// Where it comes from.
    pub origin: Origin,
    /// When a change of the value takes effect.
    pub takes_effect: TakesEffect,
}

/// The effective values: those of all unnamed sections, including defaults, and those of the named sections that are
/// defined. The list takes several times the memory of the model, so it is built on request.
pub fn entries(sections: &[Section]) -> Vec<Entry> {
    let mut entries = Vec::new();
    for spec in SECTIONS {
        let mut stated = sections.iter().filter(|s| s.spec.keyword == spec.keyword);
        match spec.naming {
            Naming::Unnamed => add_section(&mut entries, spec, stated.next()),
            Naming::Named | Naming::ExternalName => {
                stated.for_each(|s| add_section(&mut entries, spec, Some(s)));
            }
        }
    }
    entries
}

fn add_section(
    entries: &mut Vec<Entry>,
    spec: &'static schema::Section,
    section: Option<&Section>,
) {
    let title = match section {
        Some(s) if !s.name.is_empty() => format!("{} {}", spec.keyword, s.name),
        _ => spec.keyword.to_owned(),
    };
    for directive in spec.directives {
        let Some((value, origin)) = value_of(directive, section) else {
            continue;
        };
        entries.push(Entry {
            section: title.clone(),
            directive: directive.keyword,
            value,
            origin,
            takes_effect: directive.takes_effect,
        });
    }
}

/// The value that is set or the default; `None` if there is neither.
fn value_of(directive: &Directive, section: Option<&Section>) -> Option<(String, Origin)> {
    if let Some(setting) = section.and_then(|s| s.setting(directive.keyword)) {
        let words: Vec<String> = setting.values.iter().map(|(v, _)| v.to_string()).collect();
        return Some((words.join(" "), Origin::File(setting.span)));
    }
    (!directive.default.is_empty()).then(|| (directive.default.to_owned(), Origin::Default))
}
