//! Where files come from.

use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};

/// Where files come from: the only access of this package to anything outside.
pub trait Loader {
    /// The bytes of a file. Fails with the system's own text, to be shown to operators.
    fn read(&self, path: &Path) -> Result<Vec<u8>, String>;
    /// One name for each file, whatever links lead to it.
    fn identity(&self, path: &Path) -> Result<PathBuf, String>;
    /// The names in a folder, in any order.
    fn names(&self, folder: &Path) -> Result<Vec<String>, String>;
}

/// The last part of a path, to be shown.
pub(super) fn file_name(path: &Path) -> String {
    path.file_name().map_or_else(
        || path.display().to_string(),
        |name| name.to_string_lossy().into_owned(),
    )
}

/// Files in memory, for tests and for texts that come from elsewhere. A link is a file whose
/// text is `link:` and a path.
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
