//! Injection of errors and short transfers for tests. Without [`Faults`], the cost is reading one thread-local variable
//! for each call.

use super::errors::Call;
use rustix::io::Errno;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// The fault that is injected into a call.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The call fails with this error and is not made.
    Fail(Errno),
    /// The call is made and then fails with this error, like an interrupted connect.
    FailAfter(Errno),
    /// A read, a send or a write of a file transfers at most this number of bytes.
    AtMost(usize),
}

/// A fault and the calls that it applies to.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// The kind of call.
    pub call: Call,
    /// If set, the rule is restricted to connections to this peer; for accept, to the listener at this address.
    pub address: Option<SocketAddr>,
    /// The fault to inject.
    pub fault: Fault,
    /// The number of calls that the rule still applies to.
    pub times: u64,
}

/// Number of kinds of system calls.
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
    /// Applies these faults to all further calls of this thread.
    pub fn install(self: Arc<Faults>) {
        FAULTS.with(|faults| *faults.borrow_mut() = Some(self));
    }

    /// Adds a rule. If several rules match a call, the first one applies.
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

    /// The number of calls of this kind, with and without a fault.
    pub fn calls(&self, call: Call) -> u64 {
        self.call_counts[call as usize].load(Ordering::SeqCst)
    }

    /// The number of calls of this kind that a fault was applied to.
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
        let matches = |rule: &&mut Rule| {
            rule.call == call
                && rule.times > 0
                && (rule.address.is_none() || rule.address == address)
        };
        let rule = rules.iter_mut().find(matches)?;
        rule.times -= 1;
        self.fault_counts[call as usize].fetch_add(1, Ordering::SeqCst);
        Some(rule.fault)
    }
}

/// The faults of this thread, to be installed in a worker thread.
pub(crate) fn installed() -> Option<Arc<Faults>> {
    FAULTS.with(|faults| faults.borrow().clone())
}

fn fault(call: Call, address: impl FnOnce() -> Option<SocketAddr>) -> Option<Fault> {
    FAULTS.with(|faults| faults.borrow().as_ref()?.fault(call, address))
}

/// Returns the error of the fault that applies to this call, if any.
pub(crate) fn inject_error(
    call: Call,
    address: impl FnOnce() -> Option<SocketAddr>,
) -> Result<(), Errno> {
    match fault(call, address) {
        Some(Fault::Fail(errno) | Fault::FailAfter(errno)) => Err(errno),
        Some(Fault::AtMost(_)) | None => Ok(()),
    }
}

/// Makes the call, unless a fault replaces it.
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

/// The number of `bytes` that this call may transfer, or the error of the fault that applies to it.
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
