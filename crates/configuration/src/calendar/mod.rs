//! Windows of time: days of the calendar and hours of the day, exact over the years that it knows.
//!
//! Everything is kept in UTC; local times of the file are shifted by its fixed offset when a window is made.

mod days;
mod moment;
mod pieces;
#[cfg(test)]
mod tests;
mod window;

pub use moment::Moment;
pub use pieces::TimePieces;
pub use window::{Almanac, Window, WindowConditions};
