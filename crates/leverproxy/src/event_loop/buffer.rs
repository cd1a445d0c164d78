//! A buffer of bytes that wait to be parsed or sent.

/// Capacity in bytes above which the memory of an empty buffer is released.
const MAX_RETAINED_CAPACITY: usize = 16 << 10;

/// A byte buffer with a position up to which its bytes have been used.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    used: usize,
}

impl Buffer {
    /// The bytes that have not been used.
    pub fn unused(&self) -> &[u8] {
        &self.bytes[self.used..]
    }

    /// The number of unused bytes.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.used
    }

    /// Whether all bytes have been used.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.used > 0 && self.bytes.len() + bytes.len() > self.bytes.capacity() {
            self.bytes.drain(..self.used);
            self.used = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Marks the next `n` bytes as used.
    pub fn consume(&mut self, n: usize) {
        self.used += n;
        if self.used == self.bytes.len() {
            self.used = 0;
            self.bytes.clear();
            if self.bytes.capacity() > MAX_RETAINED_CAPACITY {
                self.bytes = Vec::new();
            }
        }
    }
}
