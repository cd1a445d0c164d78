//! Interface of the decision module: settings and events as input, actions as output. Plain data without logic.

mod actions;
mod events;
mod ids;
mod settings;
mod tables;
mod time;

pub use actions::*;
pub use events::*;
pub use ids::*;
pub use settings::*;
pub use tables::TableSizes;
pub use time::Time;
