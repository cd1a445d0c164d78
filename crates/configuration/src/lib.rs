//! The operators' configuration language.
//!
//! Text becomes words ([`syntax`]), files become a document ([`load`]), the document is held against the table of
//! directives ([`schema`], [`check`]) and becomes a typed model ([`model`]) in which every value knows its place.
//! On the model work the routes' index ([`index`]), the search for routes that are never reached ([`shadow`]), the
//! behavioural difference of two configurations ([`diff`]) and the account of one request ([`explain`]). Nothing
//! here reads files, clocks or sockets; a [`load::Loader`] brings the texts.
//!
//! ```
//! use configuration::{load::MemoryFiles, read};
//!
//! let files = MemoryFiles::from([("a.conf", "limits {\n    client-patience 500ms\n}\n")]);
//! let reading = read("a.conf".as_ref(), &files);
//! assert!(reading.is_valid());
//! assert_eq!(reading.model.limits.client_patience.as_millis(), 500);
//! ```

pub mod calendar;
pub mod check;
pub mod diagnostic;
pub mod diff;
pub mod document;
pub mod explain;
pub mod format;
pub mod index;
pub mod load;
pub mod model;
pub mod platform;
pub mod ranges;
pub mod route;
pub mod schema;
pub mod shadow;
pub mod source;
pub mod space;
pub mod syntax;
pub mod value;
pub mod values;

use diagnostic::Diagnostic;
use model::Model;
use source::Sources;
use std::path::Path;

/// What reading a configuration has brought: the model as far as it goes, and all that is wrong with it.
#[derive(Debug, Default)]
pub struct Reading {
    /// The texts that were read.
    pub sources: Sources,
    /// The model.
    pub model: Model,
    /// What the model was made of, with the place of every word.
    pub sections: Vec<check::Section>,
    /// In the order of their places.
    pub diagnostics: Vec<Diagnostic>,
}

impl Reading {
    /// It may be served by.
    pub fn is_valid(&self) -> bool {
        !self.diagnostics.iter().any(Diagnostic::is_error)
    }

    /// Adds what a further check has found.
    pub fn add(&mut self, diagnostics: Vec<Diagnostic>) {
        self.diagnostics.extend(diagnostics);
        diagnostic::sort(&mut self.diagnostics);
    }
}

/// A file of another table than the operators', as far as the table can tell: names that no section bears are
/// reported, what else its values have to do with one another is the caller's to check.
#[derive(Debug, Default)]
pub struct TableReading {
    /// The texts that were read.
    pub sources: Sources,
    /// The sections.
    pub sections: Vec<check::Section>,
    /// What was found, in the order of places.
    pub diagnostics: Vec<Diagnostic>,
}

impl TableReading {
    /// Whether nothing found is an error.
    pub fn is_valid(&self) -> bool {
        !self.diagnostics.iter().any(Diagnostic::is_error)
    }
}

/// Reads a file of that table, and all that it includes.
pub fn read_table(path: &Path, loader: &dyn load::Loader, table: schema::Table) -> TableReading {
    let (mut sources, mut diagnostics) = (Sources::default(), Vec::new());
    let document = load::load(path, loader, table, &mut sources, &mut diagnostics);
    let partial = document.partial;
    let sections = check::check(document, table, &mut diagnostics);
    let partial = partial || names_missing(&diagnostics);
    check::references(&sections, partial, &mut diagnostics);
    diagnostic::sort(&mut diagnostics);
    TableReading {
        sources,
        sections,
        diagnostics,
    }
}

/// A section has not become one: what refers to it is no second fault.
fn names_missing(diagnostics: &[Diagnostic]) -> bool {
    diagnostics
        .iter()
        .any(|d| matches!(d.code, "unknown-section" | "section-name"))
}

/// Reads a configuration and all that it includes.
pub fn read(path: &Path, loader: &dyn load::Loader) -> Reading {
    let mut sources = Sources::default();
    let mut diagnostics = Vec::new();
    let document = load::load(
        path,
        loader,
        schema::SECTIONS,
        &mut sources,
        &mut diagnostics,
    );
    let partial = document.partial;
    let sections = check::check(document, schema::SECTIONS, &mut diagnostics);
    let partial = partial || names_missing(&diagnostics);
    let model = model::build(&sections, partial, &mut diagnostics);
    // What a faulty line would have used seems unused: that is no second fault.
    if diagnostics.iter().any(Diagnostic::is_error) {
        diagnostics.retain(|d| !d.code.starts_with("unused-"));
    }
    diagnostic::sort(&mut diagnostics);
    Reading {
        sources,
        model,
        sections,
        diagnostics,
    }
}
