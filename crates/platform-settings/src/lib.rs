//! The platform's settings: decodes its JSON into the decision module's [`Settings`](routing::Settings) and the other
//! values that hosts of routers need: names, connection limits and the meaning of load reports.
//!
//! Only this package uses the platform's field names. `raw` contains the object as written, `decode` maps it,
//! `class_mapping` keeps ids stable over a reload, `report` decodes load reports, and [`Shape`] checks whether a later
//! object is complete.
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
