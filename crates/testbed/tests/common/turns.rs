//! Bounds the number of fleets that run at once: too many processes delay each other, and tests that wait for slow events
//! would time out.

use std::sync::{Condvar, Mutex, PoisonError};

/// Maximum number of fleets of four or five processes that run at once; a machine with a few cores has room for that.
const MAX_FLEETS: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static PERMIT_RELEASED: Condvar = Condvar::new();

/// Permit to run one fleet, released on drop.
pub struct Turn(());

pub fn turn() -> Turn {
    let up = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut up = PERMIT_RELEASED
        .wait_while(up, |up| *up >= MAX_FLEETS)
        .unwrap_or_else(PoisonError::into_inner);
    *up += 1;
    Turn(())
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        PERMIT_RELEASED.notify_one();
    }
}
