//! Trials of whole fleets take turns: a machine on which too many processes run at once is late everywhere, and a trial that waits
//! for what takes long by itself would run out of patience.

use std::sync::{Condvar, Mutex, PoisonError};

/// Fleets of four or five processes that a machine of some cores bears at once.
const AT_ONCE: usize = 4;

static UP: Mutex<usize> = Mutex::new(0);
static FREE: Condvar = Condvar::new();

/// One fleet may be up for as long as this lives.
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
