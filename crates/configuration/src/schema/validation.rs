//! Checks of a table itself.

use super::types::{Args, Directive, Table};
use crate::source::FileId;
use crate::syntax::{self, Entry};

/// Errors of a table: an invalid default or example of a directive, or a directive defined twice. For tests of the packages
/// that define tables.
pub fn table_errors(table: Table) -> Vec<String> {
    let mut errors = Vec::new();
    for section in table {
        for (at, directive) in section.directives.iter().enumerate() {
            let mut report = |error: &str| {
                errors.push(format!(
                    "{} {}: {error}",
                    section.keyword, directive.keyword
                ));
            };
            let before = &section.directives[..at];
            if before.iter().any(|d| d.keyword == directive.keyword) {
                report("is defined twice");
            }
            if !directive.default.is_empty() && kind(directive).parse(directive.default).is_err() {
                report("its default is not a valid value");
            }
            if !example_is_valid(directive) {
                report("its example is not valid");
            }
        }
    }
    errors
}

fn kind(directive: &Directive) -> crate::value::Type {
    let (Args::One(kind) | Args::Optional(kind) | Args::Many(kind)) = directive.args;
    kind
}

/// Whether the example consists of the directive's keyword and valid values.
fn example_is_valid(directive: &Directive) -> bool {
    let parsed = syntax::parse(FileId(0), directive.example);
    let words = match parsed.lines.first().map(|line| &line.entry) {
        Some(Entry::Directive(words)) if parsed.faults.is_empty() => words.as_slice(),
        _ => &[],
    };
    let mut words = words
        .iter()
        .map(|w| directive.example[w.span.range()].trim_matches('"'));
    words.next() == Some(directive.keyword) && words.all(|v| kind(directive).parse(v).is_ok())
}
