//! Starts a program for the testbed: `testbed-launch TESTBED_PID FILES PROGRAM [ARGUMENT...]`. The program is killed when the
//! testbed's process TESTBED_PID ends, and may open FILES descriptors (0: the testbed's own limit).

use rustix::process::{
    getppid, set_parent_process_death_signal, setrlimit, Pid, Resource, Rlimit, Signal,
};
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [testbed, files, program, program_arguments @ ..] = arguments.as_slice() else {
        eprintln!("testbed-launch: usage: testbed-launch TESTBED_PID FILES PROGRAM [ARGUMENT...]");
        return ExitCode::from(2);
    };
    let (Ok(testbed), Ok(files)) = (testbed.parse::<i32>(), files.parse::<u64>()) else {
        eprintln!("testbed-launch: TESTBED_PID and FILES must be numbers");
        return ExitCode::from(2);
    };
    if let Err(e) = set_parent_process_death_signal(Some(Signal::KILL)) {
        eprintln!("testbed-launch: cannot request a signal for the testbed's end: {e}");
        return ExitCode::FAILURE;
    }
    // The testbed may have ended before the signal was requested.
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
            eprintln!("testbed-launch: cannot set the limit of {files} descriptors: {e}");
            return ExitCode::FAILURE;
        }
    }
    let fault = Command::new(program).args(program_arguments).exec();
    eprintln!("testbed-launch: {program}: {fault}");
    ExitCode::from(127)
}
