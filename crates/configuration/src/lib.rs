//! The operators' configuration language.
//!
//! A configuration is read in these steps:
//!
//! 1. [`syntax`]: splits a text into lines of words;
//! 2. [`load`]: reads the files, follows includes and replaces variables, which gives one [`document`];
//! 3. [`check`]: checks the document against the table of directives ([`schema`]) and parses words to values ([`value`]);
//! 4. [`model`]: builds a typed model of the sections and checks values against one another.
//!
//! The model is the input of:
//!
//! - [`index`]: finds the first route that matches a request;
//! - [`shadow`]: reports routes that no request reaches;
//! - [`diff`]: the behavioural difference between two configurations;
//! - [`explain`]: lists the routes that are checked for one request;
//! - [`platform`]: checks the model against the platform's settings.
//!
//! This package does not access files, clocks or sockets: a [`load::Loader`] provides the texts.
//!
//! ```
//! use configuration::{load::MemoryFiles, read};
//!
//! let files = MemoryFiles::from([("a.conf", "limits {\n    client-patience 500ms\n}\n")]);
//! let reading = read("a.conf".as_ref(), &files);
//! assert!(reading.is_valid());
//! assert_eq!(reading.model.limits.client_patience.as_millis(), 500);
//! ```

pub mod calendar;
pub mod check;
pub mod diagnostic;
pub mod diff;
pub mod document;
pub mod explain;
pub mod format;
pub mod index;
pub mod load;
pub mod model;
pub mod platform;
pub mod ranges;
mod reading;
pub mod route;
pub mod schema;
pub mod shadow;
pub mod source;
pub mod space;
pub mod syntax;
pub mod value;
pub mod values;

pub use reading::{read, read_table, Reading, TableReading};
