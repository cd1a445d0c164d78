//! `leverproxy config fmt`: rewrites files in their canonical form.

use super::{print, ConfigCommandError, DIFFERS};
use clap::ArgMatches;
use configuration::format;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

pub(super) fn format_files(matches: &ArgMatches) -> Result<ExitCode, ConfigCommandError> {
    let check_only = matches.get_flag("check");
    let mut any_differ = false;
    for path in matches.get_many::<String>("files").into_iter().flatten() {
        any_differ |= format_file(path, check_only)?;
    }
    Ok(if any_differ && check_only {
        ExitCode::from(DIFFERS)
    } else {
        ExitCode::SUCCESS
    })
}

/// Formats a file; returns whether it differed from its canonical form.
fn format_file(path: &str, check_only: bool) -> Result<bool, ConfigCommandError> {
    let owned_path = || path.to_owned();
    let bytes = std::fs::read(path).map_err(|source| ConfigCommandError::Read {
        path: owned_path(),
        source,
    })?;
    let old =
        String::from_utf8(bytes).map_err(|_| ConfigCommandError::NotText { path: owned_path() })?;
    let new = format::format(&old)
        .ok_or_else(|| ConfigCommandError::NotFormattable { path: owned_path() })?;
    if old == new {
        return Ok(false);
    }
    if check_only {
        print(&format!("{path} is not in its canonical form\n"));
    } else {
        replace(Path::new(path), &new).map_err(|source| ConfigCommandError::Write {
            path: owned_path(),
            source,
        })?;
    }
    Ok(true)
}

/// Replaces a file by a rename, so that concurrent readers see the complete old or new text.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let path = path.canonicalize()?;
    let name = path
        .file_name()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let draft = path.with_file_name(format!(".{name}.{}", std::process::id()));
    let written = std::fs::File::create_new(&draft).and_then(|mut file| {
        file.write_all(text.as_bytes())?;
        file.set_permissions(std::fs::metadata(&path)?.permissions())?;
        file.sync_all()?;
        std::fs::rename(&draft, &path)
    });
    if written.is_err() {
        _ = std::fs::remove_file(&draft);
    }
    written
}
