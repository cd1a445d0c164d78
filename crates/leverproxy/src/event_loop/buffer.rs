//! Bytes that wait to be parsed or sent.

/// A buffer that has grown past this is freed once it is empty.
const MAX_RETAINED_CAPACITY: usize = 16 << 10;

/// Bytes with a mark up to which they have been used.
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
