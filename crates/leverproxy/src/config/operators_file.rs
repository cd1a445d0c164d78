//! Reads the operators' file and its included files from disk, and checks them.

use crate::request::truncate_for_display;
use configuration::diagnostic::{self, Diagnostic};
use configuration::load::Loader;
use configuration::platform::{self, Platform};
use configuration::source::Sources;
use configuration::Reading;
use std::io::Read;
use std::path::{Path, PathBuf};

/// Loads files in the operators' language from the file system.
pub struct Disk;

/// Reads at most the first `limit` bytes of a regular file.
pub(super) fn read_at_most(path: &Path, limit: usize) -> Result<Vec<u8>, String> {
    let file = std::fs::File::open(path).map_err(|e| e.to_string())?;
    if !file.metadata().map_err(|e| e.to_string())?.is_file() {
        return Err("is not a file".into());
    }
    let mut bytes = Vec::new();
    file.take(limit as u64)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    Ok(bytes)
}

impl Loader for Disk {
    fn read(&self, path: &Path) -> Result<Vec<u8>, String> {
        read_at_most(path, configuration::load::FILE_LIMIT + 1)
    }

    fn identity(&self, path: &Path) -> Result<PathBuf, String> {
        path.canonicalize().map_err(|e| e.to_string())
    }

    fn names(&self, folder: &Path) -> Result<Vec<String>, String> {
        let folder = if folder.as_os_str().is_empty() {
            Path::new(".")
        } else {
            folder
        };
        let entries = std::fs::read_dir(folder).map_err(|e| e.to_string())?;
        Ok(entries
            .flatten()
            .map(|entry| entry.file_name().to_string_lossy().into_owned())
            .collect())
    }
}

/// Reads a file and checks it, also against the platform's bounds if `platform` is given. `search`: also look for routes
/// that no request can reach, which is slow for files with many routes.
pub fn read(path: &Path, platform: Option<&Platform>, search: bool) -> Reading {
    let mut reading = configuration::read(path, &Disk);
    let mut found = Vec::new();
    if let Some(platform) = platform {
        found = platform::check(&reading.sections, &reading.model, platform);
    }
    if search && reading.is_valid() {
        let classes = platform.map(classes);
        found.extend(configuration::shadow::check(
            &reading.model,
            classes.as_deref(),
        ));
    }
    reading.add(found);
    reading
}

/// The names of all classes, in the platform's order.
pub fn classes(platform: &Platform) -> Vec<String> {
    platform.classes.iter().map(|c| c.name.clone()).collect()
}

/// The errors of a reading, formatted as one log line each.
pub fn faults(reading: &Reading) -> Vec<String> {
    let errors = reading.diagnostics.iter().filter(|d| d.is_error());
    errors.map(|d| fault_line(&reading.sources, d)).collect()
}

/// One line with the diagnostic and the directive that it refers to, since some messages quote only the directive's value.
fn fault_line(sources: &Sources, diagnostic: &Diagnostic) -> String {
    let line = sources.place(diagnostic.span).line;
    let text = sources
        .get(diagnostic.span.file)
        .and_then(|file| file.text.lines().nth(line.checked_sub(1)?));
    let directive = text.map_or("", str::trim);
    format!(
        "{}; the line is `{}`",
        diagnostic::line(sources, diagnostic),
        truncate_for_display(directive)
    )
}
