//! Reads a file, with all that it includes, and checks it.

use crate::check::{self, Section};
use crate::diagnostic::{self, Diagnostic};
use crate::load::{load, Loader};
use crate::model::{self, Model};
use crate::schema::{Table, SECTIONS};
use crate::source::Sources;
use std::path::Path;

/// A configuration that was read: the model as far as it goes, and all that is wrong with it.
#[derive(Debug, Default)]
pub struct Reading {
    /// The texts that were read.
    pub sources: Sources,
    /// The model.
    pub model: Model,
    /// What the model was made of, with the place of every word.
    pub sections: Vec<Section>,
    /// In the order of their places.
    pub diagnostics: Vec<Diagnostic>,
}

impl Reading {
    /// Whether a proxy may serve by it.
    pub fn is_valid(&self) -> bool {
        !self.diagnostics.iter().any(Diagnostic::is_error)
    }

    /// Adds what a further check has found.
    pub fn add(&mut self, diagnostics: Vec<Diagnostic>) {
        self.diagnostics.extend(diagnostics);
        diagnostic::sort(&mut self.diagnostics);
    }
}

/// A file of another table than the operators', checked against that table and for names that no section has. How its
/// values fit together is for the caller to check.
#[derive(Debug, Default)]
pub struct TableReading {
    /// The texts that were read.
    pub sources: Sources,
    /// The sections.
    pub sections: Vec<Section>,
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

/// Whether a section was not understood, so that references to it must not be reported as well.
fn names_missing(diagnostics: &[Diagnostic]) -> bool {
    diagnostics
        .iter()
        .any(|d| matches!(d.code, "unknown-section" | "section-name"))
}

/// Reads a configuration and all that it includes.
pub fn read(path: &Path, loader: &dyn Loader) -> Reading {
    let mut sources = Sources::default();
    let mut diagnostics = Vec::new();
    let document = load(path, loader, SECTIONS, &mut sources, &mut diagnostics);
    let partial = document.partial;
    let sections = check::check(document, SECTIONS, &mut diagnostics);
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
