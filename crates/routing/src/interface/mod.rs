//! Interface of the decision module: settings and events as input, actions as output. Plain data without logic.

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
