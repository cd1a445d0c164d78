//! Errors and short transfers in place of the system's answers, for tests. A thread without [`Faults`] pays one look
//! at a thread-local variable for each call.

use super::Call;
use rustix::io::Errno;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// What a call does instead of its work, or of all of it.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Fail(Errno),
    /// The call does its work and gives this error all the same, as an interrupted connect does.
    FailAfter(Errno),
    /// Reads, sends and writes of files transfer no more bytes than this.
    AtMost(usize),
}

/// Which calls a fault meets.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    pub call: Call,
    /// Only those on a connection to this peer; for accept, on the listener of this address.
    pub address: Option<SocketAddr>,
    pub fault: Fault,
    /// So many of them.
    pub times: u64,
}

const CALLS: usize = Call::FolderSync as usize + 1;

/// The faults of one thread; shared with the test that sets them.
#[doc(hidden)]
#[derive(Debug, Default)]
pub struct Faults {
    armed: AtomicBool,
    rules: Mutex<Vec<Rule>>,
    made: [AtomicU64; CALLS],
    met: [AtomicU64; CALLS],
}

thread_local! {
    static FAULTS: RefCell<Option<Arc<Faults>>> = const { RefCell::new(None) };
}

impl Faults {
    /// All calls of this thread are subject to these faults from now on.
    pub fn install(self: Arc<Faults>) {
        FAULTS.with(|faults| *faults.borrow_mut() = Some(self));
    }

    /// Adds a rule; the first that fits a call counts.
    pub fn add(&self, rule: Rule) {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        rules.push(rule);
        self.armed.store(true, Ordering::SeqCst);
    }

    /// Drops all rules.
    pub fn clear(&self) {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        rules.clear();
        self.armed.store(false, Ordering::SeqCst);
    }

    /// Calls made by the thread, with a fault or without.
    pub fn made(&self, call: Call) -> u64 {
        self.made[call as usize].load(Ordering::SeqCst)
    }

    /// Calls that met a fault.
    pub fn met(&self, call: Call) -> u64 {
        self.met[call as usize].load(Ordering::SeqCst)
    }

    fn fault(&self, call: Call, address: impl FnOnce() -> Option<SocketAddr>) -> Option<Fault> {
        self.made[call as usize].fetch_add(1, Ordering::SeqCst);
        if !self.armed.load(Ordering::SeqCst) {
            return None;
        }
        let address = address();
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let fits = |rule: &&mut Rule| {
            rule.call == call
                && rule.times > 0
                && (rule.address.is_none() || rule.address == address)
        };
        let rule = rules.iter_mut().find(fits)?;
        rule.times -= 1;
        self.met[call as usize].fetch_add(1, Ordering::SeqCst);
        Some(rule.fault)
    }
}

/// Those of this thread, for a thread that works for it.
pub(crate) fn installed() -> Option<Arc<Faults>> {
    FAULTS.with(|faults| faults.borrow().clone())
}

fn fault(call: Call, address: impl FnOnce() -> Option<SocketAddr>) -> Option<Fault> {
    FAULTS.with(|faults| faults.borrow().as_ref()?.fault(call, address))
}

/// The error that this call is to give in place of its work.
pub(crate) fn injected(
    call: Call,
    address: impl FnOnce() -> Option<SocketAddr>,
) -> Result<(), Errno> {
    match fault(call, address) {
        Some(Fault::Fail(errno) | Fault::FailAfter(errno)) => Err(errno),
        Some(Fault::AtMost(_)) | None => Ok(()),
    }
}

/// Does the work, unless a fault takes its place.
pub(super) fn worked(
    call: Call,
    address: impl FnOnce() -> Option<SocketAddr>,
    work: impl FnOnce() -> Result<(), Errno>,
) -> Result<(), Errno> {
    match fault(call, address) {
        Some(Fault::Fail(errno)) => Err(errno),
        Some(Fault::FailAfter(errno)) => work().and(Err(errno)),
        Some(Fault::AtMost(_)) | None => work(),
    }
}

/// How many of these bytes this call may transfer, or the error that it is to give.
pub(crate) fn limited(
    call: Call,
    bytes: usize,
    address: impl FnOnce() -> Option<SocketAddr>,
) -> Result<usize, Errno> {
    match fault(call, address) {
        Some(Fault::Fail(errno) | Fault::FailAfter(errno)) => Err(errno),
        Some(Fault::AtMost(most)) => Ok(bytes.min(most)),
        None => Ok(bytes),
    }
}
