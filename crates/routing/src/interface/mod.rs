//! The interface of the decision module: settings and events in, actions out. Plain data, no decisions.

mod actions;
mod events;
mod ids;
mod settings;
mod time;

pub use actions::*;
pub use events::*;
pub use ids::*;
pub use settings::*;
pub use time::Time;
