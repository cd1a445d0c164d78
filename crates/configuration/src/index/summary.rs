//! What is known of all routes of one network and one statement's prefix.

/// A route states a class.
pub(super) const CLASS: u8 = 1;
/// A route states a tenant.
pub(super) const TENANT: u8 = 2;
/// A route states a group.
pub(super) const GROUP: u8 = 4;

/// Which shapes of routes there are; a shape is which of class, tenant and group are stated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Summary {
    /// Position of the first of the routes; `u32::MAX`: there is none.
    pub first: u32,
    /// A bit for each shape that occurs.
    pub shapes: u8,
}

impl Summary {
    /// Of no route.
    pub const EMPTY: Summary = Summary {
        first: u32::MAX,
        shapes: 0,
    };

    /// `shape`: a sum of [`CLASS`], [`TENANT`] and [`GROUP`].
    pub fn add(&mut self, at: u32, shape: u8) {
        self.first = self.first.min(at);
        self.shapes |= 1 << shape;
    }
}
