//! Reads files into one document: follows includes, replaces variables and collects the sections.

mod file;
mod files;
mod include;
mod sections;
mod variables;

pub use files::{Loader, MemoryFiles};

use crate::diagnostic::Diagnostic;
use crate::document::Document;
use crate::schema::Table;
use crate::source::{Sources, Span};
use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};
use variables::Define;

/// Maximum depth of nested includes.
pub const DEPTH_LIMIT: usize = 16;
/// Maximum number of files of one configuration.
pub const FILES_LIMIT: usize = 1_000;
/// Maximum size of one file, in bytes.
pub const FILE_LIMIT: usize = 32 << 20;
/// Maximum number of bytes to which all uses of variables may expand. Without it, a few variables defined by one another
/// could use any amount of memory.
pub const EXPANDED_LIMIT: usize = 64 << 20;

/// State of loading one configuration.
struct Loading<'a> {
    loader: &'a dyn Loader,
    table: Table,
    sources: &'a mut Sources,
    faults: &'a mut Vec<Diagnostic>,
    document: Document,
    defines: BTreeMap<String, Define>,
    /// For each file that was read, by its identity: the place of its first include; `None` for the main file.
    first_includes: HashMap<PathBuf, Option<Span>>,
    /// Identities of the files that are being read, each included by the one before it.
    stack: Vec<PathBuf>,
    /// Number of bytes to which variables have expanded so far.
    expanded: usize,
}

/// Reads a file and all files that it includes. Reports every syntax fault and every fault of includes and variables; the
/// rest of the document is returned all the same.
pub fn load(
    path: &Path,
    loader: &dyn Loader,
    table: Table,
    sources: &mut Sources,
    faults: &mut Vec<Diagnostic>,
) -> Document {
    let mut loading = Loading {
        loader,
        table,
        sources,
        faults,
        document: Document::default(),
        defines: BTreeMap::new(),
        first_includes: HashMap::new(),
        stack: Vec::new(),
        expanded: 0,
    };
    loading.file(path, None);
    // A part that could not be read may use the variables.
    if !loading.document.partial {
        loading.warn_of_unused();
    }
    loading.document
}

impl Loading<'_> {
    fn report(&mut self, fault: Diagnostic) {
        self.document.partial = true;
        self.faults.push(fault);
    }

    fn warn_of_unused(&mut self) {
        for (name, define) in self.defines.iter().filter(|(_, d)| !d.used) {
            let message = format!("the variable {name} is never used");
            let fault = Diagnostic::warning("unused-define", define.span, message);
            self.faults.push(fault.label("defined here"));
        }
    }
}
