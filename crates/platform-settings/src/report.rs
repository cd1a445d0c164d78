//! Load reports: which figure means what.

use routing::{LoadReport, Time};
use std::time::Duration;

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Log position, in seconds after the settings' origin.
    Position,
    /// 1: the server believes itself to be the primary.
    Primary,
    /// Requests that the server executes.
    InFlight,
    /// Requests that wait in the server.
    Queued,
    /// Nothing that routers use.
    Unused,
}

/// The meaning of a field by its name on the platform or in the simulator.
pub fn report_field(name: &str) -> ReportField {
    match name {
        "x0" => ReportField::Position,
        "x1" => ReportField::Primary,
        "outstanding" | "inflight" => ReportField::InFlight,
        "backlog" | "queue" => ReportField::Queued,
        _ => ReportField::Unused,
    }
}

/// A load report from the figures that came. Positions count in seconds after `origin`.
pub fn load_report(
    origin: Time,
    values: impl IntoIterator<Item = (ReportField, f64)>,
) -> LoadReport {
    let mut report = LoadReport::default();
    for (field, value) in values {
        match field {
            ReportField::Position => report.position = position(origin, value),
            ReportField::Primary => report.primary = Some(value == 1.0),
            ReportField::InFlight => report.in_flight = Some(value),
            ReportField::Queued => report.queued = Some(value),
            ReportField::Unused => {}
        }
    }
    report
}

fn position(origin: Time, seconds: f64) -> Option<Time> {
    (seconds.is_finite() && seconds > 0.0)
        .then(|| origin.plus(Duration::from_micros((seconds * 1e6) as u64)))
}
