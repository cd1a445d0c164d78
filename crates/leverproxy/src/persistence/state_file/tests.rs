//! Atomic replacement of files, with failing disks and with drafts left by a killed process.

use super::*;
use crate::event_loop::system_calls::faults::{Fault, Faults, Rule};
use crate::persistence::background_writer::BackgroundWriter;
use crate::persistence::directory_lock::{DirectoryLock, LockError};
use rustix::io::Errno;
use std::os::unix::net::UnixStream;
use std::sync::Arc;

/// A directory that is removed at the end of the test.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> TestDirectory {
        let folder = std::env::temp_dir().join(format!("kept-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        TestDirectory(folder)
    }

    fn names(&self) -> Vec<OsString> {
        let mut names: Vec<_> = fs::read_dir(&self.0)
            .unwrap()
            .map(|entry| entry.unwrap().file_name())
            .collect();
        names.sort();
        names
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

fn faults() -> Arc<Faults> {
    let faults = Arc::<Faults>::default();
    faults.clone().install();
    faults
}

fn rule(call: Call, fault: Fault) -> Rule {
    Rule {
        call,
        address: None,
        fault,
        times: 1,
    }
}

#[test]
fn a_saved_file_is_loaded_and_one_process_holds_the_lock() {
    let folder = std::env::temp_dir().join(format!("kept-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("state");
    assert_eq!(load(&path, 9).unwrap(), None);
    save(&path, b"former one").unwrap();
    save(&path, b"later").unwrap();
    assert_eq!(load(&path, 9).unwrap().as_deref(), Some(&b"later"[..]));
    assert_eq!(
        load(&path, 4).unwrap_err().kind(),
        io::ErrorKind::InvalidData
    );
    let lock = DirectoryLock::acquire(&folder, "lock").unwrap();
    assert!(matches!(
        DirectoryLock::acquire(&folder, "lock"),
        Err(LockError::Held(_))
    ));
    drop(lock);
    assert!(DirectoryLock::acquire(&folder, "lock").is_ok());
    assert!(matches!(
        DirectoryLock::acquire(&folder.join("none"), "lock"),
        Err(LockError::Io(..))
    ));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
#[ignore = "a figure of the results: what a save costs on this disk"]
fn saves_take() {
    let folder = std::env::current_dir()
        .unwrap()
        .join(format!("kept-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut took: Vec<u128> = (0..1_000_u32)
        .map(|n| {
            let begun = std::time::Instant::now();
            save(&folder.join("state"), &[n.to_le_bytes(); 64].concat()).unwrap();
            begun.elapsed().as_micros()
        })
        .collect();
    std::fs::remove_dir_all(&folder).unwrap();
    took.sort_unstable();
    println!(
        "1,000 saves of 256 bytes: p50 {} us, p99 {} us, most {} us",
        took[500], took[990], took[999]
    );
}

#[test]
fn a_failure_at_any_step_leaves_a_complete_file_and_no_draft() {
    let (folder, faults) = (TestDirectory::new("fails"), faults());
    let path = folder.0.join("state");
    save(&path, b"former").unwrap();
    for errno in [Errno::NOSPC, Errno::IO, Errno::ROFS, Errno::DQUOT] {
        for call in [
            Call::FileCreate,
            Call::FileWrite,
            Call::FileSync,
            Call::FileRename,
            Call::DirectorySync,
        ] {
            faults.add(rule(call, Fault::Fail(errno)));
            let error = save(&path, b"later").unwrap_err();
            assert_eq!(Errno::from_io_error(&error), Some(errno), "{call:?}");
            // Where only the directory could not be synced, the new file is in place.
            let left = if call == Call::DirectorySync {
                &b"later"[..]
            } else {
                b"former"
            };
            assert_eq!(
                load(&path, 99).unwrap().as_deref(),
                Some(left),
                "{call:?} {errno}"
            );
            assert_eq!(folder.names(), ["state"], "{call:?} {errno}");
            save(&path, b"former").unwrap();
            assert_eq!(load(&path, 99).unwrap().as_deref(), Some(&b"former"[..]));
        }
    }
}

#[test]
fn an_incomplete_file_does_not_replace_the_old_one() {
    let (folder, faults) = (TestDirectory::new("half"), faults());
    let path = folder.0.join("state");
    save(&path, b"former").unwrap();
    faults.add(rule(Call::FileWrite, Fault::AtMost(2)));
    faults.add(rule(Call::FileWrite, Fault::Fail(Errno::NOSPC)));
    assert!(save(&path, b"later").is_err());
    assert_eq!(load(&path, 99).unwrap().as_deref(), Some(&b"former"[..]));
    // Short writes alone are continued.
    faults.add(Rule {
        times: 4,
        ..rule(Call::FileWrite, Fault::AtMost(1))
    });
    save(&path, b"later").unwrap();
    assert_eq!(load(&path, 99).unwrap().as_deref(), Some(&b"later"[..]));
    assert_eq!(
        (faults.faults(Call::FileWrite), folder.names().len()),
        (6, 1)
    );
}

/// After a failed sync the system may count the pages as written, though they are not on the disk. Each save therefore writes
/// a new file.
#[test]
fn a_file_whose_sync_failed_is_written_again() {
    let (folder, faults) = (TestDirectory::new("sync"), faults());
    let path = folder.0.join("state");
    faults.add(Rule {
        times: 2,
        ..rule(Call::FileSync, Fault::Fail(Errno::IO))
    });
    assert!(save(&path, b"state").is_err() && save(&path, b"state").is_err());
    assert_eq!(load(&path, 99).unwrap(), None);
    save(&path, b"state").unwrap();
    assert_eq!(
        (
            faults.calls(Call::FileCreate),
            faults.calls(Call::FileWrite)
        ),
        (3, 3)
    );
}

#[test]
fn a_writer_removes_the_drafts_of_a_killed_process() {
    let folder = TestDirectory::new("killed");
    let path = folder.0.join("state");
    save(&path, b"former").unwrap();
    fs::write(draft(&path).unwrap(), b"la").unwrap();
    fs::write(folder.0.join("state.old"), b"an operator's").unwrap();
    assert_eq!(load(&path, 99).unwrap().as_deref(), Some(&b"former"[..]));
    let (mut woken, waker) = UnixStream::pair().unwrap();
    let writer = BackgroundWriter::start(path.clone(), waker).unwrap();
    assert!(writer.start_save(b"later".to_vec()));
    woken.read_exact(&mut [0]).unwrap();
    assert!(writer.take_result().unwrap().is_ok());
    assert_eq!(load(&path, 99).unwrap().as_deref(), Some(&b"later"[..]));
    assert_eq!(folder.names(), ["state", "state.old"]);
}
