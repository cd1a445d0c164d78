//! Access to files.

use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};

/// Access to files; this package has no other access to the system.
pub trait Loader {
    /// The bytes of a file. The error is the system's message, which is shown to operators.
    fn read(&self, path: &Path) -> Result<Vec<u8>, String>;
    /// The canonical path of a file: the same for all paths and links to it.
    fn identity(&self, path: &Path) -> Result<PathBuf, String>;
    /// The file names in a directory, in any order.
    fn names(&self, folder: &Path) -> Result<Vec<String>, String>;
}

/// The last component of a path, for messages.
pub(super) fn file_name(path: &Path) -> String {
    path.file_name().map_or_else(
        || path.display().to_string(),
        |name| name.to_string_lossy().into_owned(),
    )
}

/// Files in memory, for tests and for texts from other sources. A file whose text is `link:` and a path is a link to
/// that path.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles {
    files: BTreeMap<PathBuf, Vec<u8>>,
}

impl MemoryFiles {
    /// Adds a file.
    pub fn add(&mut self, path: impl Into<PathBuf>, text: impl Into<Vec<u8>>) {
        self.files.insert(path.into(), text.into());
    }
}

impl<const N: usize> From<[(&str, &str); N]> for MemoryFiles {
    fn from(files: [(&str, &str); N]) -> MemoryFiles {
        let files = files
            .into_iter()
            .map(|(path, text)| (path.into(), text.as_bytes().to_vec()));
        MemoryFiles {
            files: files.collect(),
        }
    }
}

impl Loader for MemoryFiles {
    fn read(&self, path: &Path) -> Result<Vec<u8>, String> {
        let path = self.identity(path)?;
        self.files
            .get(&path)
            .cloned()
            .ok_or_else(|| "no such file".to_owned())
    }

    fn identity(&self, path: &Path) -> Result<PathBuf, String> {
        let mut plain = PathBuf::new();
        for part in path.components() {
            match part {
                Component::CurDir => {}
                Component::ParentDir => _ = plain.pop(),
                other => plain.push(other),
            }
        }
        match self.files.get(&plain) {
            None => Err("no such file".to_owned()),
            Some(text) => match text.strip_prefix(b"link:") {
                Some(target) => Ok(PathBuf::from(String::from_utf8_lossy(target).trim())),
                None => Ok(plain),
            },
        }
    }

    fn names(&self, folder: &Path) -> Result<Vec<String>, String> {
        let inside = self
            .files
            .keys()
            .filter(|path| path.parent() == Some(folder));
        let names: Vec<String> = inside.map(|path| file_name(path)).collect();
        if names.is_empty() {
            Err("no such folder".to_owned())
        } else {
            Ok(names)
        }
    }
}
