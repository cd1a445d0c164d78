//! Files that are replaced whole, and what failing disks and kills leave.

use super::*;
use crate::event_loop::system_calls::faults::{Fault, Faults, Rule};
use rustix::io::Errno;
use std::sync::Arc;

/// A directory that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("kept-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        Folder(folder)
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

impl Drop for Folder {
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
fn what_is_saved_is_found_whole_and_one_holds_the_lock() {
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
    let lock = Lock::take(&folder, "lock").unwrap();
    assert!(matches!(
        Lock::take(&folder, "lock"),
        Err(LockError::Held(_))
    ));
    drop(lock);
    assert!(Lock::take(&folder, "lock").is_ok());
    assert!(matches!(
        Lock::take(&folder.join("none"), "lock"),
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
fn a_disk_that_fails_at_any_step_leaves_a_whole_file_and_no_other() {
    let (folder, faults) = (Folder::new("fails"), faults());
    let path = folder.0.join("state");
    save(&path, b"former").unwrap();
    for errno in [Errno::NOSPC, Errno::IO, Errno::ROFS, Errno::DQUOT] {
        for call in [
            Call::FileCreate,
            Call::FileWrite,
            Call::FileSync,
            Call::FileRename,
            Call::FolderSync,
        ] {
            faults.add(rule(call, Fault::Fail(errno)));
            let error = save(&path, b"later").unwrap_err();
            assert_eq!(Errno::from_io_error(&error), Some(errno), "{call:?}");
            // Only its name's way to the disk was missing where the directory could not be synced.
            let left = if call == Call::FolderSync {
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
fn a_file_that_is_written_half_does_not_take_the_formers_place() {
    let (folder, faults) = (Folder::new("half"), faults());
    let path = folder.0.join("state");
    save(&path, b"former").unwrap();
    faults.add(rule(Call::FileWrite, Fault::AtMost(2)));
    faults.add(rule(Call::FileWrite, Fault::Fail(Errno::NOSPC)));
    assert!(save(&path, b"later").is_err());
    assert_eq!(load(&path, 99).unwrap().as_deref(), Some(&b"former"[..]));
    // Short writes alone are gone on with.
    faults.add(Rule {
        times: 4,
        ..rule(Call::FileWrite, Fault::AtMost(1))
    });
    save(&path, b"later").unwrap();
    assert_eq!(load(&path, 99).unwrap().as_deref(), Some(&b"later"[..]));
    assert_eq!((faults.met(Call::FileWrite), folder.names().len()), (6, 1));
}

/// After a failed sync the system may hold the pages for written: each attempt writes all of them anew.
#[test]
fn a_file_whose_sync_failed_is_written_anew() {
    let (folder, faults) = (Folder::new("sync"), faults());
    let path = folder.0.join("state");
    faults.add(Rule {
        times: 2,
        ..rule(Call::FileSync, Fault::Fail(Errno::IO))
    });
    assert!(save(&path, b"state").is_err() && save(&path, b"state").is_err());
    assert_eq!(load(&path, 99).unwrap(), None);
    save(&path, b"state").unwrap();
    assert_eq!(
        (faults.made(Call::FileCreate), faults.made(Call::FileWrite)),
        (3, 3)
    );
}

#[test]
fn a_writer_removes_what_a_kill_has_left() {
    let folder = Folder::new("killed");
    let path = folder.0.join("state");
    save(&path, b"former").unwrap();
    fs::write(draft(&path).unwrap(), b"la").unwrap();
    fs::write(folder.0.join("state.old"), b"an operator's").unwrap();
    assert_eq!(load(&path, 99).unwrap().as_deref(), Some(&b"former"[..]));
    let (mut woken, waker) = UnixStream::pair().unwrap();
    let writer = Writer::start(path.clone(), waker).unwrap();
    assert!(writer.save(b"later".to_vec()));
    woken.read_exact(&mut [0]).unwrap();
    assert!(writer.ended().unwrap().is_ok());
    assert_eq!(load(&path, 99).unwrap().as_deref(), Some(&b"later"[..]));
    assert_eq!(folder.names(), ["state", "state.old"]);
}
