//! Writes log lines to standard error, without ever blocking on its reader.

use configuration::model::Logging;
use env_logger::fmt::Formatter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde_json::{Map, Value as Json};
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, Ordering};

/// Bytes that a writable pipe accepts without blocking.
const CHUNK_BYTES: usize = 4_096;

/// Writes the bytes that its descriptor accepts at once and drops the rest: the writing thread serves clients, and a log
/// without a reader must not block it.
#[derive(Debug)]
pub struct NonBlockingWriter<W>(pub W);

impl<W: Write + AsFd> Write for NonBlockingWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.chunks(CHUNK_BYTES) {
            let mut watched = [PollFd::new(&self.0, PollFlags::OUT)];
            let ready = poll(&mut watched, Some(&Timespec::default()));
            if !matches!(ready, Ok(n) if n > 0) || self.0.write_all(part).is_err() {
                break;
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether log lines are JSON objects rather than text.
static JSON: AtomicBool = AtomicBool::new(false);
/// Whether the environment sets the level, which overrides the operators' file.
static LEVEL_FROM_ENVIRONMENT: AtomicBool = AtomicBool::new(false);

/// Starts logging at the level of RUST_LOG, or at info.
pub fn init() {
    let target = env_logger::Target::Pipe(Box::new(NonBlockingWriter(io::stderr())));
    let mut builder = env_logger::Builder::new();
    match std::env::var("RUST_LOG") {
        Ok(filter) => {
            LEVEL_FROM_ENVIRONMENT.store(true, Ordering::Relaxed);
            builder.parse_filters(&filter);
        }
        // The most verbose level that the operators' file may set; `configure` sets the level in force.
        Err(_) => _ = builder.filter_level(LevelFilter::Trace),
    }
    builder.target(target).format(write).init();
    if !LEVEL_FROM_ENVIRONMENT.load(Ordering::Relaxed) {
        log::set_max_level(LevelFilter::Info);
    }
}

/// Applies the operators' settings; RUST_LOG overrides their level.
pub fn configure(logging: &Logging) {
    JSON.store(logging.json, Ordering::Relaxed);
    if !LEVEL_FROM_ENVIRONMENT.load(Ordering::Relaxed) {
        log::set_max_level(logging.level.parse().unwrap_or(LevelFilter::Info));
    }
}

fn write(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let line = if JSON.load(Ordering::Relaxed) {
        json(&out.timestamp_millis().to_string(), record)
    } else {
        text(&out.timestamp().to_string(), record)
    };
    out.write_all(line.as_bytes())
}

/// Appends key-values as `name=value`, quoted where they contain blanks.
struct TextPairs<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for TextPairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_string();
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
        let value = if plain { value } else { format!("{value:?}") };
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

/// Formats a record as a line of text.
pub fn text(time: &str, record: &Record<'_>) -> String {
    let mut line = format!(
        "[{time} {:<5} {}] {}",
        record.level(),
        record.target(),
        record.args()
    );
    _ = record.key_values().visit(&mut TextPairs(&mut line));
    // A message stays one line even if it contains a peer's text with line breaks.
    let mut line = line.replace('\n', "\\n");
    line.push('\n');
    line
}

/// Adds key-values to a JSON object.
struct JsonPairs<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for JsonPairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value
            .to_u64()
            .map(Json::from)
            .or_else(|| value.to_i64().map(Json::from));
        let other = number
            .or_else(|| value.to_f64().map(Json::from))
            .or_else(|| value.to_bool().map(Json::from));
        self.0.insert(
            key.to_string(),
            other.unwrap_or_else(|| Json::from(value.to_string())),
        );
        Ok(())
    }
}

/// Formats a record as a line of JSON.
pub fn json(time: &str, record: &Record<'_>) -> String {
    let mut object = Map::new();
    _ = record.key_values().visit(&mut JsonPairs(&mut object));
    // These fields override key-values of the same names.
    for (name, value) in [
        ("time", time.to_owned()),
        ("level", record.level().to_string()),
        ("target", record.target().to_owned()),
        ("message", record.args().to_string()),
    ] {
        object.insert(name.into(), Json::from(value));
    }
    let mut line = Json::from(object).to_string();
    line.push('\n');
    line
}

/// Prints a text that an operator requested to standard error, regardless of the log level.
pub fn print(text: &str) {
    _ = NonBlockingWriter(io::stderr()).write_all(format!("{text}\n").as_bytes());
}
