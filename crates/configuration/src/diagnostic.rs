//! Errors and warnings about a configuration, printed for people (snippets with carets) or for programs (JSON).

use crate::source::{Sources, Span};
use codespan_reporting::diagnostic::{Diagnostic as Snippet, Label};
use codespan_reporting::term;
use serde::Serialize;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The configuration can't be used.
    Error,
    /// The configuration can be used, but is probably not what was meant.
    Warning,
}

/// An error or a warning about a configuration, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Error or warning.
    pub severity: Severity,
    /// Stable name of the kind of fault, for scripts.
    pub code: &'static str,
    /// Place of the fault.
    pub span: Span,
    /// Description of the fault, in one line.
    pub message: String,
    /// Text printed next to the carets.
    pub label: String,
    /// Other places that are involved, each with its text.
    pub related: Vec<(Span, String)>,
    /// Advice on how to correct the fault.
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

    /// Sets the text printed next to the carets.
    #[must_use]
    pub fn label(self, label: impl Into<String>) -> Diagnostic {
        Diagnostic {
            label: label.into(),
            ..self
        }
    }

    /// Adds another place that is involved.
    #[must_use]
    pub fn related(mut self, span: Span, text: impl Into<String>) -> Diagnostic {
        self.related.push((span, text.into()));
        self
    }

    /// Sets the advice.
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

/// Sorts diagnostics by place and removes duplicates.
pub fn sort(diagnostics: &mut Vec<Diagnostic>) {
    diagnostics.sort_by(|a, b| (a.span, a.severity, a.code).cmp(&(b.span, b.severity, b.code)));
    diagnostics.dedup();
}

/// Snippets in the style of rustc, without colours.
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

/// A diagnostic in one line, for the log of a running proxy.
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
    /// Offset of the first byte from the start of the file; `end` is that of the byte after the last.
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

/// A JSON array with an object for each diagnostic, for editors.
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

/// The name most similar to a misspelt word, if any is similar enough: one edit in words of up to 3 characters, two in
/// words of up to 7, three in longer ones.
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
