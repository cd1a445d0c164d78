//! ORCA load reports (`xds.data.orca.v3.OrcaLoadReport`) as response headers, in text, JSON or binary format.
//!
//! Source: the xDS protocol's `orca_load_report.proto` and Envoy's documentation of `endpoint-load-metrics`.

use crate::Load;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;

/// The encoding of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// `TEXT name=value, name=value`
    Text,
    /// `JSON {...}`
    Json,
    /// The serialized message in base64.
    Binary,
}

/// The response header of a report in text or JSON.
pub const HEADER: &str = "endpoint-load-metrics";
/// The response header of a binary report.
pub const BINARY_HEADER: &str = "endpoint-load-metrics-bin";
/// The request header that names the format.
pub const FORMAT_HEADER: &str = "endpoint-load-metrics-format";

/// The format with the given name; none if the name is unknown.
pub fn format(name: &str) -> Option<Format> {
    match name.trim().to_ascii_lowercase().as_str() {
        "text" => Some(Format::Text),
        "json" => Some(Format::Json),
        "bin" | "binary" => Some(Format::Binary),
        _ => None,
    }
}

/// The message's standard fields with name, number and value, then the entries of its `utilization` map.
#[allow(clippy::type_complexity, reason = "two tables side by side")]
fn fields(load: &Load) -> ([(&'static str, u64, f64); 5], [(&'static str, f64); 2]) {
    (
        [
            ("cpu_utilization", 1, load.cpu),
            ("mem_utilization", 2, load.memory),
            ("rps_fractional", 6, load.requests_per_s),
            ("eps", 7, load.errors_per_s),
            ("application_utilization", 9, load.application),
        ],
        [
            ("open_requests", load.open),
            ("descriptors", load.descriptors),
        ],
    )
}

fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// The name and the value of the header.
pub fn header(load: &Load, format: Format) -> (&'static str, String) {
    let (standard, named) = fields(load);
    match format {
        Format::Text => {
            let standard = standard
                .iter()
                .map(|(name, _, value)| format!("{name}={}", round(*value)));
            let named = named
                .iter()
                .map(|(name, value)| format!("utilization.{name}={}", round(*value)));
            (
                HEADER,
                format!(
                    "TEXT {}",
                    standard.chain(named).collect::<Vec<_>>().join(",")
                ),
            )
        }
        Format::Json => {
            let mut object = serde_json::Map::new();
            for (name, _, value) in standard {
                object.insert(name.into(), round(value).into());
            }
            let named = named
                .iter()
                .map(|(name, value)| ((*name).to_owned(), round(*value).into()));
            object.insert(
                "utilization".into(),
                serde_json::Value::Object(named.collect()),
            );
            (
                HEADER,
                format!("JSON {}", serde_json::Value::Object(object)),
            )
        }
        Format::Binary => (BINARY_HEADER, STANDARD.encode(message(load))),
    }
}

const WIRE_FIXED64: u64 = 1;
const WIRE_LENGTH_DELIMITED: u64 = 2;
const FIELD_UTILIZATION: u64 = 5;

/// The protobuf message. Fields with value 0 are omitted, as the encoding prescribes.
pub fn message(load: &Load) -> Vec<u8> {
    let (standard, named) = fields(load);
    let mut out = Vec::new();
    let push_double = |out: &mut Vec<u8>, field: u64, value: f64| {
        if value != 0.0 {
            push_varint(out, field << 3 | WIRE_FIXED64);
            out.extend(value.to_le_bytes());
        }
    };
    for (_, field, value) in standard {
        push_double(&mut out, field, value);
    }
    for (name, value) in named {
        let mut entry = Vec::new();
        push_varint(&mut entry, 1 << 3 | WIRE_LENGTH_DELIMITED);
        push_varint(&mut entry, name.len() as u64);
        entry.extend(name.as_bytes());
        push_double(&mut entry, 2, value);
        push_varint(&mut out, FIELD_UTILIZATION << 3 | WIRE_LENGTH_DELIMITED);
        push_varint(&mut out, entry.len() as u64);
        out.extend(entry);
    }
    out
}

fn push_varint(out: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
}
