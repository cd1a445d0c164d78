//! Injected errors and short transfers, for tests. A thread without [`Faults`] reads one thread-local variable for each
//! call.

use super::errors::Call;
use rustix::io::Errno;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// What a call does instead of its work.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It fails with this error.
    Fail(Errno),
    /// It does its work and fails with this error all the same, as an interrupted connect does.
    FailAfter(Errno),
    /// A read, a send or a write of a file transfers at most so many bytes.
    AtMost(usize),
}

/// Which calls a fault applies to.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// The kind of call.
    pub call: Call,
    /// Only calls on a connection to this peer; for accept, on the listener at this address.
    pub address: Option<SocketAddr>,
    /// What happens to them.
    pub fault: Fault,
    /// The number of calls that it applies to.
    pub times: u64,
}

const CALLS: usize = Call::DirectorySync as usize + 1;

/// The faults of one thread, shared with the test that sets them.
#[doc(hidden)]
#[derive(Debug, Default)]
pub struct Faults {
    armed: AtomicBool,
    rules: Mutex<Vec<Rule>>,
    call_counts: [AtomicU64; CALLS],
    fault_counts: [AtomicU64; CALLS],
}

thread_local! {
    static FAULTS: RefCell<Option<Arc<Faults>>> = const { RefCell::new(None) };
}

impl Faults {
    /// Subjects all calls of this thread to these faults from now on.
    pub fn install(self: Arc<Faults>) {
        FAULTS.with(|faults| *faults.borrow_mut() = Some(self));
    }

    /// Adds a rule; of several that fit a call the first one applies.
    pub fn add(&self, rule: Rule) {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        rules.push(rule);
        self.armed.store(true, Ordering::SeqCst);
    }

    /// Removes all rules.
    pub fn clear(&self) {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        rules.clear();
        self.armed.store(false, Ordering::SeqCst);
    }

    /// The number of calls of the thread, with a fault or without.
    pub fn calls(&self, call: Call) -> u64 {
        self.call_counts[call as usize].load(Ordering::SeqCst)
    }

    /// The number of calls that a fault was applied to.
    pub fn faults(&self, call: Call) -> u64 {
        self.fault_counts[call as usize].load(Ordering::SeqCst)
    }

    fn fault(&self, call: Call, address: impl FnOnce() -> Option<SocketAddr>) -> Option<Fault> {
        self.call_counts[call as usize].fetch_add(1, Ordering::SeqCst);
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
        self.fault_counts[call as usize].fetch_add(1, Ordering::SeqCst);
        Some(rule.fault)
    }
}

/// The faults of this thread, for another thread that works for it.
pub(crate) fn installed() -> Option<Arc<Faults>> {
    FAULTS.with(|faults| faults.borrow().clone())
}

fn fault(call: Call, address: impl FnOnce() -> Option<SocketAddr>) -> Option<Fault> {
    FAULTS.with(|faults| faults.borrow().as_ref()?.fault(call, address))
}

/// The error that this call has to return instead of its work.
pub(crate) fn inject_error(
    call: Call,
    address: impl FnOnce() -> Option<SocketAddr>,
) -> Result<(), Errno> {
    match fault(call, address) {
        Some(Fault::Fail(errno) | Fault::FailAfter(errno)) => Err(errno),
        Some(Fault::AtMost(_)) | None => Ok(()),
    }
}

/// Does the work, unless a fault replaces it.
pub(super) fn perform_with_faults(
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

/// How many of these bytes this call may transfer, or the error that it has to return.
pub(crate) fn limit_transfer(
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
