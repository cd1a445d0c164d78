//! What is wrong with a configuration, for people (snippets with carets) and for programs (JSON).

use crate::source::{Sources, Span};
use codespan_reporting::diagnostic::{Diagnostic as Snippet, Label};
use codespan_reporting::term;
use serde::Serialize;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The file can't be used.
    Error,
    /// The file can be used, but probably states something else than was meant.
    Warning,
}

/// A finding about the operators' file, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// How serious it is.
    pub severity: Severity,
    /// A stable name of the fault, for scripts.
    pub code: &'static str,
    /// Where it is.
    pub span: Span,
    /// What is wrong, in one line.
    pub message: String,
    /// What stands beside the carets.
    pub label: String,
    /// Other places that have to do with it.
    pub related: Vec<(Span, String)>,
    /// What would be right.
    pub help: Option<String>,
}

impl Diagnostic {
    /// An error; `code` names its kind.
    pub fn error(code: &'static str, span: Span, message: impl Into<String>) -> Diagnostic {
        Diagnostic {
            severity: Severity::Error,
            code,
            span,
            message: message.into(),
            label: String::new(),
            related: Vec::new(),
            help: None,
        }
    }

    /// A warning; `code` names its kind.
    pub fn warning(code: &'static str, span: Span, message: impl Into<String>) -> Diagnostic {
        Diagnostic {
            severity: Severity::Warning,
            ..Diagnostic::error(code, span, message)
        }
    }

    /// With a text at its place.
    #[must_use]
    pub fn label(self, label: impl Into<String>) -> Diagnostic {
        Diagnostic {
            label: label.into(),
            ..self
        }
    }

    /// With another place that it has to do with.
    #[must_use]
    pub fn related(mut self, span: Span, text: impl Into<String>) -> Diagnostic {
        self.related.push((span, text.into()));
        self
    }

    /// With what would be right.
    #[must_use]
    pub fn help(self, help: impl Into<String>) -> Diagnostic {
        Diagnostic {
            help: Some(help.into()),
            ..self
        }
    }

    /// Whether it is an error.
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}

/// In the order of their places, each once.
pub fn sort(diagnostics: &mut Vec<Diagnostic>) {
    diagnostics.sort_by(|a, b| (a.span, a.severity, a.code).cmp(&(b.span, b.severity, b.code)));
    diagnostics.dedup();
}

/// Snippets in the manner of rustc, without colours.
pub fn render(sources: &Sources, diagnostics: &[Diagnostic]) -> String {
    let config = term::Config {
        chars: term::Chars::ascii(),
        ..term::Config::default()
    };
    let mut out = String::new();
    for one in diagnostics {
        let mut labels =
            vec![Label::primary(one.span.file, one.span.range()).with_message(&one.label)];
        let related = one.related.iter();
        labels.extend(
            related
                .map(|(span, text)| Label::secondary(span.file, span.range()).with_message(text)),
        );
        let snippet = match one.severity {
            Severity::Error => Snippet::error(),
            Severity::Warning => Snippet::warning(),
        };
        let notes = one
            .help
            .iter()
            .map(|help| format!("help: {help}"))
            .collect();
        let snippet = snippet
            .with_code(one.code)
            .with_message(&one.message)
            .with_labels(labels)
            .with_notes(notes);
        if term::emit_to_string(&mut out, &config, sources, &snippet).is_err() {
            let place = sources.place(one.span);
            out.push_str(&format!("{place}: {}\n", one.message));
        }
    }
    out
}

/// One line each, for the log of a running proxy.
pub fn line(sources: &Sources, one: &Diagnostic) -> String {
    let help = one
        .help
        .as_ref()
        .map(|help| format!(" ({help})"))
        .unwrap_or_default();
    format!("{}: {}{help}", sources.place(one.span), one.message)
}

#[derive(Serialize)]
struct JsonPlace<'a> {
    file: &'a str,
    line: usize,
    column: usize,
    /// Bytes from the start of the file.
    start: u32,
    end: u32,
}

#[derive(Serialize)]
struct JsonRelated<'a> {
    #[serde(flatten)]
    place: JsonPlace<'a>,
    text: &'a str,
}

#[derive(Serialize)]
struct JsonDiagnostic<'a> {
    severity: Severity,
    code: &'a str,
    #[serde(flatten)]
    place: JsonPlace<'a>,
    message: &'a str,
    label: &'a str,
    help: Option<&'a str>,
    related: Vec<JsonRelated<'a>>,
}

/// A JSON array with an object for each, for editors.
pub fn json(sources: &Sources, diagnostics: &[Diagnostic]) -> String {
    let place = |span: Span| {
        let at = sources.place(span);
        JsonPlace {
            file: at.file,
            line: at.line,
            column: at.column,
            start: span.start,
            end: span.end,
        }
    };
    let all: Vec<JsonDiagnostic<'_>> = diagnostics
        .iter()
        .map(|d| JsonDiagnostic {
            severity: d.severity,
            code: d.code,
            place: place(d.span),
            message: &d.message,
            label: &d.label,
            help: d.help.as_deref(),
            related: d
                .related
                .iter()
                .map(|(span, text)| JsonRelated {
                    place: place(*span),
                    text,
                })
                .collect(),
        })
        .collect();
    serde_json::to_string_pretty(&all).unwrap_or_default()
}

/// The name nearest to a misspelt one, if any is near enough to be meant.
pub fn nearest<'a>(word: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let allowed = match word.chars().count() {
        0..=3 => 1,
        4..=7 => 2,
        _ => 3,
    };
    let distances = names
        .into_iter()
        .map(|name| (strsim::damerau_levenshtein(word, name), name));
    distances
        .filter(|(distance, _)| (1..=allowed).contains(distance))
        .min()
        .map(|(_, name)| name)
}
