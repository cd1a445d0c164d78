//! All values in force with their origins, for `leverproxy config show --effective`.

use super::load::{self, Precedence};
use super::platform_file::{self, PlatformFile, ProcessLimits};
use super::{operators_file, ConfigError};
use configuration::model::{Entry, Origin};
use configuration::schema::TakesEffect;
use configuration::source::Sources;
use configuration::value;
use std::path::Path;

/// All values in force with their origins, and the source texts of the operators' file.
pub fn effective(
    variable: impl Fn(&str) -> Option<String>,
) -> Result<(Vec<Entry>, Sources), ConfigError> {
    let text = platform_file::read_text(&variable)?;
    let loaded = load::load(&text, &variable, Precedence::EnvironmentFirst, None)?;
    let limits = PlatformFile::parse(&text)?.limits;
    let reading = match variable("LB_OPERATORS").filter(|path| !path.is_empty()) {
        Some(path) => operators_file::read(Path::new(&path), None, false),
        None => configuration::Reading::default(),
    };
    let mut entries = configuration::model::entries(&reading.sections);
    for (section, address, origin) in [
        ("listener", loaded.config.listen, loaded.listen_origin),
        (
            "discovery",
            loaded.config.discovery,
            loaded.discovery_origin,
        ),
    ] {
        if let Some(origin) = origin {
            replace(
                &mut entries,
                section,
                "address",
                address.to_string(),
                origin,
            );
        }
    }
    add_process_limits(&mut entries, &limits);
    Ok((entries, reading.sources))
}

/// Adds the platform's limits that the operators' file does not set.
fn add_process_limits(entries: &mut Vec<Entry>, limits: &ProcessLimits) {
    let is_stated = |directive| {
        entries
            .iter()
            .any(|e| e.section == "limits" && e.directive == directive)
    };
    let (sockets_stated, memory_stated) = (is_stated("sockets"), is_stated("memory"));
    if let Some(number) = limits.sockets.filter(|_| !sockets_stated) {
        let origin = Origin::Platform("limits.sockets".into());
        replace(entries, "limits", "sockets", number.to_string(), origin);
    }
    if let Some(mb) = limits.memory_mb.filter(|_| !memory_stated) {
        let origin = Origin::Platform("limits.memory_mb".into());
        let size = value::format_size((mb as u64) << 20);
        replace(entries, "limits", "memory", size, origin);
    }
}

/// Replaces an entry of the operators' file by a value from the platform or the environment.
fn replace(
    entries: &mut Vec<Entry>,
    section: &str,
    directive: &'static str,
    value: String,
    origin: Origin,
) {
    let same = |e: &Entry| e.section.split(' ').next() == Some(section) && e.directive == directive;
    entries.retain(|e| !same(e));
    entries.push(Entry {
        section: section.into(),
        directive,
        value,
        origin,
        takes_effect: TakesEffect::OnReload,
    });
}
