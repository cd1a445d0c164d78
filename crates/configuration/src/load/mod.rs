//! From files to one document: includes followed, variables replaced, sections gathered.

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

/// Files that include one another, one inside the other.
pub const DEPTH_LIMIT: usize = 16;
/// Files of one configuration.
pub const FILES_LIMIT: usize = 1_000;
/// Bytes of one file.
pub const FILE_LIMIT: usize = 32 << 20;
/// Bytes that variables bring into words. A few lines of defines that use one another could else take any amount of
/// memory.
pub const EXPANDED_LIMIT: usize = 64 << 20;

/// The state of one load.
struct Loading<'a> {
    loader: &'a dyn Loader,
    table: Table,
    sources: &'a mut Sources,
    faults: &'a mut Vec<Diagnostic>,
    document: Document,
    defines: BTreeMap<String, Define>,
    /// Where each file was first included from.
    seen: HashMap<PathBuf, Option<Span>>,
    /// The files that are being read, each included by the one before it.
    stack: Vec<PathBuf>,
    /// Bytes that variables have brought so far.
    expanded: usize,
}

/// Reads a file and all that it includes. Every fault that stands in the way of words is reported; the rest of
/// the document is still returned.
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
        seen: HashMap::new(),
        stack: Vec::new(),
        expanded: 0,
    };
    loading.file(path, None);
    // Where something could not be read, the use of a variable may be missing for that alone.
    if !loading.document.partial {
        loading.warn_of_unused();
    }
    loading.document
}

impl Loading<'_> {
    fn fail(&mut self, fault: Diagnostic) {
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
