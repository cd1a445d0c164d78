//! Files that are replaced as a whole: a new file is written under another name, synced, and renamed. What is found later is
//! the old file or the new one, never a part of either.

use crate::event_loop::system_calls::errors::Call;
use crate::event_loop::system_calls::faults::{inject_error, limit_transfer};
use std::collections::hash_map::RandomState;
use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::hash::BuildHasher;
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// The ending of the names of files that are being written.
const DRAFT_SUFFIX: &str = ".draft";

/// Replaces the file at `path`. It has reached the disk when this returns. After an error the old file or the new one is
/// there, complete. The next save writes a new file: what a failed sync leaves in the system's cache cannot be trusted.
pub fn save(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let draft = draft(path)?;
    let replaced = write(&draft, path, bytes).and_then(|()| rename(&draft, path));
    if replaced.is_err() {
        // Its space may be what the next save lacks.
        _ = fs::remove_file(&draft);
    }
    replaced?;
    sync_directory(path)
}

/// A name that no other process writes to: during a hot restart two may save.
fn draft(path: &Path) -> io::Result<PathBuf> {
    let mut name = path
        .file_name()
        .ok_or(ErrorKind::IsADirectory)?
        .to_os_string();
    let unique = RandomState::new().hash_one(());
    name.push(format!(".{unique:016x}{DRAFT_SUFFIX}"));
    Ok(path.with_file_name(name))
}

fn write(draft: &Path, path: &Path, bytes: &[u8]) -> io::Result<()> {
    inject_error(Call::FileCreate, || None)?;
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(draft)?;
    if let Ok(old) = fs::metadata(path) {
        // The permissions stay as an operator has set them.
        _ = file.set_permissions(old.permissions());
    }
    write_all(&mut file, bytes)?;
    inject_error(Call::FileSync, || None)?;
    file.sync_all()
}

fn write_all(file: &mut File, bytes: &[u8]) -> io::Result<()> {
    let mut left = bytes;
    while !left.is_empty() {
        let most = limit_transfer(Call::FileWrite, left.len(), || None)?;
        match file.write(&left[..most]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => left = &left[written..],
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn rename(draft: &Path, path: &Path) -> io::Result<()> {
    inject_error(Call::FileRename, || None)?;
    fs::rename(draft, path)
}

/// Makes the rename durable: without this a power loss may bring the old file back.
fn sync_directory(path: &Path) -> io::Result<()> {
    inject_error(Call::DirectorySync, || None)?;
    let directory = path
        .parent()
        .filter(|directory| !directory.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()
}

/// Removes the incomplete files that a killed process has left. No other process may be saving at that path.
pub fn remove_drafts(path: &Path) {
    let (Some(directory), Some(name)) = (path.parent(), path.file_name()) else {
        return;
    };
    let mut prefix = OsString::from(name);
    prefix.push(".");
    for entry in fs::read_dir(directory).into_iter().flatten().flatten() {
        let name = entry.file_name();
        let bytes = name.as_encoded_bytes();
        if bytes.starts_with(prefix.as_encoded_bytes()) && bytes.ends_with(DRAFT_SUFFIX.as_bytes())
        {
            _ = fs::remove_file(entry.path());
        }
    }
}

/// Loads the file at `path`; none if there is no file. A file of more than `limit` bytes was not written by this program
/// and is an error.
pub fn load(path: &Path, limit: u64) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut bytes = Vec::new();
    file.take(limit + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > limit {
        return Err(io::Error::new(
            ErrorKind::InvalidData,
            format!("it has more than {limit} bytes"),
        ));
    }
    Ok(Some(bytes))
}

#[cfg(test)]
mod tests;
