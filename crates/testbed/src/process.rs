//! Starts, signals and ends programs, and reads their log lines.

use rustix::process::{getpid, kill_process, Pid, Signal};
use std::collections::VecDeque;
use std::fmt;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time that the testbed waits for an event; not a bound on any measured quantity.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Environment variable with the level of proxies' logs that are written to files.
const LOG_LEVEL_VARIABLE: &str = "TESTBED_LOG_LEVEL";
/// Number of a program's latest lines that are kept.
const LINES: usize = 4_000;

/// A failure of the testbed or of a program, with the program's output and exit code.
#[derive(Debug)]
pub struct Fault {
    /// Description of the failure.
    pub problem: String,
    /// The last lines of the program's standard error.
    pub lines: Vec<String>,
    /// The program's exit code, if it exited with one.
    pub code: Option<i32>,
}

impl Fault {
    /// Creates a fault without output of a program.
    pub fn new(problem: impl Into<String>) -> Fault {
        Fault {
            problem: problem.into(),
            lines: Vec::new(),
            code: None,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.problem)?;
        if let Some(code) = self.code {
            write!(f, " (exit code {code})")?;
        }
        self.lines
            .iter()
            .try_for_each(|line| write!(f, "\n  {line}"))
    }
}

impl std::error::Error for Fault {}

/// Locks a mutex and ignores that another holder has panicked.
pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Path of the program of that name, built into the same folder as the running one.
pub fn built(name: &str) -> Result<PathBuf, Fault> {
    let own = std::env::current_exe()
        .map_err(|e| Fault::new(format!("cannot find the path of the running program: {e}")))?;
    // Test programs are in a subfolder of the programs' folder.
    let places = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(name));
    let found = places.into_iter().find(|path| path.is_file());
    found.ok_or_else(|| Fault::new(format!("{name} is not built: run cargo build --workspace")))
}

/// A temporary folder, removed on drop.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a folder in the system's folder for temporary files.
    pub fn new() -> std::io::Result<Folder> {
        static MADE: AtomicU32 = AtomicU32::new(0);
        let number = MADE.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("rig-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A program to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The executable.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Additional environment variables.
    pub variables: Vec<(String, String)>,
    /// Limit of open descriptors; 0: the testbed's own limit.
    pub files: u64,
    /// File to which the program's log is appended, at a level with a line for each answer; none: only the latest lines
    /// are kept in memory.
    pub log: Option<PathBuf>,
}

#[derive(Debug, Default)]
struct Output {
    lines: VecDeque<String>,
    /// Number of earlier lines that were dropped.
    dropped: usize,
    ended: bool,
}

/// A running process; killed on drop, and by the kernel when the testbed's process ends.
#[derive(Debug)]
pub struct Process {
    child: Child,
    output: Arc<(Mutex<Output>, Condvar)>,
    stopped: bool,
}

impl Process {
    /// Starts the program. The calling thread has to outlive the process, since the kernel kills the process when the thread ends.
    pub fn start(plan: &Plan) -> Result<Process, Fault> {
        let mut command = Command::new(built("testbed-launch")?);
        command
            .arg(getpid().as_raw_nonzero().to_string())
            .arg(plan.files.to_string());
        command
            .arg(&plan.program)
            .args(&plan.arguments)
            .env_remove("RUST_LOG");
        let mut log = match &plan.log {
            None => None,
            Some(path) => {
                let level = std::env::var(LOG_LEVEL_VARIABLE);
                command.env("RUST_LOG", level.as_deref().unwrap_or("debug"));
                let opened = File::options().create(true).append(true).open(path);
                Some(opened.map_err(|e| Fault::new(format!("{}: {e}", path.display())))?)
            }
        };
        command.envs(plan.variables.iter().map(|(name, value)| (name, value)));
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .map_err(|e| Fault::new(format!("cannot start {}: {e}", plan.program.display())))?;
        let output = Arc::new((Mutex::new(Output::default()), Condvar::new()));
        let (stderr, kept) = (child.stderr.take(), Arc::clone(&output));
        thread::spawn(move || {
            for line in stderr
                .map(BufReader::new)
                .into_iter()
                .flat_map(|w| w.lines().map_while(Result::ok))
            {
                if let Some(log) = &mut log {
                    // A line that cannot be written to the log file is still kept.
                    _ = writeln!(log, "{line}");
                }
                let mut output = lock(&kept.0);
                if output.lines.len() == LINES {
                    output.lines.pop_front();
                    output.dropped += 1;
                }
                output.lines.push_back(line);
                kept.1.notify_all();
            }
            lock(&kept.0).ended = true;
            kept.1.notify_all();
        });
        Ok(Process {
            child,
            output,
            stopped: false,
        })
    }

    /// The process id.
    pub fn number(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; has no effect on a process that has ended.
    pub fn signal(&mut self, signal: Signal) {
        // The process may have ended by itself.
        _ = kill_process(Pid::from_child(&self.child), signal);
        match signal {
            Signal::STOP => self.stopped = true,
            Signal::CONT | Signal::KILL => self.stopped = false,
            _ => {}
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        _ = self.child.wait();
    }

    /// Whether a kept log line contains this text.
    pub fn has_logged(&self, text: &str) -> bool {
        let output = lock(&self.output.0);
        output.lines.iter().any(|line| line.contains(text))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process and returns its exit code; none if ended by a signal.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().ok().and_then(|status| status.code())
    }

    /// Waits for a log line that contains this text, at number `from` or later; returns the line and its number.
    pub fn wait_for_line(&mut self, text: &str, from: usize) -> Result<(usize, String), Fault> {
        let until = Instant::now() + EVENT_TIMEOUT;
        let (output, changed) = &*self.output;
        let mut output = lock(output);
        loop {
            let skip = from.saturating_sub(output.dropped);
            let mut lines = output.lines.iter().enumerate().skip(skip);
            if let Some((at, line)) = lines.find(|(_, line)| line.contains(text)) {
                return Ok((output.dropped + at, line.clone()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if output.ended || left.is_zero() {
                let last = output.lines.iter().rev().take(20).rev().cloned().collect();
                let (problem, ended) = match output.ended {
                    true => (format!("the program ended before it logged {text:?}"), true),
                    false => (
                        format!("timed out waiting for a log line with {text:?}"),
                        false,
                    ),
                };
                drop(output);
                let code = if ended {
                    self.child.wait().ok().and_then(|s| s.code())
                } else {
                    None
                };
                return Err(Fault {
                    problem,
                    lines: last,
                    code,
                });
            }
            output = changed
                .wait_timeout(output, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
