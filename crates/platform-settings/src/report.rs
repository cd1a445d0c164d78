//! Decodes load reports.

use routing::{LoadReport, Time};
use std::time::Duration;

/// Meaning of a figure in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Log position, in seconds after the settings' origin.
    Position,
    /// 1: the server considers itself the primary.
    Primary,
    /// Requests that the server is executing.
    InFlight,
    /// Requests queued in the server.
    Queued,
    /// Not used by routers.
    Unused,
}

/// Meaning of a field, by its name on the platform or in the simulator.
pub fn report_field(name: &str) -> ReportField {
    match name {
        "x0" => ReportField::Position,
        "x1" => ReportField::Primary,
        "outstanding" | "inflight" => ReportField::InFlight,
        "backlog" | "queue" => ReportField::Queued,
        _ => ReportField::Unused,
    }
}

/// Builds a load report from the received figures. Positions are in seconds after `origin`.
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
