//! The fleet's key file: only a proxy that stands in the roster gets its keys.

use super::operators_file::read_at_most;
use super::ConfigError;
use configuration::diagnostic;
use configuration::model::Members;

/// A larger key file is rejected: it holds two keys and what operators write about them.
const KEY_FILE_LIMIT: usize = 16 << 10;

/// The keys of the fleet, if a proxy of that name is a member of it.
pub fn member_keys(members: &Members, name: &str) -> Result<datagram_auth::Keys, ConfigError> {
    if !members.roster.iter().any(|m| m.name == name) {
        let names = members.roster.iter().map(|m| m.name.as_str());
        let near = match diagnostic::nearest(name, names) {
            Some(near) => format!("; did you mean {near}?"),
            None => String::new(),
        };
        let problem = format!(
            "the operators' file (LB_OPERATORS) has no section `member {name}` for this proxy itself: add it, or set \
             LB_NAME to the name that stands there{near}"
        );
        return Err(ConfigError::new("members", problem));
    }
    let path = members.key_file.display();
    let fault = |problem: String| ConfigError::new("members.key-file", problem);
    let bytes = read_at_most(&members.key_file, KEY_FILE_LIMIT + 1).map_err(|e| {
        fault(format!(
            "{path} can't be read: {e}; put the fleet's keys there, readable for the proxy's user"
        ))
    })?;
    if bytes.len() > KEY_FILE_LIMIT {
        return Err(fault(format!(
            "{path} has more than {KEY_FILE_LIMIT} bytes: it can't be a key file"
        )));
    }
    // Bytes that are not text are not hex digits either, and are reported with their line.
    datagram_auth::Keys::parse(&String::from_utf8_lossy(&bytes))
        .map_err(|e| fault(format!("{path}: {e}")))
}
