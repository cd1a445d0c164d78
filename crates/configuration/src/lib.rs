//! The operators' configuration language.
//!
//! Reading takes these steps:
//!
//! 1. [`syntax`]: a text to lines of words;
//! 2. [`load`]: files, their includes and variables to one [`document`];
//! 3. [`check`]: the document against the table of directives ([`schema`]), words to values ([`value`]);
//! 4. [`model`]: sections to a typed model in which every value knows its place, and the checks between values.
//!
//! On the model work the routes' index ([`index`]), the search for routes that are never reached ([`shadow`]), the
//! behavioural difference of two configurations ([`diff`]), the explanation of one request ([`explain`]) and the check
//! against the platform's settings ([`platform`]). Nothing here reads files, clocks or sockets; a [`load::Loader`] brings
//! the texts.
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
