//! State that outlives the process: small files in a directory that the operators' file names, and the handover of a hot
//! restart.
//!
//! Each step of a save has one owner: [`persistent_state`] decides what is saved and when, [`saved_state`] carries that out
//! and confirms it to operators, [`background_writer`] is the thread that waits for the disk, and [`state_file`] replaces one
//! file by another.

pub mod background_writer;
pub mod directory_lock;
pub mod hot_restart;
pub mod saved_state;
pub mod state_file;
