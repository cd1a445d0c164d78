//! Summary of the routes of one network and one prefix of statements.

/// Bit of a shape: the route has a condition on the class.
pub(super) const CLASS: u8 = 1;
/// Bit of a shape: the route has a condition on the tenant.
pub(super) const TENANT: u8 = 2;
/// Bit of a shape: the route has a condition on the group.
pub(super) const GROUP: u8 = 4;

/// The first route, and the shapes of all routes; a shape is the set of class, tenant and group that a route states.
#[derive(Clone, Copy, Debug)]
pub(super) struct Summary {
    /// Position of the first route; `u32::MAX` if there is none.
    pub first: u32,
    /// A bit for each shape that occurs.
    pub shapes: u8,
}

impl Summary {
    /// Summary of no routes.
    pub const EMPTY: Summary = Summary {
        first: u32::MAX,
        shapes: 0,
    };

    /// Adds the route at a position. `shape`: a sum of [`CLASS`], [`TENANT`] and [`GROUP`].
    pub fn add(&mut self, at: u32, shape: u8) {
        self.first = self.first.min(at);
        self.shapes |= 1 << shape;
    }
}
