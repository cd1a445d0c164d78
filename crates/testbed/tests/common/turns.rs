//! Bounds the number of fleets that run at once: too many processes delay each other, and tests that wait for slow events
//! would time out.

use std::sync::{Condvar, Mutex, PoisonError};

/// Maximum number of fleets of four or five processes that run at once; a machine with a few cores has room for that.
const AT_ONCE: usize = 4;

static UP: Mutex<usize> = Mutex::new(0);
static FREE: Condvar = Condvar::new();

/// Permit to run one fleet, released on drop.
pub struct Turn(());

pub fn turn() -> Turn {
    let up = UP.lock().unwrap_or_else(PoisonError::into_inner);
    let mut up = FREE
        .wait_while(up, |up| *up >= AT_ONCE)
        .unwrap_or_else(PoisonError::into_inner);
    *up += 1;
    Turn(())
}

impl Drop for Turn {
    fn drop(&mut self) {
        *UP.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FREE.notify_one();
    }
}
