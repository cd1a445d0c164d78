//! Windows of time: days of the calendar and hours of the day, exact over the years of the calendar.
//!
//! All times are kept in UTC; local times of the file are converted by its fixed offset when a window is compiled.

mod days;
mod moment;
mod pieces;
#[cfg(test)]
mod tests;
mod window;

pub use moment::Moment;
pub use pieces::TimePieces;
pub use window::{CalendarTable, Window, WindowConditions};
