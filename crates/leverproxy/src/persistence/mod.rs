//! State that outlives the process: small files in a directory that the operators' file names, and the handover of a hot
//! restart.
//!
//! The steps of a save:
//!
//! - [`persistent_state`] decides what is saved and when;
//! - [`saved_state`] starts the saves and confirms them to operators;
//! - [`background_writer`] waits for the disk on a thread;
//! - [`state_file`] replaces the old file by the new one.

pub mod background_writer;
pub mod directory_lock;
pub mod hot_restart;
pub mod saved_state;
pub mod state_file;
