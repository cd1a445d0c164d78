//! Reads a file and all files that it includes, and checks them.

use crate::check::{self, Section};
use crate::diagnostic::{self, Diagnostic};
use crate::load::{load, Loader};
use crate::model::{self, Model};
use crate::schema::{Table, SECTIONS};
use crate::source::Sources;
use std::path::Path;

/// The result of reading a configuration: the model of its valid parts, and all errors and warnings.
#[derive(Debug, Default)]
pub struct Reading {
    /// The files that were read.
    pub sources: Sources,
    /// The model.
    pub model: Model,
    /// The sections from which the model was built, with the place of every value.
    pub sections: Vec<Section>,
    /// Errors and warnings, in the order of their places.
    pub diagnostics: Vec<Diagnostic>,
}

impl Reading {
    /// Whether a proxy may use the configuration: there are no errors.
    pub fn is_valid(&self) -> bool {
        !self.diagnostics.iter().any(Diagnostic::is_error)
    }

    /// Adds the diagnostics of a further check.
    pub fn add(&mut self, diagnostics: Vec<Diagnostic>) {
        self.diagnostics.extend(diagnostics);
        diagnostic::sort(&mut self.diagnostics);
    }
}

/// The result of reading a file of another table than the operators', checked against that table and for references to
/// undefined sections. The caller checks its values against one another.
#[derive(Debug, Default)]
pub struct TableReading {
    /// The files that were read.
    pub sources: Sources,
    /// The sections.
    pub sections: Vec<Section>,
    /// Errors and warnings, in the order of their places.
    pub diagnostics: Vec<Diagnostic>,
}

impl TableReading {
    /// Whether there are no errors.
    pub fn is_valid(&self) -> bool {
        !self.diagnostics.iter().any(Diagnostic::is_error)
    }
}

/// Reads a file of another table and all files that it includes.
pub fn read_table(path: &Path, loader: &dyn Loader, table: Table) -> TableReading {
    let (mut sources, mut diagnostics) = (Sources::default(), Vec::new());
    let document = load(path, loader, table, &mut sources, &mut diagnostics);
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

/// Whether a section was invalid, so that references to it must not be reported as well.
fn names_missing(diagnostics: &[Diagnostic]) -> bool {
    diagnostics
        .iter()
        .any(|d| matches!(d.code, "unknown-section" | "section-name"))
}

/// Reads a configuration and all files that it includes.
pub fn read(path: &Path, loader: &dyn Loader) -> Reading {
    let mut sources = Sources::default();
    let mut diagnostics = Vec::new();
    let document = load(path, loader, SECTIONS, &mut sources, &mut diagnostics);
    let partial = document.partial;
    let sections = check::check(document, SECTIONS, &mut diagnostics);
    let partial = partial || names_missing(&diagnostics);
    let model = model::build(&sections, partial, &mut diagnostics);
    // A definition that only an invalid line uses is not reported as unused: one mistake gives one fault.
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
