//! State that outlives the process: small files in a directory that lasts, and the hand-over of a hot restart.

pub mod hot_restart;
pub mod saved_state;
pub mod state_file;
