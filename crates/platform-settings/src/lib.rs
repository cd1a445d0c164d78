//! The platform's settings: from its JSON to the decision module's [`Settings`](routing::Settings), and what else every
//! host of routers reads from it: names, limits of connections and the meaning of load reports.
//!
//! Only this package knows the platform's field names. `raw` has the object as it is written, `decode` maps it,
//! `class_mapping` keeps ids over a reload, `report` reads load reports, and [`Shape`] tells whether a later object is
//! complete.
#![forbid(unsafe_code)]

mod class_mapping;
mod decode;
mod error;
mod raw;
mod report;
mod shape;

pub use class_mapping::{map_classes, ClassMapping};
pub use decode::{decode, Names, PlatformSettings};
pub use error::SettingsError;
pub use report::{load_report, report_field, ReportField};
pub use shape::Shape;
