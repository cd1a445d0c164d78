//! Trials and the demonstration, as they are called.

use rustix::process::{kill_process, test_kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const DAY: &str =
    "class c {\n work 2ms\n aim 20s\n deadline 20s\n}\nload l {\n rate 50\n proxies 2\n classes c\n}\n";
const PATIENCE: Duration = Duration::from_secs(30);

fn lab() -> Command {
    Command::new(env!("CARGO_BIN_EXE_proxy-experiments"))
}

fn file(text: &str) -> std::path::PathBuf {
    static MADE: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = MADE.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("trial-{}-{number}.conf", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Killed with no time to tidy up, the testbed leaves no process behind.
#[test]
fn a_rig_that_is_killed_leaves_no_process() {
    let path = file(&format!("{DAY}scenario s {{\n length 60s\n load l\n}}\n"));
    let mut testbed = lab()
        .arg("trial")
        .arg(&path)
        .stderr(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(testbed.stderr.take().unwrap())
        .lines()
        .map(Result::unwrap);
    let mut numbers = Vec::new();
    while numbers.len() < 2 {
        let line = lines.next().expect("the numbers of its processes");
        let number: Option<i32> = line.rsplit(' ').next().and_then(|word| word.parse().ok());
        numbers.extend(number.filter(|_| line.starts_with("proxy ")));
    }
    let processes: Vec<Pid> = numbers.iter().map(|n| Pid::from_raw(*n).unwrap()).collect();
    for process in &processes {
        test_kill_process(*process).expect("it runs");
    }
    kill_process(Pid::from_child(&testbed), Signal::KILL).unwrap();
    testbed.wait().unwrap();
    let until = Instant::now() + PATIENCE;
    for process in processes {
        // Whoever inherits what is left of it takes it away in its own time: a process that has ended is enough.
        while !ended(process) {
            assert!(Instant::now() < until, "{process:?} is left behind");
            std::thread::yield_now();
        }
    }
    std::fs::remove_file(path).unwrap();
}

fn ended(process: Pid) -> bool {
    let state = std::fs::read_to_string(format!("/proc/{}/stat", process.as_raw_nonzero()));
    state.map_or(true, |text| {
        text.rsplit(')')
            .next()
            .is_some_and(|rest| rest.trim_start().starts_with('Z'))
    })
}

/// What is wrong with a file is said with its place, and nothing is started for it.
#[test]
fn a_faulty_trial_starts_nothing() {
    for (text, expected) in [
        (format!("{DAY}scenario s {{\n lenght 2s\n load l\n}}\n"), "did you mean length?"),
        (
            format!("{DAY}trouble t {{\n kind dye\n of all\n}}\nscenario s {{\n load l\n troubles t\n}}\n"),
            "did you mean die?",
        ),
        (
            format!("{DAY}fleet f {{\n groups 9000\n}}\nscenario s {{\n fleet f\n load l\n}}\n"),
            "scenario s: fleet: 2 proxies",
        ),
        (
            format!("{DAY}scenario s {{\n load l\n}}\nscenario t {{\n load l\n}}\n"),
            "--scenario is missing: there are s, t",
        ),
    ] {
        let path = file(&text);
        let out = lab().arg("trial").arg(&path).output().unwrap();
        let said = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{said}");
        assert!(said.contains(expected), "{said}");
        assert!(!said.contains("process "), "{said}");
        std::fs::remove_file(path).unwrap();
    }
}

/// The demonstration needs no key, and ends by itself with a summary; whatever it claims, it breaks no rule.
#[test]
fn the_demonstration_ends_by_itself() {
    let out = lab().args(["demo", "--for", "2s"]).output().unwrap();
    let said = String::from_utf8_lossy(&out.stdout);
    assert!(said.contains("| confirm-ride"), "{said}");
    assert!(said.contains("attempts "), "{said}");
}
