//! Starts a program as the testbed wants it: `testbed-launch RIG FILES PROGRAM [WORD...]`. It dies with the testbed, whose process
//! number is RIG, and may hold FILES descriptors (0: as many as the testbed).

use rustix::process::{
    getppid, set_parent_process_death_signal, setrlimit, Pid, Resource, Rlimit, Signal,
};
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [testbed, files, program, rest @ ..] = words.as_slice() else {
        eprintln!("testbed-launch: RIG FILES PROGRAM [WORD...]");
        return ExitCode::from(2);
    };
    let (Ok(testbed), Ok(files)) = (testbed.parse::<i32>(), files.parse::<u64>()) else {
        eprintln!("testbed-launch: RIG and FILES are numbers");
        return ExitCode::from(2);
    };
    if let Err(e) = set_parent_process_death_signal(Some(Signal::KILL)) {
        eprintln!("testbed-launch: can't be told of the testbed's death: {e}");
        return ExitCode::FAILURE;
    }
    // It may have died before it could be heard of.
    if getppid() != Pid::from_raw(testbed) {
        return ExitCode::FAILURE;
    }
    if files > 0 {
        if let Err(e) = setrlimit(
            Resource::Nofile,
            Rlimit {
                current: Some(files),
                maximum: Some(files),
            },
        ) {
            eprintln!("testbed-launch: {files} descriptors can't be set: {e}");
            return ExitCode::FAILURE;
        }
    }
    let fault = Command::new(program).args(rest).exec();
    eprintln!("testbed-launch: {program}: {fault}");
    ExitCode::from(127)
}
