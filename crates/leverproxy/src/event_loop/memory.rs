//! Accounting of the memory that requests and their answers occupy, over all parts of the process.
//!
//! Each owner of such bytes holds a [`Reservation`] for them. The sum is compared with a limit where bytes of clients are
//! read; nothing is refused here.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The sum of all reservations. Clones share one sum.
#[derive(Clone, Debug, Default)]
pub struct MemoryMeter(Arc<AtomicUsize>);

impl MemoryMeter {
    /// The number of bytes reserved.
    pub fn used(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Reserves a number of bytes until the reservation is dropped.
    pub fn reserve(&self, bytes: usize) -> Reservation {
        self.0.fetch_add(bytes, Ordering::Relaxed);
        Reservation {
            meter: self.clone(),
            bytes,
        }
    }
}

/// Bytes that count in a [`MemoryMeter`] until they are dropped.
#[derive(Debug, Default)]
pub struct Reservation {
    meter: MemoryMeter,
    bytes: usize,
}

impl Reservation {
    /// The number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes.
    pub fn resize(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        self.meter.0.fetch_add(bytes, Ordering::Relaxed);
        self.meter.0.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.meter.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
