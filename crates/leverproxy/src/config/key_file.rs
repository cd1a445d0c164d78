//! Reads the fleet's key file, for a proxy that the roster names.

use super::operators_file::read_at_most;
use super::ConfigError;
use configuration::diagnostic;
use configuration::model::Members;

/// Maximum size of a key file, in bytes: two keys and operators' comments. A larger file is not a key file.
const KEY_FILE_LIMIT: usize = 16 << 10;

/// Reads the fleet's keys. Fails if the roster has no member `name`.
pub fn member_keys(members: &Members, name: &str) -> Result<datagram_auth::Keys, ConfigError> {
    if !members.roster.iter().any(|m| m.name == name) {
        let names = members.roster.iter().map(|m| m.name.as_str());
        let near = match diagnostic::nearest(name, names) {
            Some(near) => format!("; did you mean {near}?"),
            None => String::new(),
        };
        let problem = format!(
            "the operators' file (LB_OPERATORS) has no section `member {name}` for this proxy: add the section, or set \
             LB_NAME to the name of an existing section `member`{near}"
        );
        return Err(ConfigError::new("members", problem));
    }
    let path = members.key_file.display();
    let fault = |problem: String| ConfigError::new("members.key-file", problem);
    let bytes = read_at_most(&members.key_file, KEY_FILE_LIMIT + 1).map_err(|e| {
        fault(format!(
            "{path} cannot be read: {e}; install the fleet's key file there, readable for the proxy's user"
        ))
    })?;
    if bytes.len() > KEY_FILE_LIMIT {
        return Err(fault(format!(
            "{path} has more than {KEY_FILE_LIMIT} bytes, which is too large for a key file"
        )));
    }
    // Bytes that are not valid UTF-8 are not hex digits either: the parser reports them with their line.
    datagram_auth::Keys::parse(&String::from_utf8_lossy(&bytes))
        .map_err(|e| fault(format!("{path}: {e}")))
}
